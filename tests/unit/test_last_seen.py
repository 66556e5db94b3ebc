"""Hosts of a hall share when they last saw each other: all list the same, without silent ones."""

import random

from bayhinge._internal.decisions.caller_addresses import (
    MIN_ADVERTISED_HOSTS,
    ReadyHost,
    addresses_for,
)
from bayhinge._internal.decisions.last_seen import (
    AGE_UNITS_PER_S,
    MAX_ADVERTISED_S,
    MAX_AGE_S,
    LastSeen,
    advertised_s,
    short_incarnation,
)
from bayhinge._internal.services.gossip import NEAR_TARGETS, PERIOD_HOSTS, PERIOD_S

HALL_HOSTS = 35
SITE_HOSTS = 195
"""A site of five halls."""


class Hall:
    """Hosts that send each other heartbeats in rotation, in virtual time, as on a large site."""

    def __init__(self, shares_ages: bool) -> None:
        self.shares_ages = shares_ages
        self.random = random.Random(5)
        self.period_s = PERIOD_S * SITE_HOSTS / PERIOD_HOSTS
        self.last_seen = [LastSeen() for _ in range(HALL_HOSTS)]
        self.targets = [
            self.random.sample(
                [other for other in range(HALL_HOSTS) if other != host], HALL_HOSTS - 1
            )
            for host in range(HALL_HOSTS)
        ]
        self.next_s = [self.random.uniform(0, self.period_s) for _ in range(HALL_HOSTS)]
        self.silent: set[int] = set()

    def advance(self, until_s: float) -> None:
        while (now_s := min(self.next_s)) < until_s:
            host = self.next_s.index(now_s)
            self.next_s[host] = now_s + self.period_s * self.random.uniform(0.8, 1.2)
            if host in self.silent:
                continue
            targets = self.targets[host]
            for other in targets[:NEAR_TARGETS]:
                if self.shares_ages:
                    self.last_seen[other].merge_ages(self.last_seen[host].ages(now_s), now_s)
                self.last_seen[other].mark_seen(host, now_s)
            self.targets[host] = targets[NEAR_TARGETS:] + targets[:NEAR_TARGETS]

    def listed(self, host: int, now_s: float) -> set[int]:
        seen = self.last_seen[host].last_seen_s
        return {
            other
            for other in range(HALL_HOSTS)
            if other == host or seen(other) >= now_s - advertised_s(self.period_s)
        }

    def advertised(self, host: int, now_s: float) -> set[str]:
        ready = [ReadyHost(f"host-{other}", "north", "") for other in self.listed(host, now_s)]
        return set(addresses_for(ready, "north", "", self.random))


def simulate(shares_ages: bool) -> tuple[float, int, float]:
    """Simulates 60 s.

    Returns the share of a hall that a host lists, the number of hosts that any host advertises to
    callers, and the share of these that all hosts advertise.
    """
    hall = Hall(shares_ages)
    listed: list[int] = []
    advertised: list[int] = []
    shared: list[float] = []
    for second in range(20, 60):
        hall.advance(second)
        answers = [hall.advertised(host, second) for host in range(HALL_HOSTS)]
        listed += [len(hall.listed(host, second)) for host in range(HALL_HOSTS)]
        advertised_by_any = set().union(*answers)
        advertised.append(len(advertised_by_any))
        shared.append(len(advertised_by_any.intersection(*answers)) / MIN_ADVERTISED_HOSTS)
    return (
        sum(listed) / len(listed) / HALL_HOSTS,
        max(advertised),
        sum(shared) / len(shared),
    )


def test_all_hosts_of_a_large_hall_advertise_the_same_few() -> None:
    known, advertised, shared = simulate(shares_ages=False)
    print("without shared ages", known, advertised, shared)
    assert known < 0.6
    assert advertised >= 3 * MIN_ADVERTISED_HOSTS
    assert shared < 0.1
    known, advertised, shared = simulate(shares_ages=True)
    print("with shared ages", known, advertised, shared)
    assert known > 0.97
    assert advertised <= MIN_ADVERTISED_HOSTS + 2
    assert shared > 0.8


def test_silent_hosts_are_dropped_from_every_list_in_time() -> None:
    hall = Hall(shares_ages=True)
    hall.advance(30.0)
    hall.silent = set(range(17))
    hall.advance(30.0 + MAX_ADVERTISED_S)
    for host in range(17, HALL_HOSTS):
        assert not hall.listed(host, 30.0 + MAX_ADVERTISED_S) & hall.silent


def test_ages_only_grow_when_forwarded() -> None:
    first, second = LastSeen(), LastSeen()
    first.mark_seen(7, 10.0)
    second.merge_ages(first.ages(11.0), 11.5)
    assert second.last_seen_s(7) == 10.5, "half a second in transit"
    first.merge_ages(second.ages(12.0), 12.0)
    assert first.last_seen_s(7) == 10.5
    first.merge_ages({7: 5 * AGE_UNITS_PER_S}, 12.0)
    assert first.last_seen_s(7) == 10.5, "an older sighting changes nothing"
    assert first.ages(10.5 + MAX_AGE_S + 0.1) == {}


def test_negative_ages_are_never_in_the_future() -> None:
    last_seen = LastSeen()
    last_seen.merge_ages({1: -32768}, 5.0)
    assert last_seen.last_seen_s(1) == 5.0


def test_a_host_that_accepts_no_callers_is_removed() -> None:
    last_seen = LastSeen()
    last_seen.mark_seen(1, 5.0)
    last_seen.forget(1)
    assert last_seen.ages(5.0) == {}
    last_seen.forget(1)


def test_incarnations_are_identified_by_their_low_bits() -> None:
    assert short_incarnation(5) == 5
    assert short_incarnation((1 << 61) + 5) == 5
    assert short_incarnation((1 << 32) - 1) == -1


def test_a_small_site_drops_a_silent_host_sooner() -> None:
    assert advertised_s(PERIOD_S) == 1.5
    assert advertised_s(PERIOD_S * 81 / PERIOD_HOSTS) == 1.5
    assert advertised_s(PERIOD_S * SITE_HOSTS / PERIOD_HOSTS) == 3.5
