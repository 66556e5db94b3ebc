"""Which host addresses callers get."""

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


def advertised(known_hosts: list[ReadyHost], hall: str = "north") -> list[str]:
    return addresses_for(known_hosts, hall, "land", random.Random(1))


def test_a_hall_with_enough_hosts_advertises_its_own_and_a_few_spares() -> None:
    north = hosts(MIN_LOCAL_HOSTS, "north")
    addresses = advertised(hosts(9, "south") + north)
    assert addresses[: len(north)] == [host.address for host in north]
    spares = addresses[len(north) :]
    assert len(spares) == SPARE_HOSTS
    assert all(address.startswith("south") for address in spares)


def test_a_small_hall_advertises_all_hosts_with_its_own_region_first() -> None:
    overseas_hosts = hosts(2, "far", region="overseas")
    addresses = advertised(overseas_hosts + hosts(9, "south") + hosts(MIN_LOCAL_HOSTS - 1, "north"))
    assert len(addresses) == 2 + 9 + MIN_LOCAL_HOSTS - 1
    assert addresses[0] == "north-0"
    assert addresses[-2:] == ["far-0", "far-1"]


def test_spares_are_from_the_callers_region_if_it_has_any() -> None:
    known_hosts = hosts(MIN_LOCAL_HOSTS, "north") + hosts(5, "far", region="overseas")
    assert all(address.startswith("far") for address in advertised(known_hosts)[-SPARE_HOSTS:])
    known_hosts += hosts(1, "south")
    assert advertised(known_hosts)[-1] == "south-0"


def test_a_caller_of_an_unknown_hall_gets_all_hosts() -> None:
    assert len(advertised(hosts(20, "south"), hall="")) == 20


def test_all_hosts_of_a_large_hall_advertise_the_same_few_hosts() -> None:
    local_hosts = hosts(60, "north")
    addresses = advertised(local_hosts + hosts(9, "south"))
    assert len(addresses) == MIN_ADVERTISED_HOSTS + SPARE_HOSTS
    assert set(advertised(local_hosts[::-1])) == set(addresses[:MIN_ADVERTISED_HOSTS])
    lost = addresses[0]
    remaining = [host for host in local_hosts if host.address != lost]
    assert len(set(advertised(remaining)) & set(addresses)) == MIN_ADVERTISED_HOSTS - 1, (
        "the other hosts stay advertised"
    )


def test_more_hosts_are_advertised_as_the_load_rises() -> None:
    local_hosts = [attrs.evolve(host, requests_per_s=14) for host in hosts(40, "north")]
    assert len(advertised(local_hosts)) == 40, (
        "14 requests a second are above the target of a host, so all are needed"
    )
    local_hosts = [attrs.evolve(host, requests_per_s=9) for host in hosts(40, "north")]
    assert len(advertised(local_hosts)) == 30


def test_partitioned_hosts_are_left_out_unless_most_hosts_are_partitioned() -> None:
    local_hosts = hosts(MIN_ADVERTISED_HOSTS, "north")
    partitioned = [attrs.evolve(host, is_partitioned=True) for host in local_hosts[:3]]
    addresses = advertised(partitioned + local_hosts[3:])
    assert not {host.address for host in partitioned} & set(addresses)
    assert len(addresses) == MIN_ADVERTISED_HOSTS - 3, (
        "too few for the hall alone, but there is no other hall"
    )
    all_partitioned = [attrs.evolve(host, is_partitioned=True) for host in local_hosts]
    assert len(advertised(all_partitioned)) == MIN_ADVERTISED_HOSTS


def test_spares_are_hosts_that_already_send_requests() -> None:
    far = hosts(12, "south")
    sending = [attrs.evolve(host, is_advertised=True) for host in far[:3]]
    spares = {
        addresses_for(hosts(12, "north") + sending + far[3:], "north", "land", random.Random(seed))[
            -1
        ]
        for seed in range(40)
    }
    assert spares == {host.address for host in sending}
    assert advertised(hosts(12, "north") + far)[-1].startswith("south"), (
        "any host, where none is marked as sending"
    )
