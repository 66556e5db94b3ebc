"""When each host of a hall was last seen by any host, exchanged in heartbeats. Pure.

In a large hall a host receives another one's heartbeat only every few seconds, too rarely to remove
a silent host from the callers' lists in time, and each host would advertise other hosts. So hosts
exchange the ages of the last heartbeats: a host that no one sees ages everywhere at the same time.
"""

from collections.abc import Mapping

AGE_UNITS_PER_S = 100
"""Ages are sent in hundredths of a second."""

ADVERTISED_PERIODS = 3.6
"""Hosts are advertised for this many heartbeat rounds after they were last seen by any host; in
halls of up to 44 hosts nearly all live hosts are seen within 2.6 rounds."""

MIN_ADVERTISED_S = 1.5
MAX_ADVERTISED_S = 3.5
"""Bounds of that time. The minimum is five rounds of a small site, where heartbeats may be lost;
the maximum is too short for 350 hosts, whose lists lack one host in fifty."""

MAX_AGE_S = 10.0
"""Older ages are not sent; more than twice the maximum time for which a silent host is
advertised."""

_SHORT_INCARNATION_BITS = 32


def short_incarnation(incarnation: int) -> int:
    """Returns the identifier of an incarnation in heartbeats: its low 32 bits, signed."""
    low = incarnation & (1 << _SHORT_INCARNATION_BITS) - 1
    return low - (1 << _SHORT_INCARNATION_BITS) if low >> _SHORT_INCARNATION_BITS - 1 else low


def advertised_s(period_s: float) -> float:
    """Returns how long a silent host is advertised, given the time between two rounds."""
    return min(MAX_ADVERTISED_S, max(MIN_ADVERTISED_S, ADVERTISED_PERIODS * period_s))


class LastSeen:
    """When each incarnation of a host was last seen by any host.

    Incarnations are identified by :func:`short_incarnation`.
    """

    def __init__(self) -> None:
        self._last_seen_s_by_incarnation: dict[int, float] = {}

    def mark_seen(self, incarnation_id: int, now_s: float) -> None:
        """Records a heartbeat of a host that accepts callers."""
        self._last_seen_s_by_incarnation[incarnation_id] = now_s

    def forget(self, incarnation_id: int) -> None:
        """Removes a host whose heartbeat says that it accepts no callers."""
        self._last_seen_s_by_incarnation.pop(incarnation_id, None)

    def merge_ages(self, age_by_id: Mapping[int, int], now_s: float) -> None:
        """Merges the ages of another host; the network delay is not counted."""
        for incarnation_id, age in age_by_id.items():
            last_seen_s = now_s - max(0, age) / AGE_UNITS_PER_S
            if last_seen_s > self._last_seen_s_by_incarnation.get(incarnation_id, 0.0):
                self._last_seen_s_by_incarnation[incarnation_id] = last_seen_s

    def last_seen_s(self, incarnation_id: int) -> float:
        """Returns when an incarnation was last seen, on the clock of ``now_s``; 0 if never."""
        return self._last_seen_s_by_incarnation.get(incarnation_id, 0.0)

    def ages(self, now_s: float) -> dict[int, int]:
        """Returns the ages to send, and removes those that are too old."""
        oldest_s = now_s - MAX_AGE_S
        self._last_seen_s_by_incarnation = {
            incarnation_id: last_seen_s
            for incarnation_id, last_seen_s in self._last_seen_s_by_incarnation.items()
            if last_seen_s >= oldest_s
        }
        return {
            incarnation_id: round((now_s - last_seen_s) * AGE_UNITS_PER_S)
            for incarnation_id, last_seen_s in self._last_seen_s_by_incarnation.items()
        }
