"""A kept turn is there, with its chain, for as long as a turn that goes on from it needs it."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from bayhinge._internal.bench.world.virtual_time import run_virtual
from bayhinge._internal.services.disks import turn_log
from tests.lib.disk_site import RETENTION_S, DiskSite, text_of

AFTER_EXPIRY_S = 100.0
"""Longer than a disk keeps a program that nobody uses."""

Play = Callable[[DiskSite], Awaitable[None]]


@pytest.fixture
def play(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Callable[[Play, int], None]:
    """Plays on a site that tolerates one lost disk, with segments of a few turns each."""
    monkeypatch.setattr(turn_log, "SEGMENT_BYTES", 150)

    def play_on_site(scenario: Play, disks: int) -> None:
        async def main() -> None:
            loop = asyncio.get_running_loop()
            monkeypatch.setattr(time, "monotonic", loop.time)
            site = DiskSite(tmp_path, disks, tolerated=1)
            try:
                await site.start()
                await scenario(site)
            finally:
                await site.stop()

        run_virtual(main())

    return play_on_site


async def fill_segments(site: DiskSite) -> None:
    """Closes the segments of all disks, which are removed as a whole."""
    for number in range(20):
        await site.turn(f"other-{number}", None)


def holders_of(site: DiskSite, attempt: str) -> set[str]:
    """Returns the hosts that have a turn and what it goes on from."""
    return {
        host.settings.host for host in site.hosts() if host.turns.chain(attempt).missing is None
    }


def test_a_chain_over_two_programs_is_kept_for_the_later_one(
    play: Callable[[Play, int], None],
) -> None:
    """Guards against 503 for a turn whose chain begins in a program with other disks."""

    async def scenario(site: DiskSite) -> None:
        first, second = site.programs_apart(2)
        one = await site.turn(first, None)
        await fill_segments(site)
        await asyncio.sleep(RETENTION_S - 5.0)
        two = await site.turn(second, one.attempt)
        for _ in range(5):
            await asyncio.sleep(10.0)
            assert await site.history(two.attempt) == text_of(one.attempt) + text_of(two.attempt)

    play(scenario, 8)


def test_the_beginning_of_a_chain_is_kept_on_more_disks_than_may_be_lost(
    play: Callable[[Play, int], None],
) -> None:
    """Guards against a chain that is left only on the disks that two programs share."""

    async def scenario(site: DiskSite) -> None:
        first, second = site.programs_apart(2)
        one = await site.turn(first, None)
        await fill_segments(site)
        await asyncio.sleep(RETENTION_S - 5.0)
        await site.turn(second, one.attempt)
        await asyncio.sleep(RETENTION_S - 10.0)
        assert holders_of(site, one.attempt) == site.replica_names(first)

    play(scenario, 8)


def test_a_chain_over_many_programs_is_kept_to_its_beginning(
    play: Callable[[Play, int], None],
) -> None:
    """Guards against keeping only the program just before."""

    async def scenario(site: DiskSite) -> None:
        programs = site.programs_apart(4) * 3
        attempts: list[str] = []
        for number, program in enumerate(programs):
            # Another program on the same disks, as the programs of a chain all differ.
            name = site.program_on_same_disks(program, number)
            turn = await site.turn(name, attempts[-1] if attempts else None)
            attempts.append(turn.attempt)
            await fill_segments(site)
            await asyncio.sleep(RETENTION_S - 12.0)
        assert await site.history(attempts[-1]) == b"".join(map(text_of, attempts))

    play(scenario, 12)


@pytest.mark.parametrize("is_same_program", [True, False])
def test_a_chain_is_kept_while_a_long_turn_goes_on_from_it(
    play: Callable[[Play, int], None], is_same_program: bool
) -> None:
    """Guards against 503 after a turn that ran for longer than the margin of its retention."""

    async def scenario(site: DiskSite) -> None:
        first, second = site.programs_apart(2)
        one = await site.turn(first, None)
        await fill_segments(site)
        await asyncio.sleep(RETENTION_S - 5.0)
        program = first if is_same_program else second
        two = await site.turn(program, one.attempt, run_s=200.0)
        await asyncio.sleep(RETENTION_S - 5.0)
        assert await site.history(two.attempt) == text_of(one.attempt) + text_of(two.attempt)

    play(scenario, 8)


@pytest.mark.parametrize("is_cut", [True, False])
def test_a_disk_that_was_away_keeps_what_others_need(
    play: Callable[[Play, int], None], is_cut: bool
) -> None:
    """Guards against a disk that stood still or was cut off and removes what was used meanwhile."""

    async def scenario(site: DiskSite) -> None:
        one = await site.turn("earlier", None)
        await fill_segments(site)
        away = site.machine_by_name["disk-0"]
        away.is_cut = is_cut
        if not is_cut:
            away.runs.clear()
        await asyncio.sleep(RETENTION_S - 10.0)
        await site.turn("later", one.attempt)
        await asyncio.sleep(RETENTION_S - 10.0)
        away.is_cut = False
        away.runs.set()
        await asyncio.sleep(8.0)
        assert holders_of(site, one.attempt) == set(site.machine_by_name)

    play(scenario, 3)


def test_a_restarted_disk_is_read_on(play: Callable[[Play, int], None]) -> None:
    """Guards against a position in another disk's log that its restart has made too large."""

    async def scenario(site: DiskSite) -> None:
        await fill_segments(site)
        await asyncio.sleep(AFTER_EXPIRY_S)
        assert any(host.turns.first_position for host in site.hosts())
        reader, *sources = site.machine_by_name.values()
        await site.restart(*sources)
        await asyncio.sleep(5.0)
        reader.runs.clear()
        turn = await site.turn("written-meanwhile", None)
        await asyncio.sleep(2.0)
        reader.runs.set()
        await asyncio.sleep(5.0)
        assert holders_of(site, turn.attempt) == set(site.machine_by_name)

    play(scenario, 3)


def test_what_nobody_needs_any_more_is_removed(play: Callable[[Play, int], None]) -> None:
    """Guards against a mend that keeps everything."""

    async def scenario(site: DiskSite) -> None:
        first, second = site.programs_apart(2)
        one = await site.turn(first, None)
        await site.turn(second, one.attempt)
        await fill_segments(site)
        await asyncio.sleep(AFTER_EXPIRY_S)
        await fill_segments(site)
        await asyncio.sleep(AFTER_EXPIRY_S)
        assert all(host.turns.chain(one.attempt).missing for host in site.hosts())

    play(scenario, 8)
