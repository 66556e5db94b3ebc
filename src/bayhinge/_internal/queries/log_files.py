"""The log files of many hosts as one iterable that can be read repeatedly.

Reports that need several passes read the files again, since logs may not fit in memory: a large
site writes 10 MB per minute.
"""

from collections.abc import Iterator, Sequence
from pathlib import Path

from bayhinge._internal.queries.log_trace import LogLine, read_lines


class LogFiles:
    """Log files, sorted by their first timestamps, so that a host's older files come first."""

    def __init__(self, files: Sequence[Path]) -> None:
        self._files = sorted(files, key=_begins_s)

    def __iter__(self) -> Iterator[LogLine]:
        """Yields the log lines, file by file."""
        for file in self._files:
            with file.open("rb") as texts:
                yield from read_lines(texts)


def _begins_s(file: Path) -> float:
    with file.open("rb") as texts:
        first = next(read_lines(texts), None)
    return 0.0 if first is None else first.at_s
