"""What a caller gets of a stream whose runs break off at any byte."""

import asyncio
from typing import cast

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bayhinge._internal.models.routed_requests import RoutedRequest
from bayhinge._internal.network.endpoint_answer import Answer, IncompleteAnswerError
from bayhinge._internal.services.gateway.stream_delivery import StreamDelivery
from tests.lib.cut_answers import (
    BOUNDS,
    ROUTE,
    SIGNED,
    TOKENS,
    Caller,
    TruncatedAnswer,
    delivery_to,
    event,
)

EVENTS = 4


@pytest.mark.parametrize("is_truncated", [True, False])
def test_an_event_that_went_out_in_part_counts(is_truncated: bool) -> None:
    """Guards against ignoring a partial event: its tokens count, and the answer is incomplete."""

    async def scenario() -> None:
        request = RoutedRequest("POST", "/x", "host", (), "a")
        delivery = delivery_to(Caller(), request, attrs.evolve(ROUTE, is_resumable=False))
        answer = TruncatedAnswer([event(1, 1), event(2, 1)[:-4]], is_truncated=is_truncated)
        with pytest.raises(IncompleteAnswerError):
            await delivery.deliver(cast(Answer, answer), SIGNED, False, BOUNDS)
        assert delivery.tokens_delivered == 2 * TOKENS

    asyncio.run(scenario())


async def deliver(
    received_to: int | None, cuts: list[tuple[int, int]]
) -> tuple[Caller, StreamDelivery]:
    """Delivers runs cut after a length, in pieces of a size, and then one that is whole."""
    caller = Caller()
    request = RoutedRequest("POST", "/x", "host", (), "a", resume_after=received_to)
    delivery = delivery_to(caller, request)
    for run, (length, size) in enumerate([*cuts, (10_000, 7)], start=1):
        first = (delivery.resume_after or 0) + 1
        text = b"".join(event(number, run) for number in range(first, EVENTS + 1))
        sent = text[:length]
        pieces = [sent[start : start + size] for start in range(0, len(sent), size)]
        answer = TruncatedAnswer(pieces, is_truncated=length < len(text))
        try:
            await delivery.deliver(cast(Answer, answer), SIGNED, True, BOUNDS)
        except IncompleteAnswerError as error:
            parts = sent.rpartition(b"\n\n")
            assert error.cut_bytes == len(parts[2])
            assert delivery.may_continue
        else:
            break
    return caller, delivery


@given(
    st.none() | st.integers(0, EVENTS - 1),
    st.lists(st.tuples(st.integers(0, 60), st.integers(1, 70)), max_size=4),
)
def test_a_caller_gets_each_event_once_and_whole(
    received_to: int | None, cuts: list[tuple[int, int]]
) -> None:
    caller, delivery = asyncio.run(deliver(received_to, cuts))
    assert caller.is_whole
    numbers = range((received_to or 0) + 1, EVENTS + 1)
    *found, rest = caller.body.split(b"\n\n")
    assert (len(found), rest) == (len(numbers), b"")
    for number, block in zip(numbers, found, strict=True):
        assert block + b"\n\n" in {event(number, run) for run in range(1, len(cuts) + 2)}
    assert delivery.tokens_delivered == len(numbers) * TOKENS
