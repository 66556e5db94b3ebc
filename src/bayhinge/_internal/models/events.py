"""Events of the operators' timeline: each records a decision, its reason and its figures."""

from enum import StrEnum
from typing import Any

import attrs

from bayhinge._internal.models.refusals import Figure


class Mechanism(StrEnum):
    """The subsystem that emitted an event."""

    OWNER = "owner"
    JOURNAL = "journal"
    BUDGET = "budget"
    QUEUE = "queue"
    PLACEMENT = "placement"
    ENDPOINT = "endpoint"
    CACHE = "cache"
    CONFIG = "config"
    MEMBERSHIP = "membership"
    FRONT = "front"


@attrs.frozen
class Event:
    """One event of the timeline; ``stamp`` is a hybrid logical clock timestamp."""

    stamp: int
    host: str
    mechanism: Mechanism
    what: str
    why: str
    program: str = ""
    account: str = ""
    endpoint: str = ""
    index: int = -1
    figures: tuple[Figure, ...] = ()

    def to_fields(self) -> dict[str, Any]:
        """Returns the event as a plain dict for logs and the wire."""
        fields = attrs.asdict(self, recurse=False)
        fields["mechanism"] = self.mechanism.value
        fields["figures"] = {figure.name: figure.value for figure in self.figures}
        return fields


def event_from_fields(fields: dict[str, Any]) -> Event:
    """Builds an event from the dict that :meth:`Event.to_fields` returned."""
    figures = tuple(Figure(name, value) for name, value in fields["figures"].items())
    known = {name: fields[name] for name in fields if name not in {"mechanism", "figures"}}
    return Event(mechanism=Mechanism(fields["mechanism"]), figures=figures, **known)
