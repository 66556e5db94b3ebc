"""Predicts positions in a queue of requests without ordering all of it for each one. Pure.

An exact position costs a pass over all requests ahead. Each waiting request asks for its position
several times a second, so the exact ones of 300 requests took more than a core.
"""

import attrs

from bayhinge._internal.decisions.place_queue import PlaceQueue
from bayhinge._internal.decisions.place_request import PlaceRequest

MAX_AGE_S = 0.05
"""Age up to which an order is used for predictions: a quarter of the time between two calls of a
waiting request, and 20 passes a second at most."""

MIN_WAITING = 16
"""With fewer waiting requests, exact positions cost less than keeping an order."""

Lane = tuple[int, str]
"""Urgency and account."""


@attrs.frozen
class _Order:
    """The order of a service's requests at one time: positions by their rank in the lane."""

    at_s: float
    positions_by_lane: dict[Lane, list[int]]


class QueuePositions:
    """Positions in the queue, from orders that are a little old."""

    def __init__(self, queue: PlaceQueue) -> None:
        self._queue = queue
        self._order_by_service: dict[str, _Order] = {}

    def ahead_of(self, request: PlaceRequest, now_s: float) -> int:
        """Returns how many waiting requests get a place before this one, which waits.

        The position is that of the request which had its rank among those of its account and
        urgency. Without any such request the position is exact.
        """
        waiting = self._queue.waiting(request.service)
        if waiting < MIN_WAITING:
            return self._queue.ahead_of(request, now_s)
        order = self._order_by_service.get(request.service)
        if order is None or not 0.0 <= now_s - order.at_s < MAX_AGE_S:
            order = self._order_by_service[request.service] = self._order(request.service, now_s)
        positions = order.positions_by_lane.get((request.urgency, request.account))
        if positions is None:
            return self._queue.ahead_of(request, now_s)
        rank = self._queue.rank_in_account(request, now_s)
        most = waiting - 1
        if rank < len(positions):
            return min(positions[rank], most)
        # Accounts take turns.
        lanes = sum(urgency == request.urgency for urgency, _ in order.positions_by_lane)
        return min(max(positions) + (rank - len(positions) + 1) * lanes, most)

    def _order(self, service: str, now_s: float) -> _Order:
        ranked_by_lane: dict[Lane, list[tuple[int, int]]] = {}
        for position, request in enumerate(self._queue.in_order(service, now_s)):
            # The rule for the oldest request takes it out of the order of its account.
            rank = self._queue.rank_in_account(request, now_s)
            lane = request.urgency, request.account
            ranked_by_lane.setdefault(lane, []).append((rank, position))
        return _Order(
            now_s,
            {
                lane: [position for _, position in sorted(ranked)]
                for lane, ranked in ranked_by_lane.items()
            },
        )
