"""The forms of the platform's objects, with the type and range of each field.

attrs generates neither ``__eq__`` nor ``__repr__`` nor slots for them, to reduce start-up time.
"""

from typing import Any

import attrs
from attrs import validators

from bayhinge._internal.utils.checked_fields import (
    ipv4_with_port,
    number,
    text,
    whole_number,
)

READY = "ready"
DRAINING = "draining"

_OPTIONAL_BOOL = validators.optional(validators.instance_of(bool))


def _check_optional_table(_: Any, field: Any, value: Any) -> None:
    if value is not None and not isinstance(value, dict):
        raise TypeError(f"'{field.name}' must be a table")


def _check_list(_: Any, field: Any, value: Any) -> None:
    if not isinstance(value, list):
        raise TypeError(f"'{field.name}' must be a list")


@attrs.frozen(slots=False, eq=False, repr=False)
class EntryForm:
    """An endpoint's entry; ``born`` is its start time in Unix milliseconds, 0 if unknown."""

    service: str = attrs.field(validator=text())
    address: str = attrs.field(validator=ipv4_with_port)
    zone: str = attrs.field(validator=text(0))
    version: str = attrs.field(validator=text(0))
    slots: int = attrs.field(validator=whole_number(1))
    state: str = attrs.field(validator=validators.in_((READY, DRAINING)))
    cold_left_ms: float = attrs.field(validator=number(0))
    seq: int = attrs.field(validator=whole_number(0))
    born: int = attrs.field(default=0, validator=whole_number(0))


@attrs.frozen(slots=False, eq=False, repr=False)
class ConfigurationForm:
    """The whole configuration; ``limits`` is validated separately."""

    version: int = attrs.field(validator=whole_number(0))
    routes: list[Any] = attrs.field(validator=_check_list)
    services: list[Any] = attrs.field(validator=_check_list)
    limits: Any = None
    tenants: list[Any] | None = attrs.field(
        default=None, validator=validators.optional(_check_list)
    )


@attrs.frozen(slots=False, eq=False, repr=False)
class RouteKeyForm:
    """The host and path prefix of a route; a prefix begins and ends with a slash."""

    host: str = attrs.field(validator=text())
    path_prefix: str = attrs.field(
        validator=validators.and_(text(), validators.matches_re(r"/(?:.*/)?"))
    )


@attrs.frozen(slots=False, eq=False, repr=False)
class RouteForm:
    """The other fields of a route; null means absent."""

    route_kind: str = attrs.field(validator=text())
    timeout_ms: float = attrs.field(validator=number(0, is_exclusive=True))
    slo_ms: float | None = attrs.field(
        default=None, validator=validators.optional(number(0, is_exclusive=True))
    )
    priority: int | None = attrs.field(default=None, validator=validators.optional(whole_number(0)))
    attempts: int | None = attrs.field(default=None, validator=validators.optional(whole_number(0)))
    retained: bool | None = attrs.field(default=None, validator=_OPTIONAL_BOOL)
    retention_s: float | None = attrs.field(default=None, validator=validators.optional(number(0)))
    resumable: bool | None = attrs.field(default=None, validator=_OPTIONAL_BOOL)
    gap_slo_ms: float | None = attrs.field(
        default=None, validator=validators.optional(number(0, is_exclusive=True))
    )
    service: str | None = attrs.field(default=None, validator=validators.optional(text()))
    split: list[Any] | None = attrs.field(default=None, validator=validators.optional(_check_list))
    public: bool | None = attrs.field(default=None, validator=_OPTIONAL_BOOL)


@attrs.frozen(slots=False, eq=False, repr=False)
class AccountForm:
    """The fields of a client account except its keys; null means absent."""

    name: str = attrs.field(validator=validators.and_(text(), validators.matches_re(r"[!-~]+")))
    rate_per_s: float | None = attrs.field(default=None, validator=validators.optional(number(0)))
    burst: float | None = attrs.field(default=None, validator=validators.optional(number(0)))


@attrs.frozen(slots=False, eq=False, repr=False)
class ShareForm:
    """One share of a route's split."""

    service: str = attrs.field(validator=text())
    weight: float = attrs.field(validator=number(0))


@attrs.frozen(slots=False, eq=False, repr=False)
class ServiceForm:
    """A service of the configuration; null means absent."""

    max_conns: int | None = attrs.field(
        default=None, validator=validators.optional(whole_number(0))
    )
    engine_kind: dict[str, Any] | None = attrs.field(default=None, validator=_check_optional_table)
    health_path: Any = None


@attrs.frozen(slots=False, eq=False, repr=False)
class EngineForm:
    """Properties shared by all engines of a service."""

    slots: int = attrs.field(validator=whole_number(1))
    kv_capacity: float = attrs.field(validator=number(0))
    chunk_tokens: int = attrs.field(validator=whole_number(1))


@attrs.frozen(slots=False, eq=False, repr=False)
class LimitsForm:
    """Limits on callers' requests and connections."""

    max_header_bytes: int | None = attrs.field(
        default=None, validator=validators.optional(whole_number(1))
    )
    header_timeout_ms: int | None = attrs.field(
        default=None, validator=validators.optional(whole_number(1))
    )
    idle_timeout_ms: int | None = attrs.field(
        default=None, validator=validators.optional(whole_number(1))
    )
    max_body_bytes: int | None = attrs.field(
        default=None, validator=validators.optional(whole_number(0))
    )
