"""A request that waits for a place at an endpoint of a service, and its sort keys. Pure."""

from typing import NamedTuple

import attrs

from bayhinge._internal.decisions.account_shares import Group


@attrs.frozen
class PlaceRequest:
    """A request that needs a place. Times are on the monotonic clock of the queue's owner.

    Attributes:
        ticket: identifies the request in one queue.
        urgency: 0 is the most urgent.
        account: the client account, or empty.
        begins_program: it is the first turn of its program.
        arrived_s: when its wait began, possibly at an earlier coordinator.
        deadline_s: when its caller gives up.
        objective_s: when its latency objective is missed.
        program_deadline_s: when its program should be over, or None if unknown.
    """

    ticket: int
    service: str
    urgency: int
    account: str
    begins_program: bool
    arrived_s: float
    deadline_s: float
    objective_s: float
    program_deadline_s: float | None = None

    @property
    def group(self) -> Group:
        """The group of requests that it competes with."""
        return self.service, self.urgency

    @property
    def due_s(self) -> float:
        """When its program should be over, or else when its caller gives up."""
        return self.deadline_s if self.program_deadline_s is None else self.program_deadline_s


class AgeKey(NamedTuple):
    """Order by arrival."""

    arrived_s: float
    urgency: int
    ticket: int


def by_age(request: PlaceRequest) -> AgeKey:
    """Returns the sort key of first turns, and of all requests by age."""
    return AgeKey(request.arrived_s, request.urgency, request.ticket)


def by_due(request: PlaceRequest) -> tuple[float, AgeKey]:
    """Returns the sort key of turns of begun programs; the age makes it unique."""
    return request.due_s, by_age(request)
