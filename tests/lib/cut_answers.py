"""Fakes for the delivery of streams: truncated answers of endpoints, and a caller."""

from collections.abc import AsyncIterator
from typing import cast

import attrs

from bayhinge._internal.decisions.answer_timeouts import AnswerTimeouts
from bayhinge._internal.models.routed_requests import AnswerMetadata, RawHeaders, RoutedRequest
from bayhinge._internal.models.routing import Route, RouteKind, ServiceShare
from bayhinge._internal.network.endpoint_answer import IncompleteAnswerError
from bayhinge._internal.network.routed_front import Exchange
from bayhinge._internal.platform.call_format import PlatformCallFormat
from bayhinge._internal.services.gateway.stream_delivery import StreamDelivery
from bayhinge._internal.services.gateway.turn_recorder import TurnRecorder

TOKENS = 3
"""Tokens per event."""

ROUTE = Route(
    "draft",
    "host",
    "/",
    RouteKind.STREAMING,
    (ServiceShare("llm", 1.0),),
    timeout_s=1.0,
    latency_objective_s=1.0,
    urgency=5,
    max_endpoints=9,
    is_resumable=True,
)
SIGNED = AnswerMetadata("a", True, False, False, False, None)
BOUNDS = AnswerTimeouts(silence_s=1.0, pause_s=1.0, may_fail_over=True)


def event(number: int, run: int) -> bytes:
    return b"id: %d\ndata: r%de%d\n\n" % (number, run, number)


@attrs.define
class TruncatedAnswer:
    """An endpoint's answer in chunks, which may be truncated."""

    pieces: list[bytes]
    is_truncated: bool
    status: int = 200
    headers: RawHeaders = ()

    async def read_pieces(self) -> AsyncIterator[bytes]:
        for piece in self.pieces:
            yield piece
        if self.is_truncated:
            raise IncompleteAnswerError("cut")


@attrs.define
class Caller:
    """Fake of the exchange with a caller."""

    body: bytes = b""
    headers_sent: bool = False
    is_whole: bool = False

    async def begin(self, status: int, headers: RawHeaders) -> None:
        assert not self.headers_sent
        self.headers_sent = True

    async def write(self, piece: bytes) -> None:
        self.body += piece

    async def finish(self) -> None:
        self.is_whole = True


def delivery_to(caller: Caller, request: RoutedRequest, route: Route = ROUTE) -> StreamDelivery:
    """Returns a stream delivery to a caller that records no turn."""
    return StreamDelivery(
        cast(Exchange, caller),
        PlatformCallFormat(),
        cast(TurnRecorder, None),
        None,
        request,
        TOKENS,
        route,
    )
