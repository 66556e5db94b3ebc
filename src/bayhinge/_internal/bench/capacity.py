"""``bayhinge bench capacity``: extrapolates measured unit costs to the target size.

``make capacity`` runs it and rewrites ``docs/capacity-own-interface.md``.
"""

import statistics
import tracemalloc
from collections.abc import Callable, Iterator
from datetime import UTC, datetime
from time import perf_counter

import attrs

from bayhinge._internal.bench.config_feed import run_sizes
from bayhinge._internal.bench.decisions.cost import measure_cost
from bayhinge._internal.bench.path import PathFigures
from bayhinge._internal.bench.path import run as run_path
from bayhinge._internal.bench.recovery import RecoveryFigures
from bayhinge._internal.bench.recovery import run as run_recovery
from bayhinge._internal.decisions.cell import CellScheduler, CellSettings
from bayhinge._internal.decisions.offers import Offer
from bayhinge._internal.models.endpoints import Endpoint, ListedEndpointState
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.services.remote_grants import offer_from_wire, offer_to_wire
from bayhinge._internal.wire import ttypes as wire
from bayhinge.coordination.codec import FORMAT, decode, encode
from bayhinge.coordination.membership import MAX_HEARTBEATS_PER_SECOND
from bayhinge.coordination.wire.ttypes import HostStatus

NODES = 350
ENGINES = 630
REQUESTS_S = 4200.0
PROGRAMS = 38_000
ACCOUNTS = 14_000
CHANGES_A_DAY = 1600
CORE_LIMIT = 0.022
MEMORY_LIMIT_MB = 128.0
BYTES_LIMIT_S = 4000.0
WRITES_LIMIT_S = 300.0
READS_LIMIT_S = 2000.0
HEARTBEAT_S = 1.5
JOURNAL_WRITES_S = 8.0
TOTAL_JOURNAL_WRITES_S = 240.0
CONFIG_POLL_S = 3.0
DELAY_LIMIT_S = 0.36
"""Longest acceptable delay of a call's end: the time to the first token."""
LISTED_OVERHEAD = 1.5
"""Bytes on the wire of a listed object, relative to its value: base64, key and version."""
REPEATS = 3
LOOPS = 2_000


@attrs.frozen
class SlopeSample:
    """A unit cost with its spread over ``REPEATS`` samples."""

    name: str
    unit: str
    median: float
    minimum: float
    maximum: float

    def text(self) -> str:
        """Formats the sample for the page."""
        return f"{self.median:,.3g} ({self.minimum:,.3g} to {self.maximum:,.3g}) {self.unit}"


@attrs.frozen
class CapacityNeed:
    """What one role needs of one resource at the target size, and its limit."""

    role: str
    resource: str
    amount: float
    limit: float
    unit: str
    mechanism: str
    next_change: str

    @property
    def is_met(self) -> bool:
        """True if the amount is within the limit."""
        return self.amount <= self.limit


def page() -> str:
    """Runs all measurements and returns the page as Markdown."""
    recovery = run_recovery(quick=True, schedules=1)
    path = run_path(quick=True)
    slopes = list(_slopes())
    by_name = {item.name: item for item in slopes}
    feed = run_sizes()[-1]
    needs = list(
        _needs(by_name, recovery, feed.store_calls_per_s / NODES, feed.bytes_per_s_per_host)
    )
    return "\n".join(_page_lines(slopes, needs, recovery, path))


def _slopes() -> Iterator[SlopeSample]:
    yield _measure("decision", "us", lambda: measure_cost(ENGINES, 3000).decision_us)
    yield _measure("decision at 6 engines", "us", lambda: measure_cost(6, 3000).decision_us)
    yield _measure("grant message, both ways", "us", _grant_us)
    yield _measure("heartbeat read", "us", _heartbeat_us)
    yield _measure("queue dispatcher, a live program", "bytes", _dispatcher_bytes)
    size = float(len(encode(_status())))
    yield SlopeSample("heartbeat object", "bytes", size, size, size)
    size = float(len(encode_message(offer_to_wire("pool~0", _offer(1)))))
    yield SlopeSample("grant request", "bytes", size, size, size)


def _measure(name: str, unit: str, sample: Callable[[], float]) -> SlopeSample:
    values = [sample() for _ in range(REPEATS)]
    return SlopeSample(name, unit, statistics.median(values), min(values), max(values))


def _grant_us() -> float:
    offer = _offer(1)
    began = perf_counter()
    for _ in range(LOOPS):
        payload = encode_message(offer_to_wire("pool~0", offer))
        offer_from_wire(decode_message(wire.GrantRequest(), payload))
        reply = encode_message(wire.GrantReply(offer.grant, "engine-1", "10.0.0.1:8000", 0.1, "x"))
        decode_message(wire.GrantReply(), reply)
    return (perf_counter() - began) / LOOPS * 1e6


def _heartbeat_us() -> float:
    data = encode(_status())
    began = perf_counter()
    for _ in range(LOOPS):
        decode(HostStatus(), data, "key")
    return (perf_counter() - began) / LOOPS * 1e6


def _dispatcher_bytes() -> float:
    cell = CellScheduler(CellSettings(max_running=100_000, cache_tokens=10**9))
    cell.set_endpoints([Endpoint("e", "pool", "hall", "a", ListedEndpointState.LIVE)], 0.0)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(LOOPS):
        cell.offer(_offer(number), 0.0)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / LOOPS


def _status() -> HostStatus:
    return HostStatus(
        FORMAT,
        "entry-100~0123456789ab",
        "entry-100",
        "kc-clifton",
        "10.0.0.100:8200",
        "10.0.0.100:8100",
        "serving",
        12_345,
        98_765,
        17.0,
    )


def _offer(number: int) -> Offer:
    return Offer(f"owner/{number}", "owner", f"entry-1~0123456789ab.{number}", "desk", 0, 900, 300)


def _needs(
    slopes: dict[str, SlopeSample],
    recovery: RecoveryFigures,
    feed_calls_s: float,
    feed_bytes_s: float,
) -> Iterator[CapacityNeed]:
    calls = REQUESTS_S / NODES
    programs = PROGRAMS / NODES
    per_call_us = 3 * slopes["decision"].median + slopes["grant message, both ways"].median
    records_us = recovery.cpu_us_per_record * calls
    heartbeat_s = max(HEARTBEAT_S, NODES / MAX_HEARTBEATS_PER_SECOND)
    listed_bytes_s = slopes["heartbeat object"].median * LISTED_OVERHEAD * NODES / heartbeat_s
    heartbeats_us = slopes["heartbeat read"].median * NODES / heartbeat_s
    yield CapacityNeed(
        "program owner",
        "memory of programs",
        programs * recovery.idle_bytes_per_program / 1e6,
        MEMORY_LIMIT_MB,
        "MB a node",
        "one entry a call; messages evicted and rebuilt",
        "none",
    )
    yield CapacityNeed(
        "program owner and journal",
        "processor time of records",
        records_us / 1e6,
        CORE_LIMIT,
        "cores a node",
        "thrift records, group commit",
        "none",
    )
    yield CapacityNeed(
        "queue dispatcher",
        "processor time of decisions and grants",
        calls * per_call_us / 1e6,
        CORE_LIMIT,
        "cores a node",
        "cells of some eight engines, hashed over all hosts",
        "none",
    )
    yield CapacityNeed(
        "queue dispatcher",
        "memory of calls and programs",
        programs * slopes["queue dispatcher, a live program"].median / 1e6,
        MEMORY_LIMIT_MB,
        "MB a node",
        "one entry a resident program",
        "none",
    )
    yield CapacityNeed(
        "queue dispatcher",
        "grant traffic",
        calls * 2.2 * slopes["grant request"].median,
        BYTES_LIMIT_S,
        "bytes/s a node",
        "one request and one end for each call",
        "shorter identifiers, and ends sent in batches",
    )
    yield CapacityNeed(
        "journal combiner",
        "journal writes",
        min(TOTAL_JOURNAL_WRITES_S, NODES * min(JOURNAL_WRITES_S, calls)),
        WRITES_LIMIT_S - MAX_HEARTBEATS_PER_SECOND,
        "writes/s in all",
        "group commit; each host takes its share of all writes",
        "combine the batches of a hall's hosts, to shorten the delay",
    )
    yield CapacityNeed(
        "journal combiner",
        "delay of a call's end",
        NODES / TOTAL_JOURNAL_WRITES_S / 2,
        DELAY_LIMIT_S,
        "s, a mean",
        "a host's share of writes is one in 1.5 s",
        "the same; not implemented yet",
    )
    yield CapacityNeed(
        "membership",
        "heartbeat writes",
        NODES / heartbeat_s,
        MAX_HEARTBEATS_PER_SECOND,
        "writes/s in all",
        "one object a host; heartbeats are less frequent in a large fleet",
        "none",
    )
    yield CapacityNeed(
        "membership",
        "listings",
        NODES / heartbeat_s,
        READS_LIMIT_S,
        "reads/s in all",
        "each host lists all heartbeats",
        "none",
    )
    yield CapacityNeed(
        "membership",
        "heartbeats received",
        listed_bytes_s,
        BYTES_LIMIT_S,
        "bytes/s a node",
        "each host lists all heartbeats",
        "one digest for each hall, read in place of its hosts' objects",
    )
    yield CapacityNeed(
        "membership",
        "processor time",
        heartbeats_us / 1e6,
        CORE_LIMIT,
        "cores a node",
        "thrift structs",
        "the same digest",
    )
    yield CapacityNeed(
        "config feed",
        "reads",
        feed_calls_s * NODES,
        READS_LIMIT_S,
        "reads/s in all",
        "a poll every three seconds, and updates from peers",
        "none",
    )
    yield CapacityNeed(
        "config feed",
        "bytes received",
        feed_bytes_s,
        BYTES_LIMIT_S,
        "bytes/s a node",
        "only changes that follow the applied revision",
        "none",
    )


def _page_lines(
    slopes: list[SlopeSample],
    needs: list[CapacityNeed],
    recovery: RecoveryFigures,
    path: PathFigures,
) -> Iterator[str]:
    today = datetime.now(UTC).date().isoformat()
    yield "# Capacity of the product's own interface"
    yield ""
    yield f"Measured and written by `make capacity` on {today}; medians of {REPEATS}, and spread."
    yield "One machine, one process. The target: 350 nodes in front of 630 engines, 4,200 requests"
    yield "and 1.3 million tokens a second, 38,000 programs, 14,000 client accounts. The limits:"
    yield "2.2% of a core, 128 MB and 4 KB/s a node for control; the store's several hundred"
    yield f"writes (counted as {WRITES_LIMIT_S:g}) and 2,000 reads a second in all."
    yield ""
    yield "## Unit costs"
    yield ""
    yield "| what | measured |"
    yield "| --- | --- |"
    for item in slopes:
        yield f"| {item.name} | {item.text()} |"
    yield f"| journal record, processor time | {recovery.cpu_us_per_record:g} us |"
    yield f"| evicted program of 71 calls | {recovery.idle_bytes_per_program:,} bytes |"
    yield f"| rebuild of a history | {recovery.rebuild_ms_per_mb:g} ms a MB |"
    yield f"| journal writes a call, at 50 calls/s a host | {recovery.store_writes_per_call:g} |"
    delays = (recovery.journal_ms_at_1, recovery.journal_ms_at_50, recovery.journal_ms_at_400)
    shown = " / ".join(f"{delay:g}" for delay in delays)
    yield f"| delay of a call by the journal at 1 / 50 / 400 calls/s a host | {shown} ms |"
    takeover = f"{recovery.takeover_p50_s:g} s / {recovery.takeover_p99_s:g} s"
    yield f"| takeover of 100 programs, p50 / p99 | {takeover} |"
    yield ""
    yield "## Control plane at the target size"
    yield ""
    yield "| role | resource | needed | limit | met | mechanism | next change |"
    yield "| --- | --- | --- | --- | --- | --- | --- |"
    for need in needs:
        verdict = "yes" if need.is_met else "**no**"
        yield (
            f"| {need.role} | {need.resource} | {need.amount:,.3g} {need.unit} | {need.limit:g} | "
            f"{verdict} | {need.mechanism} | {need.next_change} |"
        )
    yield ""
    unmet = [need for need in needs if not need.is_met]
    yield f"{len(needs) - len(unmet)} of {len(needs)} needs lie within their limits, each taken"
    yield "alone. A node's total is the sum over its roles: processor time for control"
    cores = sum(need.amount for need in needs if need.unit == "cores a node")
    memory = sum(need.amount for need in needs if need.unit == "MB a node")
    yield f"comes to {cores * 100:.2f}% of a core, memory to {memory:.1f} MB in addition to the"
    yield "process's base memory and its history cache (a setting)."
    yield ""
    yield from _data_lines(path)
    yield "## Failures"
    yield ""
    yield from _failure_lines()


def _data_lines(path: PathFigures) -> Iterator[str]:
    share = path.core_share_at_node_load * 100
    yield "## Data plane"
    yield ""
    yield "Answers pass through one entry host, or two if the caller's entry host is not the"
    yield f"owner. `bayhinge bench path` measures {path.cpu_us_per_call:,.0f} us a call and"
    yield f"{path.cpu_us_per_token:g} us a token, the store's and the engines' stand-ins included,"
    yield f"so {share:.0f}% of a core at a node's 12 requests and 3,714 tokens a second. The next"
    yield "change is to forward several tokens in one write."
    yield ""


def _failure_lines() -> Iterator[str]:
    rows = (
        (
            "11 hosts die, 78 restart, a day",
            "89 seals; at most 8 successors read each journal once; look-ups follow seals that "
            "are cached in memory",
            "tested one by one; journals are not trimmed yet, so each grows with its host's uptime",
        ),
        (
            "a rack or a switch",
            "each journal is sealed by the first survivor in its own order, 0.5 s apart",
            "tested with 2 of 5 hosts failing at once",
        ),
        (
            "a hall",
            "the same; the programs of a quarter of all hosts are read and adopted",
            "not measured at that size",
        ),
        (
            "regions partitioned for an hour",
            "with a store on each side, each side continues alone; with one store, the side "
            "without it is in an outage",
            "the outage is tested for an hour; configuration across two stores is not implemented",
        ),
        (
            "store outage of an hour",
            "no host is declared dead; answers are streamed and confirmed once they are recorded; "
            "new actions that may not be repeated are refused as not run",
            "tested for 1 s, 60 s and an hour",
        ),
    )
    yield "| event | effect | status |"
    yield "| --- | --- | --- |"
    for event, cost, state in rows:
        yield f"| {event} | {cost} | {state} |"
    yield ""
