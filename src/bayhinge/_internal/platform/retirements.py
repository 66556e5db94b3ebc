"""Follows the platform's requests to retire a disk host, and reports their status."""

import asyncio
from functools import partial

import eliot
import orjson

from bayhinge._internal.platform.objects_api import RETIREMENTS_KIND, PlatformObjects
from bayhinge._internal.services.disks.disk_host import DiskHost
from bayhinge._internal.services.keep_running import keep_running
from bayhinge._internal.services.prefix_follower import ObjectListener
from bayhinge.coordination.errors import StoreError
from bayhinge.coordination.store import Change

MAX_ALLOWED_S = 60.0
"""Upper bound on a request's time limit; a disk waits for others for less than a minute."""

RETRY_S = 0.4
"""Retry delay after a failed status write."""


class RetirementListener(ObjectListener):
    """Starts the retirement of this disk host on request, and reports its status."""

    def __init__(self, store: PlatformObjects, disk: DiskHost) -> None:
        self._store = store
        self._disk = disk
        self._task: asyncio.Task[None] | None = None
        self._key = f"{RETIREMENTS_KIND}/{disk.settings.host}"

    def replace_all(self, value_by_key: dict[str, bytes], is_after_outage: bool) -> None:
        """See :class:`ObjectListener`."""
        if self._key in value_by_key:
            self._handle_request(value_by_key[self._key])

    def apply(self, change: Change, is_after_outage: bool) -> None:
        """See :class:`ObjectListener`."""
        if change.key == self._key and change.value is not None:
            self._handle_request(change.value)

    def _handle_request(self, value: bytes) -> None:
        """Starts the retirement if the request is a table, even if its time limit is invalid.

        An invalid ``duration_s`` counts as 0. A value that is not a table is ignored.
        """
        allowed_s = _allowed_s(value)
        if allowed_s is None:
            eliot.log_message("retirement.unreadable", key=self._key, why="it is not a table")
            return
        if self._task is None:
            self._task = asyncio.ensure_future(
                keep_running("retire", partial(self._retire, allowed_s))
            )

    async def _retire(self, allowed_s: float) -> None:
        await self._report("in_progress")
        await self._disk.retire(allowed_s)
        await self._report("completed")

    async def _report(self, state: str) -> None:
        while True:
            try:
                await self._store.write_status(self._key, {"state": state})
                return
            except StoreError as error:
                eliot.log_message("retirement.not_reported", state=state, why=str(error))
                await asyncio.sleep(RETRY_S)


def _allowed_s(value: bytes) -> float | None:
    """Returns the time limit in seconds, 0 if it is invalid; None if the value is not a table."""
    try:
        spec = orjson.loads(value)
    except orjson.JSONDecodeError:
        return None
    if not isinstance(spec, dict):
        return None
    allowed_s = spec.get("duration_s")
    if not isinstance(allowed_s, int | float) or isinstance(allowed_s, bool):
        return 0.0
    return min(MAX_ALLOWED_S, max(0.0, float(allowed_s)))
