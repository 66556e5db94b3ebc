"""Log lines that are collected while something runs in this process."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import eliot

Line = dict[str, Any]


@contextmanager
def collected_lines() -> Iterator[list[Line]]:
    """Gives a list that grows with each line, until the block ends."""
    lines: list[Line] = []
    eliot.add_destinations(lines.append)
    try:
        yield lines
    finally:
        eliot.remove_destination(lines.append)


def told(lines: list[Line], kind: str) -> list[Line]:
    """Returns the lines of one kind."""
    return [line for line in lines if line.get("message_type") == kind]
