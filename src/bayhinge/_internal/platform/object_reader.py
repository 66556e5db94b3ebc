"""Decodes the platform's objects: the configuration, and the entries of endpoints."""

from typing import Any

import orjson

from bayhinge._internal.exceptions import UnreadableObjectError
from bayhinge._internal.models.endpoint_entries import EndpointEntry
from bayhinge._internal.models.routing import (
    EngineTraits,
    FrontLimits,
    Route,
    RouteKind,
    RoutingTable,
    ServiceShare,
    ServiceSpec,
)
from bayhinge._internal.platform.objects_api import CONFIGURATION_KIND
from bayhinge._internal.services.gateway.outside import ObjectReader

KIND_BY_NAME = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.AT_MOST_ONCE,
    "streaming": RouteKind.STREAMING,
}

DEFAULT_ATTEMPTS_BY_KIND = {
    RouteKind.IDEMPOTENT: 2,
    RouteKind.AT_MOST_ONCE: 1,
    RouteKind.STREAMING: 1,
}
"""Endpoints that a request may be sent to where its route names no number."""

MOST_MILLISECONDS = 2**63 - 1
"""Largest moment that is taken: messages between hosts hold no larger number."""


class PlatformObjectReader(ObjectReader):
    """See :class:`ObjectReader`."""

    def read_configuration(self, value: bytes) -> RoutingTable:
        """See :class:`ObjectReader`."""
        key = f"{CONFIGURATION_KIND}/main"
        try:
            spec = orjson.loads(value)
            version = int(spec["version"])
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
            raise UnreadableObjectError(key, (f"{key}: {error!r}",)) from error
        findings: list[str] = []
        routes = [_read_route(item, findings) for item in spec.get("routes", [])]
        services = [_read_service(item, findings) for item in spec.get("services", [])]
        if findings:
            raise UnreadableObjectError(key, tuple(findings))
        return RoutingTable(
            version,
            tuple(route for route in routes if route is not None),
            {service.name: service for service in services if service is not None},
            _read_limits(spec.get("limits", {})),
        )

    def read_endpoint(self, key: str, value: bytes) -> EndpointEntry:
        """See :class:`ObjectReader`."""
        try:
            spec = orjson.loads(value)
            return EndpointEntry(
                instance=key.rpartition("/")[2],
                service=str(spec["service"]),
                address=str(spec["address"]),
                hall=str(spec["zone"]),
                slots=int(spec["slots"]),
                is_leaving=spec["state"] != "ready",
                born_ms=_whole_number(spec.get("born")),
            )
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
            raise UnreadableObjectError(key, (f"{key}: {error!r}",)) from error


def _whole_number(value: Any) -> int | None:
    """Returns a count as it is; what is absent, or no whole number of 64 bits, says nothing."""
    is_number = isinstance(value, int) and not isinstance(value, bool)
    return value if is_number and 0 <= value <= MOST_MILLISECONDS else None


def _read_route(item: dict[str, Any], findings: list[str]) -> Route | None:
    name = item.get("name", "?")
    try:
        kind = KIND_BY_NAME[item["route_kind"]]
        shares = tuple(
            ServiceShare(str(share["service"]), float(share["weight"]))
            for share in item.get("split") or [{"service": item["service"], "weight": 1}]
        )
        return Route(
            name=name,
            host=str(item["host"]).lower(),
            path_prefix=str(item["path_prefix"]),
            kind=kind,
            shares=shares,
            timeout_s=float(item["timeout_ms"]) / 1000,
            objective_s=float(item.get("slo_ms", item["timeout_ms"])) / 1000,
            urgency=int(item.get("priority", 5)),
            max_endpoints=int(item.get("attempts") or DEFAULT_ATTEMPTS_BY_KIND[kind]),
            keeps_turns=bool(item.get("retained", False)),
            keep_turns_s=float(item.get("retention_s") or 0.0),
            is_resumable=kind is RouteKind.STREAMING and bool(item.get("resumable", False)),
            pause_s=_seconds(item.get("gap_slo_ms")),
        )
    except (KeyError, TypeError, ValueError) as error:
        findings.append(f"route '{name}': {error!r}")
        return None


def _seconds(milliseconds: Any) -> float | None:
    return None if milliseconds is None else float(milliseconds) / 1000


def _read_service(item: dict[str, Any], findings: list[str]) -> ServiceSpec | None:
    name = item.get("name", "?")
    try:
        engine = item.get("engine_kind")
        traits = None
        if engine:
            traits = EngineTraits(
                int(engine["slots"]), int(engine["kv_capacity"]), int(engine["chunk_tokens"])
            )
        return ServiceSpec(str(item["name"]), int(item.get("max_conns", 0)), traits)
    except (KeyError, TypeError, ValueError) as error:
        findings.append(f"service '{name}': {error!r}")
        return None


def _read_limits(item: dict[str, Any]) -> FrontLimits:
    return FrontLimits(int(item.get("max_body_bytes", FrontLimits().body_bytes)))
