"""What a request needs of a place, and the error of a request that gets none in time."""

import attrs
import xxhash

from bayhinge._internal.models.routed_requests import RoutedRequest
from bayhinge._internal.models.routing import Route


@attrs.frozen(eq=False)
class PlaceDemand:
    """The properties of one request that decide when it gets a place.

    Compared by identity, as a caller may use an attempt id twice. Times are on the loop's clock.

    Attributes:
        attempt: the request's id, for log lines.
        urgency: 0 is the most urgent.
        account: the client account, or empty.
        begins_program: it is the first turn of its program.
        arrived_s: when its wait began.
        deadline_s: when its caller gives up.
        objective_s: when its latency objective is missed.
        program_deadline_s: when its program should be over, or None if unknown.
        caller_key: recognizes a caller that returns after a refusal; None if it can't be told.
    """

    attempt: str
    urgency: int
    account: str
    begins_program: bool
    arrived_s: float
    deadline_s: float
    objective_s: float
    program_deadline_s: float | None = None
    caller_key: int | None = None


class NoPlaceError(Exception):
    """No place became free in time; the request was not sent.

    Attributes:
        waited_s: how long it has waited.
        expected_wait_s: the wait that was predicted last.
        waiting_ahead: waiting requests that would have got a place first.
        retry_after_s: when its caller should retry.
    """

    def __init__(
        self, why: str, waited_s: float, expected_wait_s: float, ahead: int, retry_after_s: float
    ) -> None:
        super().__init__(why)
        self.waited_s = waited_s
        self.expected_wait_s = expected_wait_s
        self.waiting_ahead = ahead
        self.retry_after_s = retry_after_s


def begins_program(route: Route, request: RoutedRequest) -> bool:
    """Returns whether a request is its program's first turn."""
    context = request.turn
    return route.retains_turns and context is not None and context.previous is None


def demand_of(route: Route, request: RoutedRequest, deadline_s: float, now_s: float) -> PlaceDemand:
    """Returns the demand of a request whose wait begins now."""
    began_s = deadline_s - route.time_for(request.patience_s)
    left_s = request.program_left_s
    return PlaceDemand(
        request.attempt,
        route.urgency_of(request.account),
        request.account_name,
        begins_program(route, request),
        now_s,
        deadline_s,
        began_s + route.latency_objective_s,
        None if left_s is None else began_s + left_s,
        _caller_key(route, request),
    )


def _caller_key(route: Route, request: RoutedRequest) -> int | None:
    """Returns the key of a program's caller; other requests of an account can't be told apart."""
    if request.turn is None:
        return None
    text = f"{request.account_name}\0{request.turn.program}\0{route.name}"
    # The messages between hosts carry signed integers of 64 bits.
    return xxhash.xxh3_64_intdigest(text.encode()) - (1 << 63)
