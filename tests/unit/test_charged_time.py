"""What is counted of the time that something takes."""

import asyncio
import multiprocessing
import os
import time
from collections.abc import Callable

from tests.lib.charged_time import charged_time

BLOCKS_S = 0.2


def charged(work: Callable[[], object]) -> tuple[float, float]:
    """Does some work in a loop; returns the time that was counted, and all of it."""

    async def scenario() -> tuple[float, float]:
        async with charged_time() as counted:
            began_s = time.monotonic()
            await asyncio.sleep(0.05)
            work()
            await asyncio.sleep(0.05)
            return counted.seconds, time.monotonic() - began_s

    return asyncio.run(scenario())


def compute(seconds: float) -> None:
    end_s = time.process_time() + seconds
    while time.process_time() < end_s:
        pass


def compute_for_a_while(cores: set[int], seconds: float) -> None:
    os.sched_setaffinity(0, cores)
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        pass


def test_a_call_that_blocks_is_counted() -> None:
    counted_s, _ = charged(lambda: time.sleep(BLOCKS_S))
    assert counted_s >= BLOCKS_S


def test_a_long_computation_is_counted() -> None:
    counted_s, _ = charged(lambda: compute(BLOCKS_S))
    assert counted_s >= BLOCKS_S


def test_waiting_for_a_processor_is_not_counted() -> None:
    """Beside three others on one core this process has a fourth of it."""
    before = os.sched_getaffinity(0)
    core = {min(before)}
    context = multiprocessing.get_context("fork")
    others = [context.Process(target=compute_for_a_while, args=(core, 1.5)) for _ in range(3)]
    for other in others:
        other.start()
    try:
        os.sched_setaffinity(0, core)
        counted_s, took_s = charged(lambda: compute(BLOCKS_S))
    finally:
        os.sched_setaffinity(0, before)
        for other in others:
            other.terminate()
            other.join()
    assert took_s >= 2 * (BLOCKS_S + 0.1), "the others left it too much"
    assert BLOCKS_S <= counted_s <= 0.75 * took_s
