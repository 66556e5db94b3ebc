"""A call of the own interface ends three endpoints at most, also if its owner changes."""

from collections.abc import Awaitable, Callable

import pytest

from bayhinge._internal.bench.world.virtual_time import run_virtual
from bayhinge._internal.bench.world.world import Outcome, World
from bayhinge._internal.models.refusals import RefusalCode, RunState

pytestmark = pytest.mark.functional

MAX_ENDED = 3
ENGINES = 12
PATIENCE_S = 3.0
TAKEOVER_S = 30.0


async def _kill(world: World) -> None:
    await world.kill("entry-1")


async def _stop(world: World) -> None:
    await world.stop("entry-1")


async def _two_calls(world: World, change_owner: Callable[[World], Awaitable[None]]) -> Outcome:
    """Makes a call at one owner and, after a change of the owner, again at another host."""
    await world.create_account("desk", 1_000_000)
    program = await world.open("desk", "entry-1")
    for number in range(ENGINES):
        world.faults_of(f"engine-{number + 1}").ends = True
    await world.call_model(program, 0, "fatal", "entry-1", patience_s=PATIENCE_S)
    faults_by_endpoint = world.endpoints.faults_by_endpoint
    world.endpoints.listed = [
        each for each in world.endpoints.listed if not faults_by_endpoint[each.name].down
    ]
    await change_owner(world)
    return await world.call_model(program, 0, "fatal", "entry-2", patience_s=TAKEOVER_S)


@pytest.mark.parametrize("change_owner", [_kill, _stop])
def test_a_successor_knows_the_endpoints_that_ended_under_a_call(
    change_owner: Callable[[World], Awaitable[None]],
) -> None:
    """Guards against a takeover that counts from 0, so that a call ends six endpoints."""

    async def scenario() -> None:
        world = World(7)
        await world.start(3, ENGINES)
        outcome = await _two_calls(world, change_owner)
        assert len(world.endpoints.records.engine_requests) == MAX_ENDED
        assert outcome.refusal is not None
        assert outcome.refusal.code is RefusalCode.ENDS_ENDPOINTS
        assert outcome.refusal.run_state is RunState.MAY_HAVE_RUN
        await world.close()

    run_virtual(scenario())


def test_another_call_after_a_takeover_is_served() -> None:
    """Guards against ends that outlive their call in the journal."""

    async def scenario() -> None:
        world = World(8)
        await world.start(3, ENGINES)
        await _two_calls(world, _kill)
        for number in range(ENGINES):
            faults = world.faults_of(f"engine-{number + 1}")
            faults.ends = faults.down = False
        program = next(iter(world.turns_by_program))
        outcome = await world.call_model(program, 0, "harmless", "entry-2", patience_s=TAKEOVER_S)
        assert outcome.is_answer
        await world.close()

    run_virtual(scenario())
