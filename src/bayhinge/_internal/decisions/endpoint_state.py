"""What one host knows of one incarnation of an endpoint. Pure."""

import attrs

from bayhinge._internal.decisions import placement_weights as weights
from bayhinge._internal.models.endpoint_entries import EndpointEntry

FIRST_EJECTION_S = 1.0
"""Ejection time after the first failure; doubled with each further one."""

MAX_EJECTION_S = 8.0

SILENCE_EJECTION_S = 3.0
"""Ejection time after an unanswered health check; longer than two checks are apart."""

FAILURE_DECAY = 0.8
"""Factor by which a success reduces the failure count. An endpoint that fails part of its requests
is ejected for longer each time; one that failed once recovers soon."""

MAX_TRUSTED_FAILURES = 2.0
"""Failure count up to which a success ends the ejection: an endpoint that loses 1 answer in 20
stays below it, one that fails 2 requests in 5 exceeds it."""


@attrs.define(eq=False, repr=False)
class EndpointState:
    """State of one incarnation of an endpoint: its entry, load, speed and recent failures.

    A later incarnation starts with a fresh state.

    Attributes:
        relative_duration: the duration of its answers divided by the usual one of its service.
        failures: recent failures; each success reduces the count.
        failure_reports: number of other hosts that reported a recent failure.
        is_suspected: its entry has vanished for a reason not known yet.
        is_replaced: another endpoint has started at its address since.
    """

    entry: EndpointEntry
    running_here: int = 0
    running_at_peers: int = 0
    relative_duration: float = 1.0
    failures: float = 0.0
    failure_reports: int = 0
    ejected_until_s: float = 0.0
    is_suspected: bool = False
    is_replaced: bool = False

    @property
    def in_flight(self) -> int:
        """Requests in flight, of all hosts."""
        return self.running_here + self.running_at_peers

    @property
    def load(self) -> float:
        """Requests in flight, as a share of the slots."""
        return (self.running_here + self.running_at_peers) / max(1, self.entry.slots)

    @property
    def expected_delay(self) -> float:
        """The delay of one more request: (running + 1) x relative duration / slots.

        Less 1 / slots, so that it is the load for an endpoint of the usual speed, whatever its
        slots. Where all slots are in use, being fast counts for nothing: a request would wait there
        while slots of other endpoints stay free.
        """
        slots = max(1, self.entry.slots)
        running = self.running_here + self.running_at_peers
        due_to_speed = (running + 1) * (self.relative_duration - 1.0) / slots
        return self.load + (due_to_speed if running < slots else max(0.0, due_to_speed))

    @property
    def effective_load(self) -> float:
        """The expected delay plus a penalty for failure reports, in units of load."""
        penalty = weights.failure_report(self.entry.slots) * self.failure_reports
        return self.expected_delay + penalty

    @property
    def slow_discount(self) -> float:
        """What to subtract from the expected delay so that free slots are used before full ones.

        Otherwise slow endpoints keep free slots while requests wait at the others. The rest of the
        delay still orders slow endpoints among each other.
        """
        slots = max(1, self.entry.slots)
        margin = 0.5 / slots
        excess = self.expected_delay - (1.0 - margin)
        if excess <= 0.0 or self.running_here + self.running_at_peers >= slots:
            return 0.0
        return excess - margin * excess / (1.0 + excess)

    def record_success(self) -> None:
        """Records a complete answer."""
        self.failures *= FAILURE_DECAY
        if self.failures <= MAX_TRUSTED_FAILURES:
            self.ejected_until_s = 0.0

    def record_silence(self, now_s: float) -> None:
        """Records that it does not even answer a health check; ejects it until the next one."""
        self.ejected_until_s = max(self.ejected_until_s, now_s + SILENCE_EJECTION_S)

    def record_failure(self, now_s: float) -> None:
        """Records that the endpoint was unreachable or broke off; ejects it for a while."""
        ejection_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**self.failures)
        self.failures += 1
        self.ejected_until_s = now_s + ejection_s
