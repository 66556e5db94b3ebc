"""The initial sync of a host after its start, and how requests wait for it.

A host listens before it is synced, because callers have few tries, and a refused connection uses
one up. The initial sync usually takes a fraction of a second.
"""

import asyncio

import eliot

INITIAL_SYNC_WAIT_S = 1.5
"""Longest wait of a request for its host's initial sync. It takes 0.1 s with the store, and 0.6 s
from other hosts' heartbeats without it; later, a caller does better at another host."""


class InitialSync:
    """The first load of one kind of state after a host's start.

    Attributes:
        name: the kind of state, for the log.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self._completed = asyncio.Event()

    @property
    def is_complete(self) -> bool:
        """Whether the state was loaded."""
        return self._completed.is_set()

    def complete(self) -> None:
        """Marks the state as loaded."""
        self._completed.set()

    async def wait(self, attempt: str, until_s: float) -> bool:
        """Waits on behalf of a request; returns whether the sync completed in time.

        ``until_s`` is on the loop's clock and the same for all syncs that a request waits for;
        see :func:`initial_sync_deadline`.
        """
        if self._completed.is_set():
            return True
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        try:
            async with asyncio.timeout_at(until_s):
                await self._completed.wait()
        except TimeoutError:
            pass
        eliot.log_message(
            "request.waited_for_news",
            attempt=attempt,
            news=self.name,
            waited_ms=round((loop.time() - began_s) * 1000, 1),
            has_come=self._completed.is_set(),
        )
        return self._completed.is_set()


def initial_sync_deadline(began_s: float, patience_s: float | None) -> float:
    """Returns when a request that came at ``began_s`` stops waiting for the initial sync."""
    wait_s = INITIAL_SYNC_WAIT_S if patience_s is None else min(INITIAL_SYNC_WAIT_S, patience_s)
    return began_s + wait_s
