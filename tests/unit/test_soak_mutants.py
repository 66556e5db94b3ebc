"""Each mutant's edits still apply to the source, which then still compiles."""

import compileall
import shutil
from pathlib import Path

import pytest

from tests.dense.ablation import ROOT
from tests.lib.fence_mutants import EDITS_BY_RULE
from tests.soak.mutants import EDITS_BY_GUARD

EDITS_BY_NAME = EDITS_BY_GUARD | EDITS_BY_RULE


@pytest.mark.parametrize("guard", EDITS_BY_NAME)
def test_a_guard_can_be_removed(guard: str, tmp_path: Path) -> None:
    shutil.copytree(ROOT / "src", tmp_path / "src")
    for edit in EDITS_BY_NAME[guard]:
        edit.apply(tmp_path)
        assert compileall.compile_file(tmp_path / "src/bayhinge/_internal" / edit.path, quiet=1)
