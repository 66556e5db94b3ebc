"""Paces store writes: a burst when quiet, a steady rate when busy."""

import asyncio
from collections.abc import Callable


class WritePacer:
    """A token bucket over writes.

    A lone record is written at once. Under load writes are spaced, so that more
    records share each one; this is how group commit's linger adapts by itself.
    """

    def __init__(self, writes_per_second: float, burst: int) -> None:
        """Takes the steady rate and how many writes may go out back to back."""
        self._burst = burst
        self._interval = 1.0 / writes_per_second
        self._next = float("-inf")

    def set_rate(self, writes_per_second: float) -> None:
        """Changes the steady rate, as when the share of a host shrinks with a larger fleet."""
        self._interval = 1.0 / writes_per_second

    def delay(self, now: float) -> float:
        """Returns the seconds to wait before a write may start."""
        return max(0.0, self._next - self._interval * (self._burst - 1) - now)

    async def wait(self) -> None:
        """Waits for the next write's turn and takes it."""
        loop = asyncio.get_running_loop()
        delay = self.delay(loop.time())
        if delay > 0:
            await asyncio.sleep(delay)
        now = loop.time()
        self._next = max(self._next, now) + self._interval


class Backoff:
    """Exponential delays with a cap and jitter from a seeded source."""

    def __init__(
        self, random_unit: Callable[[], float], first_s: float = 0.05, cap_s: float = 2.0
    ) -> None:
        """Takes a source of numbers in [0, 1), the first delay and the longest."""
        self._random_unit = random_unit
        self._first_s = first_s
        self._cap_s = cap_s
        self._attempt = 0

    def next_delay(self) -> float:
        """Returns the next delay: between half and the whole of the doubled value."""
        whole = min(self._cap_s, self._first_s * 2**self._attempt)
        self._attempt = min(self._attempt + 1, 20)
        return whole * (0.5 + self._random_unit() / 2)

    def reset(self) -> None:
        """Starts over after a success."""
        self._attempt = 0
