"""Guards against a retiring disk that leaves while turns, which need two disks, depend on it."""

import asyncio
from pathlib import Path

import pytest

from tests.lib.platform_site import PlatformSite, run_site

pytestmark = pytest.mark.functional

IN_PROGRESS = {"state": "in_progress"}
COMPLETED = {"state": "completed"}


def test_a_retiring_disk_that_turns_need_stays_until_another_has_joined(
    tmp_path: Path,
) -> None:
    async def scenario(site: PlatformSite) -> None:
        first = await site.turn(b"one ")
        site.retire("disk-1")
        await site.until(lambda: site.store.status("retirements", "disk-1") == COMPLETED)
        await site.stop_disk("disk-1")
        site.retire("disk-2")
        await site.until(lambda: site.store.status("retirements", "disk-2") == IN_PROGRESS)
        await asyncio.sleep(1.0)
        second = await asyncio.wait_for(site.turn(b"two ", first), 3.0)
        assert (second.status, second.is_whole) == (200, True)
        assert site.store.status("retirements", "disk-2") == IN_PROGRESS
        await site.start_disk("disk-3", first_start=False)
        await site.until(lambda: site.store.status("retirements", "disk-2") == COMPLETED)
        await site.stop_disk("disk-2")
        third = await asyncio.wait_for(site.turn(b"three ", second), 3.0)
        assert (third.status, third.is_whole) == (200, True)

    run_site(tmp_path, scenario)


def test_of_two_disks_retired_together_one_stays(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        first = await site.turn(b"one ")
        for name in ("disk-1", "disk-2"):
            site.retire(name)

        def statuses() -> list[object]:
            return [site.store.status("retirements", name) for name in ("disk-1", "disk-2")]

        await site.until(lambda: COMPLETED in statuses())
        await asyncio.sleep(1.5)
        assert sorted(map(str, statuses())) == [str(COMPLETED), str(IN_PROGRESS)]
        second = await asyncio.wait_for(site.turn(b"two ", first), 3.0)
        assert (second.status, second.is_whole) == (200, True)

    run_site(tmp_path, scenario)


def test_a_retiring_disk_serves_while_another_one_is_lost(tmp_path: Path) -> None:
    """Guards against a disk that leaves at once although its retirement allows five seconds."""

    async def scenario(site: PlatformSite) -> None:
        first = await site.turn(b"one ")
        site.retire("disk-1")
        await site.until(lambda: site.store.status("retirements", "disk-1") == IN_PROGRESS)
        await asyncio.sleep(0.5)
        await site.stop_disk("disk-2")
        second = await asyncio.wait_for(site.turn(b"two ", first), 3.0)
        assert (second.status, second.is_whole) == (200, True)
        fresh = await site.start_disk("disk-2", first_start=False, generation=1)
        await site.until(lambda: site.store.status("retirements", "disk-1") == COMPLETED)
        assert fresh._disk.turns.chain(second.attempt).missing is None
        await site.stop_disk("disk-1")
        third = await asyncio.wait_for(site.turn(b"three ", second), 3.0)
        assert (third.status, third.is_whole) == (200, True)

    run_site(tmp_path, scenario)
