"""``bayhinge bench config``: propagation delay and cost of a configuration change.

The feeds of many hosts run in one process, in virtual time. Hosts that can't reach the
store receive changes from their peers, as over the peer link.
"""

import asyncio
import random

import attrs

from bayhinge._internal.bench.decisions.report import percentile
from bayhinge._internal.bench.world.virtual_time import LoopClock, run_virtual
from bayhinge.coordination.config_feed import ConfigFeed, FeedTimes
from bayhinge.coordination.errors import StoreError
from bayhinge_standins.faults import StoreFaults
from bayhinge_standins.object_store import MemoryObjects, MemoryObjectStore, Operation

HOST_COUNTS = (8, 50, 350)
CHANGES = 20
CHANGE_INTERVAL_S = 5.0
STORE_DELAY_S = 0.005
PEER_SYNC_INTERVAL_S = 1.5
LOOK_S = 0.05
SETTLE_S = 30.0
IDLE_SYNC_BYTES = 60
"""Bytes of an exchange without changes, both directions, frames included."""


@attrs.frozen
class FeedRun:
    """Results of one run.

    Attributes:
        hosts: number of hosts.
        condition: the store's condition.
        propagation_p50_s: median delay from acceptance of a change to its use by a host.
        propagation_p99_s: 99th percentile of that delay.
        reverts: how often a host went back to an older revision.
        store_calls_per_s: reads and writes of all hosts.
        bytes_per_s_per_host: bytes that a host receives from the store and its peers.
    """

    hosts: int
    condition: str
    propagation_p50_s: float
    propagation_p99_s: float
    reverts: int
    store_calls_per_s: float
    bytes_per_s_per_host: float


@attrs.frozen
class ConfigFigures:
    """What ``bayhinge bench config`` prints."""

    propagation_p99_s_at_350: float
    propagation_p99_s_at_350_slow_store: float
    propagation_p99_s_at_350_cut_hosts: float
    reverts: int
    store_calls_per_s_at_350: float
    bytes_per_s_per_host_at_350: float


@attrs.define
class _Host:
    feed: ConfigFeed
    faults: StoreFaults
    reverts: int = 0
    newest_revision: int = 0
    peer_bytes: int = 0
    applied_at: dict[int, float] = attrs.field(factory=dict)


def run(quick: bool) -> ConfigFigures:
    """Runs the bench."""
    changes = CHANGES // 2 if quick else CHANGES
    healthy = run_virtual(_run(350, "healthy", changes))
    slow = run_virtual(_run(350, "slow", changes))
    partitioned = run_virtual(_run(350, "a third of the hosts partitioned", changes))
    return ConfigFigures(
        propagation_p99_s_at_350=healthy.propagation_p99_s,
        propagation_p99_s_at_350_slow_store=slow.propagation_p99_s,
        propagation_p99_s_at_350_cut_hosts=partitioned.propagation_p99_s,
        reverts=healthy.reverts + slow.reverts + partitioned.reverts,
        store_calls_per_s_at_350=healthy.store_calls_per_s,
        bytes_per_s_per_host_at_350=healthy.bytes_per_s_per_host,
    )


def run_sizes() -> list[FeedRun]:
    """Runs each of ``HOST_COUNTS`` with a healthy store."""
    return [run_virtual(_run(hosts, "healthy", CHANGES // 2)) for hosts in HOST_COUNTS]


async def _run(count: int, condition: str, changes: int) -> FeedRun:
    objects = MemoryObjects()
    rng = random.Random(count)
    hosts = [_make_host(objects, rng, condition, number) for number in range(count)]
    tasks = [asyncio.create_task(host.feed.run()) for host in hosts]
    tasks.extend(
        asyncio.create_task(_sync_with_peers(host, hosts, random.Random(number)))
        for number, host in enumerate(hosts)
    )
    loop = asyncio.get_running_loop()
    began = loop.time()
    accepted_at: dict[int, float] = {}
    editor = _make_host(objects, rng, "healthy", 0)
    for number in range(changes):
        accepted = await editor.feed.propose("template", f"t{number}", "[template]\n", "op", 0)
        accepted_at[accepted.revision] = loop.time()
        await asyncio.sleep(CHANGE_INTERVAL_S)
    await asyncio.sleep(SETTLE_S)
    elapsed = loop.time() - began
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    delays_s = sorted(
        host.applied_at.get(revision, float("inf")) - at
        for revision, at in accepted_at.items()
        for host in hosts
    )
    calls = sum(objects.calls[operation] for operation in Operation)
    received = objects.bytes_out + sum(host.peer_bytes for host in hosts)
    return FeedRun(
        count,
        condition,
        round(percentile(delays_s, 50), 2),
        round(percentile(delays_s, 99), 2),
        sum(host.reverts for host in hosts),
        round(calls / elapsed, 1),
        round(received / elapsed / count, 1),
    )


def _make_host(objects: MemoryObjects, rng: random.Random, condition: str, number: int) -> _Host:
    faults = StoreFaults(delay_s=2.0 if condition == "slow" else STORE_DELAY_S)
    faults.down = condition.startswith("a third") and number % 3 == 0
    times = FeedTimes(poll_s=3.0 * (0.9 + 0.2 * rng.random()))
    store = MemoryObjectStore(objects, faults)
    feed = ConfigFeed(store, "bench/config", LoopClock(), rng.random, times)
    host = _Host(feed, faults)

    def record_change(changed: object) -> None:
        if feed.revision < host.newest_revision:
            host.reverts += 1
        host.newest_revision = feed.revision
        host.applied_at.setdefault(feed.revision, asyncio.get_running_loop().time())

    feed.on_change = record_change
    return host


async def _sync_with_peers(host: _Host, hosts: list[_Host], rng: random.Random) -> None:
    """Polls one random peer after another, as hosts do over the peer link."""
    await asyncio.sleep(rng.random() * PEER_SYNC_INTERVAL_S)
    while True:
        peer = rng.choice(hosts)
        peer.feed.observe_revision(host.feed.revision)
        host.feed.observe_revision(peer.feed.revision)
        changes = peer.feed.changes_after(host.feed.revision)
        host.peer_bytes += IDLE_SYNC_BYTES + sum(len(change) for change in changes)
        try:
            host.feed.apply_from_peer(host.feed.revision + 1, changes)
        except StoreError:
            continue
        await asyncio.sleep(PEER_SYNC_INTERVAL_S)
