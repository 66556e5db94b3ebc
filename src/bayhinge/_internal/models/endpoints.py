"""Endpoints: engines and endpoints of plain services."""

from enum import StrEnum

import attrs


class EndpointState(StrEnum):
    """What the platform's list says of an endpoint."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Endpoint:
    """One entry of the platform's list; ``pool`` names an engine pool or a plain service."""

    name: str
    pool: str
    hall: str
    address: str
    state: EndpointState


@attrs.frozen
class EndpointLoad:
    """An engine's own report, which lags."""

    running: int
    cache_used_tokens: int
    cache_capacity_tokens: int
    models: tuple[str, ...]
