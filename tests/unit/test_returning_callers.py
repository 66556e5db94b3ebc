"""Guards against callers that lose their age by a refusal, and against ages nobody has waited."""

import pytest

from bayhinge._internal.decisions import returning_callers
from bayhinge._internal.decisions.returning_callers import MAX_RETURN_S, ReturningCallers


def _refused(arrived_s: float = 9.0, now_s: float = 10.0) -> ReturningCallers:
    callers = ReturningCallers()
    callers.record_refusal(7, arrived_s, now_s)
    return callers


def test_a_caller_that_returns_keeps_its_age() -> None:
    assert _refused().arrival(7, 12.0, 12.0) == 9.0


def test_another_caller_has_its_own_age() -> None:
    assert _refused().arrival(8, 12.0, 12.0) == 12.0


def test_a_request_that_waits_is_recognized_each_time_it_asks() -> None:
    callers = _refused()
    arrivals = [callers.arrival(7, 12.0 + number % 3 / 100, 12.0 + number) for number in range(30)]
    assert set(arrivals) == {9.0}


def test_one_refusal_counts_for_one_request() -> None:
    """Without a program, all callers of an account and route have the same key."""
    callers = _refused()
    assert callers.arrival(7, 12.0, 12.0) == 9.0
    assert callers.arrival(7, 12.5, 12.5) == 12.5


def test_a_request_that_waited_already_at_the_refusal_is_another_one() -> None:
    callers = _refused()
    assert callers.arrival(7, 9.5, 11.0) == 9.5
    assert callers.arrival(7, 12.0, 12.0) == 9.0


def test_a_second_refusal_keeps_the_first_arrival() -> None:
    callers = _refused()
    callers.arrival(7, 12.0, 12.0)
    callers.record_refusal(7, 12.0, 13.0)
    assert callers.arrival(7, 15.0, 15.0) == 9.0


def test_a_caller_that_stays_away_is_forgotten() -> None:
    callers = _refused()
    late_s = 10.0 + MAX_RETURN_S
    assert callers.arrival(7, late_s, late_s) == late_s
    assert len(callers) == 0


def test_an_arrival_is_never_later_than_the_requests_own() -> None:
    assert _refused(arrived_s=14.0).arrival(7, 12.0, 12.0) == 12.0


def test_the_number_of_callers_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(returning_callers, "MAX_CALLERS", 100)
    callers = ReturningCallers()
    for key in range(1000):
        callers.record_refusal(key, 1.0, 1.0)
    assert len(callers) == 100
    assert callers.arrival(999, 2.0, 2.0) == 1.0
    assert callers.arrival(0, 2.0, 2.0) == 2.0
