"""``bayhinge logs ID FILE...``: what the logs say of a request or a program."""

from collections.abc import Iterator
from pathlib import Path

from bayhinge._internal import status_codes
from bayhinge._internal.queries.log_trace import read_lines, trace


def logs(identifier: str, *files: Path) -> None:
    """Prints the lines about a request, and what its host came to believe just before.

    Args:
        identifier: the id of an attempt, or of a program.
        files: the logs of one or many hosts, in any order.
    """
    found = trace(identifier, read_lines(texts_of(files)))
    if not found:
        print(
            f"no line names '{identifier}'; it may have reached another host, "
            "or was an ordinary success that was thinned"
        )
        raise SystemExit(status_codes.EXIT_NOT_FOUND)
    for line in found:
        mark = ">" if line.names(identifier) else " "
        print(mark, line)


def texts_of(files: tuple[Path, ...]) -> Iterator[bytes]:
    """Yields the lines of files, one after the other."""
    for file in files:
        with file.open("rb") as lines:
            yield from lines
