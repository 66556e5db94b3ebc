"""Each mechanism that an ablation removes is still found in the source."""

import compileall
from pathlib import Path

import pytest

from tests.dense.ablation import EDITS_BY_MECHANISM, Edit, EditTargetError, copy_without


@pytest.mark.parametrize("mechanism", EDITS_BY_MECHANISM)
def test_each_mechanism_can_be_removed(mechanism: str, tmp_path: Path) -> None:
    copy_without(mechanism, tmp_path)
    changed_paths = {edit.path for edit in EDITS_BY_MECHANISM[mechanism]}
    for path in changed_paths:
        assert compileall.compile_file(tmp_path / "src/bayhinge/_internal" / path, quiet=1)


def test_missing_source_text_raises_an_error(tmp_path: Path) -> None:
    copy_without("", tmp_path)
    with pytest.raises(EditTargetError, match="stands 0 times"):
        Edit("decisions/endpoint_table.py", "no such text", "").apply(tmp_path)
