"""A stream's first run, cut at each of its bytes on a real connection; another run goes on."""

import asyncio
import socket
from collections.abc import Callable

import pytest

from bayhinge._internal.decisions.endpoint_book import EndpointTable
from bayhinge._internal.models.endpoint_entries import EndpointEntry
from bayhinge._internal.models.refusals import RefusedError, SendRecord
from bayhinge._internal.models.routed_requests import RoutedRequest
from bayhinge._internal.network.endpoint_connections import EndpointConnectionPool
from bayhinge._internal.platform.call_format import PlatformCallFormat
from bayhinge._internal.services.gateway.sending import RequestSender
from bayhinge._internal.services.gateway.stream_delivery import StreamDelivery
from tests.lib.cut_answers import ROUTE, Caller, delivery_to

pytestmark = pytest.mark.functional
EVENTS = 3
HEAD = b"HTTP/1.1 200 OK\r\nBayhinge-Attempt-Id: mine\r\nBayhinge-Server-Seal: s%d\r\n"


def event(number: int, run: int) -> bytes:
    lines = b"id: %d\r\ndata: r%de%d\r\n\r\n" if number % 2 else b"id: %d\ndata: r%de%d\n\n"
    return lines % (number, run, number)


def chunked(run: int, first: int) -> bytes:
    blocks = [b": beat\n\n"] + [event(number, run) for number in range(first, EVENTS + 1)]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(block), block) for block in blocks)
    return HEAD % run + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


def with_length(run: int, first: int) -> bytes:
    body = b"".join(event(number, run) for number in range(first, EVENTS + 1))
    return HEAD % run + b"Content-Length: %d\r\n\r\n" % len(body) + body


def until_close(run: int, first: int) -> bytes:
    body = b"".join(event(number, run) for number in range(first, EVENTS + 1))
    return HEAD % run + b"\r\n" + body


def ends_between_events(answer: bytes) -> bool:
    _head, end, body = answer.partition(b"\r\n\r\n")
    return bool(end) and (not body or body.endswith((b"\n\n", b"\r\n\r\n")))


async def play(
    make: Callable[[int, int], bytes], cut: int, resets: bool, has: int | None
) -> tuple[Caller, StreamDelivery, int]:
    asked = 0

    async def wire(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal asked
        head = await reader.readuntil(b"\r\n\r\n")
        asked += 1
        after = [line for line in head.split(b"\r\n") if line.lower().startswith(b"last-event-id")]
        first = int(after[0].split(b":")[1]) + 1 if after else 1
        text = make(asked, first)
        if asked == 1:
            text = text[:cut]
        writer.write(text)
        await writer.drain()
        if asked == 1 and resets:
            await asyncio.sleep(0.005)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        writer.close()

    server = await asyncio.start_server(wire, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    endpoint_table, connection_pool = EndpointTable("north"), EndpointConnectionPool()
    for name in ("e-1", "e-2"):
        endpoint_table.put(EndpointEntry(name, "llm", f"127.0.0.1:{port}", "north", 4, False))
    caller = Caller()
    request = RoutedRequest("GET", "/x", "host", (), "mine", resume_after=has)
    delivery = delivery_to(caller, request)
    limit_s = asyncio.get_running_loop().time() + 2
    sender = RequestSender(endpoint_table, connection_pool, PlatformCallFormat())
    try:
        await sender.send("llm", ROUTE, request, None, SendRecord(), limit_s, delivery)
    except RefusedError:
        caller.is_whole = False
    connection_pool.close()
    server.close()
    return caller, delivery, asked


@pytest.mark.parametrize("has", [None, 1, 2])
@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("make", [chunked, with_length, until_close])
def test_each_event_is_one_that_a_run_made_wherever_the_first_run_is_cut(
    make: Callable[[int, int], bytes], resets: bool, has: int | None
) -> None:
    odd: dict[int, tuple[bool, bytes]] = {}

    async def main() -> None:
        whole = make(1, (has or 0) + 1)
        for cut in range(len(whole)):
            caller, delivery, _ = await play(make, cut, resets, has)
            text = caller.body.replace(b": beat\n\n", b"")
            expected = set()
            for mask in range(EVENTS + 2):
                made = b"".join(
                    event(number, 1 if number <= mask else 2)
                    for number in range((has or 0) + 1, EVENTS + 1)
                )
                expected.add(made)
            tokens = 3 * (EVENTS - (has or 0))
            if make is until_close and not resets and ends_between_events(whole[:cut]):
                # Without a length a polite close is the answer's end, also in its middle.
                text_of_first = whole[:cut].partition(b"\r\n\r\n")[2]
                expected, tokens = {text_of_first}, 3 * text_of_first.count(b"id: ")
            is_right = text in expected and delivery.tokens_delivered == tokens
            if not (caller.is_whole and is_right):
                odd[cut] = (caller.is_whole, caller.body)

    asyncio.run(main())
    assert odd == {}
