"""Timeouts after which a silent endpoint is suspected and a request fails over. Pure."""

import attrs

from bayhinge._internal.models.routing import Route

SILENCE_OBJECTIVES = 2.0
"""Multiple of the route's latency objective. Callers wait for four objectives at least."""

MIN_SILENCE_S = 0.1
"""Lower bound, about twenty round trips."""

TYPICAL_LATENCIES = 4.0
"""Multiple of the service's smoothed latency, below which silence says nothing: in a burst all
endpoints answer late. A host has few requests at each of many endpoints, so it would suspect those
that it has not heard for a moment."""

SMOOTHING = 0.3
"""Weight of the newest sample in the moving average; follows a burst within about three answers."""

MAX_SILENCE_PERIODS = 2
"""Silence periods after which a request that may fail over does so, although its endpoint answers
others: it may be queued there, or its own connection may be dead."""

PAUSE_MULTIPLE = 3.0
"""Multiple of the route's event gap after which a stalled stream fails over. Callers wait for eight
such gaps, so half of their time is left."""


@attrs.frozen(eq=False, repr=False)
class AnswerTimeouts:
    """Timeouts of one run.

    Attributes:
        silence_s: seconds without any data after which the endpoint is suspected.
        may_fail_over: another endpoint may serve the request, or resume it.
        pause_s: seconds after which a stalled stream fails over; None where it never does.
    """

    silence_s: float
    may_fail_over: bool = False
    pause_s: float | None = None


def smoothed_answer_s(before_s: float | None, newest_s: float) -> float:
    """Returns the moving average of the time to the first byte, with the newest sample."""
    if before_s is None:
        return newest_s
    return before_s + SMOOTHING * (newest_s - before_s)


def answer_timeouts_for(route: Route, may_fail_over: bool, usual_s: float = 0.0) -> AnswerTimeouts:
    """Returns the timeouts of a run.

    ``usual_s`` is the service's average time to the first byte. An endpoint is suspected also where
    the request may not fail over, so that other requests avoid it.
    """
    has_pauses = may_fail_over and route.is_resumable and route.max_event_gap_s is not None
    return AnswerTimeouts(
        max(
            MIN_SILENCE_S,
            SILENCE_OBJECTIVES * route.latency_objective_s,
            TYPICAL_LATENCIES * usual_s,
        ),
        may_fail_over,
        PAUSE_MULTIPLE * (route.max_event_gap_s or 0.0) if has_pauses else None,
    )
