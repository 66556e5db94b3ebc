"""A host's rate of callers' requests: follows a rise at once, a fall slowly. Pure."""

import attrs

DECAY = 0.8
"""Share of a higher rate that is left after a second: half of a burst is forgotten after three."""


@attrs.define(eq=False, repr=False)
class RequestRate:
    """Requests a second, from a count that only rises."""

    per_s: float = 0.0
    _count: int = 0

    def observe(self, count: int, passed_s: float) -> None:
        """Records the count ``passed_s`` seconds after the last one."""
        newest = (count - self._count) / passed_s
        self._count = count
        self.per_s = max(newest, DECAY * self.per_s + (1 - DECAY) * newest)
