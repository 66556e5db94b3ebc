"""Duties that run for the life of a process: one fault must not end them for good."""

import asyncio
from collections.abc import Awaitable, Callable

import eliot

FAULT_PAUSE_S = 0.5
"""Pause after an unexpected error, so that one that stays does not fill the log."""


async def keep_running(name: str, duty: Callable[[], Awaitable[None]]) -> None:
    """Runs a duty until it ends by itself, and begins anew after an unexpected error."""
    while True:
        try:
            await duty()
            return
        except Exception as error:
            eliot.log_message("duty.failed", duty=name, why=repr(error))
            await asyncio.sleep(FAULT_PAUSE_S)
