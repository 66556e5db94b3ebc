"""A host whose event loop stalled abandons no stream for it, and connects to endpoints."""

import asyncio
import threading
import time
from collections.abc import AsyncIterator
from typing import cast

import attrs
import pytest

from bayhinge._internal.decisions.answer_timeouts import AnswerTimeouts
from bayhinge._internal.network.endpoint_answer import Answer, SilentEndpointError
from bayhinge._internal.network.endpoint_connections import (
    CONNECT_TIMEOUT_S,
    EndpointConnectionPool,
)
from bayhinge._internal.services.gateway.stream_delivery import _read_pieces
from tests.lib.remote_disks import remote_disks

PAUSE_S = 0.04
BOUNDS = AnswerTimeouts(silence_s=1.0, may_fail_over=True, pause_s=PAUSE_S)


@attrs.define
class StreamedAnswer:
    """An endpoint's answer whose pieces arrive over a real connection."""

    reader: asyncio.StreamReader

    async def read_pieces(self) -> AsyncIterator[bytes]:
        while piece := await self.reader.read(100):
            yield piece


async def read_stream(events: int, stall_s: float) -> list[bytes]:
    """Reads a stream of one event per 5 ms from another thread, in a loop that stalls once."""

    def send(peer: "asyncio.Transport", left: int) -> None:
        if left:
            peer.write(b"data: x\n\n")
            server_loop.call_later(0.005, send, peer, left - 1)

    class SendingProtocol(asyncio.Protocol):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            send(cast(asyncio.Transport, transport), events)

    server_loop = asyncio.new_event_loop()
    thread = threading.Thread(target=server_loop.run_forever, daemon=True)
    thread.start()
    serving = server_loop.create_server(SendingProtocol, "127.0.0.1", 0)
    server = asyncio.run_coroutine_threadsafe(serving, server_loop).result(5)
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
        server_loop.call_soon_threadsafe(server_loop.stop)
        thread.join(5)
        server.close()
        server_loop.close()
    return pieces


def test_a_stream_is_not_abandoned_after_a_stall_of_its_host() -> None:
    pieces = asyncio.run(read_stream(40, 3 * PAUSE_S))
    assert b"".join(pieces).count(b"\n\n") == 40


def test_a_stream_that_pauses_for_too_long_is_abandoned() -> None:
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


def test_a_host_that_stalled_connects_to_an_endpoint() -> None:
    async def scenario(address: str) -> None:
        pool = EndpointConnectionPool()
        asyncio.get_running_loop().call_soon(time.sleep, CONNECT_TIMEOUT_S + 0.1)
        connection = await pool.acquire("i-1", address)
        connection.abort("over")

    with remote_disks(1) as (addresses, _):
        asyncio.run(scenario(addresses[0]))
