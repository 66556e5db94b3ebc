"""What a run of a stream left behind must not decide what the next one gives."""

import asyncio
from typing import cast

import pytest

from bayhinge._internal.models.routed_requests import RoutedRequest
from bayhinge._internal.network.endpoint_answer import Answer, IncompleteAnswerError
from bayhinge._internal.services.gateway.stream_delivery import StreamDelivery
from tests.lib.cut_answers import BOUNDS, SIGNED, Caller, CutAnswer, delivery_to, event


async def play(has: int | None, runs: list[CutAnswer]) -> tuple[Caller, list[str], StreamDelivery]:
    """Delivers run after run, as a sender does, until one is whole."""
    caller = Caller()
    request = RoutedRequest("POST", "/x", "host", (), "a", resume_after=has)
    delivery = delivery_to(caller, request)
    whys: list[str] = []
    for run in runs:
        try:
            await delivery.deliver(cast(Answer, run), SIGNED, True, BOUNDS)
        except IncompleteAnswerError as error:
            whys.append(error.why)
        else:
            break
    return caller, whys, delivery


def numbers(caller: Caller) -> list[int]:
    return [int(line[4:]) for line in caller.body.split(b"\n") if line.startswith(b"id: ")]


@pytest.mark.parametrize("is_one_piece", [False, True])
def test_events_in_front_of_a_gap_are_not_lost(is_one_piece: bool) -> None:
    """A run that goes on gives event 2, and then 4: it is left there, and the next one goes on.

    Where 2 and 4 come in one piece, 2 counts as passed on (``last`` is 2) and its bytes are dropped
    with the piece, so the third run is asked for what stands behind 2.
    """
    odd = [event(2, 2), event(4, 2)]
    pieces = [b"".join(odd)] if is_one_piece else odd

    async def main() -> None:
        caller, whys, delivery = await play(
            None,
            [CutAnswer([event(1, 1)], breaks_off=True), CutAnswer(pieces, breaks_off=True)],
        )
        assert whys == ["cut", "event 4 follows event 2"]
        assert numbers(caller) == list(range(1, (delivery.resume_after or 0) + 1))

    asyncio.run(main())


def test_a_callers_own_resume_that_begins_too_late_is_not_passed_on() -> None:
    """The caller has event 1; the only run that it gets begins at 3 and ends as whole."""

    async def main() -> None:
        run = CutAnswer([event(3, 1), event(4, 1)], breaks_off=False)
        caller, _, _ = await play(1, [run])
        assert not caller.is_whole

    asyncio.run(main())


def test_numbers_that_rise_by_more_than_one_go_on_where_the_first_run_said_nothing() -> None:
    """The caller has event 10 of 10, 20, 30; the first run breaks off before it says anything."""

    async def main() -> None:
        runs = [
            CutAnswer([], breaks_off=True),
            CutAnswer([event(20, 2), event(30, 2)], breaks_off=False),
        ]
        caller, whys, _ = await play(10, runs)
        assert whys == ["cut"]
        assert caller.is_whole

    asyncio.run(main())


def test_a_stream_without_numbers_is_not_joined_to_one_with_numbers() -> None:
    """Nothing says what of an unnumbered event the next run gives again."""

    async def main() -> None:
        runs = [
            CutAnswer([b"data: one\n\n"], breaks_off=True),
            CutAnswer([b"id: 1\ndata: one\n\n", b"id: 2\ndata: two\n\n"], breaks_off=False),
        ]
        caller, _, delivery = await play(None, runs)
        assert caller.body.count(b"data: one\n\n") == 1
        assert not delivery.may_continue

    asyncio.run(main())
