"""Messages between hosts stay short, however much is stored, and turns are as long as is legal."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from bayhinge._internal.bench.world.virtual_time import run_virtual
from bayhinge._internal.services import methods
from tests.lib.disk_site import DiskSite

LONGEST_BODY_BYTES = 4 * 2**20
"""What the operator's example allows."""

STORED_BYTES = 20_000_000
"""More than one message may have."""

USUAL_MESSAGE_BYTES = 1_000_000
OVERHEAD_BYTES = 20_000
TEXT_BYTES = [1_000, 24_000, 600_000, LONGEST_BODY_BYTES]

Play = Callable[[DiskSite], Awaitable[None]]


@pytest.fixture
def play(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Callable[[Play, int], None]:
    """Plays on a site of three disks of which one may be lost."""

    def play_on_site(scenario: Play, text_bytes: int) -> None:
        async def main() -> None:
            monkeypatch.setattr(time, "monotonic", asyncio.get_running_loop().time)
            site = DiskSite(tmp_path, disks=3, tolerated=1)
            try:
                await site.start()
                await scenario(site)
            finally:
                await site.stop()
            longest = max(USUAL_MESSAGE_BYTES, text_bytes) + OVERHEAD_BYTES
            for method, length in site.longest_bytes_by_method.items():
                assert length <= longest, method

        run_virtual(main())

    return play_on_site


async def store_turns(site: DiskSite, text_bytes: int) -> list[str]:
    """Stores turns of one chain; returns their attempts."""
    attempts: list[str] = []
    for number in range(min(400, STORED_BYTES // text_bytes)):
        text = b"%08d" % number + bytes(text_bytes - 8)
        turn = await site.turn(f"p{number}", None, text=text)
        attempts.append(turn.attempt)
    return attempts


@pytest.mark.parametrize("text_bytes", TEXT_BYTES)
def test_a_lost_disk_copies_what_is_stored_in_short_messages(
    play: Callable[[Play, int], None], text_bytes: int
) -> None:
    """Guards against a disk that never joins again, as one answer held all long turns."""

    async def scenario(site: DiskSite) -> None:
        attempts = await store_turns(site, text_bytes)
        lost, *_ = site.machine_by_name.values()
        await site.wipe(lost)
        await asyncio.sleep(1.0)
        await site.until_settled()
        assert lost.host is not None
        assert all(lost.host.turns.has(f"3{attempt}") for attempt in attempts)

    play(scenario, text_bytes)


@pytest.mark.parametrize("text_bytes", TEXT_BYTES)
def test_a_retiring_disk_hands_over_in_short_messages(
    play: Callable[[Play, int], None], text_bytes: int
) -> None:
    """Guards against a hand-over that fails for good where long turns are kept."""

    async def scenario(site: DiskSite) -> None:
        site.add()
        await site.until_settled()
        attempts = await store_turns(site, text_bytes)
        leaving, *others = site.machine_by_name.values()
        site.longest_bytes_by_method.clear()
        async with asyncio.timeout(60):
            await site.retire(leaving)
        await site.until_settled()
        assert methods.APPEND in site.longest_bytes_by_method, "nothing was handed over"
        for machine in others:
            assert machine.host is not None
            assert all(machine.host.turns.has(f"3{attempt}") for attempt in attempts)

    play(scenario, text_bytes)


@pytest.mark.parametrize("text_bytes", TEXT_BYTES)
def test_a_long_chain_is_read_in_short_messages(
    play: Callable[[Play, int], None], text_bytes: int
) -> None:
    """Guards against an answer that holds a whole chain, however long."""

    async def scenario(site: DiskSite) -> None:
        previous: str | None = None
        texts: list[bytes] = []
        for number in range(min(40, STORED_BYTES // text_bytes)):
            texts.append(b"%08d" % number + bytes(text_bytes - 8))
            turn = await site.turn("program", previous, text=texts[-1])
            assert turn.history == b"".join(texts[:-1])
            previous = turn.attempt

    play(scenario, text_bytes)
