"""Three hundred long bodies at once on a host with little memory."""

import asyncio
import contextlib
import socket

import orjson
import pytest

from bayhinge._internal.decisions.memory_budget import MemoryHolder
from bayhinge._internal.models.refusals import RefusedError
from bayhinge._internal.network.addresses import split_address
from bayhinge._internal.network.routed_front import Exchange, ExchangeHandler, RoutedFront
from bayhinge._internal.services.gateway.held_memory import HeldMemory
from bayhinge._internal.utils.event_loop import loop_factory
from tests.functional.test_host_memory import PeakBudget

pytestmark = pytest.mark.functional

MB = 2**20
LONG = memoryview(b"x" * (4 * MB))
SEND_BYTES = 65_536
LONG_COUNT, SMALL_COUNT = 300, 60


class Holder(ExchangeHandler):
    """Reads a body within the budget and holds it for a while, as a request in progress does."""

    def __init__(self, memory: HeldMemory) -> None:
        self._memory = memory
        self.ran: list[str] = []

    async def handle(self, exchange: Exchange) -> None:
        name = exchange.target[1:]
        urgency = 0 if name.startswith("small") else 5
        try:
            with self._memory.open(name, urgency) as memory:
                body = await exchange.read_body(4 * MB, memory.room(MemoryHolder.BODY))
                self.ran.append(name)
                await asyncio.sleep(0.3)
                await exchange.respond(200, (), b"%d" % len(body))
        except RefusedError as error:
            await exchange.respond(error.refusal.http_status, (), error.refusal.to_json())


async def send(address: str, name: str, body: memoryview, is_chunked: bool) -> tuple[int, bytes]:
    """Sends a request as fast as it is taken; returns the status and body of its answer."""
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BYTES)
        await loop.sock_connect(sock, split_address(address))
        length = "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {len(body)}"
        await loop.sock_sendall(
            sock, f"POST /{name} HTTP/1.1\r\nHost: h\r\n{length}\r\n\r\n".encode()
        )
        receiving = asyncio.create_task(receive(sock))
        for start in range(0, len(body), SEND_BYTES):
            if receiving.done():
                break
            piece = body[start : start + SEND_BYTES]
            if is_chunked:
                piece = memoryview(b"%x\r\n%b\r\n" % (len(piece), bytes(piece)))
            await loop.sock_sendall(sock, piece)
        if is_chunked and not receiving.done():
            with contextlib.suppress(OSError):
                await loop.sock_sendall(sock, b"0\r\n\r\n")
        return await receiving


async def receive(sock: socket.socket) -> tuple[int, bytes]:
    loop = asyncio.get_running_loop()
    data = b""
    while True:
        head, end, body = data.partition(b"\r\n\r\n")
        if end:
            fields = head.decode().lower().split("\r\n")
            [length] = [line[16:] for line in fields if line.startswith("content-length:")]
            if len(body) == int(length):
                return int(fields[0].split()[1]), body
        piece = await loop.sock_recv(sock, SEND_BYTES)
        assert piece, "the connection ended without an answer"
        data += piece


@pytest.mark.parametrize("is_chunked", [False, True])
def test_three_hundred_long_bodies_stay_within_the_budget_and_small_requests_are_served(
    is_chunked: bool,
) -> None:
    """Guards against a few dozen long bodies that bring a host of 128 MB down."""

    async def main() -> None:
        budget = PeakBudget(128 * MB, 42 * MB)
        memory = HeldMemory(budget)
        handler = Holder(memory)
        front = RoutedFront("127.0.0.1:0", handler)
        address = await front.start()
        async with asyncio.timeout(60):
            long = [
                asyncio.create_task(send(address, f"long-{number}", LONG, is_chunked))
                for number in range(LONG_COUNT)
            ]
            small = []
            for number in range(SMALL_COUNT):
                await asyncio.sleep(0.01)
                small.append(
                    asyncio.create_task(send(address, f"small-{number}", LONG[:2000], is_chunked))
                )
            assert await asyncio.gather(*small) == [(200, b"2000")] * SMALL_COUNT
            replies = await asyncio.gather(*long)
        served = [body for status, body in replies if status == 200]
        refused = [orjson.loads(body)["error"] for status, body in replies if status == 503]
        assert len(served) + len(refused) == LONG_COUNT
        assert set(served) == {b"%d" % len(LONG)}
        assert len(served) >= 15, "as many as fit at once"
        assert refused
        assert {(error["code"], error["run_state"]) for error in refused} == {
            ("host_memory", "not_run")
        }
        assert len(handler.ran) == len(served) + SMALL_COUNT, "a refused request has not run"
        assert budget.peak_bytes <= budget.limit_bytes
        assert budget.held_bytes == budget.waiting_count == 0
        await front.stop()

    with asyncio.Runner(loop_factory=loop_factory()) as runner:
        runner.run(main())
