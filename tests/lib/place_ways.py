"""Compares orders of the queue for places, and ways of refusing, on the same drawn arrivals.

``python -m tests.lib.place_ways`` prints the table of docs/design/hard-load-measured.md.
"""

import random
from bisect import bisect_left, insort
from collections.abc import Callable, Iterable, Iterator
from functools import cache
from multiprocessing import Pool
from statistics import mean

from bayhinge._internal.decisions.place_queue import PlaceQueue
from bayhinge._internal.decisions.place_request import PlaceRequest
from bayhinge._internal.decisions.wait_estimate import USUAL_ERRORS, WaitEstimate
from tests.lib.place_play import Arrival, Load, Play

SEEDS = (1, 2, 3, 4, 5)
PROCESSES = 4

SETTLED_S = 8.0
"""Arrivals before this time are left out, as the queue is still growing."""

MIXED = Load(1.3, shares=((0, 0.2), (5, 0.6), (9, 0.2)))


def settled(arrivals: list[Arrival], load: Load) -> list[Arrival]:
    """Returns the arrivals while the queue has its usual length."""
    last_s = load.until_s - 12.0
    return [one for one in arrivals if SETTLED_S <= one.request.arrived_s < last_s]


def share_in_time(arrivals: Iterable[Arrival]) -> float:
    """Returns the share of requests that were answered in time."""
    results = [arrival.is_in_time for arrival in arrivals]
    return sum(results) / len(results)


class SortedQueue(PlaceQueue):
    """A queue with a fixed order, to compare with."""

    def __init__(self, key: Callable[[PlaceRequest], float]) -> None:
        super().__init__()
        self._key = key
        self._sorted: list[PlaceRequest] = []

    def add(self, request: PlaceRequest) -> None:
        super().add(request)
        insort(self._sorted, request, key=self._key)

    def remove(self, ticket: int) -> None:
        super().remove(ticket)
        self._sorted = [request for request in self._sorted if request.ticket != ticket]

    def in_order(self, service: str, now_s: float) -> Iterator[PlaceRequest]:
        return iter(self._sorted)

    def ahead_of(self, request: PlaceRequest, now_s: float) -> int:
        return bisect_left(self._sorted, self._key(request), key=self._key)


QUEUE_BY_ORDER: dict[str, Callable[[], PlaceQueue]] = {
    "first come, first served": lambda: SortedQueue(lambda request: request.arrived_s),
    "earliest deadline first": lambda: SortedQueue(lambda request: request.due_s),
    "fair shares": PlaceQueue,
}
USUAL_ERRORS_BY_REFUSAL: dict[str, float | None] = {
    "none": None,
    "without the error": 0.0,
    "with the error": USUAL_ERRORS,
}
FAIR_SHARES, WITH_ERROR = "fair shares", "with the error"
"""The order and the refusal of the product, among those that are compared."""


@cache
def play(load: Load, order: str, refusal: str, seed: int) -> list[Arrival]:
    """Returns the settled arrivals of one play."""
    usual_errors = USUAL_ERRORS_BY_REFUSAL[refusal]
    estimate = None
    if usual_errors is not None:
        estimate = WaitEstimate(random.Random(seed), usual_errors)
    return settled(Play(load, QUEUE_BY_ORDER[order](), estimate).run(seed), load)


def of_urgency(arrivals: list[Arrival], urgency: int) -> list[Arrival]:
    """Returns the arrivals of one urgency."""
    return [arrival for arrival in arrivals if arrival.request.urgency == urgency]


def needless_refusals(load: Load, order: str, refusal: str, seed: int) -> float:
    """Returns the share of requests refused that a play without refusal answers in time."""
    pairs = list(
        zip(play(load, order, refusal, seed), play(load, order, "none", seed), strict=True)
    )
    return sum(one.is_refused and other.is_in_time for one, other in pairs) / len(pairs)


def figures(load: Load, order: str, refusal: str, seed: int) -> list[float]:
    """Returns one play's row of the table, as shares."""
    arrivals = play(load, order, refusal, seed)
    return [
        share_in_time(arrivals),
        *(share_in_time(of_urgency(arrivals, urgency)) for urgency, _ in load.shares),
        mean(one.is_refused for one in arrivals),
        needless_refusals(load, order, refusal, seed),
        mean(one.granted_s is not None and not one.is_in_time for one in arrivals),
        mean(one.granted_s is None and not one.is_refused for one in arrivals),
    ]


def _figures(key: tuple[Load, str, str, int]) -> list[float]:
    return figures(*key)


def others_in_a_storm(key: tuple[float, str, int]) -> tuple[float, float]:
    """Returns the share in time of 86 accounts, before and while another one storms."""
    load, order, seed = key
    before, storm = (
        share_in_time(
            one
            for one in play(Load(load, storm=factor), order, WITH_ERROR, seed)
            if one.request.account != "account-0"
        )
        for factor in (1.0, 7.5)
    )
    return before, storm


def _cell(values: list[float]) -> str:
    return f"{mean(values):.3f} ({min(values):.3f} to {max(values):.3f})"


def _rows() -> Iterator[str]:
    with Pool(PROCESSES) as pool:
        for order in QUEUE_BY_ORDER:
            for refusal in USUAL_ERRORS_BY_REFUSAL:
                rows = pool.map(_figures, [(MIXED, order, refusal, seed) for seed in SEEDS])
                cells = [_cell(list(column)) for column in zip(*rows, strict=True)]
                yield f"| {order} | {refusal} | {' | '.join(cells)} |"
        yield ""
        for order in ("first come, first served", FAIR_SHARES):
            for load in (0.95, 1.1, 1.3):
                pairs = pool.map(others_in_a_storm, [(load, order, seed) for seed in SEEDS])
                before, storm = (list(column) for column in zip(*pairs, strict=True))
                ratios = [storm / before for before, storm in pairs]
                yield f"| {order} | {load} | {_cell(before)} | {_cell(storm)} | {_cell(ratios)} |"


if __name__ == "__main__":
    for row in _rows():
        print(row, flush=True)
