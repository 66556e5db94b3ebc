"""Client accounts as others write them, and keys as callers show them."""

from typing import Any

import orjson
import pytest

from bayhinge._internal.models.account_keys import (
    AccountTable,
    InvalidAccount,
    Quota,
    RoutedAccount,
    hash_key,
)
from bayhinge._internal.models.routing import RoutingTable
from bayhinge._internal.platform.call_format import PlatformCallFormat
from bayhinge._internal.platform.object_reader import PlatformObjectReader
from tests.lib.accounts import DESK, KEY_OF_DESK, KEY_OF_OTHERS, OTHERS, with_accounts
from tests.lib.platform_data import CONFIGURATION


def _read(*accounts: Any) -> RoutingTable:
    value = orjson.dumps(with_accounts(8, *accounts))
    return PlatformObjectReader().read_configuration(value)


def _found(table: RoutingTable, key: str) -> RoutedAccount | InvalidAccount | None:
    assert table.accounts is not None
    return table.accounts.find(hash_key(key))


def test_a_configuration_without_accounts_asks_for_no_keys() -> None:
    table = PlatformObjectReader().read_configuration(orjson.dumps(CONFIGURATION))
    assert table.accounts is None


def test_an_empty_list_of_accounts_lets_nobody_in() -> None:
    assert _read().accounts == AccountTable(())


def test_accounts_are_found_by_any_of_their_keys() -> None:
    table = _read(DESK, OTHERS | {"rate_per_s": 12.5, "burst": 20})
    desk, others = _found(table, DESK["api_keys"][1]), _found(table, KEY_OF_OTHERS)
    assert isinstance(desk, RoutedAccount) and isinstance(others, RoutedAccount)
    assert (desk.name, desk.urgency, desk.quota) == ("desk", 3, None)
    assert (others.name, others.urgency, others.quota) == ("others", None, Quota(12.5, 20.0))
    assert _found(table, "never a key") is None
    assert table.findings == ()


@pytest.mark.parametrize(
    ("odd", "left"),
    [
        ({"name": None}, InvalidAccount),
        ({"name": "two words"}, InvalidAccount),
        ({"name": "a\r\nb: c"}, InvalidAccount),
        ({"rate_per_s": -1}, InvalidAccount),
        ({"rate_per_s": "many"}, InvalidAccount),
        ({"burst": True}, InvalidAccount),
        ({"priority": -2}, RoutedAccount),
        ({"priority": "high"}, RoutedAccount),
        ({"api_keys": [KEY_OF_DESK, 7, ""]}, RoutedAccount),
    ],
)
def test_an_odd_account_is_told_of_and_the_rest_holds(odd: dict[str, Any], left: type) -> None:
    table = _read(DESK | odd, OTHERS)
    assert isinstance(_found(table, KEY_OF_DESK), left)
    assert isinstance(_found(table, KEY_OF_OTHERS), RoutedAccount)
    assert len(table.findings) == 1
    assert KEY_OF_DESK not in repr(table)


@pytest.mark.parametrize("item", [None, 7, "text", [], {}, {"api_keys": 3}, {"name": "x"}])
def test_what_is_no_account_leaves_the_others(item: Any) -> None:
    table = _read(item, OTHERS)
    assert isinstance(_found(table, KEY_OF_OTHERS), RoutedAccount)


def test_a_key_of_two_accounts_is_closed_and_their_other_keys_count() -> None:
    table = _read(DESK, OTHERS | {"api_keys": [KEY_OF_OTHERS, KEY_OF_DESK]})
    shared = _found(table, KEY_OF_DESK)
    assert isinstance(shared, InvalidAccount) and "others" in shared.why
    assert isinstance(_found(table, DESK["api_keys"][1]), RoutedAccount)
    assert isinstance(_found(table, KEY_OF_OTHERS), RoutedAccount)


def test_thousands_of_keys_are_read() -> None:
    accounts = [
        {"name": f"a{n}", "api_keys": [f"key-{n}-{m}" for m in range(3)]} for n in range(5000)
    ]
    found = _found(_read(*accounts), "key-4321-2")
    assert isinstance(found, RoutedAccount) and found.name == "a4321"


ATTEMPT = (b"Bayhinge-Attempt-Id", b"a1")


def _request(*headers: tuple[bytes, bytes]) -> Any:
    return PlatformCallFormat().read_request("GET", "/x/", (ATTEMPT, *headers))


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (b"Authorization", b"Bearer " + KEY_OF_DESK.encode()),
        (b"AUTHORIZATION", b"bearer   " + KEY_OF_DESK.encode() + b" "),
    ],
)
def test_a_single_bearer_key_is_taken(name: bytes, value: bytes) -> None:
    request = _request((name, value))
    assert request.key_sha256 == hash_key(KEY_OF_DESK)
    assert KEY_OF_DESK not in repr(request)
    assert all(header.lower() != b"authorization" for header, _ in request.headers)


@pytest.mark.parametrize(
    "headers",
    [
        (),
        ((b"Authorization", b"Basic " + KEY_OF_DESK.encode()),),
        ((b"Authorization", KEY_OF_DESK.encode()),),
        ((b"Authorization", b"Bearer "),),
        (
            (b"Authorization", b"Bearer " + KEY_OF_DESK.encode()),
            (b"authorization", b"Bearer " + KEY_OF_OTHERS.encode()),
        ),
    ],
)
def test_anything_else_shows_no_key(headers: tuple[tuple[bytes, bytes], ...]) -> None:
    assert _request(*headers).key_sha256 is None


def test_only_the_system_names_the_account() -> None:
    request = _request((b"bayhinge-TENANT", b"desk"), (b"Bayhinge-Tenant", b"others"))
    head = PlatformCallFormat().request_head(request, 0, "i-1", 1.0, 5)
    assert b"tenant" not in head.lower()
