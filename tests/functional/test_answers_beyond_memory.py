"""A stream that the memory budget has no room for, on a real connection."""

import asyncio
from typing import cast

import attrs
import pytest

from bayhinge._internal.decisions.endpoint_table import EndpointTable
from bayhinge._internal.decisions.memory_budget import MemoryBudget
from bayhinge._internal.models.endpoint_entries import EndpointEntry
from bayhinge._internal.models.refusals import RefusalCode, RefusedError, SendRecord
from bayhinge._internal.models.routed_requests import RoutedRequest
from bayhinge._internal.network.endpoint_connections import EndpointConnectionPool
from bayhinge._internal.network.routed_front import Exchange
from bayhinge._internal.platform.call_format import PlatformCallFormat
from bayhinge._internal.services.gateway.held_memory import HeldMemory
from bayhinge._internal.services.gateway.request_sender import RequestSender
from bayhinge._internal.services.gateway.stream_delivery import StreamDelivery
from bayhinge._internal.services.gateway.turn_recorder import TurnRecorder
from tests.lib.cut_answers import ROUTE, TOKENS, Caller

pytestmark = pytest.mark.functional
HEAD = (
    b"HTTP/1.1 200 OK\r\nBayhinge-Attempt-Id: mine\r\nBayhinge-Server-Seal: s\r\n"
    b"Connection: close\r\n\r\n"
)
EVENTS = 3
BUDGET_BYTES = 200_000


@attrs.define
class SlowCaller(Caller):
    """A caller with unread bytes."""

    unread_bytes: int = 0

    def buffer_writes(self, limit: int) -> None:
        return

    def watch_caller(self, on_check: object) -> None:
        return

    def expect_slow_reading(self) -> None:
        return


def test_a_stream_beyond_the_budget_is_not_resumed_without_the_events_it_lost() -> None:
    """Guards against a gap in a stream that ends as complete, and a rest for a healthy endpoint.

    The events of a piece count as forwarded before there is room for the piece.
    """
    request_count = 0
    caller = SlowCaller(unread_bytes=BUDGET_BYTES)
    table, pool = EndpointTable("north"), EndpointConnectionPool()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal request_count
        lines = (await reader.readuntil(b"\r\n\r\n")).lower().split(b"\r\n")
        after = [int(line.split(b":")[1]) for line in lines if line.startswith(b"last-event-id")]
        request_count += 1
        if request_count > 1:
            # It has read everything meanwhile.
            caller.unread_bytes = 0
        first = after[0] + 1 if after else 1
        text = b"".join(b"id: %d\ndata: e\n\n" % number for number in range(first, EVENTS + 1))
        writer.write(HEAD + text)
        writer.close()

    async def main() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        for name in ("e-1", "e-2"):
            table.put(EndpointEntry(name, "llm", address, "north", 4, False))
        request = RoutedRequest("GET", "/x", "host", (), "mine")
        sender = RequestSender(table, pool, PlatformCallFormat())
        limit_s = asyncio.get_running_loop().time() + 5
        with HeldMemory(MemoryBudget(BUDGET_BYTES, BUDGET_BYTES // 2)).open("mine", 5) as memory:
            delivery = StreamDelivery(
                cast(Exchange, caller),
                PlatformCallFormat(),
                cast(TurnRecorder, None),
                None,
                request,
                TOKENS,
                ROUTE,
                memory,
            )
            with pytest.raises(RefusedError) as raised:
                await sender.send("llm", ROUTE, request, None, SendRecord(), limit_s, delivery)
        assert raised.value.refusal.code is RefusalCode.OUTCOME_UNKNOWN
        pool.close()
        server.close()

    asyncio.run(main())
    assert (caller.is_whole, request_count) == (False, 1)
    assert [state.failures for state in table.all()] == [0.0, 0.0]
