"""Random failure schedules: agents run while hosts, store and endpoints fail.

A schedule is reproducible from its seed. Agents retry a call until they get an answer or a
final refusal. Then :meth:`World.find_violations` checks the guarantees on the records of engines
and services: calls with side effects run at most once, run states of refusals are true, histories
and answers are complete, and budgets are kept.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

import attrs

from bayhinge._internal.bench.world.virtual_time import run_virtual
from bayhinge._internal.bench.world.world import Outcome, World
from bayhinge._internal.models.refusals import RefusalCode, RefusedError, RunState

# Times are in seconds of virtual time.
CALLS_PER_PROGRAM = 8
MAX_PAUSE_S = 4.0
FINAL_REFUSAL_CODES = frozenset(
    {RefusalCode.OUTCOME_UNKNOWN, RefusalCode.BUDGET_EXCEEDED, RefusalCode.PROGRAM_ENDED}
)
RETRY_S = 0.7
CALLER_TIMEOUT_S = 25.0
COMPLETION_TIMEOUT_S = 300.0
"""Time within which every program must finish after all faults are cleared."""


@attrs.frozen
class ScheduleShape:
    """Size of a schedule."""

    hosts: int = 4
    programs: int = 5
    failures: int = 6
    max_gap_s: float = 3.0


@attrs.frozen
class ScheduleReport:
    """Results of one schedule; ``history`` lists its faults and refusals as text."""

    seed: int
    violations: tuple[str, ...]
    history: tuple[str, ...]
    finished: int
    programs: int
    answers: int
    unknown_outcomes: int


@attrs.define
class _ScheduleRun:
    world: World
    rng: random.Random
    shape: ScheduleShape
    history: list[str] = attrs.field(factory=list)
    finished: int = 0
    answers: int = 0
    unknown_outcomes: int = 0
    last_host_number: int = 0
    frozen: set[str] = attrs.field(factory=set)

    def record(self, text: str) -> None:
        now = asyncio.get_running_loop().time()
        self.history.append(f"{now:8.2f} s  {text}")

    def random_host(self) -> str:
        return self.rng.choice(sorted(self.world.hosts_by_name))


def run_schedule(seed: int, shape: ScheduleShape | None = None) -> ScheduleReport:
    """Runs one schedule in virtual time."""
    return run_virtual(_run(seed, shape or ScheduleShape()))


async def _run(seed: int, shape: ScheduleShape) -> ScheduleReport:
    world = World(seed)
    run = _ScheduleRun(world, random.Random(seed), shape, last_host_number=shape.hosts)
    await world.start(shape.hosts)
    await world.create_account("desk", 10_000_000)
    agents = [
        asyncio.create_task(_agent(run, f"p{number}", random.Random(f"{seed}/{number}")))
        for number in range(shape.programs)
    ]
    await _inject_faults(run)
    _clear_faults(run)
    _, unfinished = await asyncio.wait(agents, timeout=COMPLETION_TIMEOUT_S)
    violations = world.find_violations()
    violations.extend(_agent_errors(agents))
    if unfinished:
        violations.append(
            f"{len(unfinished)} programs did not finish after all faults were cleared"
        )
    for agent in agents:
        agent.cancel()
    await asyncio.gather(*agents, return_exceptions=True)
    await world.close()
    return ScheduleReport(
        seed,
        tuple(violations),
        tuple(run.history),
        run.finished,
        shape.programs,
        run.answers,
        run.unknown_outcomes,
    )


def _agent_errors(agents: list[asyncio.Task[None]]) -> list[str]:
    ended = [agent for agent in agents if agent.done() and not agent.cancelled()]
    faults = [agent.exception() for agent in ended]
    return [f"an agent failed: {fault!r}" for fault in faults if fault is not None]


# ---- agents ----


async def _agent(run: _ScheduleRun, name: str, rng: random.Random) -> None:
    program = await _open(run, name)
    for index in range(CALLS_PER_PROGRAM):
        await asyncio.sleep(rng.random() * MAX_PAUSE_S)
        kind = rng.choice(("think", "think", "act", "look"))
        await _call_until_final(run, program, index, kind, f"{name}-{index}")
    run.finished += 1


async def _open(run: _ScheduleRun, name: str) -> str:
    while True:
        host_name = run.random_host()
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                return await run.world.open("desk", host_name, key=f"open-{name}")
        except (RefusedError, TimeoutError) as error:
            run.record(f"{name} could not be opened at {host_name}: {error or 'no answer'}")
            await asyncio.sleep(RETRY_S)


async def _call_until_final(
    run: _ScheduleRun, program: str, index: int, kind: str, label: str
) -> None:
    while True:
        host_name = run.random_host()
        outcome = await _call(run.world, program, index, kind, label, host_name)
        if outcome.is_answer:
            run.answers += 1
            return
        refusal = outcome.refusal
        why = "the connection broke" if refusal is None else f"{refusal.code}, {refusal.run_state}"
        run.record(f"{program} call {index} ({kind}) at {host_name}: {why}")
        if refusal is not None and refusal.code in FINAL_REFUSAL_CODES:
            run.unknown_outcomes += refusal.run_state is RunState.MAY_HAVE_RUN
            return
        await asyncio.sleep(RETRY_S)


async def _call(
    world: World, program: str, index: int, kind: str, label: str, host_name: str
) -> Outcome:
    if kind == "think":
        pending = world.call_model(program, index, label, host_name)
    elif kind == "act":
        pending = world.call_unrepeatable(program, index, label, host_name)
    else:
        pending = world.call_repeatable(program, index, label, host_name)
    try:
        # A frozen host answers only after it is unfrozen; after a timeout the agent retries at a
        # random host.
        async with asyncio.timeout(CALLER_TIMEOUT_S):
            return await pending
    except TimeoutError:
        return Outcome(disconnected=True)


# ---- faults ----


async def _inject_faults(run: _ScheduleRun) -> None:
    failures: list[Callable[[_ScheduleRun], Awaitable[None]]] = [
        _kill_host,
        _kill_host,
        _stop_host,
        _freeze_host,
        _store_outage,
        _slow_store,
        _lose_store_replies,
        _break_service,
        _break_engine_stream,
        _partition_hosts,
        _kill_two_hosts,
    ]
    for _ in range(run.shape.failures):
        await asyncio.sleep(run.rng.random() * run.shape.max_gap_s)
        await run.rng.choice(failures)(run)


async def _start_replacement(run: _ScheduleRun) -> None:
    run.last_host_number += 1
    name = f"entry-{run.last_host_number}"
    await run.world.add_host(name)
    run.record(f"{name} starts")


async def _kill_host(run: _ScheduleRun) -> None:
    name = run.random_host()
    run.record(f"{name} is killed")
    run.frozen.discard(name)
    await run.world.kill(name)
    await _start_replacement(run)


async def _kill_two_hosts(run: _ScheduleRun) -> None:
    for _ in range(2):
        await _kill_host(run)


async def _stop_host(run: _ScheduleRun) -> None:
    name = run.random_host()
    if name in run.frozen:
        return
    run.record(f"{name} starts a planned stop")
    await _start_replacement(run)
    await run.world.stop(name)
    run.record(f"{name} has stopped")


async def _freeze_host(run: _ScheduleRun) -> None:
    name = run.random_host()
    run.record(f"{name} is frozen")
    run.frozen.add(name)
    run.world.freeze(name)
    await asyncio.sleep(run.rng.random() * 12)
    if name in run.world.hosts_by_name:
        run.record(f"{name} is unfrozen")
        run.world.unfreeze(name)
        run.frozen.discard(name)


async def _store_outage(run: _ScheduleRun) -> None:
    seconds = run.rng.choice((1.0, 5.0, 60.0))
    run.record(f"the store is unavailable for {seconds:g} s")
    run.world.store_faults.down = True
    await asyncio.sleep(seconds)
    run.world.store_faults.down = False


async def _slow_store(run: _ScheduleRun) -> None:
    run.record("the store takes 2 s a call for 10 s")
    run.world.store_faults.delay_s = 2.0
    await asyncio.sleep(10)
    run.world.store_faults.delay_s = 0.0


async def _lose_store_replies(run: _ScheduleRun) -> None:
    run.record("the store loses the replies to 3 writes")
    run.world.store_faults.lose_answers = 3


async def _break_service(run: _ScheduleRun) -> None:
    faults = run.world.faults_of("submissions-1")
    fault = run.rng.choice(("die_after_acting", "die_before_acting", "hang", "down"))
    run.record(f"submissions-1: {fault} for 5 s")
    setattr(faults, fault, True)
    await asyncio.sleep(5)
    setattr(faults, fault, False)


async def _break_engine_stream(run: _ScheduleRun) -> None:
    run.record("engine-1 breaks its next stream after 3 tokens")
    run.world.faults_of("engine-1").break_stream_after = 3


async def _partition_hosts(run: _ScheduleRun) -> None:
    names = sorted(run.world.hosts_by_name)
    one, other = run.rng.sample(names, 2)
    run.record(f"{one} and {other} are partitioned from each other for 5 s")
    pair = frozenset({one, other})
    run.world.network.partitions.add(pair)
    await asyncio.sleep(5)
    run.world.network.partitions.discard(pair)


def _clear_faults(run: _ScheduleRun) -> None:
    run.record("all faults are cleared")
    faults = run.world.store_faults
    faults.down, faults.delay_s, faults.lose_answers = False, 0.0, 0
    run.world.network.partitions.clear()
    for name in sorted(run.frozen):
        if name in run.world.hosts_by_name:
            run.world.unfreeze(name)
    for endpoint_faults in run.world.endpoints.faults_by_endpoint.values():
        endpoint_faults.hang = endpoint_faults.down = False
        endpoint_faults.die_after_acting = endpoint_faults.die_before_acting = False
        endpoint_faults.break_stream_after = None
