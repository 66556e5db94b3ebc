"""One sync for all entries that are written in the same round of the loop."""

import asyncio

from bayhinge._internal.services.disks.turn_log import TurnLog


class CommitGroup:
    """Syncs once for all entries that were appended in the same round of the loop."""

    def __init__(self, log: TurnLog) -> None:
        """Takes the log to sync."""
        self._log = log
        self._waiting: asyncio.Future[None] | None = None

    async def sync(self) -> None:
        """Returns when everything appended so far lasts.

        Raises:
            OSError: the disk refused.
        """
        if self._waiting is None:
            loop = asyncio.get_running_loop()
            self._waiting = loop.create_future()
            loop.call_soon(self._sync_now)
        await asyncio.shield(self._waiting)

    def _sync_now(self) -> None:
        waiting, self._waiting = self._waiting, None
        assert waiting is not None
        try:
            self._log.sync()
        except OSError as error:
            waiting.set_exception(error)
            # Whoever waits gets it; without a waiter it must not be reported as lost.
            waiting.exception()
        else:
            waiting.set_result(None)
