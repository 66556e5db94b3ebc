"""Streams whose runs end in every possible way: what the caller gets and what is recorded."""

import asyncio
from collections.abc import AsyncIterator
from typing import cast

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from bayhinge._internal.decisions.answer_timeouts import AnswerTimeouts
from bayhinge._internal.decisions.endpoint_state import EndpointState
from bayhinge._internal.models.endpoint_entries import EndpointEntry, EndpointIncarnation
from bayhinge._internal.models.routed_requests import AnswerMetadata, RoutedRequest, TurnContext
from bayhinge._internal.network.endpoint_answer import Answer, IncompleteAnswerError
from bayhinge._internal.network.routed_front import Exchange
from bayhinge._internal.platform.call_format import PlatformCallFormat
from bayhinge._internal.services.gateway.active_runs import ActiveRun
from bayhinge._internal.services.gateway.open_turn import OpenTurn
from bayhinge._internal.services.gateway.stream_delivery import StreamDelivery
from bayhinge._internal.services.gateway.turn_recorder import TurnRecorder
from tests.lib.cut_answers import ROUTE, SIGNED, Caller, TruncatedAnswer

EVENTS = 4
HEARTBEAT = b": beat\n\n"
UNSIGNED = AnswerMetadata("a", False, False, False, False, None)
ENCODED = AnswerMetadata("a", True, False, False, True, None)
BOUNDS = AnswerTimeouts(1.0, True, 0.005)


def data(number: int, run: int) -> bytes:
    return b"r%de%d" % (run, number)


def event(number: int, run: int) -> bytes:
    end = b"\r\n" if (number + run) % 2 else b"\n"
    lines = [b"id: %d" % number, b"data: " + data(number, run), b"", b""]
    if number % 3 == 0:
        lines.insert(0, b"bayhinge-weight-versions: 3")
    return end.join(lines)


@attrs.define
class SilentAnswer(TruncatedAnswer):
    """Goes silent instead of breaking off."""

    async def read_pieces(self) -> AsyncIterator[bytes]:
        for piece in self.pieces:
            yield piece
        if self.is_truncated:
            await asyncio.sleep(5)

    async def read_body(self) -> bytes:
        return b"no"


@attrs.define
class BodyAnswer(TruncatedAnswer):
    async def read_body(self) -> bytes:
        return b"no"


class RecorderStub:
    def __init__(self) -> None:
        self.closed: list[tuple[bytes, int, EndpointIncarnation]] = []

    async def close(
        self, turn: OpenTurn, text: bytes, tokens: int, engine: EndpointIncarnation, keep_s: float
    ) -> None:
        self.closed.append((text, tokens, engine))


FAILURE_KINDS = ["cut", "cut", "cut", "silent", "status", "unsigned", "encoded"]
Run = tuple[str, int, int, int]
"""Kind of the end, bytes before it, bytes per piece, and events sent again at the beginning."""


async def deliver_runs(
    received_to: int | None, failed_runs: list[Run]
) -> tuple[Caller, StreamDelivery, RecorderStub]:
    caller, recorder = Caller(), RecorderStub()
    request = RoutedRequest("POST", "/x", "host", (), "a", resume_after=received_to, body=b"new")
    turn = OpenTurn("a", TurnContext("p", None, 0, None), b"", EndpointIncarnation(), 0)
    delivery = StreamDelivery(
        cast(Exchange, caller),
        PlatformCallFormat(),
        cast(TurnRecorder, recorder),
        turn,
        request,
        3,
        ROUTE,
    )
    for run, (kind, length, size, repeated) in enumerate(
        [*failed_runs, ("whole", 10_000, 5, 0)], start=1
    ):
        entry = EndpointEntry(f"e-{run}", "llm", "127.0.0.1:1", "north", 4, False, run)
        delivery.run = ActiveRun(EndpointState(entry))
        first = max(1, (delivery.resume_after or 0) + 1 - repeated)
        text = b"".join(
            HEARTBEAT * (number % 2) + event(number, run) for number in range(first, EVENTS + 1)
        )
        sent = text[:length]
        pieces = [sent[start : start + size] for start in range(0, len(sent), size)]
        answer_type = SilentAnswer if kind == "silent" else BodyAnswer
        answer = answer_type(pieces, kind != "whole", status=503 if kind == "status" else 200)
        metadata = {"unsigned": UNSIGNED, "encoded": ENCODED}.get(kind, SIGNED)
        try:
            await delivery.deliver(cast(Answer, answer), metadata, True, BOUNDS)
        except IncompleteAnswerError:
            assert delivery.may_continue
        else:
            break
    return caller, delivery, recorder


@settings(max_examples=400, deadline=None)
@given(
    st.none() | st.integers(0, EVENTS),
    st.lists(
        st.tuples(
            st.sampled_from(FAILURE_KINDS),
            st.integers(0, 150),
            st.integers(1, 60),
            st.integers(0, 3),
        ),
        max_size=5,
    ),
)
def test_caller_and_record_get_each_event_once_and_whole(
    received_to: int | None, failed_runs: list[Run]
) -> None:
    caller, delivery, recorder = asyncio.run(deliver_runs(received_to, failed_runs))
    assert caller.is_whole
    rest = caller.body.replace(HEARTBEAT, b"")
    expected_text = b"new"
    for number in range((received_to or 0) + 1, EVENTS + 1):
        made = [
            run for run in range(1, len(failed_runs) + 2) if rest.startswith(event(number, run))
        ]
        assert len(made) == 1, (number, rest)
        rest = rest.removeprefix(event(number, made[0]))
        expected_text += data(number, made[0]) + b"\n"
    assert rest == b""
    ((text, tokens, engine),) = recorder.closed
    assert text == expected_text
    assert tokens == 3 * (EVENTS - (received_to or 0)) == delivery.tokens_delivered
    assert engine == delivery.incarnation
