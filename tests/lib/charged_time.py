"""How long something took, without the time in which this process waited for a processor.

A bound on wall time judges the machine as well: a look-up that leaves a silent connection after
0.80 s took 1.22 and 1.34 s where its process was stopped for 0.2 to 0.6 s now and then. What the
process itself is to blame for, long computations and blocking calls, is still counted.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import attrs

TICK_S = 0.005
"""Between two looks."""

USUAL_LATE_S = 0.005
"""A look that is late by less forgives nothing: it may be the loop's own work."""

_SCHEDSTAT = Path("/proc/thread-self/schedstat")


@attrs.define
class ChargedTime:
    """Seconds that have passed, and those of them that are not counted."""

    _began_s: float
    _forgiven_s: float = 0.0

    @property
    def seconds(self) -> float:
        """What is counted so far."""
        return asyncio.get_running_loop().time() - self._began_s - self._forgiven_s

    async def look_always(self) -> None:
        """Forgives what each look is late, up to the time of waiting for a processor since."""
        loop = asyncio.get_running_loop()
        while True:
            due_s, waited_s = loop.time() + TICK_S, _waited_for_processor_s()
            await asyncio.sleep(TICK_S)
            late_s = loop.time() - due_s
            if late_s > USUAL_LATE_S:
                self._forgiven_s += min(late_s, _waited_for_processor_s() - waited_s)


def _waited_for_processor_s() -> float:
    """Returns for how long this thread was ready and did not run; 0 where the kernel is silent."""
    try:
        return int(_SCHEDSTAT.read_text().split()[1]) / 1e9
    except (OSError, IndexError, ValueError):
        return 0.0


@asynccontextmanager
async def charged_time() -> AsyncIterator[ChargedTime]:
    """Counts from its beginning on; read it before its end."""
    charged = ChargedTime(asyncio.get_running_loop().time())
    looking = asyncio.create_task(charged.look_always())
    try:
        yield charged
    finally:
        looking.cancel()
