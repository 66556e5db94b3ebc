"""How many requests may be in flight at an endpoint. Pure."""

from bayhinge._internal.decisions.endpoint_state import EndpointState
from bayhinge._internal.decisions.estimates import Average

MAX_DELAY_S = 1.0
"""Longer delays count as this. They are pauses of a host or partitions, during which an endpoint
can't be kept busy from here; one of them must not raise the overcommit for long."""

MIN_DURATION_S = 0.001
"""Shorter durations count as this."""


class PlaceLimits:
    """Slots of an endpoint, plus an overcommit for the delay of messages.

    The overcommit is the number of requests that end there while the message about the first of
    them is on its way: without it a slot stays empty for that time after each request, and with
    more, requests wait at the endpoint that could still be placed elsewhere.
    """

    def __init__(self) -> None:
        self._duration_by_service: dict[str, Average] = {}
        self._delay: Average | None = None

    def record_duration(self, service: str, duration_s: float) -> None:
        """Records how long a request occupied its place, in seconds."""
        sample_s = max(MIN_DURATION_S, duration_s)
        average = self._duration_by_service.get(service)
        if average is None:
            self._duration_by_service[service] = Average(sample_s)
        else:
            average.add(sample_s)

    def record_delay(self, delay_s: float) -> None:
        """Records the time between the end of a request and the next grant of its place.

        Only while requests wait; otherwise the time isn't a delay of messages.
        """
        sample_s = min(MAX_DELAY_S, max(0.0, delay_s))
        if self._delay is None:
            self._delay = Average(sample_s)
        else:
            self._delay.add(sample_s)

    def limit(self, state: EndpointState) -> int:
        """Returns the number of requests that may be in flight at an endpoint."""
        return state.entry.slots + self._overcommit(state.entry.service, state.entry.slots)

    def _overcommit(self, service: str, slots: int) -> int:
        """Returns 1 to half of the slots; 1 also where only one slot exists."""
        duration = self._duration_by_service.get(service)
        if duration is None or self._delay is None:
            return 1
        ended_meanwhile = round(slots * self._delay.value / duration.value)
        return max(1, min(slots // 2, ended_meanwhile))
