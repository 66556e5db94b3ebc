"""How hosts find each other through the store where no seed tells them of any."""

import asyncio
from collections.abc import Iterable
from pathlib import Path
from typing import cast

import attrs

from bayhinge._internal.bench.world.virtual_time import run_virtual
from bayhinge._internal.platform.settings_file import read_settings
from bayhinge._internal.services.gossip import Gossip
from bayhinge._internal.services.host_registry import HostRegistry
from bayhinge_standins.faults import StoreFaults
from bayhinge_standins.object_store import MemoryObjects, MemoryObjectStore, Operation
from tests.lib.platform_data import settings_text


@attrs.define
class Told:
    """Stands for gossip; it sees every host that was added."""

    addresses: list[str] = attrs.field(factory=list)

    def knows_others(self) -> bool:
        return bool(self.addresses)

    def add_addresses(self, addresses: Iterable[str]) -> None:
        self.addresses += [one for one in addresses if one != "10.1.0.38:7380"]


def registry(tmp_path: Path, objects: MemoryObjects, faults: StoreFaults) -> HostRegistry:
    path = tmp_path / "local.toml"
    path.write_text(settings_text("edge-1", "10.1.0.38", seeds='["10.1.0.38:8144"]'))
    return HostRegistry(MemoryObjectStore(objects, faults), read_settings(path).ok)


def test_a_host_that_found_nobody_asks_again_and_ever_more_seldom(tmp_path: Path) -> None:
    async def scenario() -> None:
        objects, told = MemoryObjects(), Told()
        announcing = asyncio.create_task(
            registry(tmp_path, objects, StoreFaults()).announce(cast(Gossip, told), lambda: True)
        )
        await asyncio.sleep(300.0)
        assert list(objects.objects_by_key) == ["hosts/edge-1"]
        assert 5 <= objects.calls[Operation.LIST] <= 20
        assert objects.calls[Operation.CREATE] == 1
        await objects.put("hosts/edge-2", b"10.1.0.39:7380", None)
        await asyncio.sleep(35.0)
        assert told.addresses == ["10.1.0.39:7380"]
        await asyncio.sleep(1.0)
        assert announcing.done()

    run_virtual(scenario())


def test_two_hosts_that_start_at_one_moment_find_each_other_soon(tmp_path: Path) -> None:
    async def scenario() -> None:
        objects, told = MemoryObjects(), Told()
        announcing = asyncio.create_task(
            registry(tmp_path, objects, StoreFaults()).announce(cast(Gossip, told), lambda: True)
        )
        # The other one writes its address right behind this one's first list.
        await asyncio.sleep(1.0)
        await objects.put("hosts/edge-2", b"10.1.0.39:7380", None)
        await asyncio.sleep(2.0)
        assert told.addresses == ["10.1.0.39:7380"]
        announcing.cancel()

    run_virtual(scenario())
