"""The request rate that a host reports."""

import pytest

from bayhinge._internal.decisions.request_rate import RequestRate


def test_the_rate_follows_a_rise_at_once_and_a_fall_slowly() -> None:
    rate = RequestRate()
    rate.note(10, 1.0)
    assert rate.per_s == 10
    rate.note(110, 2.0)
    assert rate.per_s == 50
    rate.note(110, 1.0)
    assert rate.per_s == pytest.approx(40)
    for _ in range(30):
        rate.note(110, 1.0)
    assert rate.per_s < 0.1
