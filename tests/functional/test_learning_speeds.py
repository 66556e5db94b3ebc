"""A sender learns the speeds of endpoints from answers over real connections."""

import asyncio
import functools

import pytest

from bayhinge._internal.decisions.answer_timeouts import AnswerTimeouts
from bayhinge._internal.decisions.endpoint_table import EndpointTable
from bayhinge._internal.models.endpoint_entries import EndpointEntry
from bayhinge._internal.models.refusals import SendRecord
from bayhinge._internal.models.routed_requests import AnswerMetadata, RoutedRequest
from bayhinge._internal.models.routing import Route, RouteKind, ServiceShare
from bayhinge._internal.network.endpoint_answer import Answer
from bayhinge._internal.network.endpoint_connections import EndpointConnectionPool
from bayhinge._internal.platform.call_format import PlatformCallFormat
from bayhinge._internal.services.gateway.delivery import Delivery
from bayhinge._internal.services.gateway.request_sender import RequestSender
from bayhinge._internal.services.gateway.speed_tracker import SpeedTracker

pytestmark = pytest.mark.functional
ROUTE = Route(
    "r", "h", "/", RouteKind.AT_MOST_ONCE, (ServiceShare("app", 1),), 9.0, 9.0, 0, max_endpoints=1
)
REQUEST = RoutedRequest("POST", "/x", "h", ((b"Host", b"h"),), "mine", body=b"pay")


class Collector(Delivery):
    """Reads the answer, as a delivery does."""

    async def deliver(
        self, answer: Answer, marks: AnswerMetadata, may_repeat: bool, bounds: AnswerTimeouts
    ) -> None:
        await answer.read_body()
        self.read_s = asyncio.get_running_loop().time()
        self.outcome = "served"


def test_the_sender_records_the_durations_of_its_answers() -> None:
    """Guards against a sender that measures nothing."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, delay_s: float
    ) -> None:
        while await reader.read(4096):
            await asyncio.sleep(delay_s)
            writer.write(
                b"HTTP/1.1 200 OK\r\nBayhinge-Attempt-Id: mine\r\nContent-Length: 0\r\n\r\n"
            )

    async def main() -> dict[str, int]:
        table, pool = EndpointTable("north"), EndpointConnectionPool()
        speeds = SpeedTracker(table)
        sender = RequestSender(table, pool, PlatformCallFormat(), speeds=speeds)
        servers = []
        for name, delay_s in (("slow", 0.2), ("fast", 0.01)):
            server = await asyncio.start_server(
                functools.partial(serve, delay_s=delay_s), "127.0.0.1", 0
            )
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            table.put(EndpointEntry(name, "app", address, "north", 1, False))
            servers.append(server)
        limit_s = asyncio.get_running_loop().time() + 20.0

        async def send() -> None:
            await sender.send("app", ROUTE, REQUEST, None, SendRecord(), limit_s, Collector())

        for _ in range(8):
            # Two at once, so that both endpoints of one slot get a request.
            await asyncio.gather(send(), send())
        pool.close()
        for server in servers:
            server.close()
        return speeds.own_ratios("north")

    ratios = asyncio.run(main())
    assert ratios["slow"] > 2 * ratios["fast"], ratios
