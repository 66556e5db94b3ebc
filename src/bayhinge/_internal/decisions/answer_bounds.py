"""How long an endpoint may say nothing before it is doubted, and before it is left. Pure."""

import attrs

from bayhinge._internal.models.routing import Route

UNHEARD_OBJECTIVES = 2.0
"""Objectives of its route after which a request without an answer says something of its endpoint.
By then it is late, and callers wait for four objectives at least."""

LEAST_UNHEARD_S = 0.1
"""Shortest such span, whatever the objective: some twenty times the way there and back."""

TYPICAL_ANSWERS = 4.0
"""Times that an answer usually takes to begin, as this host sees its service, below which waiting
says nothing: in a burst all endpoints answer late. Without it, a day of 57 hosts and a burst of 3.6
times the usual ended at 0.743 in place of 0.818: a host has few requests at each of many endpoints,
so those it had not heard for a moment were taken for silent."""

NEWEST_WEIGHT = 0.3
"""Weight of the newest answer in what is usual: a burst is seen after some three answers."""

MOST_WAITS = 2
"""Such spans after which a request that may go elsewhere does so, although its endpoint answers
others: it may wait in a queue there, or its own connection may be dead."""

PAUSES = 3.0
"""Pauses that the route allows after which a stream in its middle is left. Callers wait for eight
of them, so half of their time is still there."""


@attrs.frozen
class AnswerBounds:
    """What one run may take.

    Attributes:
        unheard_s: an endpoint that was not heard at all for so long is doubted.
        may_leave: another endpoint may serve the request, or go on with it.
        pause_s: a stream that pauses for longer is left, in seconds; None where it never is.
    """

    unheard_s: float
    may_leave: bool = False
    pause_s: float | None = None


def usual_answer_s(before_s: float | None, newest_s: float) -> float:
    """Returns how long answers of a service take to begin, with the newest one counted in."""
    if before_s is None:
        return newest_s
    return before_s + NEWEST_WEIGHT * (newest_s - before_s)


def bounds_of(route: Route, may_leave: bool, usual_s: float = 0.0) -> AnswerBounds:
    """Returns the bounds of a run.

    ``usual_s`` is how long answers of the service take to begin at present. Where no other endpoint
    may serve the request, waiting is all that is left: the endpoint is doubted all the same, so
    that other requests avoid it.
    """
    has_pauses = may_leave and route.is_resumable and route.pause_s is not None
    return AnswerBounds(
        max(LEAST_UNHEARD_S, UNHEARD_OBJECTIVES * route.objective_s, TYPICAL_ANSWERS * usual_s),
        may_leave,
        PAUSES * (route.pause_s or 0.0) if has_pauses else None,
    )
