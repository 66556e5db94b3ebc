"""Guards against a stub of an unused library on a path that callers reach, on either event loop."""

import asyncio
from pathlib import Path

import pytest

from bayhinge._internal.platform.entry_program import METRICS_PORT
from tests.lib.program_processes import ProgramProcesses, run_processes

pytestmark = pytest.mark.functional

HOST = b"Host: desk.example\r\n"

MALFORMED_REQUESTS = {
    "no HTTP": b"nonsense\r\n\r\n",
    "a bad header": b"GET / HTTP/1.1\r\n" + HOST + b"bad header\r\n\r\n",
    "a bad length": b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: x\r\n\r\n",
    "a bad version": b"GET / HTTP/9.x\r\n" + HOST + b"\r\n",
    "a long header": b"GET / HTTP/1.1\r\n" + HOST + b"A: " + b"x" * 70_000 + b"\r\n\r\n",
    "a bad chunk": b"POST /act/x HTTP/1.1\r\n"
    + HOST
    + b"Bayhinge-Attempt-Id: c1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
}

ODD_REQUESTS = {
    "a non-ASCII host": (404, b"POST /act/x HTTP/1.1\r\nHost: d\xc3\xa9sk.example\r\n", b"x"),
    "a full target": (404, b"POST http://elsewhere.example/act/x HTTP/1.1\r\n" + HOST, b"x"),
    "an upgrade": (
        200,
        b"POST /act/x HTTP/1.1\r\n"
        + HOST
        + b"Connection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"
        + b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n",
        b"",
    ),
    "a form": (
        200,
        b"POST /act/x HTTP/1.1\r\n" + HOST + b"Content-Type: multipart/form-data; boundary=b\r\n",
        b"--b--",
    ),
    "odd fields": (
        200,
        b"POST /act/x HTTP/1.1\r\n"
        + HOST
        + b"Cookie: a=b; c\r\nContent-Type: ;;=\r\nIf-Modified-Since: never\r\n",
        b"x",
    ),
    "an expectation": (200, b"POST /act/x HTTP/1.1\r\n" + HOST + b"Expect: 100-continue\r\n", b"x"),
}
"""Expected status, first lines and body of unusual requests."""


async def exchange_bytes(address: str, request: bytes) -> bytes:
    """Sends raw bytes to ``http://ip:port`` and returns the first line of the answer."""
    host, _, port = address.removeprefix("http://").partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request)
        async with asyncio.timeout(5):
            return await reader.readline()
    finally:
        writer.close()


async def check_requests(processes: ProgramProcesses) -> None:
    site = processes.site
    reply = await site.ask("/act/x?y=1", b"pay")
    assert (reply.status, reply.body) == (200, b"answer to pay")
    assert (await site.ask("/look/x", method="GET")).status == 200
    first = await site.turn(b"one ")
    assert (first.status, first.is_whole) == (200, True)
    second = await site.turn(b"two ", previous=first)
    assert (second.status, second.is_whole) == (200, True)
    assert second.said
    assert (await site.ask("/act/x", b"x" * 100_001)).status == 413
    for service in site.services:
        service.faults.loses_answers = 1
    assert (await site.ask("/act/x", b"pay")).status == 502
    for service in site.services:
        service.faults.loses_answers = 0


async def check_malformed_requests(processes: ProgramProcesses) -> None:
    address = processes.site.address("entry-0")
    for name, request in MALFORMED_REQUESTS.items():
        line = await exchange_bytes(address, request)
        assert line.startswith((b"HTTP/1.1 400", b"HTTP/1.0 400")), (name, line)
    for number, (name, (status, head, body)) in enumerate(ODD_REQUESTS.items()):
        ending = f"Bayhinge-Attempt-Id: o{number}\r\nContent-Length: {len(body)}\r\n\r\n"
        line = await exchange_bytes(address, head + ending.encode() + body)
        assert line.startswith(f"HTTP/1.1 {status} ".encode()), (name, line)


async def check_metrics(processes: ProgramProcesses) -> None:
    site = processes.site
    url = f"http://{site.ip('entry-0')}:{METRICS_PORT}/metrics"
    async with site.session.get(url) as response:
        assert response.status == 200
        assert b"# TYPE bayhinge_" in await response.read()


@pytest.mark.parametrize("loop", ["uvloop", "asyncio"])
def test_programs_serve_requests_turns_and_metrics(tmp_path: Path, loop: str) -> None:
    async def scenario(processes: ProgramProcesses) -> None:
        await check_requests(processes)
        await check_malformed_requests(processes)
        await check_metrics(processes)
        assert (await processes.site.ask("/act/x", b"later")).status == 200

    run_processes(tmp_path, loop, scenario)
