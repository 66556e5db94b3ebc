"""Configurations with client accounts, and the header that carries their keys."""

from typing import Any

from tests.lib.platform_data import CONFIGURATION

KEY_OF_DESK = "k3y0desk0aaaaaaaaaaaa"
SECOND_KEY_OF_DESK = "k3y0desk0bbbbbbbbbbbb"
KEY_OF_OTHERS = "k3y0others0cccccccccc"
ALL_KEYS = (KEY_OF_DESK, SECOND_KEY_OF_DESK, KEY_OF_OTHERS)

DESK: dict[str, Any] = {
    "name": "desk",
    "api_keys": [KEY_OF_DESK, SECOND_KEY_OF_DESK],
    "priority": 3,
    "rate_per_s": 0,
}
OTHERS: dict[str, Any] = {"name": "others", "api_keys": [KEY_OF_OTHERS]}

OPEN_ROUTE = {
    "name": "r-open",
    "host": "desk.example",
    "path_prefix": "/open/",
    "route_kind": "idempotent",
    "timeout_ms": 2000,
    "service": "app",
    "public": True,
}


def with_accounts(version: int, *accounts: dict[str, Any]) -> dict[str, Any]:
    """Returns the default configuration with these accounts and a public route."""
    return CONFIGURATION | {
        "version": version,
        "routes": [*CONFIGURATION["routes"], OPEN_ROUTE],
        "tenants": list(accounts),
    }


def bearing(key: str) -> str:
    """Returns the value of the ``Authorization`` header for a key."""
    return f"Bearer {key}"
