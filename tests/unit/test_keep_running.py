"""A background task is restarted after an error, and ends when it returns or is cancelled."""

import asyncio

import pytest

from bayhinge._internal.bench.world.virtual_time import run_virtual
from bayhinge._internal.services.keep_running import FAULT_PAUSE_S, keep_running


def test_a_failed_task_is_restarted() -> None:
    async def scenario() -> None:
        tries = 0

        async def task() -> None:
            nonlocal tries
            tries += 1
            if tries < 3:
                raise ValueError("once more")

        began_s = asyncio.get_running_loop().time()
        await keep_running("test", task)
        assert tries == 3
        assert asyncio.get_running_loop().time() - began_s >= 2 * FAULT_PAUSE_S

    run_virtual(scenario())


def test_a_cancelled_task_stops() -> None:
    async def scenario() -> None:
        running = asyncio.create_task(keep_running("test", lambda: asyncio.sleep(100)))
        await asyncio.sleep(1)
        running.cancel()
        with pytest.raises(asyncio.CancelledError):
            await running

    run_virtual(scenario())
