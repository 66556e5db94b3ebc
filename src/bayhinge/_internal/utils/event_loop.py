"""Selects the event loop of the daemon and of the programs on a platform."""

import asyncio
import os
import time
from collections.abc import Callable

LOOP_VARIABLE = "BAYHINGE_EVENT_LOOP"
"""Environment variable that selects the event loop: ``uvloop`` (the default) or ``asyncio``."""

ASYNCIO = "asyncio"


def loop_factory() -> Callable[[], asyncio.AbstractEventLoop]:
    """Returns the factory of the selected event loop."""
    if os.environ.get(LOOP_VARIABLE) == ASYNCIO:
        return asyncio.new_event_loop
    # Imported only where it is used, as the tool needs no event loop of its own.
    import uvloop

    class PreciseLoop(uvloop.Loop):
        """uvloop with the resolution of the monotonic clock.

        uvloop's own clock counts whole milliseconds, so that an event would often seem to be
        simultaneous with the one before it.
        """

        def time(self) -> float:
            return time.monotonic()

    return PreciseLoop
