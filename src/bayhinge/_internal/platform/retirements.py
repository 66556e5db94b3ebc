"""The platform's requests to empty a disk host, and what it is told of them."""

import asyncio

import eliot
import orjson

from bayhinge._internal.platform.objects_api import RETIREMENTS_KIND, PlatformObjects
from bayhinge._internal.services.disks.disk_host import DiskHost
from bayhinge._internal.services.keep_running import keep_running
from bayhinge._internal.services.key_follower import FollowListener
from bayhinge.coordination.errors import StoreError
from bayhinge.coordination.store import Change

RETRY_S = 0.4
"""Pause after the store did not take a status."""


class RetirementDesk(FollowListener):
    """Passes requests for this host on to it, and reports how far it is."""

    def __init__(self, store: PlatformObjects, disk: DiskHost) -> None:
        """Takes the store and the host."""
        self._store = store
        self._disk = disk
        self._task: asyncio.Task[None] | None = None
        self._key = f"{RETIREMENTS_KIND}/{disk.settings.host}"

    def replace_all(self, value_by_key: dict[str, bytes], is_after_outage: bool) -> None:
        """See :class:`FollowListener`."""
        if self._key in value_by_key:
            self._take(value_by_key[self._key])

    def apply(self, change: Change, is_after_outage: bool) -> None:
        """See :class:`FollowListener`."""
        if change.key == self._key and change.value is not None:
            self._take(change.value)

    def _take(self, value: bytes) -> None:
        """Begins where the operator asks for it: any table does, whatever it says of the time.

        Emptying takes as long as it takes, so its ``duration_s`` decides nothing. What is no table
        was written by nobody who asks for anything: the disk stays.
        """
        if not _is_table(value):
            eliot.log_message("retirement.unreadable", key=self._key, why="it is no table")
            return
        if self._task is None:
            self._task = asyncio.ensure_future(keep_running("retire", self._retire))

    async def _retire(self) -> None:
        await self._report("in_progress")
        await self._disk.retire()
        await self._report("completed")

    async def _report(self, state: str) -> None:
        while True:
            try:
                await self._store.write_status(self._key, {"state": state})
                return
            except StoreError as error:
                eliot.log_message("retirement.not_reported", state=state, why=str(error))
                await asyncio.sleep(RETRY_S)


def _is_table(value: bytes) -> bool:
    try:
        return isinstance(orjson.loads(value), dict)
    except orjson.JSONDecodeError:
        return False
