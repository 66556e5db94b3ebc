"""Group commit: one sync for all entries that are written in one event loop iteration."""

import asyncio

from bayhinge._internal.services.disks.turn_log import TurnLog


class GroupCommit:
    """Syncs once for all entries that were appended in the same event loop iteration."""

    def __init__(self, log: TurnLog) -> None:
        self._log = log
        self._pending: asyncio.Future[None] | None = None

    async def sync(self) -> None:
        """Returns when everything appended so far is durable.

        Raises:
            OSError: the sync failed.
        """
        if self._pending is None:
            loop = asyncio.get_running_loop()
            self._pending = loop.create_future()
            loop.call_soon(self._sync_now)
        await asyncio.shield(self._pending)

    def _sync_now(self) -> None:
        waiting, self._pending = self._pending, None
        assert waiting is not None
        try:
            self._log.sync()
        except OSError as error:
            waiting.set_exception(error)
            # Marks the exception as retrieved, as all waiters may have been cancelled.
            waiting.exception()
        else:
            waiting.set_result(None)
