"""What a caller gets of a stream whose runs break off, wherever they do."""

import asyncio
from collections.abc import AsyncIterator
from typing import cast

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bayhinge._internal.decisions.answer_bounds import AnswerBounds
from bayhinge._internal.models.routed_requests import AnswerMarks, RawHeaders, RoutedRequest
from bayhinge._internal.models.routing import Route, RouteKind, ServiceShare
from bayhinge._internal.network.endpoint_answer import Answer, BrokenAnswerError
from bayhinge._internal.network.routed_front import Exchange
from bayhinge._internal.platform.call_format import PlatformCallFormat
from bayhinge._internal.services.gateway.stream_delivery import StreamDelivery
from bayhinge._internal.services.gateway.turn_keeper import TurnKeeper

EVENTS = 4
TOKENS = 3
ROUTE = Route(
    "draft",
    "host",
    "/",
    RouteKind.STREAMING,
    (ServiceShare("llm", 1.0),),
    timeout_s=1.0,
    objective_s=1.0,
    urgency=5,
    max_endpoints=9,
    is_resumable=True,
)
SIGNED = AnswerMarks("a", True, False, False, False, None)
BOUNDS = AnswerBounds(unheard_s=1.0, pause_s=1.0, may_leave=True)


def event(number: int, run: int) -> bytes:
    return b"id: %d\ndata: r%de%d\n\n" % (number, run, number)


@attrs.define
class CutAnswer:
    """An endpoint's answer that comes in pieces and may break off."""

    pieces: list[bytes]
    breaks_off: bool
    status: int = 200
    headers: RawHeaders = ()

    async def read_pieces(self) -> AsyncIterator[bytes]:
        for piece in self.pieces:
            yield piece
        if self.breaks_off:
            raise BrokenAnswerError("cut")


@attrs.define
class Caller:
    """Stands for the exchange with a caller."""

    body: bytes = b""
    has_begun: bool = False
    is_whole: bool = False

    async def begin(self, status: int, headers: RawHeaders) -> None:
        assert not self.has_begun
        self.has_begun = True

    async def write(self, piece: bytes) -> None:
        self.body += piece

    async def finish(self) -> None:
        self.is_whole = True


@pytest.mark.parametrize("breaks_off", [True, False])
def test_an_event_that_went_out_in_part_counts(breaks_off: bool) -> None:
    """Streams that may not be resumed go out as they come, also the part of an event.

    One that ends within an event as if it were whole is broken all the same.
    """

    async def scenario() -> None:
        delivery = StreamDelivery(
            cast(Exchange, Caller()),
            PlatformCallFormat(),
            cast(TurnKeeper, None),
            None,
            RoutedRequest("POST", "/x", "host", (), "a"),
            TOKENS,
            attrs.evolve(ROUTE, is_resumable=False),
        )
        answer = CutAnswer([event(1, 1), event(2, 1)[:-4]], breaks_off)
        with pytest.raises(BrokenAnswerError):
            await delivery.deliver(cast(Answer, answer), SIGNED, False, BOUNDS)
        assert delivery.tokens_handed_out == 2 * TOKENS

    asyncio.run(scenario())


async def deliver(has: int | None, cuts: list[tuple[int, int]]) -> tuple[Caller, StreamDelivery]:
    """Plays runs that break off after so many bytes, in pieces of a size, and one that does not."""
    caller = Caller()
    request = RoutedRequest("POST", "/x", "host", (), "a", resume_after=has)
    delivery = StreamDelivery(
        cast(Exchange, caller),
        PlatformCallFormat(),
        cast(TurnKeeper, None),
        None,
        request,
        TOKENS,
        ROUTE,
    )
    for run, (length, size) in enumerate([*cuts, (10_000, 7)], start=1):
        first = (delivery.resume_after or 0) + 1
        text = b"".join(event(number, run) for number in range(first, EVENTS + 1))
        kept = text[:length]
        pieces = [kept[start : start + size] for start in range(0, len(kept), size)]
        answer = CutAnswer(pieces, breaks_off=length < len(text))
        try:
            await delivery.deliver(cast(Answer, answer), SIGNED, True, BOUNDS)
        except BrokenAnswerError as error:
            whole = kept.rpartition(b"\n\n")
            assert error.cut_bytes == len(whole[2])
            assert delivery.may_go_on
        else:
            break
    return caller, delivery


@given(
    st.none() | st.integers(0, EVENTS - 1),
    st.lists(st.tuples(st.integers(0, 60), st.integers(1, 70)), max_size=4),
)
def test_a_caller_gets_each_event_as_one_run_made_it(
    has: int | None, cuts: list[tuple[int, int]]
) -> None:
    caller, delivery = asyncio.run(deliver(has, cuts))
    assert caller.is_whole
    numbers = range((has or 0) + 1, EVENTS + 1)
    *found, rest = caller.body.split(b"\n\n")
    assert (len(found), rest) == (len(numbers), b"")
    for number, block in zip(numbers, found, strict=True):
        assert block + b"\n\n" in {event(number, run) for run in range(1, len(cuts) + 2)}
    assert delivery.tokens_handed_out == len(numbers) * TOKENS
