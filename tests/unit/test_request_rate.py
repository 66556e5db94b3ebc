"""What a host says of the requests that callers ask of it."""

import pytest

from bayhinge._internal.decisions.request_rate import RequestRate


def test_a_rise_counts_at_once_and_a_fall_slowly() -> None:
    rate = RequestRate()
    rate.observe(10, 1.0)
    assert rate.per_s == 10
    rate.observe(110, 2.0)
    assert rate.per_s == 50
    rate.observe(110, 1.0)
    assert rate.per_s == pytest.approx(40)
    for _ in range(30):
        rate.observe(110, 1.0)
    assert rate.per_s < 0.1
