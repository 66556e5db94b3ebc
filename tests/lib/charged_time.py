"""Measures elapsed time without the time in which this process waited for a processor.

Bounds on wall time fail on a busy machine. Long computations and blocking calls of the process
itself still count.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import attrs

TICK_S = 0.005
"""Sampling period."""

USUAL_LATE_S = 0.005
"""Smaller delays of a sample are not deducted: they may be work of the event loop."""

_SCHEDSTAT = Path("/proc/thread-self/schedstat")


@attrs.define
class ChargedTime:
    """Elapsed seconds, less those spent waiting for a processor."""

    _began_s: float
    _forgiven_s: float = 0.0

    @property
    def seconds(self) -> float:
        """The time charged so far."""
        return asyncio.get_running_loop().time() - self._began_s - self._forgiven_s

    async def look_always(self) -> None:
        """Deducts each sample's delay, at most the time spent waiting for a processor."""
        loop = asyncio.get_running_loop()
        while True:
            due_s, waited_s = loop.time() + TICK_S, _waited_for_processor_s()
            await asyncio.sleep(TICK_S)
            late_s = loop.time() - due_s
            if late_s > USUAL_LATE_S:
                self._forgiven_s += min(late_s, _waited_for_processor_s() - waited_s)


def _waited_for_processor_s() -> float:
    """Returns the seconds this thread spent in the run queue; 0 if the kernel has no such data."""
    try:
        return int(_SCHEDSTAT.read_text().split()[1]) / 1e9
    except (OSError, IndexError, ValueError):
        return 0.0


@asynccontextmanager
async def charged_time() -> AsyncIterator[ChargedTime]:
    """Measures from entry; read ``seconds`` within the block."""
    charged = ChargedTime(asyncio.get_running_loop().time())
    looking = asyncio.create_task(charged.look_always())
    try:
        yield charged
    finally:
        looking.cancel()
