"""The set of disks that count, as one object of the store that changes by condition alone."""

import asyncio
import random
from collections.abc import Callable

import eliot

from bayhinge._internal.exceptions import FrameError
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.utils.checked_fields import SHOWN, is_ipv4_with_port
from bayhinge._internal.wire.hosts.ttypes import DiskMember, DiskSet
from bayhinge.coordination.errors import (
    AlreadyExistsError,
    StoreRateLimitedError,
    StoreUnavailableError,
    VersionConflictError,
)
from bayhinge.coordination.store import ObjectStore

DISK_SET_KEY = "disk-sets/main"

RETRY_S = 0.4
"""Pause after the store refused or was silent."""

FIRST_BACKOFF_S = 0.05
LONGEST_BACKOFF_S = 1.0
"""A change that met another one comes again after a random part of this, doubled each time: disks
that start together otherwise meet as often as there are pairs of them."""

Change = Callable[[list[DiskMember]], list[DiskMember] | None]


async def read_disk_set(store: ObjectStore) -> DiskSet | None:
    """Returns the newest set, or None where there is none yet.

    Raises:
        StoreError: the store gave none that can be read.
    """
    stored = await store.get(DISK_SET_KEY)
    return None if stored is None else _decoded(stored.value)


def _decoded(value: bytes) -> DiskSet:
    """Decodes a set that stands in the store.

    Raises:
        StoreUnavailableError: it can't be read. Nobody may take it for no set and write another
            one over it: turns are on the disks of the set that was there.
    """
    what = f"read {DISK_SET_KEY}"
    try:
        disk_set = decode_message(DiskSet(), value)
    except FrameError as error:
        raise StoreUnavailableError(what, f"it can't be read: {error.__cause__}") from error
    odd = [one.address for one in disk_set.members if not is_ipv4_with_port(one.address)]
    if odd:
        raise StoreUnavailableError(what, f"'{odd[0][:SHOWN]}' is no address of a disk")
    return disk_set


async def change_disk_set(
    store: ObjectStore, change: Change, settled_version: int | None = None
) -> DiskSet:
    """Applies a change to the newest set until the store has taken it; returns the newest set.

    ``change`` gets the members and returns the new ones, or None where nothing is to be
    done. It may be called again: another disk may have written meanwhile, or the answer
    to an earlier write was lost.

    ``settled_version`` is the one that the asking disk has found settled. A newer set is left as it
    is: nobody may have caught up with it, and of two changes on end what both of the disks that
    left had taken is known to nobody who stays. None is for disks that begin a set.
    """
    conflicts = 0
    while True:
        try:
            changed = await _try_change(store, change, settled_version)
        except (AlreadyExistsError, VersionConflictError):
            longest_s = min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2**conflicts)
            conflicts += 1
            await asyncio.sleep(random.uniform(0, longest_s))
            continue
        except (StoreUnavailableError, StoreRateLimitedError) as error:
            eliot.log_message("disk_set.not_changed", why=str(error))
            await asyncio.sleep(RETRY_S)
            continue
        return changed


async def _try_change(store: ObjectStore, change: Change, settled_version: int | None) -> DiskSet:
    stored = await store.get(DISK_SET_KEY)
    current = DiskSet(0, []) if stored is None else _decoded(stored.value)
    if settled_version is not None and current.version > settled_version:
        return current
    members = change(list(current.members))
    if members is None:
        return current
    changed = DiskSet(current.version + 1, members, current.members)
    data = encode_message(changed)
    if stored is None:
        await store.create(DISK_SET_KEY, data)
    else:
        await store.update(DISK_SET_KEY, data, stored.version)
    return changed
