"""Guards against placement that ignores speeds, or loses delay to them (simulated)."""

import functools
from statistics import mean, stdev

import attrs
import pytest

from tests.lib.uneven_endpoints import WAYS, Outcome, outcome_of, share_of
from tests.lib.uneven_hall import EQUAL, Day, Hall, Phase

BEFORE, TWO_CHOICES, IN_FLIGHT, _, NOW, TRUE_SPEEDS = WAYS
SEEDS = range(1, 4)
SLOW = Phase(1, 15.0, 30.0, factor=4.0)
FAILING = Phase(3, 45.0, 55.0, fails=True)
TROUBLE = Day(seconds=60.0, phases=(SLOW, FAILING))
BUSY = Day(use=0.9, seconds=40.0)
UNIFORM = Day(EQUAL, seconds=40.0)
BUSY_UNIFORM = Day(EQUAL, use=0.9, seconds=40.0)


@functools.cache
def hall_of(day: Day, way: str, seed: int) -> Hall:
    return Hall(attrs.evolve(day, seed=seed), WAYS[way]).run()


def outcomes(day: Day, way: str, from_s: float, to_s: float) -> list[Outcome]:
    return [outcome_of(hall_of(day, way, seed).requests, from_s, to_s) for seed in SEEDS]


def mean_outcome(day: Day, way: str, from_s: float, to_s: float) -> Outcome:
    each = outcomes(day, way, from_s, to_s)
    result = Outcome(
        mean(outcome.mean_s for outcome in each),
        mean(outcome.p95_s for outcome in each),
        mean(outcome.late for outcome in each),
    )
    print(day.use, way, from_s, result)
    return result


def test_uneven_endpoints_serve_with_less_delay() -> None:
    """Guards against equal work for unequal endpoints."""
    before, two, in_flight, now, best = (
        mean_outcome(TROUBLE, way, 5.0, SLOW.from_s)
        for way in (BEFORE, TWO_CHOICES, IN_FLIGHT, NOW, TRUE_SPEEDS)
    )
    assert now.mean_s < 0.98 * before.mean_s < two.mean_s
    assert now.mean_s < in_flight.mean_s
    assert now.p95_s < before.p95_s
    assert now.late < before.late
    assert now.mean_s < 1.03 * best.mean_s


def test_nothing_is_lost_when_nearly_all_slots_are_in_use() -> None:
    """Guards against slow endpoints with free slots while requests wait at fast ones."""
    before, two, in_flight, now = (
        mean_outcome(BUSY, way, 5.0, BUSY.seconds) for way in (BEFORE, TWO_CHOICES, IN_FLIGHT, NOW)
    )
    assert now.mean_s < before.mean_s < two.mean_s
    assert now.mean_s < in_flight.mean_s
    assert now.p95_s < before.p95_s
    assert now.late <= before.late


def test_an_endpoint_that_turns_slow_delays_fewer_requests() -> None:
    """Guards against an endpoint that is slow for a while and gets its usual work."""
    before, two, in_flight, now = (
        mean_outcome(TROUBLE, way, SLOW.from_s, SLOW.to_s)
        for way in (BEFORE, TWO_CHOICES, IN_FLIGHT, NOW)
    )
    assert now.mean_s < 0.98 * before.mean_s < two.mean_s
    assert now.mean_s < in_flight.mean_s
    assert now.p95_s < before.p95_s
    assert now.late < 0.9 * before.late


def mean_share(way: str, from_s: float, to_s: float) -> float:
    return mean(share_of(hall_of(TROUBLE, way, seed), "app-1", from_s, to_s) for seed in SEEDS)


def test_a_slow_endpoint_keeps_some_work_and_gets_its_share_back() -> None:
    """Guards against endpoints that stay without work although their speed has returned."""
    usual = mean_share(NOW, 5.0, SLOW.from_s)
    slow = mean_share(NOW, SLOW.from_s + 5.0, SLOW.to_s)
    after = mean_share(NOW, SLOW.to_s + 4.0, SLOW.to_s + 8.0)
    print(usual, slow, after)
    assert 0.05 * usual < slow < 0.4 * usual
    assert after > 0.75 * usual


def test_an_endpoint_that_fails_at_once_is_ejected_and_not_taken_for_a_fast_one() -> None:
    """Guards against an endpoint that looks idle and fast because it fails at once."""
    before, now = (
        mean_outcome(TROUBLE, way, FAILING.from_s, FAILING.to_s) for way in (BEFORE, NOW)
    )
    for seed in SEEDS:
        hall = hall_of(TROUBLE, NOW, seed)
        failed = [request for request in hall.requests if request.tried]
        assert 0 < len(failed) < 0.02 * len(hall.requests)
        assert all(ratios["app-3"] > 0.7 for _, ratios in hall.ratios)
    assert now.mean_s <= 1.02 * before.mean_s
    assert now.late <= before.late


@pytest.mark.parametrize("day", [UNIFORM, BUSY_UNIFORM])
def test_equal_endpoints_lose_nothing(day: Day) -> None:
    """Guards against noise of the durations that moves work about."""
    before, now = (outcomes(day, way, 5.0, day.seconds) for way in (BEFORE, NOW))
    for figure in ("mean_s", "p95_s"):
        was = [getattr(outcome, figure) for outcome in before]
        is_now = [getattr(outcome, figure) for outcome in now]
        print(figure, was, is_now)
        assert abs(mean(is_now) - mean(was)) < 0.5 * stdev(was)
        assert mean(is_now) < 1.005 * mean(was)
