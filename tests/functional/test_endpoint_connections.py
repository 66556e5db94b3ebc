"""Connections to endpoints whose answers are late, duplicate, swapped, truncated or malformed."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest

from bayhinge._internal.network.endpoint_answer import (
    Answer,
    EndpointUnreachableError,
    IncompleteAnswerError,
)
from bayhinge._internal.network.endpoint_connections import (
    EndpointConnection,
    EndpointConnectionPool,
)

pytestmark = pytest.mark.functional
Wire = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def answer(name: str, body: bytes = b"body", more: str = "") -> bytes:
    return (
        f"HTTP/1.1 200 OK\r\nBayhinge-Attempt-Id: {name}\r\n{more}"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


async def read_request(reader: asyncio.StreamReader) -> bytes:
    return await reader.readuntil(b"\r\n\r\n")


def run(wire: Wire, scenario: Callable[[EndpointConnectionPool, str], Awaitable[None]]) -> None:
    async def main() -> None:
        server = await asyncio.start_server(wire, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        connection_pool = EndpointConnectionPool()
        try:
            async with asyncio.timeout(5):
                await scenario(connection_pool, address)
        finally:
            connection_pool.close()
            server.close()

    asyncio.run(main())


async def ask(
    connection_pool: EndpointConnectionPool, address: str
) -> tuple[EndpointConnection, Answer]:
    connection = await connection_pool.acquire("e-1", address)
    connection.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", b"")
    return connection, await connection.next_answer()


def test_an_idle_connection_is_reused() -> None:
    async def wire(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await read_request(reader)
            writer.write(answer("a"))

    async def scenario(connection_pool: EndpointConnectionPool, address: str) -> None:
        for _ in range(3):
            connection, received = await ask(connection_pool, address)
            assert await received.read_body() == b"body"
            connection_pool.release(connection, None)
        assert (connection_pool.counts.opened, connection_pool.counts.reused) == (1, 2)

    run(wire, scenario)


def test_a_surplus_answer_closes_the_connection() -> None:
    async def wire(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        writer.write(answer("a") + answer("surplus"))
        await reader.read()

    async def scenario(connection_pool: EndpointConnectionPool, address: str) -> None:
        connection, received = await ask(connection_pool, address)
        assert await received.read_body() == b"body"
        connection_pool.release(connection, None)
        assert not connection.is_open

    run(wire, scenario)


def test_a_surplus_answer_that_arrives_later_closes_the_idle_connection() -> None:
    async def wire(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        writer.write(answer("a"))
        await asyncio.sleep(0.05)
        writer.write(answer("surplus"))
        await reader.read()

    async def scenario(connection_pool: EndpointConnectionPool, address: str) -> None:
        connection, received = await ask(connection_pool, address)
        await received.read_body()
        connection_pool.release(connection, None)
        await asyncio.sleep(0.1)
        assert not connection.is_open

    run(wire, scenario)


def test_a_late_answer_is_recognized_by_its_attempt_id() -> None:
    async def wire(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        writer.write(answer("late", b"other") + answer("mine", b"own"))
        await reader.read()

    async def scenario(connection_pool: EndpointConnectionPool, address: str) -> None:
        connection, first = await ask(connection_pool, address)
        assert (b"Bayhinge-Attempt-Id", b"late") in first.headers
        await first.read_body()
        second = await connection.next_answer()
        assert (b"Bayhinge-Attempt-Id", b"mine") in second.headers
        assert await second.read_body() == b"own"

    run(wire, scenario)


@pytest.mark.parametrize(
    "bytes_sent",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfour",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nfour\r\n",
    ],
)
def test_a_truncated_or_malformed_body_is_incomplete(bytes_sent: bytes) -> None:
    async def wire(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        writer.write(bytes_sent)
        await writer.drain()
        writer.close()

    async def scenario(connection_pool: EndpointConnectionPool, address: str) -> None:
        with pytest.raises(IncompleteAnswerError):
            _, received = await ask(connection_pool, address)
            await received.read_body()

    run(wire, scenario)


@pytest.mark.parametrize("resets", [False, True])
def test_an_answer_without_a_length_is_complete_only_after_a_clean_close(resets: bool) -> None:
    async def wire(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nsome")
        await writer.drain()
        await asyncio.sleep(0.05)
        if resets:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        writer.close()

    async def scenario(connection_pool: EndpointConnectionPool, address: str) -> None:
        _, received = await ask(connection_pool, address)
        if resets:
            with pytest.raises(IncompleteAnswerError):
                await received.read_body()
        else:
            assert await received.read_body() == b"some"

    run(wire, scenario)


@pytest.mark.parametrize("bytes_sent", [b"", b"nonsense\r\n\r\n", b"HTTP/1.1 2x0 OK\r\n\r\n"])
def test_a_missing_or_malformed_answer_is_incomplete(bytes_sent: bytes) -> None:
    async def wire(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        writer.write(bytes_sent)
        writer.close()

    async def scenario(connection_pool: EndpointConnectionPool, address: str) -> None:
        with pytest.raises(IncompleteAnswerError):
            await ask(connection_pool, address)

    run(wire, scenario)


def test_a_connection_is_not_reused_after_an_answer_to_a_partly_sent_body() -> None:
    async def wire(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        writer.write(answer("a"))
        await asyncio.sleep(10)

    async def scenario(connection_pool: EndpointConnectionPool, address: str) -> None:
        connection = await connection_pool.acquire("e-1", address)
        connection.send(b"POST / HTTP/1.1\r\nHost: x\r\n\r\n", b"x" * 20_000_000)
        received = await connection.next_answer()
        await received.read_body()
        connection_pool.release(connection, None)
        assert not connection.is_open

    run(wire, scenario)


def test_a_refused_connection_counts_as_unreachable() -> None:
    async def main() -> None:
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            port = free.getsockname()[1]
        with pytest.raises(EndpointUnreachableError):
            await EndpointConnectionPool().acquire("e-1", f"127.0.0.1:{port}")

    asyncio.run(main())


def test_an_idle_connection_that_the_endpoint_closed_is_not_used() -> None:
    async def wire(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        writer.write(answer("a"))
        await asyncio.sleep(0.05)
        writer.close()

    async def scenario(connection_pool: EndpointConnectionPool, address: str) -> None:
        connection, received = await ask(connection_pool, address)
        await received.read_body()
        connection_pool.release(connection, None)
        await asyncio.sleep(0.15)
        assert await connection_pool.acquire("e-1", address) is not connection
        assert connection_pool.counts.opened == 2

    run(wire, scenario)


def test_a_connection_to_an_address_that_the_endpoint_left_is_not_used() -> None:
    async def wire(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await read_request(reader)
            writer.write(answer("a"))

    async def scenario(connection_pool: EndpointConnectionPool, address: str) -> None:
        other = await asyncio.start_server(wire, "127.0.0.1", 0)
        kept, received = await ask(connection_pool, address)
        await received.read_body()
        connection_pool.release(kept, None)
        port = other.sockets[0].getsockname()[1]
        connection, received = await ask(connection_pool, f"127.0.0.1:{port}")
        assert connection is not kept
        assert not kept.is_open
        await received.read_body()
        other.close()

    run(wire, scenario)
