"""Guards against granting a budget twice after a disk changed an unknown or unsettled set."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from pathlib import Path

import attrs
import pytest

from bayhinge._internal.decisions.disk_set_rules import DROP_AFTER_S
from bayhinge._internal.network.frames import encode_message
from bayhinge._internal.services.disk_sets import DISK_SET_KEY, read_disk_set
from bayhinge._internal.services.disks.disk_host import DiskHost
from bayhinge._internal.services.disks.disk_retirement import DiskRetirement
from bayhinge._internal.wire.hosts import ttypes as wire
from bayhinge.coordination.store import ObjectStore
from bayhinge_standins.object_store import MemoryObjects, MemoryObjectStore
from tests.unit.test_failed_attempts_disks import SETTINGS
from tests.unit.test_set_fence import OTHERS


async def leave(host: DiskHost, store: ObjectStore) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(0.3):
            await DiskRetirement(host, store)._leave_set(0.0)


async def join(host: DiskHost, store: ObjectStore) -> None:
    host._read_hosts = {member.host for member in OTHERS}
    await host._join_if_copied()


async def drop_one(host: DiskHost, store: ObjectStore) -> None:
    host._silent_since_by_host = {
        OTHERS[0].host: asyncio.get_running_loop().time() - 2 * DROP_AFTER_S
    }
    await host._drop_silent()


async def set_after(
    folder: Path,
    change: Callable[[DiskHost, ObjectStore], Awaitable[None]],
    is_member: bool,
    is_known: bool,
) -> tuple[wire.DiskSet, DiskHost]:
    """Changes a settled set after another disk's change that this disk has seen or not."""
    store = MemoryObjectStore(MemoryObjects())
    host = DiskHost(attrs.evolve(SETTINGS, data_folder=str(folder)), store)
    host.gossip.send_now = lambda: None  # type: ignore[method-assign]
    members = [host.me, *OTHERS] if is_member else [*OTHERS]
    changed = wire.DiskSet(
        2, [*members, wire.DiskMember("disk-9", 99, "10.0.0.9:1", "east")], members
    )
    await store.create(DISK_SET_KEY, encode_message(changed))
    known = changed if is_known else wire.DiskSet(1, members, [])
    host.apply_disk_set(known)
    for member in known.members:
        if member.host != host.me.host:
            host.fence.record_read(member, known.version, True)
    assert host.fence.has_settled
    await change(host, store)
    stored = await read_disk_set(store)
    assert stored is not None
    return stored, host


CHANGES = [(leave, True), (join, False), (drop_one, True)]


@pytest.mark.parametrize(("change", "is_member"), CHANGES)
def test_a_disk_does_not_change_a_set_that_it_does_not_know(
    tmp_path: Path,
    change: Callable[[DiskHost, ObjectStore], Awaitable[None]],
    is_member: bool,
) -> None:
    """It applies the newer set, and waits until that has settled as well."""
    stored, host = asyncio.run(set_after(tmp_path, change, is_member, is_known=False))
    assert stored.version == 2, "nobody has caught up with version 2"
    assert host.disk_set.version == 2
    assert host._is_member() == is_member


@pytest.mark.parametrize(("change", "is_member"), CHANGES)
def test_a_disk_changes_a_set_that_it_knows_to_have_settled(
    tmp_path: Path,
    change: Callable[[DiskHost, ObjectStore], Awaitable[None]],
    is_member: bool,
) -> None:
    stored, host = asyncio.run(set_after(tmp_path, change, is_member, is_known=True))
    assert stored.version == 3
    assert host.disk_set.version == 3
