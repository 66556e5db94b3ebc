"""Timeouts for silent endpoints, and how they grow in a burst."""

import pytest

from bayhinge._internal.decisions.answer_timeouts import (
    MIN_SILENCE_S,
    SILENCE_OBJECTIVES,
    TYPICAL_LATENCIES,
    answer_timeouts_for,
    smoothed_answer_s,
)
from bayhinge._internal.models.routing import Route, RouteKind, ServiceShare


def route(
    latency_objective_s: float, *, resumable: bool = True, pause_s: float | None = 0.2
) -> Route:
    return Route(
        "r",
        "h",
        "/",
        RouteKind.STREAMING,
        (ServiceShare("llm", 1),),
        timeout_s=4.0,
        latency_objective_s=latency_objective_s,
        urgency=0,
        max_endpoints=2,
        is_resumable=resumable,
        max_event_gap_s=pause_s,
    )


def test_the_silence_timeout_follows_the_latency_objective_while_answers_are_quick() -> None:
    timeouts = answer_timeouts_for(route(0.25), may_fail_over=True, usual_s=0.06)
    assert timeouts.silence_s == SILENCE_OBJECTIVES * 0.25
    assert timeouts.pause_s == pytest.approx(0.6)


def test_in_a_burst_the_silence_timeout_grows_with_the_usual_latency() -> None:
    usual_s = 0.06
    for took_s in (0.3, 0.4, 0.5):
        usual_s = smoothed_answer_s(usual_s, took_s)
    timeouts = answer_timeouts_for(route(0.25), may_fail_over=True, usual_s=usual_s)
    assert timeouts.silence_s == TYPICAL_LATENCIES * usual_s
    assert timeouts.silence_s > 1.0


def test_the_usual_latency_follows_the_newest_answers() -> None:
    usual_s = smoothed_answer_s(None, 1.0)
    assert usual_s == 1.0
    for _ in range(12):
        usual_s = smoothed_answer_s(usual_s, 0.05)
    assert usual_s < 0.07


def test_a_stream_that_can_not_fail_over_has_no_pause_timeout() -> None:
    assert answer_timeouts_for(route(0.25), may_fail_over=False).pause_s is None
    assert answer_timeouts_for(route(0.25, resumable=False), may_fail_over=True).pause_s is None
    assert answer_timeouts_for(route(0.25, pause_s=None), may_fail_over=True).pause_s is None


def test_a_latency_objective_of_zero_keeps_the_minimum_timeout() -> None:
    assert answer_timeouts_for(route(0.0), may_fail_over=True).silence_s == MIN_SILENCE_S
