"""How many requests a second callers ask of a host: follows a rise at once, a fall slowly. Pure."""

import attrs

KEPT_SHARE = 0.8
"""What a second leaves of a higher rate: half of a burst is forgotten three seconds after it."""


@attrs.define
class RequestRate:
    """Requests a second, from a count that only rises."""

    per_s: float = 0.0
    _count: int = 0

    def note(self, count: int, passed_s: float) -> None:
        """Takes the count in as it stands ``passed_s`` after the last one."""
        newest = (count - self._count) / passed_s
        self._count = count
        self.per_s = max(newest, KEPT_SHARE * self.per_s + (1 - KEPT_SHARE) * newest)
