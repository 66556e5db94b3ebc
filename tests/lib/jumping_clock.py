"""A wall clock that jumps at each reading, by up to hours."""

import itertools
import time
from collections.abc import Callable, Iterator

import pytest

JUMPS_S = (0.0, 3600.0, -86_400.0, 7.0, -0.5)
STEP_S = 10_000.0

JUMPS_BY_KIND: dict[str, Callable[[], Iterator[float]]] = {
    "to and fro": lambda: itertools.cycle(JUMPS_S),
    "ever forward": lambda: itertools.count(0.0, STEP_S),
    "ever back": lambda: itertools.count(0.0, -STEP_S),
}


def jump(monkeypatch: pytest.MonkeyPatch, kind: str = "to and fro") -> None:
    """Makes the wall clock jump for the rest of a test; monotonic clocks are unaffected."""
    true_time_s, true_time_ns = time.time, time.time_ns
    jumps = JUMPS_BY_KIND[kind]()
    monkeypatch.setattr(time, "time", lambda: true_time_s() + next(jumps))
    monkeypatch.setattr(time, "time_ns", lambda: true_time_ns() + int(next(jumps) * 1e9))
