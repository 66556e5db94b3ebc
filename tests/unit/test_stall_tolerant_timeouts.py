"""Guards against timing out a peer whose answer arrived while the event loop was stalled."""

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable

import pytest

from bayhinge._internal.utils.stall_tolerant_timeouts import (
    SLICES,
    StallTolerantDeadline,
    stall_tolerant_timeout,
)

LIMIT_S = 0.04
STALL_S = 0.1


async def answer_during_stall() -> bytes:
    """Waits for an answer that arrives in time, in a loop that stalls past the limit."""
    loop = asyncio.get_running_loop()
    near, far = socket.socketpair()
    with near, far:
        reader, writer = await asyncio.open_connection(sock=near)

        def stall() -> None:
            far.send(b"answer")
            time.sleep(STALL_S)

        loop.call_later(LIMIT_S / 10, stall)
        answers: asyncio.Queue[bytes] = asyncio.Queue()

        async def forward() -> None:
            answers.put_nowait(await reader.readexactly(6))

        forwarding = asyncio.ensure_future(forward())
        try:
            async with stall_tolerant_timeout(LIMIT_S):
                return await answers.get()
        finally:
            forwarding.cancel()
            writer.close()


def test_an_answer_that_arrived_during_a_stall_is_accepted() -> None:
    assert asyncio.run(answer_during_stall()) == b"answer"


def test_silence_times_out_after_the_limit() -> None:
    async def scenario() -> float:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        with pytest.raises(TimeoutError):
            async with stall_tolerant_timeout(LIMIT_S):
                await asyncio.Event().wait()
        return loop.time() - began_s

    took_s = asyncio.run(scenario())
    assert took_s >= LIMIT_S - 0.001


def assert_stall_uses_up_one_slice(wait: Callable[[], Awaitable[None]]) -> None:
    """Waits in a loop that stalls past the limit soon after the wait has begun."""

    async def scenario() -> float:
        loop = asyncio.get_running_loop()
        loop.call_later(LIMIT_S / 10, time.sleep, STALL_S)
        began_s = loop.time()
        await wait()
        return loop.time() - began_s

    took_s = asyncio.run(scenario())
    assert took_s >= STALL_S + LIMIT_S * (SLICES - 2) / SLICES


def test_a_stall_uses_up_one_slice_of_the_limit() -> None:
    async def wait() -> None:
        with pytest.raises(TimeoutError):
            async with stall_tolerant_timeout(LIMIT_S):
                await asyncio.Event().wait()

    assert_stall_uses_up_one_slice(wait)


def test_a_wait_that_ends_in_time_leaves_no_timer() -> None:
    async def scenario() -> None:
        async with stall_tolerant_timeout(LIMIT_S):
            await asyncio.sleep(0)
        await asyncio.sleep(2 * LIMIT_S)

    asyncio.run(scenario())


def test_a_deadline_of_several_waits_ends_once_for_all_of_them() -> None:
    async def scenario() -> tuple[int, float]:
        loop = asyncio.get_running_loop()
        deadline = StallTolerantDeadline(LIMIT_S)
        waiting = {asyncio.ensure_future(asyncio.sleep(LIMIT_S * part)) for part in (0.25, 0.5, 9)}
        began_s = loop.time()
        ended = 0
        while deadline.remaining_s > 0:
            finished, waiting = await deadline.wait_for_first(waiting)
            ended += len(finished)
        for task in waiting:
            task.cancel()
        return ended, loop.time() - began_s

    ended, took_s = asyncio.run(scenario())
    assert ended == 2
    assert took_s >= LIMIT_S - 0.001


def test_a_stall_uses_up_one_slice_of_a_deadline_of_several_waits() -> None:
    async def wait() -> None:
        never = asyncio.ensure_future(asyncio.Event().wait())
        finished, waiting = await StallTolerantDeadline(LIMIT_S).wait_for_first({never})
        assert (finished, waiting) == (set(), {never})
        never.cancel()

    assert_stall_uses_up_one_slice(wait)


def test_no_limit_never_times_out() -> None:
    async def scenario() -> None:
        async with stall_tolerant_timeout(None):
            await asyncio.sleep(LIMIT_S)

    asyncio.run(scenario())
