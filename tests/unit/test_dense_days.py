"""Days whose faults overlap operations are drawn the same each time, and do overlap."""

import tomllib

from hypothesis import given
from hypothesis import strategies as st

from tests.dense.days import FAULTS, NEARNESS_S, OPERATIONS, dense_day

AGAIN_S = 3.0
"""The latest that a fault strikes again."""


@given(st.integers(0, 10**9))
def test_each_fault_meets_an_operation(seed: int) -> None:
    day = dense_day(seed)
    assert day == dense_day(seed)
    moments = [entry.at for entry in day.plan]
    for fault in day.faults:
        assert any(
            moment + min(NEARNESS_S) - 1e-9 <= fault.at <= moment + max(NEARNESS_S) + AGAIN_S
            for moment in moments
        )


@given(st.integers(0, 10**9))
def test_a_day_is_a_file_that_can_be_read(seed: int) -> None:
    day = tomllib.loads(dense_day(seed).toml())["day"][0]
    assert day["seed"] == seed
    assert {entry["kind"] for entry in day["plan"]} <= OPERATIONS.keys()
    assert {entry["kind"] for entry in day["faults"]} <= FAULTS.keys()
    assert all(entry["at"] >= 0.5 for entry in day["plan"] + day["faults"])
