"""Bounds that count only the time in which this process could have noticed an answer."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs

STEPS = 8
"""Parts of a bound. However long the loop stands still, one part is used up by it, and the loop
turns at least so often before the bound ends: an answer that waits in the socket is read and handed
on within four turns."""


@asynccontextmanager
async def running_timeout(limit_s: float) -> AsyncIterator[None]:
    """Bounds what runs inside to ``limit_s`` seconds of this loop's running time.

    A timer that is overdue fires in the turn in which an answer is read, before the answer is
    handed on. With an ordinary bound, a process that stood still for longer than the bound takes
    its peer for silent, though the answer had come.

    Raises:
        TimeoutError: the bound has ended.
    """
    async with asyncio.timeout(None) as bound:
        parts = _Parts(bound, limit_s / STEPS)
        parts.begin_next()
        try:
            yield
        finally:
            parts.stop()


@attrs.define
class _Parts:
    """What is left of a bound; a part begins when this loop has noticed the last one's end."""

    _bound: asyncio.Timeout
    _part_s: float
    _left: int = STEPS
    _timer: asyncio.TimerHandle | None = None

    def begin_next(self) -> None:
        loop = asyncio.get_running_loop()
        if self._left:
            self._left -= 1
            self._timer = loop.call_later(self._part_s, self.begin_next)
        else:
            self._bound.reschedule(loop.time())

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
