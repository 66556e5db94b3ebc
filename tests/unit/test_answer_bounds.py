"""How long an endpoint may say nothing, and what a burst does to that."""

import pytest

from bayhinge._internal.decisions.answer_bounds import (
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


def test_the_routes_own_objective_is_the_bound_while_answers_are_quick() -> None:
    bounds = answer_timeouts_for(route(0.25), may_fail_over=True, usual_s=0.06)
    assert bounds.silence_s == SILENCE_OBJECTIVES * 0.25
    assert bounds.pause_s == pytest.approx(0.6)


def test_in_a_burst_waiting_says_nothing_of_one_endpoint() -> None:
    usual_s = 0.06
    for took_s in (0.3, 0.4, 0.5):
        usual_s = smoothed_answer_s(usual_s, took_s)
    bounds = answer_timeouts_for(route(0.25), may_fail_over=True, usual_s=usual_s)
    assert bounds.silence_s == TYPICAL_LATENCIES * usual_s
    assert bounds.silence_s > 1.0


def test_what_is_usual_follows_the_newest_answers() -> None:
    usual_s = smoothed_answer_s(None, 1.0)
    assert usual_s == 1.0
    for _ in range(12):
        usual_s = smoothed_answer_s(usual_s, 0.05)
    assert usual_s < 0.07


def test_a_stream_that_may_not_go_on_elsewhere_has_no_bound_on_pauses() -> None:
    assert answer_timeouts_for(route(0.25), may_fail_over=False).pause_s is None
    assert answer_timeouts_for(route(0.25, resumable=False), may_fail_over=True).pause_s is None
    assert answer_timeouts_for(route(0.25, pause_s=None), may_fail_over=True).pause_s is None


def test_an_objective_of_nothing_does_not_make_the_bound_nothing() -> None:
    assert answer_timeouts_for(route(0.0), may_fail_over=True).silence_s == MIN_SILENCE_S
