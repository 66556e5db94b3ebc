"""Random failure schedules: agents run while hosts, store and endpoints fail.

One seed is one schedule, the same each time. The agents repeat a call until they
get an answer or a final refusal, as a careful caller does; then the records of the
store, the engines and the services are judged.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

import attrs

from bayhinge._internal.bench.world.virtual_time import run_virtual
from bayhinge._internal.bench.world.world import Outcome, World
from bayhinge._internal.models.refusals import RefusalCode, RefusedError, RunState

CALLS_OF_A_PROGRAM = 8
LONGEST_PAUSE_S = 4.0
FINAL_CODES = frozenset(
    {RefusalCode.OUTCOME_UNKNOWN, RefusalCode.BUDGET_EXCEEDED, RefusalCode.PROGRAM_ENDED}
)
RETRY_S = 0.7
CALLER_TIMEOUT_S = 25.0
HEALED_S = 300.0
"""Virtual seconds in which every program must finish once nothing fails any more."""


@attrs.frozen
class ScheduleShape:
    """How large a schedule is."""

    hosts: int = 4
    programs: int = 5
    failures: int = 6
    longest_gap_s: float = 3.0


@attrs.frozen
class ScheduleReport:
    """What one schedule came to; ``history`` tells what was done, for a reader."""

    seed: int
    broken: tuple[str, ...]
    history: tuple[str, ...]
    finished: int
    programs: int
    answers: int
    unknown_outcomes: int


@attrs.define
class _Run:
    world: World
    source: random.Random
    shape: ScheduleShape
    history: list[str] = attrs.field(factory=list)
    finished: int = 0
    answers: int = 0
    unknown: int = 0
    next_host: int = 0
    frozen: set[str] = attrs.field(factory=set)

    def note(self, text: str) -> None:
        now = asyncio.get_running_loop().time()
        self.history.append(f"{now:8.2f} s  {text}")

    def some_host(self) -> str:
        return self.source.choice(sorted(self.world.hosts_by_name))


def run_schedule(seed: int, shape: ScheduleShape | None = None) -> ScheduleReport:
    """Runs one schedule in virtual time."""
    return run_virtual(_run(seed, shape or ScheduleShape()))


async def _run(seed: int, shape: ScheduleShape) -> ScheduleReport:
    world = World(seed)
    run = _Run(world, random.Random(seed), shape, next_host=shape.hosts)
    await world.start(shape.hosts)
    await world.create_account("desk", 10_000_000)
    agents = [
        asyncio.create_task(_agent(run, f"p{number}", random.Random(f"{seed}/{number}")))
        for number in range(shape.programs)
    ]
    await _fail(run)
    _heal(run)
    _, unfinished = await asyncio.wait(agents, timeout=HEALED_S)
    broken = world.broken_promises()
    broken.extend(_faults_of_agents(agents))
    if unfinished:
        broken.append(f"{len(unfinished)} programs did not finish once all was well again")
    for agent in agents:
        agent.cancel()
    await asyncio.gather(*agents, return_exceptions=True)
    await world.close()
    return ScheduleReport(
        seed,
        tuple(broken),
        tuple(run.history),
        run.finished,
        shape.programs,
        run.answers,
        run.unknown,
    )


def _faults_of_agents(agents: list[asyncio.Task[None]]) -> list[str]:
    ended = [agent for agent in agents if agent.done() and not agent.cancelled()]
    faults = [agent.exception() for agent in ended]
    return [f"an agent failed: {fault!r}" for fault in faults if fault is not None]


# ---- agents ----


async def _agent(run: _Run, name: str, source: random.Random) -> None:
    program = await _open(run, name)
    for index in range(CALLS_OF_A_PROGRAM):
        await asyncio.sleep(source.random() * LONGEST_PAUSE_S)
        kind = source.choice(("think", "think", "act", "look"))
        await _repeat(run, program, index, kind, f"{name}-{index}")
    run.finished += 1


async def _open(run: _Run, name: str) -> str:
    while True:
        at = run.some_host()
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                return await run.world.open("desk", at, key=f"open-{name}")
        except (RefusedError, TimeoutError) as error:
            run.note(f"{name} could not be opened at {at}: {error or 'no answer'}")
            await asyncio.sleep(RETRY_S)


async def _repeat(run: _Run, program: str, index: int, kind: str, text: str) -> None:
    while True:
        at = run.some_host()
        outcome = await _call(run.world, program, index, kind, text, at)
        if outcome.is_answer:
            run.answers += 1
            return
        refusal = outcome.refusal
        why = "the connection broke" if refusal is None else f"{refusal.code}, {refusal.run_state}"
        run.note(f"{program} call {index} ({kind}) at {at}: {why}")
        if refusal is not None and refusal.code in FINAL_CODES:
            run.unknown += refusal.run_state is RunState.MAY_HAVE_RUN
            return
        await asyncio.sleep(RETRY_S)


async def _call(world: World, program: str, index: int, kind: str, text: str, at: str) -> Outcome:
    if kind == "think":
        call = world.think(program, index, text, at)
    elif kind == "act":
        call = world.act(program, index, text, at)
    else:
        call = world.look_up(program, index, text, at)
    try:
        # A frozen host never answers: the caller goes elsewhere after a while.
        async with asyncio.timeout(CALLER_TIMEOUT_S):
            return await call
    except TimeoutError:
        return Outcome(disconnected=True)


# ---- failures ----


async def _fail(run: _Run) -> None:
    failures: list[Callable[[_Run], Awaitable[None]]] = [
        _kill,
        _kill,
        _stop,
        _freeze,
        _store_away,
        _store_slow,
        _store_loses,
        _service_dies,
        _engine_breaks,
        _cut,
        _rack,
    ]
    for _ in range(run.shape.failures):
        await asyncio.sleep(run.source.random() * run.shape.longest_gap_s)
        await run.source.choice(failures)(run)


async def _replace(run: _Run) -> None:
    run.next_host += 1
    name = f"entry-{run.next_host}"
    await run.world.add_host(name)
    run.note(f"{name} starts")


async def _kill(run: _Run) -> None:
    name = run.some_host()
    run.note(f"{name} is killed")
    run.frozen.discard(name)
    await run.world.kill(name)
    await _replace(run)


async def _rack(run: _Run) -> None:
    for _ in range(2):
        await _kill(run)


async def _stop(run: _Run) -> None:
    name = run.some_host()
    if name in run.frozen:
        return
    run.note(f"{name} begins a planned stop")
    await _replace(run)
    await run.world.stop(name)
    run.note(f"{name} has stopped")


async def _freeze(run: _Run) -> None:
    name = run.some_host()
    run.note(f"{name} is frozen")
    run.frozen.add(name)
    run.world.freeze(name)
    await asyncio.sleep(run.source.random() * 12)
    if name in run.world.hosts_by_name:
        run.note(f"{name} wakes")
        run.world.wake(name)
        run.frozen.discard(name)


async def _store_away(run: _Run) -> None:
    seconds = run.source.choice((1.0, 5.0, 60.0))
    run.note(f"the store is away for {seconds:g} s")
    run.world.store_faults.down = True
    await asyncio.sleep(seconds)
    run.world.store_faults.down = False


async def _store_slow(run: _Run) -> None:
    run.note("the store takes 2 s a call for 10 s")
    run.world.store_faults.delay_s = 2.0
    await asyncio.sleep(10)
    run.world.store_faults.delay_s = 0.0


async def _store_loses(run: _Run) -> None:
    run.note("the store loses the answers of 3 writes")
    run.world.store_faults.lose_answers = 3


async def _service_dies(run: _Run) -> None:
    faults = run.world.faults_of("submissions-1")
    fault = run.source.choice(("die_after_acting", "die_before_acting", "hang", "down"))
    run.note(f"submissions-1: {fault} for 5 s")
    setattr(faults, fault, True)
    await asyncio.sleep(5)
    setattr(faults, fault, False)


async def _engine_breaks(run: _Run) -> None:
    run.note("engine-1 breaks its next stream after 3 tokens")
    run.world.faults_of("engine-1").break_stream_after = 3


async def _cut(run: _Run) -> None:
    names = sorted(run.world.hosts_by_name)
    one, other = run.source.sample(names, 2)
    run.note(f"{one} and {other} are cut off from each other for 5 s")
    pair = frozenset({one, other})
    run.world.network.cut.add(pair)
    await asyncio.sleep(5)
    run.world.network.cut.discard(pair)


def _heal(run: _Run) -> None:
    run.note("all is well again")
    faults = run.world.store_faults
    faults.down, faults.delay_s, faults.lose_answers = False, 0.0, 0
    run.world.network.cut.clear()
    for name in sorted(run.frozen):
        if name in run.world.hosts_by_name:
            run.world.wake(name)
    for endpoint_faults in run.world.endpoints.faults_by_endpoint.values():
        endpoint_faults.hang = endpoint_faults.down = False
        endpoint_faults.die_after_acting = endpoint_faults.die_before_acting = False
        endpoint_faults.break_stream_after = None
