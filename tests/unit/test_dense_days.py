"""Generated days are reproducible, valid, and their faults overlap operations."""

import tomllib

from hypothesis import given
from hypothesis import strategies as st

from tests.dense.days import FAULT_OFFSETS_S, FAULTS, OPERATIONS, dense_day

MAX_REPEAT_S = 3.0
"""The latest repetition of a fault."""


@given(st.integers(0, 10**9))
def test_each_fault_overlaps_an_operation(seed: int) -> None:
    day = dense_day(seed)
    assert day == dense_day(seed)
    operation_times = [entry.at for entry in day.plan]
    for fault in day.faults:
        assert any(
            operation_at + min(FAULT_OFFSETS_S) - 1e-9
            <= fault.at
            <= operation_at + max(FAULT_OFFSETS_S) + MAX_REPEAT_S
            for operation_at in operation_times
        )


@given(st.integers(0, 10**9))
def test_a_generated_day_is_a_valid_file(seed: int) -> None:
    day = tomllib.loads(dense_day(seed).toml())["day"][0]
    assert day["seed"] == seed
    assert {entry["kind"] for entry in day["plan"]} <= OPERATIONS.keys()
    assert {entry["kind"] for entry in day["faults"]} <= FAULTS.keys()
    assert all(entry["at"] >= 0.5 for entry in day["plan"] + day["faults"])
