"""Parses the log lines of hosts.

A line is a JSON object. Any text before it, such as a time or a host name added by a log
collector, is skipped.
"""

from collections.abc import Iterable, Iterator
from typing import Any

import attrs
import orjson

CONTEXT_S = 5.0
"""State changes up to this long before a request's end may explain it."""

STATE_CHANGE_PREFIXES = (
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
"""Prefixes of the message types of state changes."""

_ENVELOPE = frozenset({"timestamp", "message_type", "host"})


@attrs.frozen
class LogLine:
    """One log line; ``fields`` are without the time, the message type and the host."""

    at_s: float
    host: str
    message_type: str
    fields: dict[str, Any]

    @property
    def is_state_change(self) -> bool:
        """Whether the line reports a change of a host's state or of its view of others."""
        return self.message_type.startswith(STATE_CHANGE_PREFIXES)

    def __str__(self) -> str:
        """Returns the line in readable form."""
        outcome = (
            f"{name}={value}" for name, value in self.fields.items() if value not in (None, "")
        )
        return f"{self.at_s:.3f} {self.host} {self.message_type}: {', '.join(outcome)}"


def read_lines(texts: Iterable[bytes]) -> Iterator[LogLine]:
    """Yields the log lines, and skips all other text."""
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
