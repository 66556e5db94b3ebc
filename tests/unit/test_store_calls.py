"""How often a site calls the store: when idle, while the store is silent, and at a first start."""

import asyncio
import random

import attrs

from bayhinge._internal.bench.world.virtual_time import run_virtual
from bayhinge._internal.decisions.watchers import WATCH_PERIOD_S, WATCHERS_PER_HALL
from bayhinge._internal.services.prefix_follower import FIRST_LIST_DELAY_S, PrefixFollower
from tests.lib.watching_site import PREFIXES, WatchingSite


def test_changing_entries_at_most_double_the_calls_of_watches() -> None:
    async def scenario() -> int:
        site = WatchingSite(3, 3)
        await asyncio.sleep(7.0)

        async def change() -> None:
            while True:
                site.state.put("hosts/one")
                await asyncio.sleep(0.1)

        changing = asyncio.create_task(change())
        calls = await site.calls_within(60.0)
        changing.cancel()
        return calls

    watches = 3 * WATCHERS_PER_HALL * len(PREFIXES)
    assert run_virtual(scenario()) <= 2 * watches * (60.0 / WATCH_PERIOD_S + 1)


def test_an_idle_site_calls_once_per_end_of_a_watch() -> None:
    async def scenario() -> int:
        site = WatchingSite(3, 3)
        await asyncio.sleep(7.0)
        return await site.calls_within(20.0)

    watches = 3 * WATCHERS_PER_HALL * len(PREFIXES)
    assert run_virtual(scenario()) <= watches * (20.0 / WATCH_PERIOD_S + 1)


def test_a_silent_store_is_called_at_a_bounded_rate() -> None:
    async def scenario() -> int:
        site = WatchingSite(3, 3)
        await asyncio.sleep(7.0)
        site.state.stop_answering()
        await asyncio.sleep(7.0)
        return await site.calls_within(20.0)

    watches = 3 * WATCHERS_PER_HALL * len(PREFIXES)
    # A call times out after 0.7 s, and the shortest pause is 0.25 s.
    assert run_virtual(scenario()) <= watches * 20.0 / 0.95 + watches


# ---- first start ----


FLEET_HOSTS = 40
IMMEDIATE_CALLERS = 3
"""Hosts of a fleet, and those of them that call the store as soon as they start."""

HEARTBEAT_PERIOD_S = 0.1
"""Time between the heartbeats that a simulated host receives. Updates spread more slowly than among
starting hosts, which send seven each 0.05 s."""

ALL_INFORMED_S = 0.95
"""With one heartbeat per host and round, 3, 4, 6, 9, 13, 18, 24, 31, 39 and 40 hosts are informed:
nine rounds and the time for one fetch."""


@attrs.define
class FirstStart:
    """How a fleet of hosts that start for the first time obtained the objects.

    Attributes:
        calls: to the store, of all hosts.
        took_s: until every host knew the object.
        needless_callers: hosts that called the store although a peer had informed them in time.
        missing_callers: hosts that no peer had informed, and that did not call the store.
    """

    calls: int = 0
    took_s: float = 0.0
    needless_callers: list[str] = attrs.field(factory=list)
    missing_callers: list[str] = attrs.field(factory=list)


async def simulate_first_start(generator: random.Random) -> FirstStart:
    """Simulates a fleet: a few hosts call the store at once, the others at a random time."""
    loop = asyncio.get_running_loop()
    site = WatchingSite(5, FLEET_HOSTS // 5)
    was_informed_by_address: dict[str, bool] = {}

    def record_informed(address: str, follower: PrefixFollower) -> None:
        was_informed_by_address[address] = follower.complete_to > 0

    hosts = list(site.peers.followers_by_address.items())
    for place, (address, followers) in enumerate(hosts):
        for follower in followers.values():
            follower.should_watch = lambda: False
            if place >= IMMEDIATE_CALLERS:
                follower.first_list_delay_s = generator.uniform(*FIRST_LIST_DELAY_S)
        if place >= IMMEDIATE_CALLERS:
            # The prefix holds no objects, so no peer will report any.
            followers["servers/"].first_list_delay_s = 60.0
            moment_s = followers["config/"].first_list_delay_s - 1e-4
            loop.call_later(moment_s, record_informed, address, followers["config/"])
    site.state.put()
    heartbeats = asyncio.create_task(site.send_heartbeats(HEARTBEAT_PERIOD_S))
    outcome = FirstStart(took_s=await site.seconds_until_known())
    await site.calls_within(FIRST_LIST_DELAY_S[1])
    heartbeats.cancel()
    for (address, _), store in zip(hosts, site.stores, strict=True):
        outcome.calls += store.calls
        if address in was_informed_by_address and store.calls != (
            not was_informed_by_address[address]
        ):
            (outcome.needless_callers if store.calls else outcome.missing_callers).append(address)
    assert len(was_informed_by_address) == FLEET_HOSTS - IMMEDIATE_CALLERS
    return outcome


FIRST_STARTS = range(60)
MANY_CALLS = (12, 180, 239, 315, 366, 469)
"""The seeds of 0 to 599 with the most calls."""

MAX_CALLS = 15


def test_a_fleet_that_starts_for_the_first_time_gets_the_objects_from_a_few_hosts() -> None:
    starts = {
        seed: run_virtual(simulate_first_start(random.Random(seed)))
        for seed in (*FIRST_STARTS, *MANY_CALLS)
    }
    # A host calls the store at its time only if no peer has informed it by then.
    assert not {
        seed: one for seed, one in starts.items() if one.needless_callers or one.missing_callers
    }
    assert max(one.took_s for one in starts.values()) <= ALL_INFORMED_S
    # Without peers it would be 40 calls. Expected are six calls of the hosts that call at once, and
    # 2.8 of the 37 others, whose time is before a peer has informed them.
    usual = sum(starts[seed].calls for seed in FIRST_STARTS) / len(FIRST_STARTS)
    assert usual <= len(PREFIXES) * IMMEDIATE_CALLERS + 3
    assert max(one.calls for one in starts.values()) <= MAX_CALLS


def test_hosts_without_updates_from_peers_call_the_store_after_a_delay() -> None:
    async def scenario() -> float:
        site = WatchingSite(1, 2)
        for follower in site.followers():
            follower.first_list_delay_s = FIRST_LIST_DELAY_S[1]
        site.state.put()
        took_s = await site.seconds_until_known()
        site.stop()
        return took_s

    assert run_virtual(scenario()) <= FIRST_LIST_DELAY_S[1] + 0.1
