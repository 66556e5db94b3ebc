"""Reads a process's settings file (TOML) into :class:`SiteSettings`."""

import tomllib
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, TypeVar

import attrs
from expression import Error, Ok, Result

from bayhinge._internal.models.findings import Finding, Place
from bayhinge._internal.models.site_settings import SiteSettings

Value = TypeVar("Value")

UNUSED_ADDRESS = ""


@attrs.define
class _Fields:
    """Takes fields out of nested tables, and collects what is wrong with them."""

    file: str
    table: Mapping[str, Any]
    findings: list[Finding] = attrs.field(factory=list)

    def take(
        self, path: str, convert: Callable[[Any], Value], fallback: Value | None = None
    ) -> Value:
        """Returns a field by its dotted path; without a fallback it must be there."""
        value: Any = self.table
        for name in path.split("."):
            value = value.get(name) if isinstance(value, Mapping) else None
        section, _, key = path.rpartition(".")
        place = Place(self.file, section=section, key=key)
        if value is None:
            if fallback is None:
                self.findings.append(Finding(place, "the field is missing"))
                return convert("0")
            return fallback
        try:
            return convert(value)
        except (TypeError, ValueError) as error:
            self.findings.append(Finding(place, f"{value!r} can't be used: {error}"))
            return convert("0")


def _text(value: Any) -> str:
    return str(value)


def _texts(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list):
        raise TypeError("it is not a list")
    return tuple(str(item) for item in value)


def _ports(value: Any) -> tuple[int, int]:
    if value == "0":
        return 0, 0
    first, last = value
    return int(first), int(last)


def _regions(value: Any) -> dict[str, str]:
    return {str(hall): str(region) for hall, region in dict(value).items()}


def read_settings(path: Path) -> Result[SiteSettings, tuple[Finding, ...]]:
    """Returns the settings, or everything that is wrong with the file."""
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return Error((Finding(Place(str(path)), str(error), "write it as TOML"),))
    fields = _Fields(path.name, table)
    settings = _read(fields)
    return Error(tuple(fields.findings)) if fields.findings else Ok(settings)


def _read(fields: _Fields) -> SiteSettings:
    take = fields.take
    first_port, last_port = take("port_range", _ports)
    if last_port <= first_port and not fields.findings:
        place = Place(fields.file, key="port_range")
        fields.findings.append(Finding(place, "two ports are needed, one for each kind of link"))
    no_seeds: tuple[str, ...] = ()
    seeds = take("seeds", _texts, no_seeds)
    return SiteSettings(
        host=take("node_name", _text),
        hall=take("zone", _text),
        region=take("region", _text),
        ip=take("ip", _text),
        region_by_hall=take("zones", _regions, {}),
        front_address=take("listen.frontend", _text, UNUSED_ADDRESS),
        ready_address=take("listen.ready", _text, UNUSED_ADDRESS),
        directory_address=take("listen.directory", _text, UNUSED_ADDRESS),
        gossip_port=first_port,
        peer_port=first_port + 1,
        seeds=tuple(seed.rpartition(":")[0] for seed in seeds),
        data_folder=take("data_dir", _text, ""),
        is_first_start=take("bootstrap", bool, False),
        tolerated_disks=take("fault_tolerance.machines", int, 1),
        store_address=take("platform.address", _text),
        address_keep_s=take("bounds.ttl_max_s", float, 5.0),
        grace_s=take("bounds.grace_s", float, 8.0),
    )
