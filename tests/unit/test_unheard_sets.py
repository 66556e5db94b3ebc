"""A disk changes only a set that it has heard of, and that has settled.

Four disks, the set has settled. A reservation stands on two of them. One of these leaves; the other
one leaves before it has heard so, and changes the set that stands in the store. The two that stay
have read the reservation nowhere, so the budget is granted twice. Found by drawn orders of events
on a model of the rules, which looked at every quorum that would answer.
"""

import asyncio
from pathlib import Path

import attrs

from bayhinge._internal.network.frames import encode_message
from bayhinge._internal.services.disk_sets import DISK_SET_KEY, read_disk_set
from bayhinge._internal.services.disks.disk_host import DiskHost
from bayhinge._internal.services.disks.disk_retirement import DiskRetirement
from bayhinge._internal.wire.hosts import ttypes as wire
from bayhinge_standins.object_store import MemoryObjects, MemoryObjectStore
from tests.unit.test_left_behind_disks import SETTINGS
from tests.unit.test_set_fence import OTHERS


def test_a_disk_does_not_leave_a_set_of_which_it_has_not_heard(tmp_path: Path) -> None:
    """Two disks that leave at once: what both took would be known to nobody who stays."""

    async def main() -> None:
        store = MemoryObjectStore(MemoryObjects())
        host = DiskHost(attrs.evolve(SETTINGS, data_folder=str(tmp_path)), store)
        host.gossip.say_now = lambda: None  # type: ignore[method-assign]
        members = [host.me, *OTHERS]
        host.take_disk_set(wire.DiskSet(1, members, []))
        host.fence.note_read(OTHERS[0], 1, True)
        host.fence.note_read(OTHERS[1], 1, True)
        host.fence.note_read(OTHERS[2], 1, True)
        assert host.fence.has_settled
        # Another one has left just now.
        changed = wire.DiskSet(2, members[:-1], members)
        await store.create(DISK_SET_KEY, encode_message(changed))
        try:
            async with asyncio.timeout(0.3):
                await DiskRetirement(host, store)._leave_set(0.0)
        except TimeoutError:
            pass
        stored = await read_disk_set(store)
        assert stored is not None
        assert stored.version == 2, "nobody has caught up with version 2"

    asyncio.run(main())
