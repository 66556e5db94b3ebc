"""Endpoints as the platform's list describes them."""

import attrs


@attrs.frozen
class EndpointEntry:
    """One running endpoint.

    Attributes:
        instance: the id of this start; a restarted endpoint has another.
        slots: requests that it works on at once.
        is_leaving: it gets no new work.
    """

    instance: str
    service: str
    address: str
    hall: str
    slots: int
    is_leaving: bool
