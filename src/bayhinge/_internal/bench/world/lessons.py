"""Lessons: each shows one mechanism acting against the stand-ins, in virtual time."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator

import attrs

from bayhinge._internal.bench.world.virtual_time import run_virtual
from bayhinge._internal.bench.world.world import Outcome, World
from bayhinge._internal.models.events import Mechanism
from bayhinge._internal.queries.sentences import timeline_lines

SILENCE_S = 9.0


@attrs.frozen
class Lesson:
    """One lesson: what it shows, and the story that it plays."""

    title: str
    play: Callable[[World, list[str]], Awaitable[None]]
    mechanisms: tuple[Mechanism, ...] = ()


def run_lesson(name: str) -> list[str]:
    """Plays a lesson and returns its lines."""
    return run_virtual(_run(LESSONS_BY_NAME[name]))


async def _run(lesson: Lesson) -> list[str]:
    world = World(seed=7)
    story: list[str] = []
    await world.start(3)
    await world.create_account("desk", 100_000)
    await lesson.play(world, story)
    lines = [lesson.title, "", *story, "", "The time line of all hosts:", ""]
    lines.extend(_timeline(world, lesson))
    await world.close()
    return lines


def _timeline(world: World, lesson: Lesson) -> Iterator[str]:
    wanted = lesson.mechanisms
    events = [event for event in world.events() if not wanted or event.mechanism in wanted]
    return timeline_lines(events)


def _say(story: list[str], what: str, outcome: Outcome | None = None) -> None:
    now = asyncio.get_running_loop().time()
    if outcome is None:
        story.append(f"{now:6.2f} s  {what}")
    elif outcome.is_answer:
        story.append(f"{now:6.2f} s  {what}: answered")
    elif outcome.refusal is not None:
        refusal = outcome.refusal
        story.append(f"{now:6.2f} s  {what}: refused, {refusal.run_state}: {refusal.why}")
    else:
        story.append(f"{now:6.2f} s  {what}: the connection broke")


async def _takeover(world: World, story: list[str]) -> None:
    program = await world.open("desk", "entry-1")
    _say(story, "call 0", await world.think(program, 0, "first", "entry-2"))
    await world.kill("entry-1")
    _say(story, "the owner, entry-1, is killed")
    _say(story, "call 1, at another host", await world.think(program, 1, "second", "entry-3"))


async def _stop(world: World, story: list[str]) -> None:
    program = await world.open("desk", "entry-1")
    running = asyncio.create_task(world.think(program, 0, "first", "entry-1"))
    await asyncio.sleep(0.05)
    _say(story, "entry-1 begins a planned stop while call 0 runs")
    stopping = asyncio.create_task(world.stop("entry-1"))
    _say(story, "call 0", await running)
    _say(story, "call 1, at the old address", await world.think(program, 1, "b", "entry-1"))
    await stopping
    _say(story, "entry-1 has stopped")
    _say(story, "call 2", await world.think(program, 2, "c", "entry-2"))


async def _once(world: World, story: list[str]) -> None:
    program = await world.open("desk", "entry-1")
    for endpoint in ("submissions-1", "submissions-2"):
        world.faults_of(endpoint).die_after_acting = True
    _say(story, "the service acts and dies before it answers")
    _say(story, "call 0, a submission", await world.act(program, 0, "nav", "entry-2"))
    for endpoint in ("submissions-1", "submissions-2"):
        world.faults_of(endpoint).die_after_acting = False
    _say(story, "call 0 again", await world.act(program, 0, "nav", "entry-3"))
    count = world.endpoints.records.effects["nav"]
    _say(story, f"the service's own record: 'nav' took effect {count} time(s)")
    _say(story, "call 1 goes on", await world.think(program, 1, "what now", "entry-3"))


async def _budget(world: World, story: list[str]) -> None:
    await world.configure("account", "desk", "[account]\ntemplate = standard\nbudget_tokens = 60\n")
    await asyncio.sleep(SILENCE_S)
    _say(story, "the budget is set to 60 tokens")
    for number in (1, 2, 3, 1, 2):
        program = await world.open("desk", f"entry-{number}")
        outcome = await world.think(program, 0, "hello", f"entry-{number}")
        _say(story, f"a program at entry-{number}", outcome)


async def _store(world: World, story: list[str]) -> None:
    program = await world.open("desk", "entry-1")
    _say(story, "call 0", await world.think(program, 0, "first", "entry-2"))
    world.store_faults.down = True
    _say(story, "the platform's store goes away")
    await asyncio.sleep(1.0)
    answer = asyncio.create_task(world.think(program, 1, "second", "entry-2"))
    await asyncio.sleep(SILENCE_S)
    seen = len(world.endpoints.records.engine_requests)
    state = "confirmed" if answer.done() else "not confirmed, because it is not recorded"
    _say(story, f"the engines have answered {seen} calls; call 1 is {state}")
    other = await world.open_refusal("desk", "entry-3")
    _say(story, f"a new program at entry-3: {other}")
    world.store_faults.down = False
    _say(story, "the store comes back")
    _say(story, "call 1", await answer)
    _say(story, "call 2, a submission", await world.act(program, 2, "nav", "entry-2"))


async def _endpoints(world: World, story: list[str]) -> None:
    program = await world.open("desk", "entry-1")
    _say(story, "call 0", await world.think(program, 0, "first", "entry-1"))
    world.endpoints.leave("engine-1")
    _say(story, "the platform lists engine-1 as leaving")
    await asyncio.sleep(2.0)
    _say(story, "call 1", await world.think(program, 1, "second", "entry-1"))
    world.faults_of("prices-1").down = True
    _say(story, "prices-1 refuses connections")
    for index in range(2, 8):
        outcome = await world.look_up(program, index, f"b{index}", "entry-1")
        _say(story, f"call {index}, a lookup", outcome)


async def _configuration(world: World, story: list[str]) -> None:
    text = "[account]\ntemplate = standard\npriority = 9\n"
    await world.configure("account", "desk", text)
    feeds = {name: item.host.parts.feed for name, item in world.hosts_by_name.items()}
    newest = max(feed.revision for feed in feeds.values())
    _say(story, f"an edit is accepted as revision {newest}")
    for _ in range(8):
        await asyncio.sleep(0.5)
        shown = ", ".join(f"{name} {feed.revision}" for name, feed in sorted(feeds.items()))
        _say(story, f"applied: {shown}")


LESSONS_BY_NAME = {
    "takeover": Lesson("An owner dies, and a survivor adopts its programs.", _takeover),
    "planned-stop": Lesson("A host is stopped as planned, and no call is cut.", _stop),
    "at-most-once": Lesson("A service acts and dies; the call is never run again.", _once),
    "budget": Lesson("Three hosts share a budget that is too small.", _budget),
    "store-outage": Lesson("The platform's store goes away and comes back.", _store),
    "endpoints": Lesson(
        "An engine leaves; a service's endpoint fails and is ejected.",
        _endpoints,
        (Mechanism.QUEUE, Mechanism.ENDPOINT),
    ),
    "configuration": Lesson("A change of configuration reaches every host.", _configuration),
}
