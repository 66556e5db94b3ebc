"""First start of a whole site: only seed hosts read the store, and the others learn from them."""

import asyncio
import random
from pathlib import Path

import pytest

from tests.lib.platform_data import CONFIGURATION
from tests.lib.platform_site import PlatformSite

pytestmark = pytest.mark.functional

SEEDS = 2

RECOVERY_S = 12.0


def members_known(site: PlatformSite) -> list[frozenset[int]]:
    """Returns the generations of the members of the set that each disk knows."""
    return [
        frozenset(member.generation for member in disk._disk.disk_set.members)
        for disk in site.disk_by_name.values()
    ]


def test_entry_hosts_that_start_before_the_disks_do_not_all_read_the_disk_set(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        site = PlatformSite(tmp_path, entries=8)
        try:
            await site.store.start()
            for number in range(8):
                await site.start_entry(f"entry-{number}", first_start=True)
            await asyncio.sleep(0.6)
            reads = [call for call in site.store.calls if "disk-sets" in call]
            assert len(reads) <= 2 * SEEDS, reads
            for number in range(3):
                await site.start_disk(f"disk-{number}")
            await site.until(
                lambda: all(
                    len(entry._gateway.disks.disk_set.members) == 3
                    for entry in site.entry_by_name.values()
                ),
                limit_s=2.0,
            )
        finally:
            await site.stop()

    asyncio.run(main())


@pytest.mark.parametrize(
    "restarted",
    [
        ("disk-0",),
        ("disk-0", "disk-1"),
        ("disk-0", "disk-1", "disk-2"),
        ("disk-0", "disk-1", "disk-2", "disk-2", "disk-1", "disk-0"),
    ],
)
def test_disks_that_restart_before_the_first_set_is_in_the_store_make_it(
    tmp_path: Path, restarted: tuple[str, ...]
) -> None:
    """Guards against a site that never serves, as no disk counts as new after its restart."""

    async def main() -> None:
        site = PlatformSite(tmp_path, entries=2)
        try:
            await site.store.start()
            site.store.faults.down = True
            for number in range(3):
                await site.start_disk(f"disk-{number}")
            await asyncio.sleep(0.3)
            for name in restarted:
                await site.stop_disk(name)
                await site.start_disk(name, first_start=False)
            site.store.faults.down = False
            site.store.put("config", "main", CONFIGURATION)
            await site.start_entry("entry-0", first_start=True)
            await site.until(lambda: site.is_ready("entry-0"), limit_s=RECOVERY_S)
            await site.until(
                lambda: all(len(members) == 3 for members in members_known(site)), RECOVERY_S
            )
            assert len(set(members_known(site))) == 1
        finally:
            await site.stop()

    asyncio.run(main())


@pytest.mark.parametrize("seed", range(3))
def test_restarts_at_any_moment_of_the_first_start_lead_to_one_set(
    tmp_path: Path, seed: int
) -> None:
    """Guards against no set, and against two, after restarts beside outages of the store."""

    async def main() -> None:
        drawn = random.Random(seed)
        site = PlatformSite(tmp_path, entries=2)

        async def restart_often(name: str) -> None:
            await asyncio.sleep(drawn.uniform(0.0, 0.2))
            await site.start_disk(name)
            for _ in range(drawn.randint(1, 3)):
                await asyncio.sleep(drawn.uniform(0.0, 0.7))
                await site.stop_disk(name)
                await site.start_disk(name, first_start=False)

        try:
            await site.store.start()
            site.store.put("config", "main", CONFIGURATION)
            site.store.faults.down = drawn.random() < 0.5
            restarts = asyncio.gather(*(restart_often(f"disk-{number}") for number in range(3)))
            for _ in range(4):
                await asyncio.sleep(drawn.uniform(0.1, 0.5))
                site.store.faults.down = not site.store.faults.down
            await restarts
            site.store.faults.down = False
            await site.until(
                lambda: all(len(members) == 3 for members in members_known(site)), RECOVERY_S
            )
            assert len(set(members_known(site))) == 1
            await site.start_entry("entry-0", first_start=True)
            await site.until(lambda: site.is_ready("entry-0"), RECOVERY_S)
        finally:
            await site.stop()

    asyncio.run(main())


def test_a_disk_that_has_joined_makes_no_new_set_where_the_store_has_none(tmp_path: Path) -> None:
    """Guards against a second first set, without the turns of the former one."""

    async def main() -> None:
        site = PlatformSite(tmp_path, entries=2)
        try:
            await site.store.start()
            for number in range(3):
                await site.start_disk(f"disk-{number}")
            await site.until(lambda: all(len(members) == 3 for members in members_known(site)))
            for number in range(3):
                await site.stop_disk(f"disk-{number}")
            site.store.remove("disk-sets", "main")
            for number in range(3):
                await site.start_disk(f"disk-{number}", first_start=False)
            await asyncio.sleep(2.0)
            assert ("disk-sets", "main") not in site.store._objects
        finally:
            await site.stop()

    asyncio.run(main())
