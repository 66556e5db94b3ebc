"""Charged time includes blocking and computation, and excludes waits for a processor."""

import asyncio
import multiprocessing
import os
import time
from collections.abc import Callable

from tests.lib.charged_time import charged_time

WORK_S = 0.2


def charged_and_total_s(work: Callable[[], object]) -> tuple[float, float]:
    """Runs work in an event loop; returns the charged and the total seconds."""

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


def compute_on_cores(cores: set[int], seconds: float) -> None:
    os.sched_setaffinity(0, cores)
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        pass


def test_a_blocking_call_is_charged() -> None:
    counted_s, _ = charged_and_total_s(lambda: time.sleep(WORK_S))
    assert counted_s >= WORK_S


def test_a_long_computation_is_charged() -> None:
    counted_s, _ = charged_and_total_s(lambda: compute(WORK_S))
    assert counted_s >= WORK_S


def test_waiting_for_a_processor_is_not_charged() -> None:
    """Three other processes on the same core leave this one a quarter of it."""
    before = os.sched_getaffinity(0)
    core = {min(before)}
    context = multiprocessing.get_context("fork")
    others = [context.Process(target=compute_on_cores, args=(core, 1.5)) for _ in range(3)]
    for other in others:
        other.start()
    try:
        os.sched_setaffinity(0, core)
        counted_s, took_s = charged_and_total_s(lambda: compute(WORK_S))
    finally:
        os.sched_setaffinity(0, before)
        for other in others:
            other.terminate()
            other.join()
    assert took_s >= 2 * (WORK_S + 0.1), "the other processes did not slow this one down enough"
    assert WORK_S <= counted_s <= 0.75 * took_s
