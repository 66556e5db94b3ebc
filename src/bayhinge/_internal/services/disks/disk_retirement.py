"""Retirement of a disk host: it leaves the set and copies its entries to the other disks."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial

import eliot

from bayhinge._internal.decisions.disk_placement import missing_members_allowed
from bayhinge._internal.decisions.disk_set_rules import membership_s, without_retired
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.services import methods
from bayhinge._internal.services.disk_sets import change_disk_set
from bayhinge._internal.services.disks.copy_limits import COPY_PERIOD_S, first_keys
from bayhinge._internal.services.disks.disk_state import DiskState
from bayhinge._internal.wire.hosts import ttypes as wire
from bayhinge.coordination.store import ObjectStore

LEAVE_RETRY_S = 0.8
"""Time between two attempts to leave a set that still needs the disk. Each one is a store call, and
another disk needs about as long to join."""


class DiskRetirement:
    """The retirement of one disk."""

    def __init__(self, disk: DiskState, store: ObjectStore) -> None:
        self._disk = disk
        self._store = store

    async def run(self, allowed_s: float = 0.0) -> None:
        """Leaves the set and copies everything to the remaining disks.

        ``allowed_s`` is the time allowed for the retirement, in seconds.
        """
        eliot.log_message("disk.retiring", host=self._disk.settings.host, allowed_s=allowed_s)
        self._disk.is_retiring = True
        await self._leave_set(asyncio.get_running_loop().time() + membership_s(allowed_s))
        self._disk.is_retired = True
        await _repeat_until_done(self._hand_over)
        eliot.log_message(
            "disk.retired", host=self._disk.settings.host, entries=self._disk.turns.position
        )

    async def _leave_set(self, stay_until_s: float) -> None:
        """Leaves the set as soon as it can do without this disk, which serves until then."""
        loop = asyncio.get_running_loop()
        host, tolerated = self._disk.settings.host, self._disk.settings.tolerated_disks
        is_logged = False
        while True:
            may_wait = loop.time() < stay_until_s
            if self._disk.fence.has_settled:
                change = partial(without_retired, host=host, tolerated=tolerated, may_wait=may_wait)
                version = self._disk.disk_set.version
                self._disk.apply_disk_set(await change_disk_set(self._store, change, version))
            if not any(member.host == host for member in self._disk.disk_set.members):
                return
            if not is_logged:
                eliot.log_message(
                    "disk.retirement_waits", host=host, members=len(self._disk.disk_set.members)
                )
            is_logged = True
            await asyncio.sleep(LEAVE_RETRY_S)

    async def _hand_over(self) -> bool:
        others = [m for m in self._disk.disk_set.members if m.host != self._disk.settings.host]
        complete = [member.host for member in others if await self._push_all(member)]
        allowed = missing_members_allowed(len(others), self._disk.settings.tolerated_disks)
        return bool(complete) and len(others) - len(complete) <= allowed

    async def _push_all(self, member: wire.DiskMember) -> bool:
        keys = self._disk.keys_placed_on(
            member, self._disk.turns.keys_after(0, self._disk.turns.position)
        )
        while keys:
            asked = first_keys(keys)
            answer = await self._disk.call(
                member.address, methods.MISSING_KEYS, encode_message(wire.EntriesQuery(asked))
            )
            if answer is None:
                return False
            lacking = decode_message(wire.LackingReply(), answer).keys
            if not await self._push(member, lacking):
                return False
            keys = keys[len(asked) :]
        return True

    async def _push(self, member: wire.DiskMember, keys: list[str]) -> bool:
        while keys:
            pushed = self._disk.turns.first_entries(keys)
            entries = list(self._disk.turns.read_entries(pushed))
            message = encode_message(wire.AppendEntries(entries))
            if await self._disk.call(member.address, methods.APPEND, message) is None:
                return False
            keys = keys[len(pushed) :]
        return True


async def _repeat_until_done(step: Callable[[], Awaitable[bool]]) -> None:
    while True:
        if await step():
            return
        await asyncio.sleep(COPY_PERIOD_S / 2)
