"""The set of member disks, one object of the store that is only changed by compare-and-set."""

import asyncio
import random
from collections.abc import Callable

import eliot

from bayhinge._internal.exceptions import FrameError
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.utils.checked_fields import MAX_SHOWN_CHARS, is_ipv4_with_port
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
"""Pause after the store rejected a call or did not answer."""

FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
"""Backoff after a version conflict: full jitter, doubled each time, because disks that start
together conflict with each other."""

Change = Callable[[list[DiskMember]], list[DiskMember] | None]


async def read_disk_set(store: ObjectStore) -> DiskSet | None:
    """Returns the current set of member disks, or None if there is none yet.

    Raises:
        StoreError: the store did not answer or rejected the call, or the set is invalid.
    """
    stored = await store.get(DISK_SET_KEY)
    return None if stored is None else _decoded(stored.value)


def _decoded(value: bytes) -> DiskSet:
    """Decodes a set that was read from the store.

    An invalid set must not be treated as missing and overwritten: its disks hold turns.

    Raises:
        StoreUnavailableError: it can't be decoded, or a member's address is invalid.
    """
    what = f"read {DISK_SET_KEY}"
    try:
        disk_set = decode_message(DiskSet(), value)
    except FrameError as error:
        # The decoder's own error, since the text of FrameError is about peers.
        raise StoreUnavailableError(what, f"can't decode it: {error.__cause__}") from error
    invalid = [one.address for one in disk_set.members if not is_ipv4_with_port(one.address)]
    if invalid:
        raise StoreUnavailableError(what, f"'{invalid[0][:MAX_SHOWN_CHARS]}' is not a disk address")
    return disk_set


async def change_disk_set(
    store: ObjectStore, change: Change, settled_version: int | None = None
) -> DiskSet:
    """Applies a change to the current set of member disks, and returns the resulting set.

    Retries until the store has accepted the change; errors of the store are logged.

    Args:
        store: the store that holds the set.
        change: gets the members and returns the new ones, or None if there is nothing to
            change. May be called again: another disk may have written meanwhile, or the
            answer to an earlier write was lost.
        settled_version: the version of which the calling disk knows that enough members have
            caught up; None for disks that create the set. A newer set is left unchanged: its new
            members may not have caught up, and after two changes in a row, turns that only the
            two removed disks hold would be lost.
    """
    conflicts = 0
    while True:
        try:
            changed = await _try_change(store, change, settled_version)
        except (AlreadyExistsError, VersionConflictError):
            max_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**conflicts)
            conflicts += 1
            await asyncio.sleep(random.uniform(0, max_s))
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
