"""The set of disks that count, as one object of the store that changes by condition alone."""

import asyncio
import random
from collections.abc import Callable

import eliot

from bayhinge._internal.network.frames import decode_message, encode_message
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
    """Returns the newest set, or None where there is none yet."""
    stored = await store.get(DISK_SET_KEY)
    return None if stored is None else decode_message(DiskSet(), stored.value)


async def change_disk_set(store: ObjectStore, change: Change) -> DiskSet:
    """Applies a change to the newest set until the store has taken it.

    ``change`` gets the members and returns the new ones, or None where nothing is to be
    done. It may be called again: another disk may have written meanwhile, or the answer
    to an earlier write was lost.
    """
    conflicts = 0
    while True:
        try:
            changed = await _try_change(store, change)
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


async def _try_change(store: ObjectStore, change: Change) -> DiskSet:
    stored = await store.get(DISK_SET_KEY)
    current = DiskSet(0, []) if stored is None else decode_message(DiskSet(), stored.value)
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
