"""Reading logs does not keep ordinary lines in memory."""

import tracemalloc
from collections.abc import Callable, Sequence
from pathlib import Path

import pytest

from bayhinge._internal.queries.log_files import LogFiles
from bayhinge._internal.queries.losses import losses_of
from bayhinge._internal.queries.tracing import trace
from tests.lib.made_log import write_log

SHORT_LINES, LONG_LINES = 4_000, 16_000
MAX_BYTES_PER_LINE = 16
"""Windows and counters of distinct times grow a little; a line kept in memory takes over 500."""


def peak_bytes(work: Callable[[], object]) -> int:
    tracemalloc.start()
    try:
        work()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


def sum_losses(files: Sequence[Path]) -> object:
    return losses_of(LogFiles(files), 2.0)


def trace_one(files: Sequence[Path]) -> object:
    return trace(f"{50:016x}", LogFiles(files))


@pytest.mark.parametrize("read", [sum_losses, trace_one])
def test_ordinary_lines_are_not_kept(
    tmp_path: Path, read: Callable[[Sequence[Path]], object]
) -> None:
    peaks = []
    for count in (SHORT_LINES, LONG_LINES):
        folder = tmp_path / str(count)
        folder.mkdir()
        files = write_log(folder, count, failure_share=0.0, endpoints=3)
        read(files)
        peaks.append(peak_bytes(lambda files=files: read(files)))  # type: ignore[misc]
    assert (peaks[1] - peaks[0]) / (LONG_LINES - SHORT_LINES) < MAX_BYTES_PER_LINE
