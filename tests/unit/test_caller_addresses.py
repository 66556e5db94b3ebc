"""Which hosts callers are told of."""

import random

import attrs

from bayhinge._internal.decisions.caller_addresses import (
    MIN_ADVERTISED_HOSTS,
    MIN_LOCAL_HOSTS,
    SPARE_HOSTS,
    ReadyHost,
    addresses_for,
)


def hosts(count: int, hall: str, region: str = "land") -> list[ReadyHost]:
    return [ReadyHost(f"{hall}-{number}", hall, region) for number in range(count)]


def told(known: list[ReadyHost], hall: str = "north") -> list[str]:
    return addresses_for(known, hall, "land", random.Random(1))


def test_a_hall_with_hosts_enough_keeps_its_callers_but_for_spares() -> None:
    north = hosts(MIN_LOCAL_HOSTS, "north")
    answer = told(hosts(9, "south") + north)
    assert answer[: len(north)] == [host.address for host in north]
    spares = answer[len(north) :]
    assert len(spares) == SPARE_HOSTS
    assert all(address.startswith("south") for address in spares)


def test_a_small_hall_shares_its_callers_with_all_others_near_ones_first() -> None:
    abroad = hosts(2, "far", region="overseas")
    answer = told(abroad + hosts(9, "south") + hosts(MIN_LOCAL_HOSTS - 1, "north"))
    assert len(answer) == 2 + 9 + MIN_LOCAL_HOSTS - 1
    assert answer[0] == "north-0"
    assert answer[-2:] == ["far-0", "far-1"]


def test_spares_are_of_the_callers_region_where_there_are_any() -> None:
    known = hosts(MIN_LOCAL_HOSTS, "north") + hosts(5, "far", region="overseas")
    assert all(address.startswith("far") for address in told(known)[-SPARE_HOSTS:])
    known += hosts(1, "south")
    assert told(known)[-1] == "south-0"


def test_a_caller_of_an_unknown_hall_is_told_of_everyone() -> None:
    assert len(told(hosts(20, "south"), hall="")) == 20


def test_callers_of_a_large_hall_are_told_of_the_same_few_hosts_whoever_is_asked() -> None:
    near = hosts(60, "north")
    answer = told(near + hosts(9, "south"))
    assert len(answer) == MIN_ADVERTISED_HOSTS + SPARE_HOSTS
    assert set(told(near[::-1])) == set(answer[:MIN_ADVERTISED_HOSTS])
    lost = answer[0]
    left = [host for host in near if host.address != lost]
    assert len(set(told(left)) & set(answer)) == MIN_ADVERTISED_HOSTS - 1, "the others stay"


def test_more_hosts_are_told_as_the_load_rises() -> None:
    near = [attrs.evolve(host, requests_per_s=14) for host in hosts(40, "north")]
    assert len(told(near)) == 40, "14 a second are too much for each, so all are needed"
    near = [attrs.evolve(host, requests_per_s=9) for host in hosts(40, "north")]
    assert len(told(near)) == 30


def test_hosts_that_are_cut_off_are_not_told_unless_that_is_most_of_them() -> None:
    near = hosts(MIN_ADVERTISED_HOSTS, "north")
    cut = [attrs.evolve(host, is_partitioned=True) for host in near[:3]]
    answer = told(cut + near[3:])
    assert not {host.address for host in cut} & set(answer)
    assert len(answer) == MIN_ADVERTISED_HOSTS - 3, (
        "these are too few to keep their hall's callers, but there is no other"
    )
    all_cut = [attrs.evolve(host, is_partitioned=True) for host in near]
    assert len(told(all_cut)) == MIN_ADVERTISED_HOSTS


def test_spares_are_hosts_that_send_anyway() -> None:
    far = hosts(12, "south")
    sending = [attrs.evolve(host, is_advertised=True) for host in far[:3]]
    spares = {
        addresses_for(hosts(12, "north") + sending + far[3:], "north", "land", random.Random(seed))[
            -1
        ]
        for seed in range(40)
    }
    assert spares == {host.address for host in sending}
    assert told(hosts(12, "north") + far)[-1].startswith("south"), "any, where none says so"
