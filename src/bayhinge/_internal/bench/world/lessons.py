"""Lessons of ``bayhinge learn``: each demonstrates one mechanism in virtual time."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator

import attrs

from bayhinge._internal.bench.world.virtual_time import run_virtual
from bayhinge._internal.bench.world.world import Outcome, World
from bayhinge._internal.models.events import Mechanism
from bayhinge._internal.queries.sentences import timeline_lines

SETTLE_S = 9.0


@attrs.frozen
class Lesson:
    """One lesson.

    Attributes:
        title: what the lesson demonstrates.
        scenario: runs the lesson in a world and appends its steps to the given lines.
        mechanisms: those whose events are shown; all if empty.
    """

    title: str
    scenario: Callable[[World, list[str]], Awaitable[None]]
    mechanisms: tuple[Mechanism, ...] = ()


def run_lesson(name: str) -> list[str]:
    """Runs a lesson and returns its output lines."""
    return run_virtual(_run(LESSONS_BY_NAME[name]))


async def _run(lesson: Lesson) -> list[str]:
    world = World(seed=7)
    log: list[str] = []
    await world.start(3)
    await world.create_account("desk", 100_000)
    await lesson.scenario(world, log)
    lines = [lesson.title, "", *log, "", "The time line of all hosts:", ""]
    lines.extend(_timeline(world, lesson))
    await world.close()
    return lines


def _timeline(world: World, lesson: Lesson) -> Iterator[str]:
    wanted = lesson.mechanisms
    events = [event for event in world.events() if not wanted or event.mechanism in wanted]
    return timeline_lines(events)


def _append_line(log: list[str], what: str, outcome: Outcome | None = None) -> None:
    now = asyncio.get_running_loop().time()
    if outcome is None:
        log.append(f"{now:6.2f} s  {what}")
    elif outcome.is_answer:
        log.append(f"{now:6.2f} s  {what}: answered")
    elif outcome.refusal is not None:
        refusal = outcome.refusal
        log.append(f"{now:6.2f} s  {what}: refused, {refusal.run_state}: {refusal.why}")
    else:
        log.append(f"{now:6.2f} s  {what}: the connection broke")


async def _takeover(world: World, log: list[str]) -> None:
    program = await world.open("desk", "entry-1")
    _append_line(log, "call 0", await world.call_model(program, 0, "first", "entry-2"))
    await world.kill("entry-1")
    _append_line(log, "the owner, entry-1, is killed")
    _append_line(
        log, "call 1, at another host", await world.call_model(program, 1, "second", "entry-3")
    )


async def _planned_stop(world: World, log: list[str]) -> None:
    program = await world.open("desk", "entry-1")
    running = asyncio.create_task(world.call_model(program, 0, "first", "entry-1"))
    await asyncio.sleep(0.05)
    _append_line(log, "entry-1 begins a planned stop while call 0 runs")
    stopping = asyncio.create_task(world.stop("entry-1"))
    _append_line(log, "call 0", await running)
    _append_line(
        log, "call 1, at the old address", await world.call_model(program, 1, "b", "entry-1")
    )
    await stopping
    _append_line(log, "entry-1 has stopped")
    _append_line(log, "call 2", await world.call_model(program, 2, "c", "entry-2"))


async def _at_most_once(world: World, log: list[str]) -> None:
    program = await world.open("desk", "entry-1")
    for endpoint in ("submissions-1", "submissions-2"):
        world.faults_of(endpoint).die_after_acting = True
    _append_line(log, "the service acts and dies before it answers")
    _append_line(
        log, "call 0, a submission", await world.call_unrepeatable(program, 0, "nav", "entry-2")
    )
    for endpoint in ("submissions-1", "submissions-2"):
        world.faults_of(endpoint).die_after_acting = False
    _append_line(log, "call 0 again", await world.call_unrepeatable(program, 0, "nav", "entry-3"))
    count = world.endpoints.records.effects["nav"]
    _append_line(log, f"the service's own record: 'nav' took effect {count} time(s)")
    _append_line(log, "call 1", await world.call_model(program, 1, "what now", "entry-3"))


async def _budget(world: World, log: list[str]) -> None:
    await world.configure("account", "desk", "[account]\ntemplate = standard\nbudget_tokens = 60\n")
    await asyncio.sleep(SETTLE_S)
    _append_line(log, "the budget is set to 60 tokens")
    for number in (1, 2, 3, 1, 2):
        program = await world.open("desk", f"entry-{number}")
        outcome = await world.call_model(program, 0, "hello", f"entry-{number}")
        _append_line(log, f"a program at entry-{number}", outcome)


async def _store_outage(world: World, log: list[str]) -> None:
    program = await world.open("desk", "entry-1")
    _append_line(log, "call 0", await world.call_model(program, 0, "first", "entry-2"))
    world.store_faults.down = True
    _append_line(log, "the platform's store becomes unavailable")
    await asyncio.sleep(1.0)
    answer = asyncio.create_task(world.call_model(program, 1, "second", "entry-2"))
    await asyncio.sleep(SETTLE_S)
    requests = len(world.endpoints.records.engine_requests)
    state = "confirmed" if answer.done() else "not confirmed, because it is not recorded"
    _append_line(log, f"the engines have answered {requests} calls; call 1 is {state}")
    other = await world.try_open("desk", "entry-3")
    _append_line(log, f"a new program at entry-3: {other}")
    world.store_faults.down = False
    _append_line(log, "the store is available again")
    _append_line(log, "call 1", await answer)
    _append_line(
        log, "call 2, a submission", await world.call_unrepeatable(program, 2, "nav", "entry-2")
    )


async def _endpoints(world: World, log: list[str]) -> None:
    program = await world.open("desk", "entry-1")
    _append_line(log, "call 0", await world.call_model(program, 0, "first", "entry-1"))
    world.endpoints.mark_leaving("engine-1")
    _append_line(log, "the platform lists engine-1 as leaving")
    await asyncio.sleep(2.0)
    _append_line(log, "call 1", await world.call_model(program, 1, "second", "entry-1"))
    world.faults_of("prices-1").down = True
    _append_line(log, "prices-1 refuses connections")
    for index in range(2, 8):
        outcome = await world.call_repeatable(program, index, f"b{index}", "entry-1")
        _append_line(log, f"call {index}, a lookup", outcome)


async def _configuration(world: World, log: list[str]) -> None:
    text = "[account]\ntemplate = standard\npriority = 9\n"
    await world.configure("account", "desk", text)
    feeds = {name: item.host.parts.feed for name, item in world.hosts_by_name.items()}
    newest = max(feed.revision for feed in feeds.values())
    _append_line(log, f"an edit is accepted as revision {newest}")
    for _ in range(8):
        await asyncio.sleep(0.5)
        shown = ", ".join(f"{name} {feed.revision}" for name, feed in sorted(feeds.items()))
        _append_line(log, f"applied: {shown}")


LESSONS_BY_NAME = {
    "takeover": Lesson("An owner dies, and a survivor adopts its programs.", _takeover),
    "planned-stop": Lesson("A host is stopped as planned, and no call breaks.", _planned_stop),
    "at-most-once": Lesson("A service acts and dies; the call is never retried.", _at_most_once),
    "budget": Lesson("Three hosts share a budget that is too small.", _budget),
    "store-outage": Lesson("The platform's store fails and recovers.", _store_outage),
    "endpoints": Lesson(
        "An engine drains; a service's endpoint fails and is ejected.",
        _endpoints,
        (Mechanism.QUEUE, Mechanism.ENDPOINT),
    ),
    "configuration": Lesson("A change of configuration reaches every host.", _configuration),
}
