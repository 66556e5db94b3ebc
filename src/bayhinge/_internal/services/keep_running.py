"""Restarts background tasks that run for the life of a process."""

import asyncio
from collections.abc import Awaitable, Callable

import eliot

FAULT_PAUSE_S = 0.5
"""Pause after an unexpected error, so that a persistent one does not flood the log."""


async def keep_running(name: str, task: Callable[[], Awaitable[None]]) -> None:
    """Runs a task until it returns, and restarts it after an unexpected error."""
    while True:
        try:
            await task()
            return
        except Exception as error:
            eliot.log_message("duty.failed", duty=name, why=repr(error))
            await asyncio.sleep(FAULT_PAUSE_S)
