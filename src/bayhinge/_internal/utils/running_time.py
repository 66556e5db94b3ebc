"""Bounds that count only the time in which this process could have noticed an answer."""

import asyncio
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from typing import TypeVar

import attrs

Result = TypeVar("Result")

STEPS = 8
"""Parts of a bound. However long the loop stands still, one part is used up by it, and the loop
turns at least so often before the bound ends: an answer that waits in the socket is read and handed
on within four turns."""


@asynccontextmanager
async def running_timeout(limit_s: float | None) -> AsyncIterator[None]:
    """Bounds what runs inside to ``limit_s`` seconds of this loop's running time; None is no bound.

    A timer that is overdue fires in the turn in which an answer is read, before the answer is
    handed on. With an ordinary bound, a process that stood still for longer than the bound takes
    its peer for silent, though the answer had come.

    Raises:
        TimeoutError: the bound has ended.
    """
    if limit_s is None:
        yield
        return
    async with asyncio.timeout(None) as bound:
        parts = _TimeoutSlices(bound, limit_s / STEPS)
        parts.start_next()
        try:
            yield
        finally:
            parts.stop()


@attrs.define
class _TimeoutSlices:
    """What is left of a bound; a part begins when this loop has noticed the last one's end."""

    _bound: asyncio.Timeout
    _slice_s: float
    _slices_left: int = STEPS
    _timer: asyncio.TimerHandle | None = None

    def start_next(self) -> None:
        loop = asyncio.get_running_loop()
        if self._slices_left:
            self._slices_left -= 1
            self._timer = loop.call_later(self._slice_s, self.start_next)
        else:
            self._bound.reschedule(loop.time())

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()


class RunningBound:
    """A bound on several waits after each other, as that of :func:`running_timeout`.

    Attributes:
        left_s: what is left of it, in seconds of this loop's running time.
    """

    def __init__(self, limit_s: float) -> None:
        """Takes the bound in seconds."""
        self.left_s = limit_s
        self._slice_s = limit_s / STEPS

    async def first_of(
        self, waiting: Iterable[asyncio.Task[Result]]
    ) -> tuple[set[asyncio.Task[Result]], set[asyncio.Task[Result]]]:
        """Waits until one has finished or the bound ends; returns the finished, and the others."""
        loop = asyncio.get_running_loop()
        finished: set[asyncio.Task[Result]] = set()
        left = set(waiting)
        while self.left_s > 0 and not finished:
            began_s = loop.time()
            finished, left = await asyncio.wait(
                left,
                timeout=min(self._slice_s, self.left_s),
                return_when=asyncio.FIRST_COMPLETED,
            )
            self.left_s -= min(loop.time() - began_s, self._slice_s)
        return finished, left
