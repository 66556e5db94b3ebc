"""Estimates the clock skew between two hosts from their logs.

No call is logged at both ends, so the skew can't be measured exactly. Instead, events that every
host logs are compared. The time between two such lines is the clock skew plus the difference in
propagation delay; a host that receives updates late, such as a partitioned one, shows as a wide
spread.
"""

import math
from collections.abc import Iterator

import attrs

from bayhinge._internal.queries.log_trace import LogLine

FIELDS_BY_SHARED_TYPE = {
    "configuration.in_force": ("version",),
    "disk_set.changed": ("version",),
    "endpoint.restarted": ("endpoint", "born_ms"),
}
"""Events that every host logs, and the fields that identify one event."""

START_TYPES = frozenset({"host.started", "disk.started"})

STARTUP_S = 3.0
"""Events that a host logs this soon after its start are old; see ``INITIAL_SYNC_WAIT_S``."""


@attrs.frozen
class ClockSkew:
    """The estimates of shared events: seconds by which a host is ahead of the reference."""

    host: str
    reference: str
    ahead_s: tuple[float, ...]

    def __str__(self) -> str:
        """Returns the estimate in words."""
        if not self.ahead_s:
            return f"{self.host} against {self.reference}: unknown, both logged no common event"
        least, most = min(self.ahead_s), max(self.ahead_s)
        seems = f"{self.host} seems {'ahead of' if least > 0 else 'behind'} {self.reference}"
        if least <= 0 <= most:
            seems = f"{self.host} against {self.reference}: no skew detected"
        return (
            f"{seems}, the same events are logged {least:.3f} to {most:.3f} s later there"
            f" ({len(self.ahead_s)} common events; propagation delay included)"
        )


class SharedEvents:
    """When each host first logged each shared event."""

    def __init__(self) -> None:
        self._at_s_by_event_by_host: dict[str, dict[tuple[object, ...], float]] = {}
        self._started_s_by_host: dict[str, float] = {}

    def record(self, line: LogLine) -> None:
        """Adds a line; the lines of one host must come in the order in which it wrote them."""
        if line.message_type in START_TYPES:
            self._started_s_by_host[line.host] = line.at_s
        fields = FIELDS_BY_SHARED_TYPE.get(line.message_type)
        if fields is None:
            return
        event = (line.message_type, *(line.fields.get(field) for field in fields))
        started_s = self._started_s_by_host.get(line.host)
        at_s = line.at_s
        if started_s is not None and at_s - started_s < STARTUP_S:
            # Recorded as NaN, so that a later line of the same event doesn't count either.
            at_s = float("nan")
        self._at_s_by_event_by_host.setdefault(line.host, {}).setdefault(event, at_s)

    def skews(self, hosts: set[str], reference: str) -> Iterator[ClockSkew]:
        """Yields the skew of each host's clock against that of ``reference``."""
        reference_at_s = self._at_s_by_event_by_host.get(reference, {})
        for host in sorted(hosts - {reference}):
            others_at_s = self._at_s_by_event_by_host.get(host, {})
            ahead_s = (
                others_at_s[event] - reference_at_s[event]
                for event in others_at_s.keys() & reference_at_s.keys()
            )
            yield ClockSkew(
                host, reference, tuple(sorted(each for each in ahead_s if not math.isnan(each)))
            )
