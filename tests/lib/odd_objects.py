"""Invalid objects, as other writers may leave them in the store, by description."""

from typing import Any

import orjson

from tests.lib.platform_data import CONFIGURATION

ENTRY: dict[str, Any] = {
    "service": "app",
    "address": "10.0.0.9:8080",
    "zone": "north",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 4,
}
"""A valid entry."""


def _with(**fields: Any) -> bytes:
    return orjson.dumps(ENTRY | fields)


def _without(name: str) -> bytes:
    return orjson.dumps({key: value for key, value in ENTRY.items() if key != name})


def _nested(levels: int) -> bytes:
    return b'{"service":' + b"[" * levels + b"]" * levels + b"}"


ODD_ENTRY_BY_FORM: dict[str, bytes] = {
    "no bytes": b"",
    "no JSON": b"\x00\xff\xfe{",
    "cut JSON": orjson.dumps(ENTRY)[:-9],
    "null": b"null",
    "a list": b"[1,2]",
    "a text": b'"ready"',
    "an empty object": b"{}",
    "nested 300 levels deep": _nested(300),
    "service missing": _without("service"),
    "service a number": _with(service=7),
    "service null": _with(service=None),
    "service a list": _with(service=["app"]),
    "service empty": _with(service=""),
    "address missing": _without("address"),
    "address a number": _with(address=8080),
    "address without port": _with(address="10.0.0.9"),
    "address with port 0": _with(address="10.0.0.9:0"),
    "address with port 70000": _with(address="10.0.0.9:70000"),
    "address with port 'http'": _with(address="10.0.0.9:http"),
    "address with a name": _with(address="engine.example:80"),
    "address with 10.0.0.999": _with(address="10.0.0.999:80"),
    "address with a line feed": _with(address="10.0.0.9:80\n"),
    "address of IPv6": _with(address="[::1]:80"),
    "address 0.0.0.0": _with(address="0.0.0.0:80"),
    "address for broadcasts": _with(address="255.255.255.255:80"),
    "zone missing": _without("zone"),
    "zone a table": _with(zone={"name": "north"}),
    "version missing": _without("version"),
    "version a number": _with(version=1),
    "slots missing": _without("slots"),
    "slots true": _with(slots=True),
    "slots a text": _with(slots="8"),
    "slots a fraction": _with(slots=7.5),
    "slots 0": _with(slots=0),
    "slots -1": _with(slots=-1),
    "slots beyond 64 bits": orjson.dumps(ENTRY).replace(b'"slots":8', b'"slots":1' + b"0" * 40),
    "state missing": _without("state"),
    "state unknown": _with(state="resting"),
    "state in capitals": _with(state="READY"),
    "state a truth value": _with(state=True),
    "state a list": _with(state=["ready"]),
    "cold_left_ms missing": _without("cold_left_ms"),
    "cold_left_ms a text": _with(cold_left_ms="0"),
    "cold_left_ms negative": _with(cold_left_ms=-1),
    "seq missing": _without("seq"),
    "seq a truth value": _with(seq=False),
    "seq a text": _with(seq="4"),
    "born a text": _with(born="1771002900729"),
    "born a fraction": _with(born=1771002900729.5),
    "born a truth value": _with(born=True),
    "born null": _with(born=None),
    "born negative": _with(born=-1),
}

ODD_NAME_BY_FORM: dict[str, str] = {
    "empty": "",
    "with a line break": "i-1\r\nKv-From: 10.0.0.9:1/x",
    "with a blank": "i 1",
    "not ASCII": "i-é",
    "4000 signs": "i" * 4000,
}
"""Names of entries that are invalid as endpoint ids, which are sent in a header."""


def odd_configuration(**fields: Any) -> bytes:
    """Returns the configuration with some parts replaced."""
    return orjson.dumps(CONFIGURATION | fields)


def odd_route(place: int = 0, **fields: Any) -> bytes:
    """Returns the configuration with fields of one route replaced."""
    routes = [dict(route) for route in CONFIGURATION["routes"]]
    routes[place] |= fields
    return odd_configuration(routes=routes)


ODD_CONFIGURATION_BY_FORM: dict[str, bytes] = {
    "no bytes": b"",
    "no JSON": b"\xff{",
    "a list": b"[]",
    "version missing": orjson.dumps({"routes": [], "services": []}),
    "version a text": odd_configuration(version="8"),
    "version a truth value": odd_configuration(version=True),
    "version a fraction": odd_configuration(version=8.5),
    "routes missing": orjson.dumps({"version": 8, "services": []}),
    "routes null": odd_configuration(routes=None),
    "routes a number": odd_configuration(routes=5),
    "routes a table": odd_configuration(routes={"r": {}}),
    "services null": odd_configuration(services=None),
    "services a text": odd_configuration(services="llm"),
    "a route that is a text": odd_configuration(routes=["r-chat"]),
    "a route without a host": odd_route(host=None),
    "a route whose host is a list": odd_route(host=["desk.example"]),
    "a route without a path": odd_route(path_prefix=None),
    "a route whose path has no slash at its end": odd_route(path_prefix="/chat"),
}
"""Invalid configurations; the one in force stays."""

CLOSING_ROUTE_FIELDS_BY_FORM: dict[str, dict[str, Any]] = {
    "route_kind missing": {"route_kind": None},
    "route_kind a list": {"route_kind": ["streaming"]},
    "timeout_ms missing": {"timeout_ms": None},
    "timeout_ms a text": {"timeout_ms": "5000"},
    "timeout_ms 0": {"timeout_ms": 0},
    "timeout_ms negative": {"timeout_ms": -1},
    "slo_ms a text": {"slo_ms": "200"},
    "priority a truth value": {"priority": True},
    "priority negative": {"priority": -1},
    "attempts a text": {"attempts": "2"},
    "attempts negative": {"attempts": -1},
    "retained a text": {"retained": "no"},
    "retention_s negative": {"retention_s": -5},
    "gap_slo_ms a list": {"gap_slo_ms": [400]},
    "no service": {"service": None},
    "service a number": {"service": 7},
    "split a text": {"split": "llm"},
    "split with a share that is a text": {"split": ["llm"]},
    "split without a service": {"split": [{"weight": 1}]},
    "split with a negative weight": {"split": [{"service": "llm", "weight": -1}]},
    "split with weights of 0": {"split": [{"service": "llm", "weight": 0}]},
}
"""Invalid fields of a route whose host and path are valid: only this route is disabled."""
