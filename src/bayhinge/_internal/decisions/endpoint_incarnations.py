"""Tells which runs and connections belong to an ended incarnation of an endpoint. Pure.

An endpoint reports its start by its own wall clock, which may differ from this host's. Runs of an
ended incarnation are aborted, so where the clocks leave it open a run goes on; if it is dead, the
silence timeouts end it.
"""

import attrs

CLOCK_SKEW_S = 0.5
"""Tolerated difference between the wall clocks of two machines; NTP keeps it at milliseconds. With
a larger one, runs of a former incarnation end by the silence timeouts."""


@attrs.frozen(eq=False, repr=False)
class ConnectionTimes:
    """Times of a connection to an endpoint, in seconds of this host's monotonic clock.

    Attributes:
        last_received_s: when data was last received; ``opened_s`` where none was.
    """

    address: str
    opened_s: float
    last_received_s: float


@attrs.frozen(eq=False, repr=False)
class NewIncarnation:
    """A new incarnation at an address.

    Attributes:
        began_s: its start on this host's monotonic clock, or None where that is unknown.
    """

    address: str
    began_s: float | None


def began_s(born_ms: int | None, wall_ms: int, now_s: float) -> float | None:
    """Converts a start time to the monotonic clock that shows ``now_s``.

    Returns None where it is unknown, or in the future: then one of the two clocks is wrong.
    """
    if born_ms is None:
        return None
    ago_s = (wall_ms - born_ms) / 1000
    return now_s - ago_s if ago_s >= -CLOCK_SKEW_S else None


def is_stale(connection_times: ConnectionTimes, incarnation: NewIncarnation) -> bool:
    """Whether a connection certainly leads to an earlier incarnation."""
    if connection_times.address != incarnation.address:
        return True
    if incarnation.began_s is None:
        return False
    if connection_times.last_received_s > incarnation.began_s + CLOCK_SKEW_S:
        # Received data since, so it leads to the new incarnation despite a larger clock skew.
        return False
    return connection_times.opened_s < incarnation.began_s - CLOCK_SKEW_S


def belongs_to(connection_times: ConnectionTimes, incarnation: NewIncarnation) -> bool:
    """Whether a connection certainly leads to this incarnation."""
    return (
        connection_times.address == incarnation.address
        and incarnation.began_s is not None
        and connection_times.opened_s >= incarnation.began_s + CLOCK_SKEW_S
    )
