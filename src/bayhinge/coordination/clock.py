"""A replaceable wall clock and a hybrid logical clock.

The hybrid logical clock (Kulkarni et al., 2014) orders events across hosts whose wall
clocks differ: the receiver of a message always timestamps it later than its sender did.
"""

import time
from abc import ABC, abstractmethod

COUNTER_BITS = 16
"""Low bits of a timestamp that count events within one millisecond."""


class Clock(ABC):
    """Wall time. Durations are measured on the event loop's monotonic clock instead."""

    @abstractmethod
    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch."""


class SystemClock(Clock):
    """The operating system's clock."""

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000


class HybridClock:
    """Issues timestamps that respect causality across hosts.

    A timestamp is ``milliseconds << 16 | counter``, so timestamps sort as integers.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last = 0

    def tick(self) -> int:
        """Returns the timestamp of a local event or of a message to be sent."""
        physical = self._clock.wall_ms() << COUNTER_BITS
        self._last = max(self._last + 1, physical)
        return self._last

    def observe(self, stamp: int) -> int:
        """Merges the timestamp of a received message and returns a later one."""
        self._last = max(self._last, stamp)
        return self.tick()


def stamp_to_ms(stamp: int) -> int:
    """Returns the milliseconds of a timestamp."""
    return stamp >> COUNTER_BITS
