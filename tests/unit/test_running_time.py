"""Timeouts on a real loop that stalls: an answer that arrived in time must not count as missing.

Otherwise a stalled host logs ``home.silent`` for a coordinator that has answered.
"""

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable

import pytest

from bayhinge._internal.utils.running_time import (
    SLICES,
    StallTolerantDeadline,
    stall_tolerant_timeout,
)

LIMIT_S = 0.04
STANDS_STILL_S = 0.1


async def answered_while_standing_still() -> bytes:
    """Waits for an answer that comes in time, in a loop that stands still past the bound."""
    loop = asyncio.get_running_loop()
    near, far = socket.socketpair()
    with near, far:
        reader, writer = await asyncio.open_connection(sock=near)

        def stand_still() -> None:
            far.send(b"answer")
            time.sleep(STANDS_STILL_S)

        loop.call_later(LIMIT_S / 10, stand_still)
        answers: asyncio.Queue[bytes] = asyncio.Queue()

        async def pass_on() -> None:
            answers.put_nowait(await reader.readexactly(6))

        passing_on = asyncio.ensure_future(pass_on())
        try:
            async with stall_tolerant_timeout(LIMIT_S):
                return await answers.get()
        finally:
            passing_on.cancel()
            writer.close()


def test_an_answer_that_came_while_the_process_stood_still_is_taken() -> None:
    assert asyncio.run(answered_while_standing_still()) == b"answer"


def test_silence_ends_after_the_bound() -> None:
    async def scenario() -> float:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        with pytest.raises(TimeoutError):
            async with stall_tolerant_timeout(LIMIT_S):
                await asyncio.Event().wait()
        return loop.time() - began_s

    took_s = asyncio.run(scenario())
    assert took_s >= LIMIT_S - 0.001


def assert_standing_still_uses_up_one_part(wait: Callable[[], Awaitable[None]]) -> None:
    """Waits in a loop that stands still past the bound soon after the wait has begun."""

    async def scenario() -> float:
        loop = asyncio.get_running_loop()
        loop.call_later(LIMIT_S / 10, time.sleep, STANDS_STILL_S)
        began_s = loop.time()
        await wait()
        return loop.time() - began_s

    took_s = asyncio.run(scenario())
    assert took_s >= STANDS_STILL_S + LIMIT_S * (SLICES - 2) / SLICES


def test_standing_still_uses_up_one_part_of_the_bound() -> None:
    async def wait() -> None:
        with pytest.raises(TimeoutError):
            async with stall_tolerant_timeout(LIMIT_S):
                await asyncio.Event().wait()

    assert_standing_still_uses_up_one_part(wait)


def test_what_ends_in_time_leaves_no_timer_behind() -> None:
    async def scenario() -> None:
        async with stall_tolerant_timeout(LIMIT_S):
            await asyncio.sleep(0)
        await asyncio.sleep(2 * LIMIT_S)

    asyncio.run(scenario())


def test_a_bound_on_several_waits_ends_once_for_all_of_them() -> None:
    async def scenario() -> tuple[int, float]:
        loop = asyncio.get_running_loop()
        bound = StallTolerantDeadline(LIMIT_S)
        waiting = {asyncio.ensure_future(asyncio.sleep(LIMIT_S * part)) for part in (0.25, 0.5, 9)}
        began_s = loop.time()
        ended = 0
        while bound.remaining_s > 0:
            finished, waiting = await bound.wait_for_first(waiting)
            ended += len(finished)
        for task in waiting:
            task.cancel()
        return ended, loop.time() - began_s

    ended, took_s = asyncio.run(scenario())
    assert ended == 2
    assert took_s >= LIMIT_S - 0.001


def test_standing_still_uses_up_one_part_of_a_bound_on_several_waits() -> None:
    async def wait() -> None:
        never = asyncio.ensure_future(asyncio.Event().wait())
        finished, waiting = await StallTolerantDeadline(LIMIT_S).wait_for_first({never})
        assert (finished, waiting) == (set(), {never})
        never.cancel()

    assert_standing_still_uses_up_one_part(wait)


def test_no_bound_never_ends() -> None:
    async def scenario() -> None:
        async with stall_tolerant_timeout(None):
            await asyncio.sleep(LIMIT_S)

    asyncio.run(scenario())
