"""Each mechanism that an ablation takes out is still where its table says."""

import compileall
from pathlib import Path

import pytest

from tests.dense.ablation import EDITS_BY_MECHANISM, Edit, PieceMissingError, copy_without


@pytest.mark.parametrize("mechanism", EDITS_BY_MECHANISM)
def test_a_mechanism_can_be_taken_out(mechanism: str, tmp_path: Path) -> None:
    copy_without(mechanism, tmp_path)
    changed = {edit.path for edit in EDITS_BY_MECHANISM[mechanism]}
    for path in changed:
        assert compileall.compile_file(tmp_path / "src/bayhinge/_internal" / path, quiet=1)


def test_a_piece_that_has_gone_is_told(tmp_path: Path) -> None:
    copy_without("", tmp_path)
    with pytest.raises(PieceMissingError, match="stands 0 times"):
        Edit("decisions/endpoint_book.py", "no such text", "").apply(tmp_path)
