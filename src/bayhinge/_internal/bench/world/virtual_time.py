"""Runs coroutines in virtual time: sleeps return at once, and the order is deterministic."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import looptime

from bayhinge.coordination.clock import Clock

Result = TypeVar("Result")
WALL_START_MS = 1_790_000_000_000


def run_virtual(work: Coroutine[Any, Any, Result]) -> Result:
    """Runs a coroutine on an event loop whose time jumps to the next event."""
    loop = looptime.new_event_loop(start=0.0, idle_step=None, noop_cycles=0)
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(work)
    finally:
        _cancel_rest(loop)
        asyncio.set_event_loop(None)
        loop.close()


def _cancel_rest(loop: asyncio.AbstractEventLoop) -> None:
    rest = asyncio.all_tasks(loop)
    for task in rest:
        task.cancel()
    if rest:
        loop.run_until_complete(asyncio.gather(*rest, return_exceptions=True))


class LoopClock(Clock):
    """A wall clock that follows the loop's time, with a constant error."""

    def __init__(self, offset_ms: int = 0) -> None:
        self._offset_ms = offset_ms

    def wall_ms(self) -> int:
        """See :class:`Clock`."""
        return WALL_START_MS + self._offset_ms + int(asyncio.get_running_loop().time() * 1000)
