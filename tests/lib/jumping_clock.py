"""A time of day that jumps at each reading, by hours and back."""

import itertools
import time

import pytest

JUMPS_S = (0.0, 3600.0, -86_400.0, 7.0, -0.5)


def jump(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes the time of day jump for the rest of a test; steady clocks stay steady."""
    true_time_s, true_time_ns = time.time, time.time_ns
    jumps = itertools.cycle(JUMPS_S)
    monkeypatch.setattr(time, "time", lambda: true_time_s() + next(jumps))
    monkeypatch.setattr(time, "time_ns", lambda: true_time_ns() + int(next(jumps) * 1e9))
