"""Which hosts of a hall watch the store, and when their watches end."""

import itertools

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bayhinge._internal.decisions.watchers import (
    MIN_WATCH_S,
    WATCH_PERIOD_S,
    WATCHERS_PER_HALL,
    HallHost,
    WatchSlot,
    wait_until_slot,
    watchers_of,
)
from bayhinge._internal.utils.http_session import call_timeout

# ---- who watches ----

hall_hosts = st.lists(
    st.builds(HallHost, st.integers(0, 30).map(lambda number: f"host-{number}"), st.booleans()),
    min_size=1,
    unique_by=lambda one: one.host,
)


@given(hall_hosts)
def test_some_host_that_reaches_the_store_always_watches(hosts: list[HallHost]) -> None:
    watchers = set(watchers_of("north", hosts))
    reaching = {one.host for one in hosts if not one.store_fails}
    assert len(watchers & reaching) >= min(WATCHERS_PER_HALL, len(reaching))
    assert len(watchers) <= 2 * WATCHERS_PER_HALL


@given(hall_hosts)
def test_few_hosts_watch_a_store_that_none_reaches(hosts: list[HallHost]) -> None:
    failing = [attrs.evolve(one, store_fails=True) for one in hosts]
    assert len(watchers_of("north", failing)) == min(WATCHERS_PER_HALL, len(hosts))


@given(hall_hosts)
def test_the_first_watcher_keeps_watching_a_store_that_it_lost(hosts: list[HallHost]) -> None:
    reaching = [attrs.evolve(one, store_fails=False) for one in hosts]
    first = watchers_of("north", reaching)[0]
    partitioned = [attrs.evolve(one, store_fails=one.host == first) for one in hosts]
    assert first in watchers_of("north", partitioned)


# ---- when watches end ----


@pytest.mark.parametrize("halls", [1, 2, 3, 8])
@pytest.mark.parametrize("watchers", [1, 2])
def test_ends_of_watches_are_spread_evenly_over_a_site(halls: int, watchers: int) -> None:
    phases_by_prefix = {
        prefix: [
            WatchSlot(hall, halls, watcher, prefix, 2, watchers).phase
            for hall, watcher in itertools.product(range(halls), range(watchers))
        ]
        for prefix in range(2)
    }
    # Each prefix by itself too: the other one's watches may have begun after an outage.
    for phases in (list(itertools.chain(*phases_by_prefix.values())), *phases_by_prefix.values()):
        assert longest_gap(phases) == pytest.approx(1 / len(phases))


@pytest.mark.parametrize("halls", [2, 3, 8])
def test_ends_of_watches_of_one_host_are_apart(halls: int) -> None:
    for hall, watcher in itertools.product(range(halls), range(2)):
        phases = [WatchSlot(hall, halls, watcher, prefix, 2).phase for prefix in range(2)]
        assert longest_gap(phases) <= 0.75


def longest_gap(phases: list[float]) -> float:
    ordered = sorted(phases)
    return max(after - before for before, after in itertools.pairwise([*ordered, ordered[0] + 1]))


@given(st.floats(0, 2e9), st.integers(0, 2), st.integers(0, 1), st.integers(0, 1))
def test_a_watch_ends_at_its_slot(now_s: float, hall: int, watcher: int, prefix: int) -> None:
    slot = WatchSlot(hall, 3, watcher, prefix, 2)
    wait_s = wait_until_slot(slot, now_s)
    assert MIN_WATCH_S <= wait_s <= WATCH_PERIOD_S + MIN_WATCH_S
    distance = ((now_s + wait_s) / WATCH_PERIOD_S - slot.phase) % 1
    assert min(distance, 1 - distance) < 1e-4


def test_timeouts_of_calls_are_not_rounded_up() -> None:
    assert call_timeout(5.7).ceil_threshold > 5.7
    assert call_timeout(300.0, sock_read_s=300.0).ceil_threshold > 300.0


@pytest.mark.parametrize("halls", [1, 3, 5, 8])
def test_ends_of_watches_are_as_frequent_on_sites_of_every_size(halls: int) -> None:
    moments: list[float] = []
    for hall, watcher, prefix in itertools.product(range(halls), range(2), range(2)):
        now_s = 1000.0
        while now_s < 1060.0:
            now_s += wait_until_slot(WatchSlot(hall, halls, watcher, prefix, 2), now_s)
            moments.append(now_s)
    moments.sort()
    assert len(moments) <= 60 / 0.5 + 2 * 4 * halls, "two a second, and the last ones"
    gaps = [later - sooner for sooner, later in itertools.pairwise(moments)]
    assert max(gaps) <= 1.5 / min(halls, 3) + 1e-6
