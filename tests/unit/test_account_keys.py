"""Client accounts read from the configuration, and API keys read from requests."""

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


def _read_table(*accounts: Any) -> RoutingTable:
    value = orjson.dumps(with_accounts(8, *accounts))
    return PlatformObjectReader().read_configuration(value)


def _find(table: RoutingTable, key: str) -> RoutedAccount | InvalidAccount | None:
    assert table.accounts is not None
    return table.accounts.find(hash_key(key))


def test_a_configuration_without_accounts_requires_no_keys() -> None:
    table = PlatformObjectReader().read_configuration(orjson.dumps(CONFIGURATION))
    assert table.accounts is None


def test_an_empty_list_of_accounts_admits_no_caller() -> None:
    assert _read_table().accounts == AccountTable(())


def test_accounts_are_found_by_any_of_their_keys() -> None:
    table = _read_table(DESK, OTHERS | {"rate_per_s": 12.5, "burst": 20})
    desk, others = _find(table, DESK["api_keys"][1]), _find(table, KEY_OF_OTHERS)
    assert isinstance(desk, RoutedAccount) and isinstance(others, RoutedAccount)
    assert (desk.name, desk.urgency, desk.quota) == ("desk", 3, None)
    assert (others.name, others.urgency, others.quota) == ("others", None, Quota(12.5, 20.0))
    assert _find(table, "never a key") is None
    assert table.findings == ()


@pytest.mark.parametrize(
    ("malformed", "expected_type"),
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
def test_a_malformed_account_is_reported_and_the_others_are_read(
    malformed: dict[str, Any], expected_type: type
) -> None:
    table = _read_table(DESK | malformed, OTHERS)
    assert isinstance(_find(table, KEY_OF_DESK), expected_type)
    assert isinstance(_find(table, KEY_OF_OTHERS), RoutedAccount)
    assert len(table.findings) == 1
    assert KEY_OF_DESK not in repr(table)


@pytest.mark.parametrize("item", [None, 7, "text", [], {}, {"api_keys": 3}, {"name": "x"}])
def test_items_that_are_no_accounts_do_not_affect_the_others(item: Any) -> None:
    table = _read_table(item, OTHERS)
    assert isinstance(_find(table, KEY_OF_OTHERS), RoutedAccount)


def test_a_key_shared_by_two_accounts_is_invalid_and_their_other_keys_work() -> None:
    table = _read_table(DESK, OTHERS | {"api_keys": [KEY_OF_OTHERS, KEY_OF_DESK]})
    shared = _find(table, KEY_OF_DESK)
    assert isinstance(shared, InvalidAccount) and "others" in shared.why
    assert isinstance(_find(table, DESK["api_keys"][1]), RoutedAccount)
    assert isinstance(_find(table, KEY_OF_OTHERS), RoutedAccount)


def test_an_account_is_found_among_thousands_of_keys() -> None:
    accounts = [
        {"name": f"a{n}", "api_keys": [f"key-{n}-{m}" for m in range(3)]} for n in range(5000)
    ]
    found = _find(_read_table(*accounts), "key-4321-2")
    assert isinstance(found, RoutedAccount) and found.name == "a4321"


ATTEMPT_HEADER = (b"Bayhinge-Attempt-Id", b"a1")


def _request_with(*headers: tuple[bytes, bytes]) -> Any:
    return PlatformCallFormat().read_request("GET", "/x/", (ATTEMPT_HEADER, *headers))


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (b"Authorization", b"Bearer " + KEY_OF_DESK.encode()),
        (b"AUTHORIZATION", b"bearer   " + KEY_OF_DESK.encode() + b" "),
    ],
)
def test_a_single_bearer_key_is_hashed_and_removed_from_the_headers(
    name: bytes, value: bytes
) -> None:
    request = _request_with((name, value))
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
def test_a_missing_repeated_or_non_bearer_key_is_ignored(
    headers: tuple[tuple[bytes, bytes], ...],
) -> None:
    assert _request_with(*headers).key_sha256 is None


def test_tenant_headers_of_a_caller_are_not_forwarded() -> None:
    request = _request_with((b"bayhinge-TENANT", b"desk"), (b"Bayhinge-Tenant", b"others"))
    head = PlatformCallFormat().request_head(request, 0, "i-1", 1.0, 5)
    assert b"tenant" not in head.lower()
