"""Predicts the wait for a place, and decides whether a request is refused instead. Pure."""

import random
from bisect import bisect_left, insort
from collections import deque

import attrs

from bayhinge._internal.decisions.estimates import Average
from bayhinge._internal.decisions.place_lane import OLDEST_EVERY_GRANTS
from bayhinge._internal.decisions.place_request import PlaceRequest

WINDOW_S = 20.0
"""Older grants don't count: a service that has lost or won endpoints is known again after this."""

MAX_GRANTS = 1000
"""Grants of a service that are kept, the newest ones."""

MIN_GRANTS = 8
"""Without a usual duration, fewer grants than this give no rate, and no request is refused."""

DURATION_WEIGHT_GRANTS = 16.0
"""The usual duration counts as much as this many observed grants."""

OBJECTIVE_FACTOR = 1.25
"""A first turn may wait for its latency objective times this, if that is more than the next bound.
Programs that miss the objective by less often still make up for it in later turns."""

PROGRAM_SHARE = 0.5
"""A first turn may wait for this share of its program's time. Callers give a program a small
multiple of the time that it needs on idle endpoints, so after a longer wait it rarely ends in
time."""

USUAL_ERRORS = 1.0
"""Multiple of the mean overestimation that is taken off a prediction. A larger one refuses fewer
requests needlessly, and admits more that end too late."""

ARRIVALS_S = 5.0
"""Time for which arrivals are kept to predict how many will join before a waiting request: long
enough for some tens of them, short enough to notice the end of a burst before callers give up."""

MAX_ARRIVALS = 2000
"""Arrivals of a service that are kept, the newest ones; bounds memory and the work of a
prediction."""

STEPS = 8
"""Steps in which a request's way to the front is followed."""

CLEARLY_BEFORE = 0.75
"""Share of a position before which arrivals of the same urgency count as overtaking. Those that
join near a position are as often behind a request that has moved on since."""

NEW_REQUEST_S = 0.1
"""Age up to which a request counts as newly arrived. A waiting one calls again every 0.2 s."""

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 4.0
"""Bounds of the advised pause. The minimum keeps a refusal cheaper than a waiting request, which
asks again every 0.2 s; the maximum is below the time for which refused callers are remembered."""

MAX_RETRY_SHARE = 1 / 3
"""Share of the caller's remaining time up to which callers follow the advice."""

MIN_SPREAD = 0.5
"""The advised pause is drawn between this share of it and the whole, so that callers which were
refused together don't return together."""


@attrs.frozen
class Admitted:
    """The request may wait.

    Attributes:
        expected_wait_s: the predicted wait in seconds.
    """

    expected_wait_s: float


@attrs.frozen
class Refused:
    """The request is to be refused at once; it has not run.

    Attributes:
        retry_after_s: when its caller should retry, in seconds.
        expected_wait_s: the predicted wait in seconds.
    """

    retry_after_s: float
    expected_wait_s: float


class WaitEstimate:
    """Learns how fast places of each service become free, and how far off predictions were.

    Args:
        spread: spreads the advised pauses.
        usual_errors: multiple of the mean overestimation that is taken off a prediction.
        refuses: whether requests are refused; otherwise waits are only predicted.
    """

    def __init__(
        self,
        spread: random.Random | None = None,
        usual_errors: float = USUAL_ERRORS,
        refuses: bool = True,
    ) -> None:
        self._refuses = refuses
        self._spread = spread or random.Random()
        self._usual_errors = usual_errors
        self._releases_by_service: dict[str, _Releases] = {}

    def record_grant(self, service: str, waited_s: float, predicted_s: float, now_s: float) -> None:
        """Records that a request that had to wait got a place.

        ``predicted_s`` is the wait that was predicted for it, ``waited_s`` the time since then.
        """
        self._releases(service).record_grant(max(0.0, waited_s), predicted_s, now_s)

    def record_duration(self, service: str, duration_s: float) -> None:
        """Records how long a request occupied its place, in seconds."""
        self._releases(service).record_duration(max(0.0, duration_s))

    def verdict(
        self, request: PlaceRequest, ahead: int, places: int, now_s: float
    ) -> Admitted | Refused:
        """Decides on a request for which no place is free.

        ``ahead`` requests get a place before it; the service has ``places`` places altogether.
        """
        releases = self._releases(request.service)
        per_s = releases.per_s(places, now_s)
        if per_s is None:
            return Admitted(0.0)
        wait_s = releases.overtaking.wait_s(request.urgency, ahead, per_s, now_s)
        usual_error = min(1.0, self._usual_errors * releases.overestimation.value)
        begins_s = now_s + wait_s * (1.0 - usual_error)
        # The next place to become free is not refused to the request that gets it.
        ends_s = begins_s + (releases.duration_s if ahead else 0.0)
        is_in_time = ends_s <= request.deadline_s and begins_s <= latest_start_s(request)
        if is_in_time or not self._refuses:
            releases.overtaking.record_arrival(request, ahead, now_s)
            return Admitted(wait_s)
        return Refused(self._retry_after_s(wait_s, request.deadline_s - now_s), wait_s)

    def _retry_after_s(self, wait_s: float, time_left_s: float) -> float:
        """Returns the pause to advise, drawn so that callers don't return together."""
        pause_s = min(wait_s, MAX_RETRY_SHARE * time_left_s, MAX_RETRY_AFTER_S)
        return max(MIN_RETRY_AFTER_S, pause_s * self._spread.uniform(MIN_SPREAD, 1.0))

    def _releases(self, service: str) -> "_Releases":
        return self._releases_by_service.setdefault(service, _Releases())


def latest_start_s(request: PlaceRequest) -> float:
    """Returns until when a request must have a place to be of use to its program.

    The latency objective of a turn is that of its first event, so its duration does not count.
    """
    if not request.begins_program:
        return request.deadline_s
    wait_s = OBJECTIVE_FACTOR * (request.objective_s - request.arrived_s)
    if request.program_deadline_s is not None:
        wait_s = max(wait_s, PROGRAM_SHARE * (request.program_deadline_s - request.arrived_s))
    return min(request.deadline_s, request.arrived_s + wait_s)


@attrs.frozen
class _Grant:
    """A grant, and the place-seconds in which requests waited since the one before.

    Place-seconds are the seconds multiplied by the number of places of the service.
    """

    at_s: float
    place_s: float


@attrs.define
class _Span:
    """A time in which requests waited."""

    start_s: float
    end_s: float


@attrs.frozen
class _Arrival:
    """A recent request that was admitted with ``ahead`` others before it."""

    at_s: float
    urgency: int
    ahead: int


class _Overtaking:
    """Predicts how many later arrivals get a place before a waiting request.

    Kept are the positions at which recent arrivals joined the queue. An arrival overtakes the
    requests behind its position.
    """

    def __init__(self) -> None:
        self._arrivals: deque[_Arrival] = deque()
        self._sorted_ahead_by_urgency: dict[int, list[int]] = {}

    def record_arrival(self, request: PlaceRequest, ahead: int, now_s: float) -> None:
        """Counts a new request that may wait, but not the repeated calls of a waiting one."""
        if now_s - request.arrived_s > NEW_REQUEST_S:
            return
        self._forget_old(now_s)
        self._arrivals.append(_Arrival(now_s, request.urgency, ahead))
        insort(self._sorted_ahead_by_urgency.setdefault(request.urgency, []), ahead)

    def wait_s(self, urgency: int, ahead: int, per_s: float, now_s: float) -> float:
        """Returns the wait behind ``ahead`` others if ``per_s`` places become free a second.

        The position falls by the places that become free, and rises by the arrivals that join
        before it. It is followed in a few steps.
        """
        self._forget_old(now_s)
        more_urgent = sum(
            len(joined)
            for other, joined in self._sorted_ahead_by_urgency.items()
            if other < urgency
        )
        joined = self._sorted_ahead_by_urgency.get(urgency, [])
        least_per_s = per_s / OLDEST_EVERY_GRANTS
        step = ahead / STEPS
        wait_s = 1 / max(least_per_s, per_s - more_urgent / ARRIVALS_S)
        for number in range(STEPS):
            position = step * (number + 0.5)
            overtaking = more_urgent + bisect_left(joined, CLEARLY_BEFORE * position)
            wait_s += step / max(least_per_s, per_s - overtaking / ARRIVALS_S)
        return wait_s

    def _forget_old(self, now_s: float) -> None:
        while self._arrivals and (
            self._arrivals[0].at_s < now_s - ARRIVALS_S or len(self._arrivals) > MAX_ARRIVALS
        ):
            old = self._arrivals.popleft()
            joined = self._sorted_ahead_by_urgency[old.urgency]
            del joined[bisect_left(joined, old.ahead)]


class _Releases:
    """How fast the places of one service become free while requests wait.

    The rate is the number of grants divided by the time in which a request waited for them, per
    place, so that a change of the number of places takes effect at once.

    Attributes:
        overestimation: by how much predictions were too long, as a share of the prediction.
    """

    def __init__(self) -> None:
        self._grants: deque[_Grant] = deque()
        self._place_s = 0.0
        self._spans: list[_Span] = []
        self._places = 1
        self._duration: Average | None = None
        self.overtaking = _Overtaking()
        self.overestimation = Average(0.0)

    @property
    def duration_s(self) -> float:
        """The usual duration in seconds, or 0 if unknown."""
        return 0.0 if self._duration is None else self._duration.value

    def record_duration(self, duration_s: float) -> None:
        if self._duration is None:
            self._duration = Average(duration_s)
        else:
            self._duration.add(duration_s)

    def record_grant(self, waited_s: float, predicted_s: float, now_s: float) -> None:
        if predicted_s > 0:
            too_long_s = max(0.0, predicted_s - waited_s)
            self.overestimation.add(too_long_s / predicted_s)
        place_s = self._cover(now_s - waited_s, now_s) * self._places
        self._grants.append(_Grant(now_s, place_s))
        self._place_s += place_s
        self._forget_old(now_s)

    def per_s(self, places: int, now_s: float) -> float | None:
        """Returns how many places become free a second, or None as long as it is unknown."""
        self._places = max(1, places)
        self._forget_old(now_s)
        grants, place_s = float(len(self._grants)), self._place_s
        if self.duration_s > 0:
            grants += DURATION_WEIGHT_GRANTS
            place_s += DURATION_WEIGHT_GRANTS * self.duration_s
        elif grants < MIN_GRANTS:
            return None
        return self._places * grants / place_s if place_s > 0 else None

    def _cover(self, start_s: float, now_s: float) -> float:
        """Adds a time up to now in which a request waited; returns how much of it is new.

        A request that is granted late may have waited since before grants that came earlier.
        """
        start_s = max(start_s, now_s - WINDOW_S)
        covered_s = 0.0
        span = _Span(start_s, now_s)
        while self._spans and self._spans[-1].end_s >= start_s:
            last = self._spans.pop()
            covered_s += last.end_s - max(last.start_s, start_s)
            span.start_s = min(span.start_s, last.start_s)
        self._spans.append(span)
        return now_s - start_s - covered_s

    def _forget_old(self, now_s: float) -> None:
        while self._grants and (
            self._grants[0].at_s < now_s - WINDOW_S or len(self._grants) > MAX_GRANTS
        ):
            self._place_s -= self._grants.popleft().place_s
        if not self._grants:
            self._place_s = 0.0
        while self._spans and self._spans[0].end_s < now_s - WINDOW_S:
            del self._spans[0]
