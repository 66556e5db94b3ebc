"""Guards against refusals of requests that would have been served, and against wrong advice."""

import random

import attrs
import pytest

from bayhinge._internal.decisions import wait_estimate
from bayhinge._internal.decisions.place_request import PlaceRequest
from bayhinge._internal.decisions.wait_estimate import (
    MAX_RETRY_AFTER_S,
    MAX_RETRY_SHARE,
    MIN_RETRY_AFTER_S,
    WINDOW_S,
    Admitted,
    Refused,
    WaitEstimate,
)


def _request(
    left_s: float, now_s: float = 100.0, first: bool = False, objective_s: float = 1e3, **more: int
) -> PlaceRequest:
    urgency = more.get("urgency", 5)
    return PlaceRequest(
        1, "engine", urgency, "", first, now_s, now_s + left_s, now_s + objective_s, None
    )


def _estimate(duration_s: float = 1.0) -> WaitEstimate:
    estimate = WaitEstimate(random.Random(1))
    estimate.record_duration("engine", duration_s)
    return estimate


def _waits_s(estimate: WaitEstimate, ahead: int, places: int = 10, now_s: float = 100.0) -> float:
    """Returns the predicted wait of a request that arrived earlier, and isn't a new arrival."""
    return estimate.verdict(_request(1e3, now_s - 1.0), ahead, places, now_s).expected_wait_s


def test_without_any_knowledge_nothing_is_refused() -> None:
    estimate = WaitEstimate()
    assert estimate.verdict(_request(0.01), 500, 6, 100.0) == Admitted(0.0)
    for number in range(wait_estimate.MIN_GRANTS - 1):
        estimate.record_grant("engine", 5.0, 0.0, 95.0 + number)
    assert estimate.verdict(_request(0.01), 500, 6, 100.0) == Admitted(0.0)


def test_the_usual_duration_gives_the_first_prediction() -> None:
    assert _waits_s(_estimate(2.0), ahead=19, places=10) == pytest.approx(4.0)


def test_the_rate_of_grants_while_requests_wait_replaces_it() -> None:
    estimate = _estimate(1.0)
    _waits_s(estimate, 0, now_s=80.0)
    for number in range(400):
        # 40 grants a second, in busy times of 1 s with pauses of 1 s, which don't count.
        at_s = 80.0 + 2 * (number // 40) + (number % 40 + 1) / 40
        estimate.record_grant("engine", (number % 40 + 1) / 40, 0.0, at_s)
    assert _waits_s(estimate, ahead=79) == pytest.approx(2.0, rel=0.15)


def test_a_late_grant_of_an_old_request_counts_its_time_once() -> None:
    estimate = _estimate(1.0)
    _waits_s(estimate, 0, now_s=80.0)
    for number in range(200):
        estimate.record_grant("engine", 0.01, 0.0, 80.0 + (number + 1) / 20)
    estimate.record_grant("engine", 10.0, 0.0, 90.0)
    assert _waits_s(estimate, ahead=39, now_s=90.0) == pytest.approx(2.0, rel=0.15)


def test_a_change_of_the_number_of_places_takes_effect_at_once() -> None:
    estimate = _estimate(1.0)
    assert _waits_s(estimate, 19, places=5) == pytest.approx(2 * _waits_s(estimate, 19, places=10))


def test_old_grants_are_forgotten() -> None:
    estimate = _estimate(1.0)
    _waits_s(estimate, 0, now_s=10.0)
    for number in range(100):
        estimate.record_grant("engine", 0.1, 0.0, 10.0 + number / 100)
    assert _waits_s(estimate, 9, now_s=11.0) < 0.5
    assert _waits_s(estimate, 9, now_s=12.0 + WINDOW_S) == pytest.approx(1.0)


def test_more_urgent_arrivals_lengthen_the_wait_of_the_others_only() -> None:
    estimate = _estimate(1.0)
    for number in range(20):
        now_s = 95.0 + number / 4
        estimate.verdict(_request(1e3, now_s, urgency=0), 3, 10, now_s)
    urgent = estimate.verdict(_request(1e3, 99.0, urgency=0), 9, 10, 100.0).expected_wait_s
    others = estimate.verdict(_request(1e3, 99.0, urgency=9), 9, 10, 100.0).expected_wait_s
    # 4 of 10 places a second go to the more urgent ones; these join at 3 and pass from there on.
    assert others == pytest.approx(10 / 6)
    assert 1.0 < urgent < others


def test_arrivals_that_join_behind_do_not_lengthen_the_wait() -> None:
    estimate = _estimate(1.0)
    for number in range(40):
        now_s = 96.0 + number / 10
        estimate.verdict(_request(1e3, now_s), 40, 10, now_s)
    assert _waits_s(estimate, ahead=39) == pytest.approx(4.0)


@pytest.mark.parametrize(("left_s", "is_refused"), [(2.9, True), (3.1, False)])
def test_wait_and_duration_must_fit_the_time_left(left_s: float, is_refused: bool) -> None:
    verdict = _estimate(1.0).verdict(_request(left_s), 19, 10, 100.0)
    assert isinstance(verdict, Refused) == is_refused


def test_the_usual_error_is_taken_off() -> None:
    estimate = _estimate(1.0)
    for number in range(200):
        estimate.record_grant("engine", 1.0, 2.0, 60.0 + number / 10)
    lenient = estimate.verdict(_request(2.2), 19, 10, 100.0)
    assert lenient.expected_wait_s == pytest.approx(2.0, rel=0.1)
    assert isinstance(lenient, Admitted)
    assert isinstance(_estimate(1.0).verdict(_request(2.2), 19, 10, 100.0), Refused)


def test_a_first_turn_is_refused_for_its_objective_and_a_begun_program_is_not() -> None:
    estimate = _estimate(1.0)
    first, begun = (_request(60.0, first=first, objective_s=2.0) for first in (True, False))
    # 3 s of wait; the objective is that of the first event, so the duration does not count.
    assert isinstance(estimate.verdict(first, 29, 10, 100.0), Refused)
    assert isinstance(estimate.verdict(begun, 29, 10, 100.0), Admitted)
    assert isinstance(estimate.verdict(first, 23, 10, 100.0), Admitted)


def test_a_first_turn_may_wait_as_long_as_its_program_can_still_end_in_time() -> None:
    estimate = _estimate(1.0)
    first = attrs.evolve(_request(60.0, first=True, objective_s=0.25), program_deadline_s=104.0)
    assert isinstance(estimate.verdict(first, 18, 10, 100.0), Admitted)
    assert isinstance(estimate.verdict(first, 21, 10, 100.0), Refused)


def test_the_next_request_is_not_refused_if_a_place_becomes_free_in_time() -> None:
    estimate = _estimate(5.0)
    for first in (True, False):
        request = _request(1.0, first=first, objective_s=1.0)
        assert isinstance(estimate.verdict(request, 0, 10, 100.0), Admitted)
        assert isinstance(estimate.verdict(request, 1, 10, 100.0), Refused)


def test_advised_pauses_are_spread_within_their_bounds() -> None:
    estimate = _estimate(1.0)
    for left_s in (0.2, 3.0, 9.0, 100.0):
        verdicts = [estimate.verdict(_request(left_s), 5000, 10, 100.0) for _ in range(200)]
        pauses_s = [one.retry_after_s for one in verdicts if isinstance(one, Refused)]
        longest_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, left_s * MAX_RETRY_SHARE))
        assert len(pauses_s) == 200
        assert min(pauses_s) >= MIN_RETRY_AFTER_S
        assert max(pauses_s) <= longest_s
        if longest_s > MIN_RETRY_AFTER_S:
            assert max(pauses_s) - min(pauses_s) >= 0.45 * longest_s


def test_the_advised_pause_follows_the_expected_wait() -> None:
    verdict = _estimate(1.0).verdict(_request(1.5, first=True, objective_s=0.3), 4, 10, 100.0)
    assert isinstance(verdict, Refused)
    assert 0.25 <= verdict.retry_after_s <= 0.5


def test_the_same_seed_gives_the_same_advice() -> None:
    first, second = (_estimate().verdict(_request(9.0), 5000, 10, 100.0) for _ in range(2))
    assert first == second


def test_what_is_kept_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(wait_estimate, "MAX_ARRIVALS", 20)
    monkeypatch.setattr(wait_estimate, "MAX_GRANTS", 20)
    estimate = _estimate(1.0)
    for number in range(500):
        now_s = 100.0 + number / 1000
        estimate.verdict(_request(1e3, now_s), number % 7, 10, now_s)
        estimate.record_grant("engine", 0.001, 0.0, now_s)
    releases = estimate._releases("engine")
    assert len(releases._grants) <= 20
    assert len(releases.overtaking._arrivals) <= 21
