"""Captures the log messages of this process."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import eliot

Line = dict[str, Any]


@contextmanager
def collected_lines() -> Iterator[list[Line]]:
    """Yields a list to which log messages are appended until the block ends."""
    lines: list[Line] = []
    eliot.add_destinations(lines.append)
    try:
        yield lines
    finally:
        eliot.remove_destination(lines.append)


def lines_of_type(lines: list[Line], kind: str) -> list[Line]:
    """Returns the messages of one type."""
    return [line for line in lines if line.get("message_type") == kind]
