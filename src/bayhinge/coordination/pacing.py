"""Rate limiting and backoff for writes to the store."""

import asyncio
from collections.abc import Callable


class WritePacer:
    """A token bucket for writes, initially full with ``burst`` tokens.

    An idle writer writes at once. Under load writes are spaced out, so that each group
    commit collects more records.
    """

    def __init__(self, writes_per_second: float, burst: int) -> None:
        self._burst = burst
        self._interval = 1.0 / writes_per_second
        self._next = float("-inf")

    def set_rate(self, writes_per_second: float) -> None:
        """Changes the sustained rate, as when a host's share shrinks in a larger fleet."""
        self._interval = 1.0 / writes_per_second

    def delay(self, now: float) -> float:
        """Returns the seconds to wait before a write may start."""
        return max(0.0, self._next - self._interval * (self._burst - 1) - now)

    async def wait(self) -> None:
        """Waits until a write may start, and consumes one token."""
        loop = asyncio.get_running_loop()
        delay = self.delay(loop.time())
        if delay > 0:
            await asyncio.sleep(delay)
        now = loop.time()
        self._next = max(self._next, now) + self._interval


class Backoff:
    """Exponential backoff from ``first_s`` to ``cap_s`` seconds, with jitter.

    ``random_unit`` returns random numbers in [0, 1).
    """

    def __init__(
        self, random_unit: Callable[[], float], first_s: float = 0.05, cap_s: float = 2.0
    ) -> None:
        self._random_unit = random_unit
        self._first_s = first_s
        self._cap_s = cap_s
        self._attempt = 0

    def next_delay(self) -> float:
        """Returns the next delay in seconds, with a jitter of up to half of it."""
        whole = min(self._cap_s, self._first_s * 2**self._attempt)
        self._attempt = min(self._attempt + 1, 20)
        return whole * (0.5 + self._random_unit() / 2)

    def reset(self) -> None:
        """Starts over from the first delay, after a success."""
        self._attempt = 0
