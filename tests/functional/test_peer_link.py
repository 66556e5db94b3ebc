"""Peer links over loopback: answers that are late, interleaved, or missing."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Hashable

import pytest

from bayhinge._internal.exceptions import PeerFailureError, PeerUnreachableError
from bayhinge._internal.models.refusals import RefusalCode, RefusedError, not_run_refusal
from bayhinge._internal.network.frames import MAX_FRAME_BYTES
from bayhinge._internal.network.peer_client import PeerClient
from bayhinge._internal.network.peer_server import PeerServer
from bayhinge._internal.network.peers import PeerHandler, UnaryPeerHandler
from bayhinge.coordination.clock import HybridClock, SystemClock

pytestmark = pytest.mark.functional
STREAMS = 40
MESSAGES = 5


class InterleavingHandler(PeerHandler):
    """Answers the last stream first, and interleaves the messages of all streams."""

    def __init__(self) -> None:
        self.opened = 0
        self.cancelled = 0
        self.all_open = asyncio.Event()

    async def handle(self, method: str, payload: bytes) -> AsyncIterator[bytes]:
        if method == "refuse":
            raise RefusedError(not_run_refusal(RefusalCode.OVERLOADED, "no"))
        self.opened += 1
        if self.opened == STREAMS:
            self.all_open.set()
        try:
            await self.all_open.wait()
            for index in range(MESSAGES):
                await asyncio.sleep(0.002 * ((STREAMS - int(payload)) % 7))
                yield payload + b"/%d" % index
        except asyncio.CancelledError:
            self.cancelled += 1
            raise


def run_with_link(
    scenario: Callable[[str, PeerClient, InterleavingHandler], Awaitable[None]],
) -> None:
    async def main() -> None:
        handler = InterleavingHandler()
        server = PeerServer("127.0.0.1:0", handler, HybridClock(SystemClock()))
        address = await server.start()
        client = PeerClient(HybridClock(SystemClock()), connect_s=1.0)
        await scenario(address, client, handler)
        await client.close()
        await server.stop()

    asyncio.run(main())


def test_interleaved_answers_reach_their_own_callers_complete() -> None:
    async def scenario(address: str, client: PeerClient, handler: InterleavingHandler) -> None:
        async def ask(number: int) -> list[bytes]:
            name = str(number).encode()
            return [message async for message in client.stream(address, "call", name)]

        answers = await asyncio.gather(*(ask(number) for number in range(STREAMS)))
        for number, answer in enumerate(answers):
            assert answer == [b"%d/%d" % (number, index) for index in range(MESSAGES)]

    run_with_link(scenario)


def test_a_late_answer_to_a_cancelled_call_is_dropped() -> None:
    async def scenario(address: str, client: PeerClient, handler: InterleavingHandler) -> None:
        cancelled = asyncio.create_task(client.call(address, "call", b"1"))
        await asyncio.sleep(0.05)
        cancelled.cancel()
        await asyncio.gather(cancelled, return_exceptions=True)
        await asyncio.sleep(0.05)
        assert handler.cancelled == 1
        handler.all_open.set()
        assert await client.call(address, "call", b"2") == b"2/%d" % (MESSAGES - 1)

    run_with_link(scenario)


def test_a_broken_link_and_a_refusal_raise_different_errors() -> None:
    async def scenario(address: str, client: PeerClient, handler: InterleavingHandler) -> None:
        with pytest.raises(PeerFailureError, match="overloaded"):
            await client.call(address, "refuse", b"")
        waiting = asyncio.create_task(client.call(address, "call", b"1"))
        await asyncio.sleep(0.05)
        await client.close()
        with pytest.raises(PeerUnreachableError) as caught:
            await waiting
        assert caught.value.sent
        with pytest.raises(PeerUnreachableError) as refused:
            await client.call("127.0.0.1:1", "call", b"1")
        assert not refused.value.sent

    run_with_link(scenario)


class ConnectionHandler(UnaryPeerHandler):
    """Records the connections of calls, and those that have ended."""

    def __init__(self) -> None:
        self.called: list[Hashable] = []
        self.lost: list[Hashable] = []

    async def answer_from(self, connection: Hashable, method: str, payload: bytes) -> bytes:
        self.called.append(connection)
        return payload

    async def answer(self, method: str, payload: bytes) -> bytes:
        raise NotImplementedError

    def connection_lost(self, connection: Hashable) -> None:
        self.lost.append(connection)


def test_a_handler_is_told_which_connection_has_ended() -> None:
    """Guards against requests that count for a host whose process was killed."""

    async def main() -> None:
        handler = ConnectionHandler()
        server = PeerServer("127.0.0.1:0", handler, HybridClock(SystemClock()))
        address = await server.start()
        clients = [PeerClient(HybridClock(SystemClock()), connect_s=1.0) for _ in range(2)]
        for client in clients:
            assert await client.call(address, "call", b"x") == b"x"
        await clients[0].close()
        async with asyncio.timeout(2.0):
            while not handler.lost:  # noqa: ASYNC110 - polls a real connection
                await asyncio.sleep(0.01)
        assert handler.lost == handler.called[:1]
        await clients[1].close()
        await server.stop()

    asyncio.run(main())


class EchoHandler(UnaryPeerHandler):
    """Answers with the payload, or with so many bytes; "late" is answered last."""

    def __init__(self) -> None:
        self.may_end = asyncio.Event()

    async def answer(self, method: str, payload: bytes) -> bytes:
        if method == "late":
            await self.may_end.wait()
        return bytes(int(payload)) if method == "length" else payload


def run_with_echo(scenario: Callable[[str, PeerClient, EchoHandler], Awaitable[None]]) -> None:
    async def main() -> None:
        handler = EchoHandler()
        server = PeerServer("127.0.0.1:0", handler, HybridClock(SystemClock()))
        address = await server.start()
        client = PeerClient(HybridClock(SystemClock()), connect_s=1.0)
        async with asyncio.timeout(10):
            await scenario(address, client, handler)
        await client.close()
        await server.stop()

    asyncio.run(main())


def test_a_message_just_within_the_frame_limit_arrives_both_ways() -> None:
    """Guards against a library's limit below that of frames, which broke the link."""

    async def scenario(address: str, client: PeerClient, handler: EchoHandler) -> None:
        payload = bytes(MAX_FRAME_BYTES - 200)
        assert await client.call(address, "echo", payload) == payload

    run_with_echo(scenario)


def test_a_message_beyond_the_frame_limit_fails_only_its_own_call() -> None:
    """Guards against a link whose other calls all break with one that is too long."""

    async def scenario(address: str, client: PeerClient, handler: EchoHandler) -> None:
        late = asyncio.ensure_future(client.call(address, "late", b"served"))
        await asyncio.sleep(0.05)
        with pytest.raises(PeerFailureError):
            await client.call(address, "echo", bytes(MAX_FRAME_BYTES + 1))
        with pytest.raises(PeerFailureError):
            await client.call(address, "length", b"%d" % (MAX_FRAME_BYTES + 1))
        handler.may_end.set()
        assert await late == b"served"

    run_with_echo(scenario)
