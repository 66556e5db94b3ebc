"""What is left of an answer on a kept connection, or of a stream, and the next send."""

import asyncio

import attrs
import pytest

from bayhinge._internal.decisions.endpoint_book import EndpointTable
from bayhinge._internal.models.endpoint_entries import EndpointEntry
from bayhinge._internal.models.refusals import RefusedError, RunState, SendRecord
from bayhinge._internal.models.routed_requests import RoutedRequest
from bayhinge._internal.network.endpoint_connections import EndpointConnectionPool
from bayhinge._internal.platform.call_format import PlatformCallFormat
from bayhinge._internal.services.gateway.sending import RequestSender
from tests.functional.test_sending import REQUEST, Keep, reply, send
from tests.functional.test_sending import ROUTE as ONCE
from tests.lib.cut_answers import ROUTE, Caller, delivery_to

pytestmark = pytest.mark.functional


@pytest.mark.parametrize(
    "part",
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 503 Full\r\nBayhinge-Not-Executed: 1\r\nX-Cut: ",
    ],
    ids=["spoils it", "becomes its head"],
)
def test_a_request_that_ran_is_served_behind_the_beginning_of_a_surplus_answer(
    part: bytes,
) -> None:
    """An endpoint sends a part of a surplus answer and no more; the connection is kept.

    The next request runs, and its whole answer is not taken for one: nothing is delivered.
    """
    ran = 0

    async def wire(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal ran
        while True:
            await reader.readuntil(b"\r\n\r\npay")
            ran += 1
            more = part if ran == 1 else b""
            writer.write(reply("200 OK", "mine", b"paid") + more)

    _, _, _, refused = send(wire, times=2)
    assert ran == 2
    assert refused is None, refused.refusal


def test_a_request_that_may_run_once_runs_once_behind_a_surplus_beginning() -> None:
    """The second request runs at the endpoint, and is sent to another one all the same."""
    part = b"HTTP/1.1 503 Full\r\nBayhinge-Not-Executed: 1\r\nX-Cut: "
    ran: list[str] = []

    async def main() -> None:
        async def wire(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head = await reader.readuntil(b"\r\n\r\npay")
                attempt = "first" if b": first\r\n" in head else "second"
                ran.append(attempt)
                more = part if len(ran) == 1 else b""
                writer.write(reply("200 OK", attempt, b"paid") + more)

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
            await sender.send("app", ONCE, request, None, SendRecord(), limit_s, Keep())
        connection_pool.close()
        server.close()

    asyncio.run(main())
    assert ran == ["first", "second"]


def test_a_stream_that_can_not_go_on_is_not_asked_for_again() -> None:
    """An event without a number went out: what another run gives could not be joined to it."""
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
