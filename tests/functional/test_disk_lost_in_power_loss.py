"""A disk is lost at the moment at which all other hosts lose power."""

import asyncio
from pathlib import Path

import pytest

from tests.lib.platform_site import PlatformSite, Reply, run_site

pytestmark = pytest.mark.functional


async def lose_power(site: PlatformSite, lost_disk: str, *, is_store_silent: bool = False) -> None:
    """All hosts lose power at once; all return, one of them with an empty disk."""
    entries, disks = list(site.entry_by_name), list(site.disk_by_name)
    for name in entries:
        await site.crash_entry(name)
    for name in disks:
        await site.stop_disk(name)
    if is_store_silent:
        site.store.stop_answering()
    for name in disks:
        is_lost = name == lost_disk
        await site.start_disk(name, first_start=False, generation=int(is_lost))
    for name in entries:
        await site.start_entry(name)


async def until_served(site: PlatformSite, previous: Reply, at: str) -> Reply:
    """Repeats a turn while it is told to come back."""
    for _ in range(80):
        reply = await site.turn(b"next", previous, at=at)
        if reply.status != 503:
            return reply
        await asyncio.sleep(0.1)
    return reply


@pytest.mark.parametrize("lost_disk", ["disk-0", "disk-1", "disk-2"])
def test_turns_survive_a_disk_that_is_lost_while_all_others_lose_power(
    tmp_path: Path, lost_disk: str
) -> None:
    async def scenario(site: PlatformSite) -> None:
        first = await site.turn(b"hello")
        second = await site.turn(b"again", first, at="entry-1")
        assert second.status == 200
        await lose_power(site, lost_disk)
        third = await until_served(site, second, at="entry-1")
        assert third.status == 200, third.body
        runs = [run for engine in site.engines for run in engine.runs]
        last = next(run for run in runs if run.attempt == third.attempt)
        assert last.body == b"hello" + first.said + b"again" + second.said + b"next"

    run_site(tmp_path, scenario)


def test_a_budget_holds_over_a_lost_disk_and_a_loss_of_power_of_all_others(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        first = await site.turn(b"hello", budget=36, most=30)
        assert first.status == 200
        await lose_power(site, "disk-1")
        statuses = []
        for _ in range(30):
            reply = await site.turn(b"next", first, budget=36, most=30)
            statuses.append(reply.status)
            if reply.status != 503:
                break
            await asyncio.sleep(0.1)
        assert statuses[-1] == 402, statuses

    run_site(tmp_path, scenario)


def test_a_turn_is_not_denied_while_the_store_is_silent_after_such_a_loss(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        first = await site.turn(b"hello")
        await lose_power(site, "disk-2", is_store_silent=True)
        for _ in range(10):
            reply = await site.turn(b"next", first)
            assert reply.status in {200, 503}, reply.body
            await asyncio.sleep(0.1)
        site.store.resume_answering()
        assert (await until_served(site, first, at="entry-0")).status == 200

    run_site(tmp_path, scenario)
