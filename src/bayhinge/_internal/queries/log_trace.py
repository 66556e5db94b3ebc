"""Reads log lines of hosts.

A line is a JSON object; whatever stands before it (a time, the name of a host) is passed
over, so that logs may be read as a platform collected them.
"""

from collections.abc import Iterable, Iterator
from typing import Any

import attrs
import orjson

CONTEXT_S = 5.0
"""Changes of belief that came within this time before a request's end may explain it."""

BELIEFS = (
    "store.",
    "configuration.",
    "endpoint.",
    "disk.",
    "disks.",
    "disk_set.",
    "home.",
    "hall.",
    "peer.",
    "host.",
    "settings.",
    "log.",
)
"""Beginnings of the types of lines that tell of a change of belief."""

_ENVELOPE = frozenset({"timestamp", "message_type", "host"})


@attrs.frozen
class LogLine:
    """One line: when, on which host, what, and its fields."""

    at_s: float
    host: str
    what: str
    fields: dict[str, Any]

    @property
    def is_belief(self) -> bool:
        """Whether it tells of a change of belief."""
        return self.what.startswith(BELIEFS)

    def names(self, identifier: str) -> bool:
        """Tells whether it is about a request or a program."""
        return identifier in {self.fields.get("attempt"), self.fields.get("program")}

    def __str__(self) -> str:
        """Returns the line for a person."""
        told = (f"{name}={value}" for name, value in self.fields.items() if value not in (None, ""))
        return f"{self.at_s:.3f} {self.host} {self.what}: {', '.join(told)}"


def read_lines(texts: Iterable[bytes]) -> Iterator[LogLine]:
    """Yields the lines that are log lines."""
    for text in texts:
        start = text.find(b"{")
        if start < 0:
            continue
        try:
            fields = orjson.loads(text[start:])
        except orjson.JSONDecodeError:
            continue
        if "message_type" in fields and "timestamp" in fields:
            rest = {name: value for name, value in fields.items() if name not in _ENVELOPE}
            yield LogLine(
                float(fields["timestamp"]),
                str(fields.get("host", "?")),
                str(fields["message_type"]),
                rest,
            )
