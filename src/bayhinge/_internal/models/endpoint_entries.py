"""Endpoints as listed by the platform, and their incarnations."""

import attrs


@attrs.frozen
class EndpointIncarnation:
    """One incarnation of an endpoint; no state survives from earlier ones.

    Attributes:
        endpoint: the endpoint's id, which is reused across restarts; empty for no endpoint.
        born_ms: start time in Unix milliseconds, or None if unknown. An incarnation with an unknown
            start time is not ordered: it may equal any incarnation of the same endpoint.
    """

    endpoint: str = ""
    born_ms: int | None = None

    def may_be_same_as(self, other: "EndpointIncarnation") -> bool:
        """Whether the two can be the same incarnation."""
        if self.endpoint != other.endpoint:
            return False
        return self.born_ms is None or other.born_ms is None or self.born_ms == other.born_ms

    def is_later_than(self, other: "EndpointIncarnation") -> bool:
        """Whether this is known to be a later incarnation of the same endpoint."""
        return self.endpoint == other.endpoint and _is_later(self.born_ms, other.born_ms)


@attrs.frozen
class EndpointEntry:
    """One running endpoint.

    Attributes:
        instance: its id, which stays the same across restarts.
        slots: maximum number of concurrent requests.
        is_leaving: it is draining and gets no new work.
        born_ms: see :class:`EndpointIncarnation`.
    """

    instance: str
    service: str
    address: str
    hall: str
    slots: int
    is_leaving: bool
    born_ms: int | None = None

    @property
    def incarnation(self) -> EndpointIncarnation:
        """The incarnation that the entry describes."""
        return EndpointIncarnation(self.instance, self.born_ms)

    def reuses_address_of(self, other: "EndpointEntry") -> bool:
        """Whether this is a different endpoint known to have started later at the same address."""
        return (
            self.instance != other.instance
            and self.address == other.address
            and _is_later(self.born_ms, other.born_ms)
        )


def _is_later(born_ms: int | None, other_ms: int | None) -> bool:
    return born_ms is not None and other_ms is not None and born_ms > other_ms
