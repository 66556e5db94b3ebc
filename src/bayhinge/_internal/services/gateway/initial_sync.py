"""What a host must have heard before it can serve, and how a request waits for it.

A host listens as soon as it runs, because callers have few tries, and a refused connection uses one
up as a refusal does. What it has not heard yet comes within a fraction of a second.
"""

import asyncio

import eliot

INITIAL_SYNC_WAIT_S = 1.5
"""Longest wait of a request for what its host has not heard yet. A host that started while the
store answers has everything within 0.1 s, and from other hosts' hellos within 0.6 s where the store
does not; a caller that waited for longer would do better at another host."""


class InitialSync:
    """One thing that a host hears of after its start."""

    def __init__(self, name: str) -> None:
        """Takes the name that refusals and log lines use."""
        self.name = name
        self._completed = asyncio.Event()

    @property
    def is_complete(self) -> bool:
        """Whether it was heard."""
        return self._completed.is_set()

    def complete(self) -> None:
        """It was heard."""
        self._completed.set()

    async def wait(self, attempt: str, until_s: float) -> bool:
        """Waits for it on behalf of a request; returns whether it has come in time.

        All that one request waits for shares its time, which ends at ``until_s`` on the loop's
        clock; see :func:`wait_until`.
        """
        if self._completed.is_set():
            return True
        loop = asyncio.get_running_loop()
        arrived_s = loop.time()
        try:
            async with asyncio.timeout_at(until_s):
                await self._completed.wait()
        except TimeoutError:
            pass
        eliot.log_message(
            "request.waited_for_news",
            attempt=attempt,
            news=self.name,
            waited_ms=round((loop.time() - arrived_s) * 1000, 1),
            has_come=self._completed.is_set(),
        )
        return self._completed.is_set()


def initial_sync_deadline(arrived_s: float, patience_s: float | None) -> float:
    """Returns when a request that came at ``began_s`` stops waiting for its host's first news."""
    wait_s = INITIAL_SYNC_WAIT_S if patience_s is None else min(INITIAL_SYNC_WAIT_S, patience_s)
    return arrived_s + wait_s
