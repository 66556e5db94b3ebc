"""Requests that wait for a place at an endpoint of a service, in the order of service. Pure.

Kept by a hall's coordinator for all hosts, or by a host that places alone for its own requests.
"""

from collections import Counter
from collections.abc import Iterator, Mapping

import attrs


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


class PlaceQueue:
    """The waiting requests of one coordinator, by service."""

    def __init__(self) -> None:
        self._request_by_ticket: dict[int, PlaceRequest] = {}

    def add(self, request: PlaceRequest) -> None:
        """Adds a request."""
        self._request_by_ticket[request.ticket] = request

    def remove(self, ticket: int) -> None:
        """Removes a request that no longer waits; one that is not in the queue is ignored."""
        self._request_by_ticket.pop(ticket, None)

    def waiting(self, service: str) -> int:
        """Returns how many requests wait for a service."""
        return self.waiting_by_service().get(service, 0)

    def waiting_by_service(self) -> Mapping[str, int]:
        """Returns how many requests wait for each service."""
        return Counter(request.service for request in self._request_by_ticket.values())

    def in_order(self, service: str, now_s: float) -> Iterator[PlaceRequest]:
        """Yields the waiting requests of a service in the order in which they get places."""
        waiting = [
            request for request in self._request_by_ticket.values() if request.service == service
        ]
        yield from sorted(waiting, key=lambda request: (request.urgency, request.arrived_s))

    def ahead_of(self, request: PlaceRequest, now_s: float) -> int:
        """Returns how many waiting requests get a place before this one, which may not wait yet."""
        key = (request.urgency, request.arrived_s)
        return sum(
            (other.urgency, other.arrived_s) < key
            for other in self._request_by_ticket.values()
            if other.service == request.service and other.ticket != request.ticket
        )

    def record_grant(self, request: PlaceRequest, now_s: float) -> None:
        """Removes a request that got a place; called also for one that never had to wait."""
        self.remove(request.ticket)

    def record_duration(self, service: str, account: str, duration_s: float) -> None:
        """Counts the service time that a request of an account has used, once it has ended."""
