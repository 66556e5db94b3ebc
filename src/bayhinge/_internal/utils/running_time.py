"""Bounds that count only the time in which this process could have noticed an answer."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

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
    loop = asyncio.get_running_loop()
    part_s = limit_s / STEPS

    async with asyncio.timeout(None) as bound:

        def note_part(parts_left: int) -> None:
            nonlocal timer
            if parts_left:
                timer = loop.call_later(part_s, note_part, parts_left - 1)
            else:
                bound.reschedule(loop.time())

        timer = loop.call_later(part_s, note_part, STEPS - 1)
        try:
            yield
        finally:
            timer.cancel()
