"""``bayhinge bench recovery``: journal cost, takeover time, memory, random failure schedules."""

import asyncio
import random
import tracemalloc
from time import perf_counter

import attrs
import orjson

from bayhinge._internal.bench.decisions.report import percentile
from bayhinge._internal.bench.schedules import ScheduleReport, run_schedule
from bayhinge._internal.bench.world.virtual_time import run_virtual
from bayhinge._internal.bench.world.world import World
from bayhinge._internal.models.calls import AnswerEnd, CallKind, Usage
from bayhinge._internal.models.ids import ProgramId
from bayhinge._internal.models.programs import CallEntry, ProgramState
from bayhinge._internal.services.history_cache import HistoryCache
from bayhinge._internal.services.record_codec import (
    WIRE_KIND,
    apply_finished,
    encode_finished,
    end_to_wire,
)
from bayhinge._internal.wire import ttypes as wire
from bayhinge.coordination.journal import Journal
from bayhinge.coordination.journal_objects import RecordPosition
from bayhinge.coordination.journal_reader import JournalReader
from bayhinge.coordination.pacing import WritePacer
from bayhinge_standins.faults import StoreFaults
from bayhinge_standins.object_store import MemoryObjects, MemoryObjectStore, Operation

PREFIX = "bench/journal"
STORE_DELAY_S = 0.005
DEFAULT_WRITES_PER_SECOND = 8.0
DEFAULT_BURST = 4
RECORD_BYTES = 2_000
MEASURED_S = 60.0
LONGEST_PROGRAM_CALLS = 71
LONGEST_HISTORY_TOKENS = 660_000
BYTES_PER_TOKEN = 4
QUICK_SCHEDULES = 40
FULL_SCHEDULES = 2_000
MEASURED_PROGRAMS = 400


@attrs.frozen
class RecoveryFigures:
    """What ``bayhinge bench recovery`` prints.

    Attributes:
        store_writes_per_call: journal writes per model call, at 50 calls a second.
        baseline_writes_per_call: the same without group commit.
        journal_ms_at_1: mean delay of a call by the journal, at one call a second.
        journal_ms_at_50: at 50 calls a second.
        journal_ms_at_400: at 400 calls a second.
        takeover_p50_s: median time from an owner's death to the end of a program's next call,
            over 100 programs.
        takeover_p99_s: 99th percentile of that time.
        takeover_1000_p99_s: the same with 1,000 programs; 0 in a quick run.
        schedules: number of random failure schedules that were run.
        violations: number of schedules that violated a guarantee.
        first_violation: seed and first violation of the first such schedule, or empty.
        idle_bytes_per_program: memory of a program of 71 calls whose messages are evicted.
        rebuild_ms_per_mb: time to rebuild a history.
        cpu_us_per_record: time to encode, write and acknowledge a record.
    """

    store_writes_per_call: float
    baseline_writes_per_call: float
    journal_ms_at_1: float
    journal_ms_at_50: float
    journal_ms_at_400: float
    takeover_p50_s: float
    takeover_p99_s: float
    takeover_1000_p99_s: float
    schedules: int
    violations: int
    first_violation: str
    idle_bytes_per_program: int
    rebuild_ms_per_mb: float
    cpu_us_per_record: float


def run(quick: bool, first_seed: int = 0, schedules: int = 0) -> RecoveryFigures:
    """Runs the bench; ``schedules`` of 0 stands for the default number."""
    count = schedules or (QUICK_SCHEDULES if quick else FULL_SCHEDULES)
    loads = {rate: run_virtual(_journal_load(rate)) for rate in (1.0, 50.0, 400.0)}
    takeover_s = run_virtual(_takeover(100))
    takeover_1000_s = [] if quick else run_virtual(_takeover(1000))
    failed = _failed_schedules(first_seed, count)
    first = f"seed {failed[0].seed}: {failed[0].violations[0]}" if failed else ""
    return RecoveryFigures(
        store_writes_per_call=round(loads[50.0].writes_per_call, 3),
        baseline_writes_per_call=1.0,
        journal_ms_at_1=round(loads[1.0].added_ms, 2),
        journal_ms_at_50=round(loads[50.0].added_ms, 2),
        journal_ms_at_400=round(loads[400.0].added_ms, 2),
        takeover_p50_s=round(percentile(takeover_s, 50), 2),
        takeover_p99_s=round(percentile(takeover_s, 99), 2),
        takeover_1000_p99_s=round(percentile(takeover_1000_s, 99), 2),
        schedules=count,
        violations=len(failed),
        first_violation=first,
        idle_bytes_per_program=idle_bytes_per_program(),
        rebuild_ms_per_mb=round(asyncio.run(_rebuild_ms_per_mb()), 2),
        cpu_us_per_record=round(asyncio.run(_cpu_us_per_record()), 1),
    )


@attrs.frozen
class _JournalLoad:
    writes_per_call: float
    added_ms: float


async def _journal_load(calls_per_second: float) -> _JournalLoad:
    """Appends a record per call, with Poisson arrivals, and measures the wait for durability."""
    objects = MemoryObjects()
    store = MemoryObjectStore(objects, StoreFaults(delay_s=STORE_DELAY_S))
    rng = random.Random(1)
    pacer = WritePacer(DEFAULT_WRITES_PER_SECOND, DEFAULT_BURST)
    journal = Journal(store, PREFIX, "bench~1", pacer, rng.random)
    writer = asyncio.create_task(journal.run())
    waits_s: list[float] = []
    loop = asyncio.get_running_loop()

    async def append_one() -> None:
        began = loop.time()
        await journal.append(b"r" * RECORD_BYTES)
        waits_s.append(loop.time() - began)

    calls = int(MEASURED_S * calls_per_second)
    tasks = []
    for _ in range(calls):
        tasks.append(asyncio.create_task(append_one()))
        await asyncio.sleep(rng.expovariate(calls_per_second))
    await asyncio.gather(*tasks)
    writer.cancel()
    writes = objects.calls[Operation.CREATE]
    return _JournalLoad(writes / calls, sum(waits_s) / len(waits_s) * 1000)


async def _takeover(programs: int) -> list[float]:
    """Kills an owner and returns the sorted times until each program's next call has ended."""
    world = World(seed=programs)
    await world.start(hosts=4, engines=8)
    await world.create_account("desk", 100_000_000)
    opened = [await world.open("desk", "entry-1") for _ in range(programs)]
    await asyncio.gather(*(world.call_model(program, 0, "first", "entry-1") for program in opened))
    await world.kill("entry-1")
    loop = asyncio.get_running_loop()
    killed_at = loop.time()

    async def resume(number: int, program: str) -> float:
        host_name = f"entry-{2 + number % 3}"
        while True:
            outcome = await world.call_model(program, 1, "second", host_name)
            if outcome.is_answer:
                return loop.time() - killed_at
            await asyncio.sleep(0.2)

    takeover_s = await asyncio.gather(*(resume(number, item) for number, item in enumerate(opened)))
    await world.close()
    return sorted(takeover_s)


def _failed_schedules(first_seed: int, count: int) -> list[ScheduleReport]:
    reports = (run_schedule(seed) for seed in range(first_seed, first_seed + count))
    return [report for report in reports if report.violations]


def idle_bytes_per_program() -> int:
    """Measures the memory of a program of 71 calls whose messages are evicted."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    programs = [_longest_program_state(number) for number in range(MEASURED_PROGRAMS)]
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) // len(programs)


def _longest_program_state(number: int) -> ProgramState:
    """Returns the state of a program of 71 calls whose messages are evicted."""
    state = ProgramState(ProgramId("bench~000000000001", number), "desk", None, 0)
    for index in range(LONGEST_PROGRAM_CALLS):
        position = RecordPosition("bench~000000000001", number * 100 + index, index)
        digest = f"{number:016x}{index:016x}"
        entry = CallEntry(index, position, digest, None, 2 * index + 2, digest[::-1], True)
        state.calls.append(entry)
        state.recent_digests.append(digest)
    return state


async def _rebuild_ms_per_mb() -> float:
    """Rebuilds the largest history from its journal; returns milliseconds per megabyte."""
    store = MemoryObjectStore(MemoryObjects())
    journal = Journal(store, PREFIX, "bench~1", WritePacer(1e6, 100), random.random)
    writer = asyncio.create_task(journal.run())
    state = ProgramState(ProgramId("bench~1", 0), "desk", None, 0)
    message_bytes = LONGEST_HISTORY_TOKENS * BYTES_PER_TOKEN // LONGEST_PROGRAM_CALLS
    for index in range(LONGEST_PROGRAM_CALLS):
        finished = _finished_record(state, index, message_bytes)
        apply_finished(state, finished, await journal.append(encode_finished(finished)))
    writer.cancel()
    cache = HistoryCache(JournalReader(store, PREFIX), 10**9)
    began = perf_counter()
    messages = await cache.get(state)
    seconds = perf_counter() - began
    return seconds * 1000 / (sum(len(message) for message in messages) / 1e6)


def _finished_record(state: ProgramState, index: int, size: int) -> wire.CallFinished:
    message = orjson.dumps({"role": "user", "content": "x" * size})
    end = AnswerEnd(index, 200, "application/json", b"", "stop", Usage(size, 300, 0), None, "m")
    return wire.CallFinished(
        str(state.program_id),
        index,
        "digest",
        None,
        WIRE_KIND[CallKind.MODEL],
        [message],
        False,
        2 * index + 2,
        "history",
        end_to_wire(end),
        size,
        "answer",
        1.0,
        None,
    )


async def _cpu_us_per_record(records: int = 5_000) -> float:
    """Encodes, queues, writes and acknowledges records, as the end of a call does."""
    store = MemoryObjectStore(MemoryObjects())
    journal = Journal(store, PREFIX, "bench~1", WritePacer(1e6, 100), random.random)
    writer = asyncio.create_task(journal.run())
    state = ProgramState(ProgramId("bench~1", 0), "desk", None, 0)
    began = perf_counter()
    futures = []
    for index in range(records):
        finished = _finished_record(state, index, RECORD_BYTES)
        futures.append(journal.append(encode_finished(finished)))
        if index % 20 == 0:
            await asyncio.sleep(0)
    await asyncio.gather(*futures)
    seconds = perf_counter() - began
    writer.cancel()
    return seconds / records * 1e6
