"""No key is accepted later than the bound after its removal, whatever is delayed or lost."""

import pytest
from hypothesis import Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.lib.proof_model import ProofModel
from tests.lib.proof_mutants import MUTANTS

MODEL_SETTINGS = settings(
    max_examples=400,
    stateful_step_count=40,
    deadline=None,
    database=None,
    phases=[Phase.generate],
)


def test_no_removed_key_is_accepted_after_the_bound() -> None:
    run_state_machine_as_test(seed(1)(ProofModel), settings=MODEL_SETTINGS)


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.__name__)
def test_the_model_detects_each_missing_guard(mutant: type[ProofModel]) -> None:
    with pytest.raises(AssertionError, match="after the key was taken away"):
        run_state_machine_as_test(
            seed(1)(mutant), settings=settings(MODEL_SETTINGS, max_examples=3000)
        )
