"""A stream's first run, cut at each byte on a real connection, and resumed by another run."""

import asyncio
import os
import socket
from collections.abc import Callable

import pytest

from bayhinge._internal.decisions.endpoint_table import EndpointTable
from bayhinge._internal.models.endpoint_entries import EndpointEntry
from bayhinge._internal.models.refusals import RefusedError, SendRecord
from bayhinge._internal.models.routed_requests import RoutedRequest
from bayhinge._internal.network.endpoint_connections import EndpointConnectionPool
from bayhinge._internal.platform.call_format import PlatformCallFormat
from bayhinge._internal.services.gateway.request_sender import RequestSender
from bayhinge._internal.services.gateway.stream_delivery import StreamDelivery
from tests.lib.cut_answers import ROUTE, Caller, delivery_to

pytestmark = pytest.mark.functional
EVENTS = 3

OWN_IP = f"127.77.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}"
"""Another process's request to a port that it has just closed must not count as a run here."""

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


async def run_cut_stream(
    build_answer: Callable[[int, int], bytes], cut: int, resets: bool, resume_after: int | None
) -> tuple[Caller, StreamDelivery, int]:
    request_count = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal request_count
        head = await reader.readuntil(b"\r\n\r\n")
        request_count += 1
        resume_lines = [
            line for line in head.split(b"\r\n") if line.lower().startswith(b"last-event-id")
        ]
        first = int(resume_lines[0].split(b":")[1]) + 1 if resume_lines else 1
        text = build_answer(request_count, first)
        if request_count == 1:
            text = text[:cut]
        writer.write(text)
        await writer.drain()
        if request_count == 1 and resets:
            await asyncio.sleep(0.005)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        writer.close()

    server = await asyncio.start_server(serve, OWN_IP, 0)
    port = server.sockets[0].getsockname()[1]
    endpoint_table, connection_pool = EndpointTable("north"), EndpointConnectionPool()
    for name in ("e-1", "e-2"):
        endpoint_table.put(EndpointEntry(name, "llm", f"{OWN_IP}:{port}", "north", 4, False))
    caller = Caller()
    request = RoutedRequest("GET", "/x", "host", (), "mine", resume_after=resume_after)
    delivery = delivery_to(caller, request)
    limit_s = asyncio.get_running_loop().time() + 2
    sender = RequestSender(endpoint_table, connection_pool, PlatformCallFormat())
    try:
        await sender.send("llm", ROUTE, request, None, SendRecord(), limit_s, delivery)
    except RefusedError:
        caller.is_whole = False
    connection_pool.close()
    server.close()
    return caller, delivery, request_count


@pytest.mark.parametrize("resume_after", [None, 1, 2])
@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("build_answer", [chunked, with_length, until_close])
def test_each_event_comes_whole_from_one_run_wherever_the_first_run_is_cut(
    build_answer: Callable[[int, int], bytes], resets: bool, resume_after: int | None
) -> None:
    wrong_answers_by_cut: dict[int, tuple[bool, bytes]] = {}

    async def main() -> None:
        whole = build_answer(1, (resume_after or 0) + 1)
        for cut in range(len(whole)):
            caller, delivery, _ = await run_cut_stream(build_answer, cut, resets, resume_after)
            text = caller.body.replace(b": beat\n\n", b"")
            expected = set()
            for events_of_first_run in range(EVENTS + 2):
                body = b"".join(
                    event(number, 1 if number <= events_of_first_run else 2)
                    for number in range((resume_after or 0) + 1, EVENTS + 1)
                )
                expected.add(body)
            tokens = 3 * (EVENTS - (resume_after or 0))
            if build_answer is until_close and not resets and ends_between_events(whole[:cut]):
                # Without a length, a clean close ends the answer at any point.
                text_of_first = whole[:cut].partition(b"\r\n\r\n")[2]
                expected, tokens = {text_of_first}, 3 * text_of_first.count(b"id: ")
            is_right = text in expected and delivery.tokens_delivered == tokens
            if not (caller.is_whole and is_right):
                wrong_answers_by_cut[cut] = (caller.is_whole, caller.body)

    asyncio.run(main())
    assert wrong_answers_by_cut == {}
