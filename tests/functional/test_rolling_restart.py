"""Eight hosts are stopped and replaced one by one under load, with callers that cache addresses."""

import asyncio
import random

from bayhinge._internal.bench.world.virtual_time import run_virtual
from bayhinge._internal.bench.world.world import Outcome, World

HOSTS = 8
PROGRAMS = 16
PAUSE_S = 1.5


class Callers:
    """Agents that cache the list of addresses, as callers do."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.addresses = sorted(world.hosts_by_name)
        self.outcomes: list[Outcome] = []
        self.is_finished = False

    async def refresh(self) -> None:
        while not self.is_finished:
            await asyncio.sleep(self.world.membership.address_keep_seconds * 0.9)
            answer = await self.world.any_host().service.addresses(None)
            host_by_address = {f"http://{name}:8100": name for name in self.world.hosts_by_name}
            self.addresses = [
                host_by_address[item] for item in answer.addresses if item in host_by_address
            ]

    async def run_program(self, number: int) -> None:
        source = random.Random(number)
        program = await self.world.open("desk", source.choice(self.addresses))
        index = 0
        while not self.is_finished:
            at = source.choice(self.addresses)
            if source.random() < 0.3:
                outcome = await self.world.call_unrepeatable(
                    program, index, f"{number}-{index}", at
                )
            else:
                outcome = await self.world.call_model(program, index, f"{number}/{index}", at)
            self.outcomes.append(outcome)
            index += 1
            await asyncio.sleep(source.random() * PAUSE_S)


async def replace_every_host(world: World) -> None:
    for number in range(HOSTS):
        await world.add_host(f"entry-{HOSTS + number + 1}")
        await asyncio.sleep(2.0)
        await world.stop(f"entry-{number + 1}")


def test_no_call_is_cut_refused_or_run_twice_while_every_host_is_replaced() -> None:
    async def scenario() -> tuple[list[Outcome], list[str]]:
        world = World(seed=5)
        await world.start(HOSTS, engines=4)
        await world.create_account("desk", 100_000_000, "patience_seconds = 60\n")
        callers = Callers(world)
        refreshing = asyncio.create_task(callers.refresh())
        running = [asyncio.create_task(callers.run_program(item)) for item in range(PROGRAMS)]
        await replace_every_host(world)
        callers.is_finished = True
        await asyncio.gather(*running, refreshing)
        broken = world.find_violations()
        await world.close()
        return callers.outcomes, broken

    outcomes, broken = run_virtual(scenario())
    assert broken == []
    assert len(outcomes) > 300
    assert [item for item in outcomes if not item.is_answer] == []
