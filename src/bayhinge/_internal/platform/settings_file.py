"""Reads and validates the platform's settings file (TOML) into :class:`SiteSettings`."""

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import attrs
from attrs import validators
from expression import Error, Ok, Result

from bayhinge._internal.models.findings import Finding, Place
from bayhinge._internal.models.site_settings import SiteSettings
from bayhinge._internal.utils.checked_fields import (
    MAX_PORT,
    MAX_SHOWN_CHARS,
    Check,
    ipv4_with_port,
    is_ipv4,
    number,
    text,
    whole_number,
)

NO_ADDRESS = ""

BYTES_PER_MB = 2**20
"""A megabyte in the settings, as the platform measures its processes."""

PORT_RANGE_LENGTH = 2
"""Length of the setting ``port_range``: the first and the last port."""


@attrs.frozen(eq=False, repr=False)
class _FieldName:
    """Stands for the attrs attribute that checks take the name from."""

    name: str


@attrs.define(eq=False, repr=False)
class _Fields:
    """Reads fields from nested tables and collects findings."""

    file: str
    table: Mapping[str, Any]
    findings: list[Finding] = attrs.field(factory=list)

    def read(self, path: str, check: Check, fallback: Any = None) -> Any:
        """Returns the field at a dotted path; it is required if ``fallback`` is None."""
        value: Any = self.table
        for name in path.split("."):
            value = value.get(name) if isinstance(value, Mapping) else None
        section, _, key = path.rpartition(".")
        place = Place(self.file, section=section, key=key)
        if value is None:
            if fallback is None:
                self.findings.append(Finding(place, "the field is missing"))
            return fallback
        try:
            check(None, _FieldName(key), value)
        except (TypeError, ValueError) as error:
            shown = repr(value)[:MAX_SHOWN_CHARS]
            self.findings.append(Finding(place, f"{shown} is invalid: {error.args[0]}"))
            return fallback
        return value


def _check_ipv4(_: Any, field: Any, value: Any) -> None:
    if not isinstance(value, str) or not is_ipv4(value):
        raise TypeError(f"'{field.name}' must be an IPv4 address")


def _check_port_range(_: Any, field: Any, value: Any) -> None:
    check = whole_number(1)
    if not isinstance(value, list) or len(value) != PORT_RANGE_LENGTH:
        raise TypeError(f"'{field.name}' must be the first and the last port")
    for port in value:
        check(None, field, port)
    if not value[0] < value[1] <= MAX_PORT:
        raise ValueError("two ports are needed, one for UDP heartbeats and one for peer links")


_OPTIONAL_ADDRESS = validators.or_(ipv4_with_port, validators.in_((NO_ADDRESS,)))
_STRING_LIST = validators.deep_iterable(text(0), validators.instance_of(list))
_STRING_DICT = validators.deep_mapping(text(), text(0), validators.instance_of(dict))
_FLAG = validators.instance_of(bool)


def read_settings(path: Path) -> Result[SiteSettings, tuple[Finding, ...]]:
    """Returns the settings, or all findings on the file."""
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return Error((Finding(Place(str(path)), str(error), "write it as TOML"),))
    fields = _Fields(path.name, table)
    settings = _read(fields)
    return Error(tuple(fields.findings)) if fields.findings else Ok(settings)


def _read(fields: _Fields) -> SiteSettings:
    read = fields.read
    first_port = (read("port_range", _check_port_range) or [0])[0]
    seeds = read("seeds", _STRING_LIST, [])
    memory_mb = read("limits.memory_mb", whole_number(0), 0)
    is_strict = read("bounds.revoke_strict", _FLAG, False)
    revoke_ms = read("bounds.revoke_ms", number(0, is_exclusive=True), 0) if is_strict else 0
    return SiteSettings(
        host=read("node_name", text()),
        hall=read("zone", text()),
        region=read("region", text()),
        ip=read("ip", _check_ipv4),
        region_by_hall=read("zones", _STRING_DICT, {}),
        front_address=read("listen.frontend", _OPTIONAL_ADDRESS, NO_ADDRESS),
        ready_address=read("listen.ready", _OPTIONAL_ADDRESS, NO_ADDRESS),
        directory_address=read("listen.directory", _OPTIONAL_ADDRESS, NO_ADDRESS),
        gossip_port=first_port,
        peer_port=first_port + 1,
        seeds=tuple(seed.rpartition(":")[0] for seed in seeds),
        data_folder=read("data_dir", text(0), ""),
        is_first_start=read("bootstrap", _FLAG, False),
        tolerated_disks=read("fault_tolerance.machines", whole_number(0), 1),
        store_address=read("platform.address", ipv4_with_port),
        address_keep_s=float(read("bounds.ttl_max_s", number(0), 5.0)),
        grace_s=float(read("bounds.grace_s", number(0), 8.0)),
        taken_away_s=revoke_ms / 1000 if revoke_ms else None,
        quota_window_s=float(read("bounds.quota_window_s", number(0), 1.0)),
        quota_overage=float(read("bounds.quota_overage", number(0), 0.0)),
        quota_slack=float(read("bounds.quota_slack", number(0), 0.0)),
        memory_bytes=memory_mb * BYTES_PER_MB or None,
        max_descriptors=read("limits.max_fds", whole_number(0), 0) or None,
    )
