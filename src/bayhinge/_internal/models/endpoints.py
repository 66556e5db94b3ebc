"""Endpoints of engine pools and of plain services."""

from enum import StrEnum

import attrs


class ListedEndpointState(StrEnum):
    """An endpoint's state in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Endpoint:
    """One entry of the platform's list; ``pool`` names an engine pool or a plain service."""

    name: str
    pool: str
    hall: str
    address: str
    state: ListedEndpointState


@attrs.frozen
class EndpointLoad:
    """An engine's load report, which may be out of date."""

    running: int
    cache_used_tokens: int
    cache_capacity_tokens: int
    models: tuple[str, ...]
