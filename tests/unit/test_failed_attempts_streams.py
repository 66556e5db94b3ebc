"""State of a failed run of a stream must not affect the next run."""

import asyncio
from typing import cast

import pytest

from bayhinge._internal.models.routed_requests import RoutedRequest
from bayhinge._internal.network.endpoint_answer import Answer, IncompleteAnswerError
from bayhinge._internal.services.gateway.stream_delivery import StreamDelivery
from tests.lib.cut_answers import BOUNDS, SIGNED, Caller, TruncatedAnswer, delivery_to, event


async def deliver_runs(
    resume_after: int | None, runs: list[TruncatedAnswer]
) -> tuple[Caller, list[str], StreamDelivery]:
    """Delivers runs in order, as a sender does, until one is complete."""
    caller = Caller()
    request = RoutedRequest("POST", "/x", "host", (), "a", resume_after=resume_after)
    delivery = delivery_to(caller, request)
    errors: list[str] = []
    for run in runs:
        try:
            await delivery.deliver(cast(Answer, run), SIGNED, True, BOUNDS)
        except IncompleteAnswerError as error:
            errors.append(error.why)
        else:
            break
    return caller, errors, delivery


def event_numbers(caller: Caller) -> list[int]:
    return [int(line[4:]) for line in caller.body.split(b"\n") if line.startswith(b"id: ")]


@pytest.mark.parametrize("in_one_piece", [False, True])
def test_events_before_a_gap_are_delivered(in_one_piece: bool) -> None:
    """Guards against dropping the event before a gap while counting it as delivered."""
    gapped_events = [event(2, 2), event(4, 2)]
    pieces = [b"".join(gapped_events)] if in_one_piece else gapped_events

    async def main() -> None:
        caller, errors, delivery = await deliver_runs(
            None,
            [
                TruncatedAnswer([event(1, 1)], is_truncated=True),
                TruncatedAnswer(pieces, is_truncated=True),
            ],
        )
        assert errors == ["cut", "event 4 follows event 2"]
        assert event_numbers(caller) == list(range(1, (delivery.resume_after or 0) + 1))

    asyncio.run(main())


def test_a_resumed_stream_with_a_missing_event_is_not_completed() -> None:
    """The caller has event 1; the only run begins at event 3 and is complete."""

    async def main() -> None:
        run = TruncatedAnswer([event(3, 1), event(4, 1)], is_truncated=False)
        caller, _, _ = await deliver_runs(1, [run])
        assert not caller.is_whole

    asyncio.run(main())


def test_non_consecutive_numbers_are_accepted_if_the_first_run_sent_no_event() -> None:
    """The caller has event 10 of 10, 20, 30; the first run breaks off before its first event."""

    async def main() -> None:
        runs = [
            TruncatedAnswer([], is_truncated=True),
            TruncatedAnswer([event(20, 2), event(30, 2)], is_truncated=False),
        ]
        caller, errors, _ = await deliver_runs(10, runs)
        assert errors == ["cut"]
        assert caller.is_whole

    asyncio.run(main())


def test_a_stream_without_event_numbers_is_not_continued_by_one_with_numbers() -> None:
    """Without numbers, events that the next run repeats can't be recognized."""

    async def main() -> None:
        runs = [
            TruncatedAnswer([b"data: one\n\n"], is_truncated=True),
            TruncatedAnswer([b"id: 1\ndata: one\n\n", b"id: 2\ndata: two\n\n"], is_truncated=False),
        ]
        caller, _, delivery = await deliver_runs(None, runs)
        assert caller.body.count(b"data: one\n\n") == 1
        assert not delivery.may_continue

    asyncio.run(main())
