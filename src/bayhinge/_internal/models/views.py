"""Query results that are sent as JSON."""

from typing import Any

import attrs
import orjson
from cattrs.preconf.orjson import make_converter

_CONVERTER = make_converter()


@attrs.frozen
class ProgramView:
    """A program as shown to callers and operators."""

    id: str
    account: str
    parent: str | None
    owner: str
    opened_at_ms: int
    next_call: int
    spent_tokens: int
    messages: int
    running_call: int | None
    ended: str | None


@attrs.frozen
class AddressView:
    """Addresses of hosts, best first, and their TTL in seconds."""

    addresses: tuple[str, ...]
    keep_s: float
    owner: str | None = None


@attrs.frozen
class HostView:
    """A host as seen by the host that answers the query.

    Attributes:
        incarnation: identifier of this run of the host's process.
        revision: the newest configuration revision that the host has applied.
        load: the number of running calls.
    """

    host: str
    incarnation: str
    hall: str
    state: str
    public_address: str
    peer_address: str
    revision: int
    load: float


@attrs.frozen
class EndpointStatusView:
    """An endpoint as seen by its queue dispatcher.

    Attributes:
        pool: the cell, a part of a pool.
        home: the host that dispatches the cell.
    """

    name: str
    pool: str
    home: str
    hall: str
    standing: str
    running: int
    limit: int
    resident_programs: int
    resident_tokens: int
    failures: int


@attrs.frozen
class ConfigStatusView:
    """The configuration revision that a host has applied, and whether it is confirmed.

    Attributes:
        revision: the newest revision that the host has applied.
        newest_heard: the newest revision that the host has applied or a peer has reported.
        vouches: whether the store or a peer has confirmed the configuration recently.
        damaged: keys of configuration objects that can't be read.
    """

    host: str
    incarnation: str
    revision: int
    newest_heard: int
    vouches: bool
    damaged: tuple[str, ...]


@attrs.frozen
class ConfigObjectView:
    """A configured object at one revision."""

    kind: str
    name: str
    revision: int
    author: str
    accepted_at_ms: int
    text: str | None


@attrs.frozen
class ParameterView:
    """A resolved parameter and the source of its value."""

    name: str
    value: Any
    source: str


@attrs.frozen
class HostStatsView:
    """A host's counters."""

    host: str
    programs: int
    running_calls: int
    journal_records: int
    journal_writes: int
    journal_waiting_bytes: int
    history_bytes: int
    history_rebuilds: int
    grants: int
    rejections: int
    events: int
    store_ok: bool
    latency_ms: dict[str, dict[str, float]]


def to_json(view: Any) -> bytes:
    """Encodes a view, or a list or dict of views, as JSON."""
    return orjson.dumps(_CONVERTER.unstructure(view))
