"""Concurrent changes of the disk set."""

import asyncio
from collections.abc import AsyncIterator
from functools import partial

from bayhinge._internal.bench.world.virtual_time import run_virtual
from bayhinge._internal.decisions.disk_set_rules import with_member_added
from bayhinge._internal.services.disk_sets import change_disk_set, read_disk_set
from bayhinge._internal.wire.hosts.ttypes import DiskMember
from bayhinge.coordination.errors import AlreadyExistsError, VersionConflictError
from bayhinge.coordination.store import Change, Listing, ObjectStore, StoredObject

CALL_S = 0.004


class SlowStore(ObjectStore):
    """A store of one object, with the latency of the platform's store."""

    def __init__(self) -> None:
        self.calls = 0
        self.stored: StoredObject | None = None

    async def _pass_time(self) -> None:
        self.calls += 1
        await asyncio.sleep(CALL_S)

    async def get(self, key: str) -> StoredObject | None:
        await self._pass_time()
        return self.stored

    async def create(self, key: str, value: bytes) -> StoredObject:
        await self._pass_time()
        if self.stored is not None:
            raise AlreadyExistsError(key)
        self.stored = StoredObject(key, value, 1)
        return self.stored

    async def update(self, key: str, value: bytes, version: int) -> StoredObject:
        await self._pass_time()
        if self.stored is None or self.stored.version != version:
            raise VersionConflictError(key, version)
        self.stored = StoredObject(key, value, version + 1)
        return self.stored

    async def delete(self, key: str, version: int) -> None:
        raise NotImplementedError

    async def list(self, prefix: str, after: str = "", limit: int = 500) -> Listing:
        raise NotImplementedError

    def watch(self, prefix: str, after_revision: int) -> AsyncIterator[Change]:
        raise NotImplementedError


def test_many_disks_that_join_at_once_need_few_retries() -> None:
    disk_count = 24

    async def scenario() -> tuple[int, int, float]:
        store = SlowStore()
        members = [
            DiskMember(f"disk-{number}", number, f"10.0.0.{number}:1", "north")
            for number in range(disk_count)
        ]
        began_s = asyncio.get_running_loop().time()
        await asyncio.gather(
            *(
                change_disk_set(store, partial(with_member_added, new_member=member))
                for member in members
            )
        )
        took_s = asyncio.get_running_loop().time() - began_s
        disk_set = await read_disk_set(store)
        return len(disk_set.members) if disk_set else 0, store.calls, took_s

    member_count, calls, took_s = run_virtual(scenario())
    assert member_count == disk_count
    # Immediate retries would take 600 calls.
    assert calls <= 250
    assert took_s <= 5.0
