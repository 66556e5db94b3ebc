"""First start of a whole site: only seed hosts read the store, and the others learn from them."""

import asyncio
from pathlib import Path

import pytest

from tests.lib.platform_site import PlatformSite

pytestmark = pytest.mark.functional

SEEDS = 2


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
