"""Measures elapsed time without the time in which this process waited for a processor.

Bounds on wall time fail on a busy machine. Long computations and blocking calls of the process
itself still count.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import attrs

SAMPLE_PERIOD_S = 0.005
"""Sampling period."""

MIN_DELAY_S = 0.005
"""Smaller delays of a sample are not deducted: they may be work of the event loop."""

_SCHEDSTAT = Path("/proc/thread-self/schedstat")


@attrs.define
class ChargedTime:
    """Elapsed seconds, less those spent waiting for a processor."""

    _started_s: float
    _deducted_s: float = 0.0

    @property
    def seconds(self) -> float:
        """The time charged so far."""
        return asyncio.get_running_loop().time() - self._started_s - self._deducted_s

    async def sample(self) -> None:
        """Deducts each sample's delay, at most the time spent waiting for a processor."""
        loop = asyncio.get_running_loop()
        while True:
            due_s, waited_before_s = loop.time() + SAMPLE_PERIOD_S, _waited_for_processor_s()
            await asyncio.sleep(SAMPLE_PERIOD_S)
            delay_s = loop.time() - due_s
            if delay_s > MIN_DELAY_S:
                self._deducted_s += min(delay_s, _waited_for_processor_s() - waited_before_s)


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
    sampler = asyncio.create_task(charged.sample())
    try:
        yield charged
    finally:
        sampler.cancel()
