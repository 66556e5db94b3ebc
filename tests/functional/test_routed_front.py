"""The front of an entry host while it stops: no caller is left waiting on a connection."""

import asyncio

import pytest

from bayhinge._internal.network.addresses import split_address
from bayhinge._internal.network.routed_front import Exchange, ExchangeHandler, RoutedFront

pytestmark = pytest.mark.functional

REQUEST = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\npay"


class Echo(ExchangeHandler):
    """Answers with the body, after a pause."""

    def __init__(self, pause_s: float = 0.0) -> None:
        self._pause_s = pause_s

    async def handle(self, exchange: Exchange) -> None:
        body = await exchange.read_body(100)
        await asyncio.sleep(self._pause_s)
        await exchange.respond(200, (), body)


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readuntil(b"\r\n\r\n")
    return head + await reader.readexactly(3)


def test_an_idle_connection_closes_at_once_when_the_front_closes() -> None:
    async def main() -> None:
        front = RoutedFront("127.0.0.1:0", Echo())
        host, port = split_address(await front.start())
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(REQUEST)
        assert b" 200 " in await read_answer(reader)
        front.close_idle()
        # A request that is sent now must not wait for an answer that never comes.
        async with asyncio.timeout(0.2):
            assert await reader.read() == b""
        writer.close()
        await front.stop()

    asyncio.run(main())


def test_a_running_request_is_answered_after_the_front_closes() -> None:
    async def main() -> None:
        front = RoutedFront("127.0.0.1:0", Echo(pause_s=0.3))
        host, port = split_address(await front.start())
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(REQUEST)
        await asyncio.sleep(0.1)
        front.close_idle()
        assert (await read_answer(reader)).endswith(b"pay")
        await front.wait_until_idle(1.0)
        async with asyncio.timeout(0.2):
            assert await reader.read() == b""
        writer.close()
        await front.stop()

    asyncio.run(main())
