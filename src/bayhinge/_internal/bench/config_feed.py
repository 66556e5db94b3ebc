"""``bayhinge bench config``: how fast a change is in force everywhere, and what it costs.

The real feed code of many hosts runs in one process, in virtual time. Hosts that can't
reach the store learn from their peers, as they do over the peer link.
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
CHANGE_EVERY_S = 5.0
STORE_DELAY_S = 0.005
NEWS_EVERY_S = 1.5
LOOK_S = 0.05
SETTLE_S = 30.0
FRAME_BYTES = 60
"""An exchange of news without changes, both ways, frames included."""


@attrs.frozen
class FeedRun:
    """What one run came to.

    Attributes:
        hosts: how many hosts.
        condition: the store's condition.
        propagation_p50_s: from acceptance until half of all hosts have a change.
        propagation_p99_s: until all but one in a hundred have it.
        reverts: how often a host went back to an older revision.
        store_calls_per_s: reads and writes of all hosts.
        bytes_per_s_per_host: what a host receives from store and peers.
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
    """The headline, and every run."""

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
    newest: int = 0
    peer_bytes: int = 0
    seen_at: dict[int, float] = attrs.field(factory=dict)


def run(quick: bool) -> ConfigFigures:
    """Runs the bench."""
    changes = CHANGES // 2 if quick else CHANGES
    well = run_virtual(_run(350, "well", changes))
    slow = run_virtual(_run(350, "slow", changes))
    cut = run_virtual(_run(350, "a third of the hosts cut off", changes))
    return ConfigFigures(
        propagation_p99_s_at_350=well.propagation_p99_s,
        propagation_p99_s_at_350_slow_store=slow.propagation_p99_s,
        propagation_p99_s_at_350_cut_hosts=cut.propagation_p99_s,
        reverts=well.reverts + slow.reverts + cut.reverts,
        store_calls_per_s_at_350=well.store_calls_per_s,
        bytes_per_s_per_host_at_350=well.bytes_per_s_per_host,
    )


def run_sizes() -> list[FeedRun]:
    """Runs every size with a store that is well."""
    return [run_virtual(_run(hosts, "well", CHANGES // 2)) for hosts in HOST_COUNTS]


async def _run(count: int, condition: str, changes: int) -> FeedRun:
    objects = MemoryObjects()
    source = random.Random(count)
    hosts = [_make_host(objects, source, condition, number) for number in range(count)]
    tasks = [asyncio.create_task(host.feed.run()) for host in hosts]
    tasks.extend(
        asyncio.create_task(_exchange_news(host, hosts, random.Random(number)))
        for number, host in enumerate(hosts)
    )
    loop = asyncio.get_running_loop()
    began = loop.time()
    accepted_at: dict[int, float] = {}
    editor = _make_host(objects, source, "well", 0)
    for number in range(changes):
        accepted = await editor.feed.propose("template", f"t{number}", "[template]\n", "op", 0)
        accepted_at[accepted.revision] = loop.time()
        await asyncio.sleep(CHANGE_EVERY_S)
    await asyncio.sleep(SETTLE_S)
    elapsed = loop.time() - began
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    spans = sorted(
        host.seen_at.get(revision, float("inf")) - at
        for revision, at in accepted_at.items()
        for host in hosts
    )
    calls = sum(objects.calls[operation] for operation in Operation)
    received = objects.bytes_out + sum(host.peer_bytes for host in hosts)
    return FeedRun(
        count,
        condition,
        round(percentile(spans, 50), 2),
        round(percentile(spans, 99), 2),
        sum(host.reverts for host in hosts),
        round(calls / elapsed, 1),
        round(received / elapsed / count, 1),
    )


def _make_host(objects: MemoryObjects, source: random.Random, condition: str, number: int) -> _Host:
    faults = StoreFaults(delay_s=2.0 if condition == "slow" else STORE_DELAY_S)
    faults.down = condition.startswith("a third") and number % 3 == 0
    times = FeedTimes(poll_s=3.0 * (0.9 + 0.2 * source.random()))
    store = MemoryObjectStore(objects, faults)
    feed = ConfigFeed(store, "bench/config", LoopClock(), source.random, times)
    host = _Host(feed, faults)

    def note(changed: object) -> None:
        if feed.revision < host.newest:
            host.reverts += 1
        host.newest = feed.revision
        host.seen_at.setdefault(feed.revision, asyncio.get_running_loop().time())

    feed.on_change = note
    return host


async def _exchange_news(host: _Host, hosts: list[_Host], source: random.Random) -> None:
    """Asks one random peer after another, as hosts do over the peer link."""
    await asyncio.sleep(source.random() * NEWS_EVERY_S)
    while True:
        peer = source.choice(hosts)
        peer.feed.observe_revision(host.feed.revision)
        host.feed.observe_revision(peer.feed.revision)
        changes = peer.feed.changes_after(host.feed.revision)
        host.peer_bytes += FRAME_BYTES + sum(len(change) for change in changes)
        try:
            host.feed.apply_from_peer(host.feed.revision + 1, changes)
        except StoreError:
            continue
        await asyncio.sleep(NEWS_EVERY_S)
