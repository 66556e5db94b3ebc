"""Endpoints as the platform's list describes them, and their starts."""

import attrs


@attrs.frozen
class EndpointStart:
    """One start of an endpoint: it holds and knows nothing of those before it.

    Attributes:
        endpoint: its id, which it may have had before, or empty where there is no endpoint.
        born_ms: the Unix millisecond at which it started, or None where nobody has said so. An
            unknown start is neither before nor after another one: it may be any of its endpoint.
    """

    endpoint: str = ""
    born_ms: int | None = None

    def may_be(self, other: "EndpointStart") -> bool:
        """Whether the two are the same start, as far as is known."""
        if self.endpoint != other.endpoint:
            return False
        return self.born_ms is None or other.born_ms is None or self.born_ms == other.born_ms

    def is_after(self, other: "EndpointStart") -> bool:
        """Whether this is surely a later start of the same endpoint."""
        return self.endpoint == other.endpoint and _is_later(self.born_ms, other.born_ms)


@attrs.frozen
class EndpointEntry:
    """One running endpoint.

    Attributes:
        instance: its id, which stays when it starts again.
        slots: requests that it works on at once.
        is_leaving: it gets no new work.
        born_ms: see :class:`EndpointStart`.
    """

    instance: str
    service: str
    address: str
    hall: str
    slots: int
    is_leaving: bool
    born_ms: int | None = None

    @property
    def start(self) -> EndpointStart:
        """The start that wrote the entry."""
        return EndpointStart(self.instance, self.born_ms)

    def took_address_of(self, other: "EndpointEntry") -> bool:
        """Whether this other endpoint surely started later, at the same address."""
        return (
            self.instance != other.instance
            and self.address == other.address
            and _is_later(self.born_ms, other.born_ms)
        )


def _is_later(born_ms: int | None, other_ms: int | None) -> bool:
    return born_ms is not None and other_ms is not None and born_ms > other_ms
