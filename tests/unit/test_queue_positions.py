"""Guards against a coordinator that orders its whole queue for each call of a waiting request."""

import random

import pytest

from bayhinge._internal.decisions import place_queue
from bayhinge._internal.decisions.place_queue import PlaceQueue
from bayhinge._internal.decisions.place_request import PlaceRequest
from bayhinge._internal.decisions.queue_positions import MAX_AGE_S, QueuePositions

NOW_S = 5.0


def queue_of(count: int, accounts: int) -> tuple[PlaceQueue, list[PlaceRequest]]:
    drawn = random.Random(3)
    queue = PlaceQueue()
    requests = [
        PlaceRequest(
            number,
            "app",
            drawn.choice((2, 5)),
            f"a{drawn.randrange(accounts)}",
            drawn.random() < 0.3,
            drawn.uniform(0.0, NOW_S),
            NOW_S + drawn.uniform(5.0, 20.0),
            60.0,
        )
        for number in range(count)
    ]
    for request in requests:
        queue.add(request)
    return queue, requests


@pytest.mark.parametrize("accounts", [1, 40])
def test_a_call_does_not_order_the_whole_queue(
    accounts: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against work in proportion to the square of the waiting requests."""
    queue, requests = queue_of(300, accounts)
    passes = 0
    in_order = place_queue.PlaceQueue.in_order

    def counted(self: PlaceQueue, service: str, now_s: float) -> object:
        nonlocal passes
        passes += 1
        return in_order(self, service, now_s)

    monkeypatch.setattr(place_queue.PlaceQueue, "in_order", counted)
    positions = QueuePositions(queue)
    for request in requests:
        positions.ahead_of(request, NOW_S)
    assert passes == 1
    positions.ahead_of(requests[0], NOW_S + 1.01 * MAX_AGE_S)
    assert passes == 2


@pytest.mark.parametrize(("count", "accounts"), [(10, 3), (45, 1), (45, 8), (300, 40)])
def test_positions_of_a_new_order_are_those_of_the_queue(count: int, accounts: int) -> None:
    """Guards against refusals by a wrong position."""
    queue, requests = queue_of(count, accounts)
    positions = QueuePositions(queue)
    for request in requests:
        assert positions.ahead_of(request, NOW_S) == queue.ahead_of(request, NOW_S)


def test_a_request_after_the_order_comes_behind_those_of_its_account() -> None:
    """Guards against a storm whose newest requests all seem to come next."""
    queue, requests = queue_of(45, 8)
    positions = QueuePositions(queue)
    last = max(positions.ahead_of(one, NOW_S) for one in requests if one.account == "a1")
    for number in range(100, 200):
        late = PlaceRequest(number, "app", 5, "a1", True, NOW_S, NOW_S + 20, 60.0)
        queue.add(late)
        ahead = positions.ahead_of(late, NOW_S + MAX_AGE_S / 2)
        assert last < ahead < queue.waiting("app")
        last = ahead if ahead < queue.waiting("app") - 1 else last
