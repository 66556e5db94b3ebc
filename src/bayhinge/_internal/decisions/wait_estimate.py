"""Predicts the wait for a place, and decides whether a request is refused instead. Pure."""

import attrs

from bayhinge._internal.decisions.place_queue import PlaceRequest


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
    """Learns how fast places of each service become free, and how far off predictions were."""

    def record_grant(self, service: str, waited_s: float, predicted_s: float, now_s: float) -> None:
        """Records that a request that had to wait got a place.

        ``predicted_s`` is the wait that was predicted when it arrived.
        """

    def record_duration(self, service: str, duration_s: float) -> None:
        """Records how long a request occupied its place, in seconds."""

    def verdict(
        self, request: PlaceRequest, ahead: int, places: int, now_s: float
    ) -> Admitted | Refused:
        """Decides on a request for which no place is free.

        ``ahead`` requests get a place before it; the service has ``places`` places altogether.
        """
        return Admitted(0.0)
