"""Clocks: wall time behind a seam, and the hybrid logical clock.

The hybrid logical clock (Kulkarni et al., 2014) orders events over hosts whose
wall clocks differ: a message's receiver never stamps earlier than its sender.
"""

import time
from abc import ABC, abstractmethod

COUNTER_BITS = 16
"""Low bits of a stamp that count events within one millisecond."""


class Clock(ABC):
    """Wall time. Durations use the event loop's clock, never this one."""

    @abstractmethod
    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch."""


class SystemClock(Clock):
    """The machine's clock."""

    def wall_ms(self) -> int:
        """Returns the machine's time in milliseconds."""
        return time.time_ns() // 1_000_000


class HybridClock:
    """Hands out stamps that respect cause and effect over all hosts.

    A stamp is ``milliseconds << 16 | counter``, so stamps sort as integers.
    """

    def __init__(self, clock: Clock) -> None:
        """Starts at the wall clock's time."""
        self._clock = clock
        self._last = 0

    def tick(self) -> int:
        """Returns a stamp for a local event or for a message to be sent."""
        physical = self._clock.wall_ms() << COUNTER_BITS
        self._last = max(self._last + 1, physical)
        return self._last

    def observe(self, stamp: int) -> int:
        """Takes the stamp of a received message in; returns one that is later."""
        self._last = max(self._last, stamp)
        return self.tick()


def stamp_to_ms(stamp: int) -> int:
    """Returns the milliseconds part of a stamp."""
    return stamp >> COUNTER_BITS
