"""Guards against slots that stay empty for a message's delay, and endpoints that queue too much."""

import pytest

from bayhinge._internal.decisions.endpoint_state import EndpointState
from bayhinge._internal.decisions.place_limits import MAX_DELAY_S, PlaceLimits
from bayhinge._internal.models.endpoint_entries import EndpointEntry


def _state(slots: int, service: str = "app") -> EndpointState:
    return EndpointState(EndpointEntry("e", service, "127.0.0.1:1", "hall", slots, False))


def _limits(delay_s: float, duration_s: float) -> PlaceLimits:
    limits = PlaceLimits()
    for _ in range(100):
        limits.record_delay(delay_s)
        limits.record_duration("app", duration_s)
    return limits


def test_one_more_than_the_slots_before_anything_is_learned() -> None:
    limits = PlaceLimits()
    assert limits.limit(_state(6)) == 7
    limits.record_delay(1.0)
    assert limits.limit(_state(6)) == 7


@pytest.mark.parametrize(
    ("slots", "delay_s", "duration_s", "limit"),
    [
        (6, 0.01, 2.0, 7),
        (6, 0.1, 0.3, 8),
        (6, 1.0, 0.1, 9),
        (24, 0.05, 0.2, 30),
        (24, 0.05, 0.0, 36),
        (1, 1.0, 0.1, 2),
        (2, 1.0, 0.1, 3),
    ],
)
def test_the_overcommit_is_what_ends_during_the_delay(
    slots: int, delay_s: float, duration_s: float, limit: int
) -> None:
    assert _limits(delay_s, duration_s).limit(_state(slots)) == limit


def test_services_have_their_own_durations() -> None:
    limits = _limits(0.1, 0.3)
    for _ in range(100):
        limits.record_duration("engine", 20.0)
    assert limits.limit(_state(6, "engine")) == 7
    assert limits.limit(_state(6)) == 8


def test_one_very_long_delay_does_not_raise_the_overcommit_for_long() -> None:
    limits = _limits(0.02, 2.0)
    limits.record_delay(600.0)
    limits.record_delay(-1.0)
    assert limits.limit(_state(24)) <= 24 + round(24 * 0.1 * MAX_DELAY_S)
