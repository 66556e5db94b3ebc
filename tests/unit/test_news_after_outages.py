"""What counts as an outage of the store, and how soon hosts have the changes made after one."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bayhinge._internal.bench.world.virtual_time import run_virtual
from bayhinge._internal.decisions.watchers import MIN_WATCH_S, WATCH_PERIOD_S, WATCHERS_PER_HALL
from bayhinge._internal.services.prefix_follower import (
    MAX_PAUSE_S,
    MIN_PAUSE_S,
    PEER_FETCH_DELAY_S,
)
from bayhinge.coordination.store_availability import StoreAvailability
from tests.lib.silent_store import ANSWER_S, CALL_S, WAIT_MARGIN_S
from tests.lib.watching_site import PREFIXES, WatchingSite

MAX_RETRY_PAUSE_S = 0.75
"""The longest pause between two calls to a failing store."""


# ---- one process ----


def test_only_the_first_answer_after_failures_is_a_recovery() -> None:
    async def scenario() -> None:
        recoveries: list[int] = []
        availability = StoreAvailability(on_recovery=[lambda: recoveries.append(1)])
        availability.record_answer()
        assert recoveries == []
        availability.record_failure(timed_out=False)
        availability.record_failure(timed_out=False)
        availability.record_answer()
        availability.record_answer()
        assert recoveries == [1]

    run_virtual(scenario())


@pytest.mark.parametrize(
    ("timed_out", "lasts_s", "was_outage"),
    [(False, 0.01, False), (False, 1.0, True), (True, 0.01, True)],
)
def test_only_a_lasting_failure_or_silence_is_an_outage(
    timed_out: bool, lasts_s: float, was_outage: bool
) -> None:
    async def scenario() -> bool:
        availability = StoreAvailability()
        availability.record_failure(timed_out)
        await asyncio.sleep(lasts_s)
        availability.record_answer()
        return availability.recovered_s == asyncio.get_running_loop().time()

    assert run_virtual(scenario()) is was_outage


# ---- a site ----


@given(
    halls=st.integers(1, 3),
    hosts_per_hall=st.integers(1, 3),
    start_delay_s=st.floats(0.0, 7.0),
    outage_s=st.floats(0.05, 14.0),
    change_delay_s=st.floats(0.0, 0.5),
)
@settings(max_examples=60, deadline=None)
def test_a_change_behind_any_outage_is_known_everywhere_in_time(
    halls: int, hosts_per_hall: int, start_delay_s: float, outage_s: float, change_delay_s: float
) -> None:
    async def scenario() -> float:
        site = WatchingSite(halls, hosts_per_hall)
        await asyncio.sleep(1.0)
        # Ends all watches at one moment, as an operator's change does.
        site.state.put()
        await site.seconds_until_known()
        await asyncio.sleep(start_delay_s)
        site.state.stop_answering()
        await asyncio.sleep(outage_s)
        site.state.resume_answering()
        await asyncio.sleep(change_delay_s)
        site.state.put()
        took_s = await site.seconds_until_known()
        site.stop()
        return took_s

    watches = halls * min(hosts_per_hall, WATCHERS_PER_HALL) * len(PREFIXES)
    unnoticed_s = WATCH_PERIOD_S / watches + MIN_WATCH_S + WAIT_MARGIN_S
    noticed_s = CALL_S + MAX_RETRY_PAUSE_S
    peer_fetch_s = PEER_FETCH_DELAY_S + 0.1
    assert run_virtual(scenario()) <= max(unnoticed_s, noticed_s) + peer_fetch_s


def test_an_outage_within_all_watches_is_found_at_the_next_end() -> None:
    async def scenario(start_delay_s: float) -> float:
        site = WatchingSite(halls=3, hosts_per_hall=1)
        await asyncio.sleep(7.0 + start_delay_s)
        site.state.stop_answering()
        await asyncio.sleep(0.01)
        site.state.resume_answering()
        site.state.put()
        took_s = await site.seconds_until_known()
        site.stop()
        return took_s

    ends = 3 * len(PREFIXES)
    bound_s = WATCH_PERIOD_S / ends + WAIT_MARGIN_S + PEER_FETCH_DELAY_S + 0.1
    moments = [number * WATCH_PERIOD_S / 40 for number in range(40)]
    worst_s = max(run_virtual(scenario(moment)) for moment in moments)
    assert worst_s <= bound_s


def longest_until_known(
    halls: int, hosts_per_hall: int, outage_s: float, entry_before_s: float, down: int = 0
) -> float:
    """Returns the longest delay of a change after an outage soon after a change of an entry.

    The entry's change ends the watches of entries, and each of them pauses before its next call:
    that call is made after the outage, and doesn't reveal it.
    """

    async def scenario(start_delay_s: float) -> float:
        site = WatchingSite(halls, hosts_per_hall)
        await asyncio.sleep(7.0 + start_delay_s)
        site.stop_hosts(down)
        site.state.put("servers/one")
        await asyncio.sleep(entry_before_s)
        site.state.stop_answering()
        await asyncio.sleep(outage_s)
        site.state.resume_answering()
        site.state.put()
        took_s = await site.seconds_until_known()
        site.stop()
        return took_s

    moments = [number * WATCH_PERIOD_S / 60 for number in range(60)]
    return max(run_virtual(scenario(moment)) for moment in moments)


@pytest.mark.parametrize("halls", [1, 2, 3])
@pytest.mark.parametrize("outage_s", [0.05, 0.15])
def test_a_silence_between_two_watches_of_entries_hides_no_configuration(
    halls: int, outage_s: float
) -> None:
    took_s = longest_until_known(halls, WATCHERS_PER_HALL, outage_s, entry_before_s=0.02)
    ends = halls * WATCHERS_PER_HALL
    assert took_s <= WATCH_PERIOD_S / ends + MIN_WATCH_S + WAIT_MARGIN_S + PEER_FETCH_DELAY_S + 0.1


@pytest.mark.parametrize(("halls", "down"), [(1, 0), (2, 0), (3, 0), (2, 1), (3, 1)])
def test_ends_of_entries_watches_bring_the_configuration_too(halls: int, down: int) -> None:
    took_s = longest_until_known(halls, WATCHERS_PER_HALL, 0.05, entry_before_s=0.02, down=down)
    # A host that is down leaves out two watch ends, which aren't adjacent.
    gap_s = WATCH_PERIOD_S / (halls * WATCHERS_PER_HALL * len(PREFIXES)) * (1 + down)
    # Slots within the pause after the entry's change, and right after it, are skipped.
    skipped_s = MIN_PAUSE_S + MIN_WATCH_S
    assert took_s <= gap_s + skipped_s + WAIT_MARGIN_S + PEER_FETCH_DELAY_S + 0.1


def test_a_watch_that_is_sent_anew_is_sent_at_once() -> None:
    """Guards against a needless pause, in which requests still go to a leaving endpoint."""
    # The pause after the site's last change has ended by then.

    async def scenario(start_delay_s: float) -> float:
        site = WatchingSite(1, 1)
        await asyncio.sleep(7.0 + start_delay_s)
        for _ in range(4):
            site.state.put()
            await asyncio.sleep(MAX_PAUSE_S)
        # Other objects keep changing: each watch ends with a newer revision of the store.
        changing = asyncio.create_task(change_continuously(site, "hosts/one"))
        await asyncio.sleep(MAX_PAUSE_S + 1.5)
        site.state.put()
        took_s = await site.seconds_until_known()
        changing.cancel()
        site.stop()
        return took_s

    moments = [number * WATCH_PERIOD_S / 60 for number in range(60)]
    assert max(run_virtual(scenario(moment)) for moment in moments) <= 2 * ANSWER_S + 0.02


async def change_continuously(site: WatchingSite, key: str) -> None:
    while True:
        site.state.put(key)
        await asyncio.sleep(0.1)
