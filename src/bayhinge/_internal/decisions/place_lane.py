"""Waiting requests of one account, service and urgency, in the order of service. Pure."""

from bisect import bisect_left, insort
from collections.abc import Callable, Iterator
from itertools import chain, count

import attrs

from bayhinge._internal.decisions.place_request import PlaceRequest, by_age, by_due

OLDEST_EVERY_GRANTS = 50
"""One in this many grants of a service goes to the request that has waited longest among the
urgencies that got none of the others, and one in this many grants of an account to the one that has
waited longest there, if it can still be answered in time. Each of these grants may take a place
from a more urgent request, so fewer of them answer more requests in time."""


@attrs.define(eq=False)
class Lane:
    """Waiting requests of one account, service and urgency.

    Attributes:
        begun: turns of begun programs, in the order of their deadlines.
        first: first turns, in the order of arrival.
        grants: grants by shares since the last one that was due to the oldest.
    """

    begun: list[PlaceRequest] = attrs.field(factory=list)
    first: list[PlaceRequest] = attrs.field(factory=list)
    grants: int = 0

    def __len__(self) -> int:
        return len(self.begun) + len(self.first)

    def insert(self, request: PlaceRequest) -> None:
        if request.begins_program:
            insort(self.first, request, key=by_age)
        else:
            insort(self.begun, request, key=by_due)

    def delete(self, request: PlaceRequest) -> None:
        if request.begins_program:
            del self.first[bisect_left(self.first, by_age(request), key=by_age)]
        else:
            del self.begun[bisect_left(self.begun, by_due(request), key=by_due)]

    def rank(self, request: PlaceRequest, finish_s: float) -> int:
        """Returns about the position of a request in the order; late first turns count by age."""
        if request.begins_program:
            return len(self.begun) + bisect_left(self.first, by_age(request), key=by_age)
        late = bisect_left(self.begun, finish_s, key=_due_s)
        index = bisect_left(self.begun, by_due(request), key=by_due)
        return index - late if index >= late else len(self.begun) - late + index

    def count_grant(self) -> None:
        """Counts a grant by shares."""
        self.grants = (self.grants + 1) % OLDEST_EVERY_GRANTS

    def in_order(
        self, finish_s: float, is_left: Callable[[PlaceRequest], bool]
    ) -> Iterator[PlaceRequest]:
        """Yields the requests in order; one that starts now is expected to end at ``finish_s``.

        Whether a request is still left is asked when its turn comes.
        """
        usual = filter(is_left, self._usual_order(finish_s))
        for grants in count(self.grants):
            request = None
            if (grants + 1) % OLDEST_EVERY_GRANTS == 0:
                request = self._oldest(finish_s, is_left)
            request = request or next(usual, None)
            if request is None:
                return
            yield request

    def _usual_order(self, finish_s: float) -> Iterator[PlaceRequest]:
        """Returns the requests without regard to the rule for the oldest."""
        begun_late = bisect_left(self.begun, finish_s, key=_due_s)
        first = [request for request in self.first if request.deadline_s >= finish_s]
        first_late = [request for request in self.first if request.deadline_s < finish_s]
        return chain(self.begun[begun_late:], self.begun[:begun_late], first, first_late)

    def _oldest(
        self, finish_s: float, is_left: Callable[[PlaceRequest], bool]
    ) -> PlaceRequest | None:
        """Returns the oldest request whose caller still waits at ``finish_s``."""
        in_time = (
            request
            for request in chain(self.begun, self.first)
            if request.deadline_s >= finish_s and is_left(request)
        )
        return min(in_time, key=by_age, default=None)


def _due_s(request: PlaceRequest) -> float:
    return request.due_s
