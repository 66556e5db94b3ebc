"""Timeouts that tolerate stalls of the event loop."""

import asyncio
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from typing import TypeVar

import attrs

Result = TypeVar("Result")

SLICES = 8
"""Slices of a timeout. A stall of any length uses up at most one slice, and the loop runs at least
this many iterations before the timeout; an answer in the socket is delivered within four."""


@asynccontextmanager
async def stall_tolerant_timeout(limit_s: float | None) -> AsyncIterator[None]:
    """Limits the body to ``limit_s`` seconds in which the loop was not stalled; None is no limit.

    With an ordinary timeout, a process that stalls for longer than the timeout would report a
    timeout although the answer has arrived, since overdue timers fire before the answer is read.

    Raises:
        TimeoutError: the time is up.
    """
    if limit_s is None:
        yield
        return
    async with asyncio.timeout(None) as deadline:
        slices = _TimeoutSlices(deadline, limit_s / SLICES)
        slices.start_next()
        try:
            yield
        finally:
            slices.stop()


@attrs.define(eq=False, repr=False)
class _TimeoutSlices:
    """The remaining slices of a timeout; each starts when the loop sees the previous one end."""

    _deadline: asyncio.Timeout
    _slice_s: float
    _slices_left: int = SLICES
    _timer: asyncio.TimerHandle | None = None

    def start_next(self) -> None:
        loop = asyncio.get_running_loop()
        if self._slices_left:
            self._slices_left -= 1
            self._timer = loop.call_later(self._slice_s, self.start_next)
        else:
            self._deadline.reschedule(loop.time())

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()


class StallTolerantDeadline:
    """A time limit over several successive waits; see :func:`stall_tolerant_timeout`.

    Attributes:
        remaining_s: the remaining time in seconds, not counting stalls of the loop.
    """

    def __init__(self, limit_s: float) -> None:
        self.remaining_s = limit_s
        self._slice_s = limit_s / SLICES

    async def wait_for_first(
        self, waiting: Iterable[asyncio.Task[Result]]
    ) -> tuple[set[asyncio.Task[Result]], set[asyncio.Task[Result]]]:
        """Waits until a task finishes or the time is up; returns the done and the pending tasks."""
        loop = asyncio.get_running_loop()
        done: set[asyncio.Task[Result]] = set()
        pending = set(waiting)
        while self.remaining_s > 0 and not done:
            began_s = loop.time()
            done, pending = await asyncio.wait(
                pending,
                timeout=min(self._slice_s, self.remaining_s),
                return_when=asyncio.FIRST_COMPLETED,
            )
            self.remaining_s -= min(loop.time() - began_s, self._slice_s)
        return done, pending
