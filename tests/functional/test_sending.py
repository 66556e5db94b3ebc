"""What a sender makes of refusals that come late, or belong to another request."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from bayhinge._internal.decisions.answer_bounds import AnswerBounds
from bayhinge._internal.decisions.endpoint_book import EndpointBook
from bayhinge._internal.models.endpoint_entries import EndpointEntry
from bayhinge._internal.models.refusals import CallAttempt, RefusedError, RunState
from bayhinge._internal.models.routed_requests import AnswerMarks, RoutedRequest
from bayhinge._internal.models.routing import Route, RouteKind, ServiceShare
from bayhinge._internal.network.endpoint_answer import Answer
from bayhinge._internal.network.endpoint_link import EndpointLinks
from bayhinge._internal.platform.call_format import PlatformCallFormat
from bayhinge._internal.services.gateway.delivery import Delivery
from bayhinge._internal.services.gateway.sending import Sender

pytestmark = pytest.mark.functional
Wire = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
ROUTE = Route(
    "r", "h", "/", RouteKind.AT_MOST_ONCE, (ServiceShare("app", 1),), 2.0, 1.0, 0, max_endpoints=1
)
REQUEST = RoutedRequest("POST", "/x", "h", ((b"Host", b"h"),), "mine", body=b"pay")


class Keep(Delivery):
    """Keeps the body."""

    def __init__(self) -> None:
        super().__init__()
        self.body = b""

    async def deliver(
        self, answer: Answer, marks: AnswerMarks, may_repeat: bool, bounds: AnswerBounds
    ) -> None:
        self.body = await answer.read_body()


def reply(status: str, name: str, body: bytes = b"", more: str = "") -> bytes:
    named = f"Bayhinge-Attempt-Id: {name}\r\n" if name else ""
    head = f"HTTP/1.1 {status}\r\n{named}{more}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def send(
    wire: Wire, times: int = 1
) -> tuple[Keep, CallAttempt, EndpointLinks, RefusedError | None]:
    async def main() -> tuple[Keep, CallAttempt, EndpointLinks, RefusedError | None]:
        server = await asyncio.start_server(wire, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        book, links = EndpointBook("north"), EndpointLinks()
        book.put(EndpointEntry("e-1", "app", f"127.0.0.1:{port}", "north", 4, False))
        sender = Sender(book, links, PlatformCallFormat())
        delivery, attempt, refused = Keep(), CallAttempt(), None
        limit_s = asyncio.get_running_loop().time() + 2
        for _ in range(times):
            refused = None
            try:
                await sender.send("app", ROUTE, REQUEST, None, attempt, limit_s, delivery)
            except RefusedError as error:
                refused = error
        links.close()
        server.close()
        return delivery, attempt, links, refused

    return asyncio.run(main())


@pytest.mark.parametrize(
    "late",
    [
        reply("421 Misdirected Request", "other"),
        reply("503 Service Unavailable", "other", more="Bayhinge-Not-Executed: 1\r\n"),
    ],
)
def test_a_refusal_of_another_request_says_nothing_of_this_one(late: bytes) -> None:
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


@pytest.mark.parametrize("name", ["", "mine"])
def test_a_refusal_of_its_own_leaves_it_unrun_and_the_connection_in_use(name: str) -> None:
    async def wire(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await reader.readuntil(b"\r\n\r\npay")
            writer.write(
                reply("503 Service Unavailable", name, more="Bayhinge-Not-Executed: 1\r\n")
            )

    _, attempt, links, refused = send(wire, times=2)
    assert refused is not None
    assert refused.refusal.run_state is RunState.NOT_RUN
    assert attempt.sends == 0
    assert (links.counts.opened, links.counts.reused) == (1, 1)
