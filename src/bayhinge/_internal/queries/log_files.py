"""The log files of many hosts as one run of lines that can be gone through again.

A report that needs two looks at a line reads the files twice instead of keeping them: a large
site writes 10 MB a minute.
"""

from collections.abc import Iterator, Sequence
from pathlib import Path

from bayhinge._internal.queries.log_trace import LogLine, read_lines


class LogFiles:
    """Files in the order of their first lines, so that a host's older file comes first."""

    def __init__(self, files: Sequence[Path]) -> None:
        """Takes the files in any order."""
        self._files = sorted(files, key=_begins_s)

    def __iter__(self) -> Iterator[LogLine]:
        """Yields the lines that are log lines, file by file."""
        for file in self._files:
            with file.open("rb") as texts:
                yield from read_lines(texts)


def _begins_s(file: Path) -> float:
    with file.open("rb") as texts:
        first = next(read_lines(texts), None)
    return 0.0 if first is None else first.at_s
