"""A short seeded soak, and the seeds that once failed; ``make soak`` plays fresh ones."""

import os
from pathlib import Path

import pytest

from tests.soak.run import play_seed

pytestmark = pytest.mark.functional

SHORT_SEEDS = (1,)

FAILED_ONCE: dict[int, str] = {
    901: "events made of a cut one and the next run's first one",
}
"""Seeds that broke a promise, with the cause that was found."""


@pytest.mark.parametrize("seed", [*SHORT_SEEDS, *FAILED_ONCE])
def test_promises_hold_while_faults_overlap(seed: int, tmp_path: Path) -> None:
    result = play_seed(seed, 6.0, tmp_path, net=f"127.80.{os.getpid() % 250 + 1}")
    assert not result.problems, "\n".join([*result.problems[:10], *result.story])
    assert result.served_turns > 20
