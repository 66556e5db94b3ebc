"""How many requests may be in flight at an endpoint. Pure."""

from bayhinge._internal.decisions.endpoint_table import EndpointState


class PlaceLimits:
    """Slots of an endpoint, plus an overcommit for the delay of messages."""

    def record_duration(self, service: str, duration_s: float) -> None:
        """Records how long a request occupied its place, in seconds."""

    def record_delay(self, delay_s: float) -> None:
        """Records the time between the end of a request and the next grant of its place."""

    def limit(self, state: EndpointState) -> int:
        """Returns the number of requests that may be in flight at an endpoint."""
        return state.entry.slots + 1
