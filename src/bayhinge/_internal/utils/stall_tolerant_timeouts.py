"""Timeouts that tolerate stalls of the event loop."""

import asyncio
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from typing import Any, TypeVar

import attrs

Awaited = TypeVar("Awaited", bound="asyncio.Future[Any]")

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

    async def wait_for_first(self, waiting: Iterable[Awaited]) -> tuple[set[Awaited], set[Awaited]]:
        """Waits until a future is done or the time is up; returns the done and the pending ones."""
        futures = set(waiting)
        wakeup = _Wakeup()
        # asyncio.wait() would do the same at more than twice the cost, for each call to a disk.
        for future in futures:
            future.add_done_callback(wakeup.wake)
        try:
            while self.remaining_s > 0:
                await self._wait_slice(wakeup)
                done = {future for future in futures if future.done()}
                if done:
                    return done, futures - done
        finally:
            for future in futures:
                future.remove_done_callback(wakeup.wake)
        return set(), futures

    async def _wait_slice(self, wakeup: "_Wakeup") -> None:
        """Waits for one slice at most, and counts it as one even if the event loop stalled."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        timer = loop.call_later(min(self._slice_s, self.remaining_s), wakeup.wake)
        try:
            await wakeup.wait()
        finally:
            timer.cancel()
        self.remaining_s -= min(loop.time() - began_s, self._slice_s)


class _Wakeup:
    """Wakes one waiter when a future is done or a slice of time is over."""

    def __init__(self) -> None:
        self._waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def wake(self, _: object = None) -> None:
        if not self._waiter.done():
            self._waiter.set_result(None)

    async def wait(self) -> None:
        await self._waiter
        self._waiter = asyncio.get_running_loop().create_future()
