"""Which hosts callers are told of."""

import random

from bayhinge._internal.decisions.caller_addresses import (
    ENOUGH_NEAR,
    SPARES,
    ReadyHost,
    addresses_for,
)


def hosts(count: int, hall: str, region: str = "land") -> list[ReadyHost]:
    return [ReadyHost(f"{hall}-{number}", hall, region) for number in range(count)]


def told(known: list[ReadyHost], hall: str = "north") -> list[str]:
    return addresses_for(known, hall, "land", random.Random(1))


def test_a_hall_with_hosts_enough_keeps_its_callers_but_for_spares() -> None:
    north = hosts(ENOUGH_NEAR, "north")
    answer = told(hosts(9, "south") + north)
    assert answer[: len(north)] == [host.address for host in north]
    spares = answer[len(north) :]
    assert len(spares) == SPARES
    assert all(address.startswith("south") for address in spares)


def test_a_small_hall_shares_its_callers_with_all_others_near_ones_first() -> None:
    abroad = hosts(2, "far", region="overseas")
    answer = told(abroad + hosts(9, "south") + hosts(ENOUGH_NEAR - 1, "north"))
    assert len(answer) == 2 + 9 + ENOUGH_NEAR - 1
    assert answer[0] == "north-0"
    assert answer[-2:] == ["far-0", "far-1"]


def test_spares_are_of_the_callers_region_where_there_are_any() -> None:
    known = hosts(ENOUGH_NEAR, "north") + hosts(5, "far", region="overseas")
    assert all(address.startswith("far") for address in told(known)[-SPARES:])
    known += hosts(1, "south")
    assert told(known)[-1] == "south-0"


def test_a_caller_of_an_unknown_hall_is_told_of_everyone() -> None:
    assert len(told(hosts(20, "south"), hall="")) == 20
