"""How long an endpoint may say nothing before it is doubted, and before it is left. Pure."""

import attrs

from bayhinge._internal.models.routing import Route

UNHEARD_OBJECTIVES = 2.0
"""Objectives of its route after which a request without an answer says something of its endpoint.
By then it is late, and callers wait for four objectives at least."""

LEAST_UNHEARD_S = 0.1
"""Shortest such span, whatever the objective: some twenty times the way there and back."""

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


def bounds_of(route: Route, may_leave: bool) -> AnswerBounds:
    """Returns the bounds of a run.

    Where no other endpoint may serve the request, waiting is all that is left: the endpoint is
    doubted all the same, so that other requests avoid it.
    """
    has_pauses = may_leave and route.is_resumable and route.pause_s is not None
    return AnswerBounds(
        max(LEAST_UNHEARD_S, UNHEARD_OBJECTIVES * route.objective_s),
        may_leave,
        PAUSES * (route.pause_s or 0.0) if has_pauses else None,
    )
