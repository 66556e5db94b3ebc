"""Leftover bytes of an earlier answer on a reused connection, or of a stream, and the next send."""

import asyncio

import attrs
import pytest

from bayhinge._internal.decisions.answer_timeouts import AnswerTimeouts
from bayhinge._internal.decisions.endpoint_table import EndpointTable
from bayhinge._internal.models.endpoint_entries import EndpointEntry
from bayhinge._internal.models.refusals import RefusedError, RunState, SendRecord
from bayhinge._internal.models.routed_requests import AnswerMetadata, RoutedRequest
from bayhinge._internal.network.endpoint_answer import Answer
from bayhinge._internal.network.endpoint_connections import EndpointConnectionPool
from bayhinge._internal.platform.call_format import PlatformCallFormat
from bayhinge._internal.services.gateway.delivery import is_success
from bayhinge._internal.services.gateway.request_sender import RequestSender
from tests.functional.test_sending import REQUEST, BodyCollector, reply, send
from tests.functional.test_sending import ROUTE as AT_MOST_ONCE_ROUTE
from tests.lib.cut_answers import ROUTE, Caller, delivery_to

pytestmark = pytest.mark.functional


@pytest.mark.parametrize(
    "partial_answer",
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 503 Full\r\nBayhinge-Not-Executed: 1\r\nX-Cut: ",
    ],
    ids=["spoils it", "becomes its head"],
)
def test_a_request_is_served_after_a_partial_surplus_answer(
    partial_answer: bytes,
) -> None:
    """Guards against losing an answer that follows part of a surplus answer."""
    ran = 0

    async def wire(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal ran
        while True:
            await reader.readuntil(b"\r\n\r\npay")
            ran += 1
            surplus = partial_answer if ran == 1 else b""
            writer.write(reply("200 OK", "mine", b"paid") + surplus)

    _, _, _, refused = send(wire, times=2)
    assert ran == 2
    assert refused is None, refused.refusal


def test_an_at_most_once_request_runs_once_after_a_partial_surplus_answer() -> None:
    """Guards against sending the second request, which ran, to another endpoint as well."""
    partial_answer = b"HTTP/1.1 503 Full\r\nBayhinge-Not-Executed: 1\r\nX-Cut: "
    ran: list[str] = []

    async def main() -> None:
        async def wire(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head = await reader.readuntil(b"\r\n\r\npay")
                attempt = "first" if b": first\r\n" in head else "second"
                ran.append(attempt)
                surplus = partial_answer if len(ran) == 1 else b""
                writer.write(reply("200 OK", attempt, b"paid") + surplus)

        server = await asyncio.start_server(wire, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        endpoint_table, connection_pool = EndpointTable("north"), EndpointConnectionPool()
        for name in ("e-1", "e-2"):
            endpoint_table.put(EndpointEntry(name, "app", f"127.0.0.1:{port}", "north", 4, False))
        sender = RequestSender(endpoint_table, connection_pool, PlatformCallFormat())
        limit_s = asyncio.get_running_loop().time() + 2
        for name in ("first", "second"):
            headers = ((b"Host", b"h"), (b"Bayhinge-Attempt-Id", name.encode()))
            request = attrs.evolve(REQUEST, attempt=name, headers=headers)
            await sender.send(
                "app", AT_MOST_ONCE_ROUTE, request, None, SendRecord(), limit_s, BodyCollector()
            )
        connection_pool.close()
        server.close()

    asyncio.run(main())
    assert ran == ["first", "second"]


class AnswerCollector(BodyCollector):
    """Collects the status and the body of the answer."""

    status = 0

    async def deliver(
        self, answer: Answer, marks: AnswerMetadata, may_repeat: bool, bounds: AnswerTimeouts
    ) -> None:
        self.status = answer.status
        await super().deliver(answer, marks, may_repeat, bounds)
        self.outcome = "served" if is_success(answer.status) else f"status_{answer.status}"


LATE_HEADS = {
    "refusal": (
        b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\nBayhinge-Attempt-Id: first\r\n"
        b"Bayhinge-Not-Executed: 1\r\nDate: Fri, 04 Dec 2026 12:00:00 GMT\r\n\r\n"
    ),
    "refusal without an id": (
        b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\nBayhinge-Not-Executed: 1\r\n"
        b"Date: Fri, 04 Dec 2026 12:00:00 GMT\r\n\r\n"
    ),
    "answer": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nBayhinge-Attempt-Id: first\r\n"
        b"Bayhinge-Server-Seal: s\r\nDate: Fri, 04 Dec 2026 12:00:00 GMT\r\n\r\nother"
    ),
}


@pytest.mark.parametrize("status", ["200 OK", "500 Failed"])
@pytest.mark.parametrize("kind", LATE_HEADS)
def test_a_late_surplus_answer_cut_anywhere_is_not_read_as_part_of_the_next(
    kind: str, status: str
) -> None:
    """Guards against a second send of a request that ran, and answers that belong to no request."""
    late = LATE_HEADS[kind]

    async def try_cut(cut: int) -> None:
        ran: list[str] = []

        async def wire(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head = await reader.readuntil(b"\r\n\r\npay")
                attempt = "first" if b": first\r\n" in head else "second"
                ran.append(attempt)
                # It comes in the place of the answer that is expected next.
                surplus = late[:cut] if attempt == "second" else b""
                own = "200 OK" if attempt == "first" else status
                writer.write(surplus + reply(own, attempt, b"paid"))

        server = await asyncio.start_server(wire, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        endpoint_table, connection_pool = EndpointTable("north"), EndpointConnectionPool()
        endpoint_table.put(EndpointEntry("e-1", "app", f"127.0.0.1:{port}", "north", 4, False))
        sender = RequestSender(endpoint_table, connection_pool, PlatformCallFormat())
        limit_s = asyncio.get_running_loop().time() + 20
        first, second = AnswerCollector(), AnswerCollector()
        refused = None
        for name, collector in (("first", first), ("second", second)):
            headers = ((b"Host", b"h"), (b"Bayhinge-Attempt-Id", name.encode()))
            request = attrs.evolve(REQUEST, attempt=name, headers=headers)
            if name == "second":
                other = EndpointEntry("e-2", "app", f"127.0.0.1:{port}", "north", 4, False)
                endpoint_table.put(other)
            try:
                await sender.send(
                    "app", AT_MOST_ONCE_ROUTE, request, None, SendRecord(), limit_s, collector
                )
            except RefusedError as error:
                refused = error.refusal
        connection_pool.close()
        server.close()
        assert ran.count("second") == 1, (cut, ran)
        if refused is not None:
            assert refused.run_state is RunState.MAY_HAVE_RUN, (cut, refused)
        else:
            found = (second.status, second.body)
            assert found == (int(status[:3]), b"paid"), (cut, found)

    async def main() -> None:
        for cut in range(len(late) + 1):
            await try_cut(cut)

    asyncio.run(main())


def test_a_stream_that_can_not_be_resumed_is_not_retried() -> None:
    """An event without an id was delivered, so another run's events can't be joined to it."""
    ran = 0

    async def main() -> None:
        async def wire(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal ran
            await reader.readuntil(b"\r\n\r\n")
            ran += 1
            head = b"HTTP/1.1 200 OK\r\nBayhinge-Attempt-Id: mine\r\nBayhinge-Server-Seal: s\r\n"
            writer.write(head + b"Content-Length: 90\r\n\r\ndata: one\n\n")
            writer.close()

        server = await asyncio.start_server(wire, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        endpoint_table, connection_pool = EndpointTable("north"), EndpointConnectionPool()
        for name in ("e-1", "e-2", "e-3"):
            endpoint_table.put(EndpointEntry(name, "llm", f"127.0.0.1:{port}", "north", 4, False))
        request = RoutedRequest("GET", "/x", "host", (), "mine")
        delivery = delivery_to(Caller(), request, attrs.evolve(ROUTE, max_endpoints=3))
        limit_s = asyncio.get_running_loop().time() + 2
        sender = RequestSender(endpoint_table, connection_pool, PlatformCallFormat())
        route = attrs.evolve(ROUTE, max_endpoints=3)
        with pytest.raises(RefusedError) as refused:
            await sender.send("llm", route, request, None, SendRecord(), limit_s, delivery)
        assert refused.value.refusal.run_state is RunState.MAY_HAVE_RUN
        connection_pool.close()
        server.close()

    asyncio.run(main())
    assert ran == 1
