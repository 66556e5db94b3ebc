"""Message types of failures and changes that the chart marks, with lane and subject."""

from enum import StrEnum

import attrs

from bayhinge._internal.queries.log_trace import LogLine


class Lane(StrEnum):
    """Rows of the chart."""

    HOSTS = "hosts"
    DISKS = "disks"
    STORE = "store"
    ENDPOINTS = "endpoints"
    CONFIGURATION = "configuration"


@attrs.frozen
class MarkKind:
    """The lane of a message type, and the field with its subject; empty: the host itself."""

    lane: Lane
    field: str = ""


MARKS = {
    "host.started": MarkKind(Lane.HOSTS),
    "host.leaving": MarkKind(Lane.HOSTS),
    "home.silent": MarkKind(Lane.HOSTS, "home"),
    "hall.without_hosts": MarkKind(Lane.HOSTS, "hall"),
    "disk.started": MarkKind(Lane.DISKS),
    "disk.silent": MarkKind(Lane.DISKS, "disk"),
    "disk.refused": MarkKind(Lane.DISKS),
    "disk.retiring": MarkKind(Lane.DISKS),
    "disk_set.dropping": MarkKind(Lane.DISKS),
    "disks.cut_off": MarkKind(Lane.DISKS),
    "store.lost": MarkKind(Lane.STORE),
    "endpoint.vanished": MarkKind(Lane.ENDPOINTS, "endpoint"),
    "endpoint.gone": MarkKind(Lane.ENDPOINTS, "endpoint"),
    "endpoint.restarted": MarkKind(Lane.ENDPOINTS, "endpoint"),
    "endpoint.withdrawn": MarkKind(Lane.ENDPOINTS, "endpoint"),
    "configuration.in_force": MarkKind(Lane.CONFIGURATION, "version"),
}
"""Each window counts the lines of these types."""


def subject_of(line: LogLine) -> str:
    """Returns the subject of a marked line."""
    field = MARKS[line.message_type].field
    return str(line.fields.get(field)) if field else line.host
