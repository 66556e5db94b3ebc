"""A host that stood still leaves no endpoint's stream for it, and reaches endpoints."""

import asyncio
import threading
import time
from collections.abc import AsyncIterator
from typing import cast

import attrs
import pytest

from bayhinge._internal.decisions.answer_bounds import AnswerTimeouts
from bayhinge._internal.network.endpoint_answer import Answer, SilentEndpointError
from bayhinge._internal.network.endpoint_connections import (
    CONNECT_TIMEOUT_S,
    EndpointConnectionPool,
)
from bayhinge._internal.services.gateway.stream_delivery import _read_pieces
from tests.lib.disks_elsewhere import disks_elsewhere

PAUSE_S = 0.04
BOUNDS = AnswerTimeouts(silence_s=1.0, may_fail_over=True, pause_s=PAUSE_S)


@attrs.define
class StreamedAnswer:
    """An endpoint's answer whose pieces come over a real connection."""

    reader: asyncio.StreamReader

    async def read_pieces(self) -> AsyncIterator[bytes]:
        while piece := await self.reader.read(100):
            yield piece


async def read_stream(events: int, stall_s: float) -> list[bytes]:
    """Reads a stream whose events come every 5 ms from another thread."""

    def send(far: "asyncio.Transport", left: int) -> None:
        if left:
            far.write(b"data: x\n\n")
            elsewhere.call_later(0.005, send, far, left - 1)

    class Far(asyncio.Protocol):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            send(cast(asyncio.Transport, transport), events)

    elsewhere = asyncio.new_event_loop()
    thread = threading.Thread(target=elsewhere.run_forever, daemon=True)
    thread.start()
    serving = elsewhere.create_server(Far, "127.0.0.1", 0)
    server = asyncio.run_coroutine_threadsafe(serving, elsewhere).result(5)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    asyncio.get_running_loop().call_later(0.02, time.sleep, stall_s)
    pieces: list[bytes] = []
    try:
        async for piece in _read_pieces(cast(Answer, StreamedAnswer(reader)), BOUNDS):
            pieces.append(piece)
            if b"".join(pieces).count(b"\n\n") == events:
                break
    finally:
        writer.close()
        elsewhere.call_soon_threadsafe(elsewhere.stop)
        thread.join(5)
        server.close()
        elsewhere.close()
    return pieces


def test_a_stream_is_not_left_because_its_host_stood_still() -> None:
    pieces = asyncio.run(read_stream(40, 3 * PAUSE_S))
    assert b"".join(pieces).count(b"\n\n") == 40


def test_a_stream_that_pauses_for_too_long_is_left() -> None:
    class Pausing:
        async def read_pieces(self) -> AsyncIterator[bytes]:
            yield b"data: x\n\n"
            await asyncio.sleep(5)
            yield b"data: y\n\n"

    async def scenario() -> float:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        with pytest.raises(SilentEndpointError):
            async for _ in _read_pieces(cast(Answer, Pausing()), BOUNDS):
                pass
        return loop.time() - began_s

    assert asyncio.run(scenario()) >= PAUSE_S - 0.001


def test_an_endpoint_is_reached_by_a_host_that_stood_still() -> None:
    async def scenario(address: str) -> None:
        connection_pool = EndpointConnectionPool()
        asyncio.get_running_loop().call_soon(time.sleep, CONNECT_TIMEOUT_S + 0.1)
        connection = await connection_pool.acquire("i-1", address)
        connection.abort("over")

    with disks_elsewhere(1) as (addresses, _):
        asyncio.run(scenario(addresses[0]))
