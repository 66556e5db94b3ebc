"""Lines that tell of trouble or change: in which lane of the page, and whom they name."""

from enum import StrEnum

import attrs

from bayhinge._internal.queries.log_trace import LogLine


class Lane(StrEnum):
    """What went."""

    HOSTS = "hosts"
    DISKS = "disks"
    STORE = "store"
    ENDPOINTS = "endpoints"
    CONFIGURATION = "configuration"


@attrs.frozen
class MarkKind:
    """Where a line stands, and the field that names what it is about; empty for its writer."""

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
"""Each window counts them."""


def subject_of(line: LogLine) -> str:
    """Returns whom a mark is about."""
    field = MARKS[line.message_type].field
    return str(line.fields.get(field)) if field else line.host
