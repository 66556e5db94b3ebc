"""How a sender handles refusals that arrive late or belong to another request."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from bayhinge._internal.decisions.answer_timeouts import AnswerTimeouts
from bayhinge._internal.decisions.endpoint_incarnations import NewIncarnation
from bayhinge._internal.decisions.endpoint_table import EndpointTable, EntryChange
from bayhinge._internal.models.endpoint_entries import EndpointEntry
from bayhinge._internal.models.refusals import RefusedError, RunState, SendRecord
from bayhinge._internal.models.routed_requests import AnswerMetadata, RoutedRequest
from bayhinge._internal.models.routing import Route, RouteKind, ServiceShare
from bayhinge._internal.network.endpoint_answer import Answer
from bayhinge._internal.network.endpoint_connections import (
    EndpointConnection,
    EndpointConnectionPool,
)
from bayhinge._internal.platform.call_format import PlatformCallFormat
from bayhinge._internal.services.gateway.active_runs import ActiveRuns
from bayhinge._internal.services.gateway.delivery import Delivery
from bayhinge._internal.services.gateway.request_sender import RequestSender

pytestmark = pytest.mark.functional
Wire = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
ROUTE = Route(
    "r", "h", "/", RouteKind.AT_MOST_ONCE, (ServiceShare("app", 1),), 2.0, 1.0, 0, max_endpoints=1
)
REQUEST = RoutedRequest("POST", "/x", "h", ((b"Host", b"h"),), "mine", body=b"pay")


class BodyCollector(Delivery):
    """Collects the body of the answer."""

    def __init__(self) -> None:
        super().__init__()
        self.body = b""

    async def deliver(
        self, answer: Answer, marks: AnswerMetadata, may_repeat: bool, bounds: AnswerTimeouts
    ) -> None:
        self.body = await answer.read_body()


def reply(status: str, name: str, body: bytes = b"", more: str = "") -> bytes:
    named = f"Bayhinge-Attempt-Id: {name}\r\n" if name else ""
    head = f"HTTP/1.1 {status}\r\n{named}{more}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def send(
    wire: Wire, times: int = 1
) -> tuple[BodyCollector, SendRecord, EndpointConnectionPool, RefusedError | None]:
    async def main() -> tuple[
        BodyCollector, SendRecord, EndpointConnectionPool, RefusedError | None
    ]:
        server = await asyncio.start_server(wire, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        endpoint_table, connection_pool = EndpointTable("north"), EndpointConnectionPool()
        endpoint_table.put(EndpointEntry("e-1", "app", f"127.0.0.1:{port}", "north", 4, False))
        sender = RequestSender(endpoint_table, connection_pool, PlatformCallFormat())
        delivery, attempt, refused = BodyCollector(), SendRecord(), None
        limit_s = asyncio.get_running_loop().time() + 2
        for _ in range(times):
            refused = None
            try:
                await sender.send("app", ROUTE, REQUEST, None, attempt, limit_s, delivery)
            except RefusedError as error:
                refused = error
        connection_pool.close()
        server.close()
        return delivery, attempt, connection_pool, refused

    return asyncio.run(main())


@pytest.mark.parametrize(
    "late",
    [
        reply("421 Misdirected Request", "other"),
        reply("503 Service Unavailable", "other", more="Bayhinge-Not-Executed: 1\r\n"),
    ],
)
def test_a_refusal_of_another_request_is_ignored(late: bytes) -> None:
    async def wire(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\npay")
        writer.write(late + reply("200 OK", "mine", b"paid"))
        await reader.read()

    delivery, attempt, _, refused = send(wire)
    assert refused is None
    assert delivery.body == b"paid"
    assert attempt.run_state is RunState.MAY_HAVE_RUN


def test_after_another_requests_refusal_and_a_close_the_outcome_is_unknown() -> None:
    async def wire(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\npay")
        writer.write(reply("421 Misdirected Request", "other"))
        await writer.drain()
        writer.close()

    _, _, _, refused = send(wire)
    assert refused is not None
    assert refused.refusal.run_state is RunState.MAY_HAVE_RUN


@pytest.mark.parametrize(("name", "opened", "reused"), [("", 2, 0), ("mine", 1, 1)])
def test_a_refused_request_counts_as_not_run_and_its_connection_is_reused_if_it_bears_the_id(
    name: str, opened: int, reused: int
) -> None:
    async def wire(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await reader.readuntil(b"\r\n\r\npay")
            writer.write(
                reply("503 Service Unavailable", name, more="Bayhinge-Not-Executed: 1\r\n")
            )

    _, attempt, connection_pool, refused = send(wire, times=2)
    assert refused is not None
    assert refused.refusal.run_state is RunState.NOT_RUN
    assert attempt.sends == 0
    assert (connection_pool.counts.opened, connection_pool.counts.reused) == (opened, reused)


class DelayedConnectionPool(EndpointConnectionPool):
    """Returns a connection only once ``may_return`` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.asked = asyncio.Event()
        self.may_return = asyncio.Event()

    async def acquire(self, key: str, address: str) -> EndpointConnection:
        connection = await super().acquire(key, address)
        self.asked.set()
        await self.may_return.wait()
        return connection


def test_nothing_is_sent_to_an_address_that_the_endpoint_left_during_the_connect() -> None:
    sent_to: list[str] = []

    def wire(name: str) -> Wire:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\npay")
            sent_to.append(name)
            writer.write(reply("200 OK", "mine", b"paid"))

        return serve

    async def main() -> tuple[BodyCollector, SendRecord]:
        servers = [
            await asyncio.start_server(wire(name), "127.0.0.1", 0) for name in ("left", "new")
        ]
        addresses = [f"127.0.0.1:{server.sockets[0].getsockname()[1]}" for server in servers]
        endpoint_table, connection_pool, runs = (
            EndpointTable("north"),
            DelayedConnectionPool(),
            ActiveRuns(),
        )
        endpoint_table.put(EndpointEntry("e-1", "app", addresses[0], "north", 4, False, 1_000))
        sender = RequestSender(endpoint_table, connection_pool, PlatformCallFormat(), runs=runs)
        delivery, attempt = BodyCollector(), SendRecord()
        limit_s = asyncio.get_running_loop().time() + 2
        sending = asyncio.create_task(
            sender.send("app", ROUTE, REQUEST, None, attempt, limit_s, delivery)
        )
        await connection_pool.asked.wait()
        restarted_entry = EndpointEntry("e-1", "app", addresses[1], "north", 4, False, 2_000)
        assert endpoint_table.put(restarted_entry) is EntryChange.RESTARTED
        newest = endpoint_table.find("e-1")
        assert newest is not None
        assert runs.handle_restart(newest, NewIncarnation(addresses[1], None)) == (1, 0)
        connection_pool.may_return.set()
        await sending
        assert newest.running_here == 0
        connection_pool.close()
        for server in servers:
            server.close()
        return delivery, attempt

    delivery, attempt = asyncio.run(main())
    assert sent_to == ["new"]
    assert delivery.body == b"paid"
    assert attempt.sends == 1


def test_an_incarnation_that_already_has_the_request_is_not_retried() -> None:
    route = Route(
        "r", "h", "/", RouteKind.IDEMPOTENT, (ServiceShare("app", 1),), 2.0, 1.0, 0, max_endpoints=2
    )

    async def main() -> tuple[int, RefusedError | None]:
        asked = 0
        is_asked, may_close = asyncio.Event(), asyncio.Event()

        async def wire(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal asked
            await reader.readuntil(b"\r\n\r\npay")
            asked += 1
            is_asked.set()
            await may_close.wait()
            writer.close()

        server = await asyncio.start_server(wire, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        endpoint_table, connection_pool, runs = (
            EndpointTable("north"),
            EndpointConnectionPool(),
            ActiveRuns(),
        )
        endpoint_table.put(EndpointEntry("e-1", "app", address, "north", 4, False, 1_000))
        sender = RequestSender(endpoint_table, connection_pool, PlatformCallFormat(), runs=runs)
        limit_s = asyncio.get_running_loop().time() + 2
        sending = asyncio.create_task(
            sender.send("app", route, REQUEST, None, SendRecord(), limit_s, BodyCollector())
        )
        await is_asked.wait()
        endpoint_table.put(EndpointEntry("e-1", "app", address, "north", 4, False, 2_000))
        newest = endpoint_table.find("e-1")
        assert newest is not None
        # It counts as sent after the restart, so it already runs at the new incarnation.
        assert runs.handle_restart(newest, NewIncarnation(address, None)) == (0, 1)
        may_close.set()
        refused = None
        try:
            await sending
        except RefusedError as error:
            refused = error
        assert newest.failures == 1
        connection_pool.close()
        server.close()
        return asked, refused

    asked, refused = asyncio.run(main())
    assert asked == 1
    assert refused is not None
    assert refused.refusal.run_state is RunState.MAY_HAVE_RUN
