"""Each guard that a mutant of the soak takes out is still where its table says."""

import compileall
import shutil
from pathlib import Path

import pytest

from tests.dense.ablation import ROOT
from tests.soak.mutants import EDITS_BY_GUARD


@pytest.mark.parametrize("guard", EDITS_BY_GUARD)
def test_a_guard_can_be_taken_out(guard: str, tmp_path: Path) -> None:
    shutil.copytree(ROOT / "src", tmp_path / "src")
    for edit in EDITS_BY_GUARD[guard]:
        edit.apply(tmp_path)
        assert compileall.compile_file(tmp_path / "src/bayhinge/_internal" / edit.path, quiet=1)
