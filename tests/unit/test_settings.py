"""Settings and accounts: all findings are reported at once, each with its place."""

from pathlib import Path

import pytest

from bayhinge._internal.models.account_keys import hash_key
from bayhinge._internal.models.accounts import (
    ConfigKind,
    ConfigText,
    check_config_text,
    key_matches,
    resolve_account,
)
from bayhinge._internal.models.settings import read_settings
from bayhinge._internal.queries.settings_reference import reference_page

GOOD = f"""[host]
name = entry-1
hall = kc-clifton
public_address = 127.0.0.1:8100
peer_address = 127.0.0.1:8200

[store]
url = http://127.0.0.1:9000

[endpoints]
list_url = http://127.0.0.1:9001

[operators]
key_sha256 = {hash_key("operator")}

[pool agent-llm]
models = agent-llm

[service submissions]
repeatable_methods = GET
"""


def test_good_settings_are_read() -> None:
    settings = read_settings(GOOD, "host.ini").ok
    assert settings.host.name == "entry-1"
    assert settings.pools_by_name["agent-llm"].models == ("agent-llm",)
    assert settings.services_by_name["submissions"].repeatable_methods == ("GET",)
    assert settings.store.writes_per_second == 8.0


def test_all_findings_are_reported_together_with_their_lines() -> None:
    text = GOOD.replace("127.0.0.1:8100", "localhost:8100")
    text = text.replace("models = agent-llm", "modles = agent-llm")
    text = text.replace("url = http://127.0.0.1:9000", "url = 127.0.0.1\nwrite_burst = many")
    text += "\n[service Bad Name]\n\n[membership]\nbeat_seconds = 3\ndead_after_seconds = 4\n"
    findings = [str(finding) for finding in read_settings(text, "host.ini").error]
    expected = [
        ("host.ini:4 [host] public_address", "not an IP address"),
        ("host.ini:8 [store] url", "not an HTTP URL"),
        ("host.ini:9 [store] write_burst", "not a whole number"),
        ("host.ini:18 [pool agent-llm] modles", "unknown key"),
        ("host.ini:17 [pool agent-llm] models", "missing"),
        ("host.ini:23 [service Bad Name]", "needs a valid name"),
        ("host.ini:27 [membership] dead_after_seconds", "less than two heartbeat intervals"),
    ]
    for place, problem in expected:
        assert any(line.startswith(place) and problem in line for line in findings), (
            place,
            findings,
        )
    assert len(findings) == len(expected)


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ("name = x\n", "before the first section"),
        ("[host]\nname = x\nname = y\n", "occurs twice"),
        ("[host]\n[host]\n", "occurs twice"),
        ("[host]\nwhat is this\n", "neither a section"),
    ],
)
def test_a_text_that_is_not_ini_is_reported_with_its_line(text: str, problem: str) -> None:
    (finding,) = read_settings(text, "host.ini").error
    assert problem in finding.problem
    assert finding.place.line > 0


def test_the_reference_page_is_the_committed_one() -> None:
    page = Path(__file__).parents[2] / "docs" / "settings.md"
    assert page.read_text(encoding="utf-8") == reference_page()


TEMPLATE = ConfigText(
    ConfigKind.TEMPLATE, "navdesk", "[template]\nmodels = agent-llm\npriority = 7\n", 3
)


def test_an_account_shows_where_each_value_comes_from() -> None:
    text = "[account]\ntemplate = navdesk\npatience_seconds = 5\n"
    account = resolve_account(ConfigText(ConfigKind.ACCOUNT, "desk", text, 5), TEMPLATE).ok
    assert account.priority == 7
    assert account.patience_seconds == 5
    sources = {item.name: item.source for item in account.parameters()}
    assert sources["patience_seconds"] == "account"
    assert sources["priority"] == "template navdesk"
    assert sources["max_calls"] == "default"
    assert account.revision == 5


def test_an_account_without_its_template_is_an_error() -> None:
    text = "[account]\ntemplate = gone\n"
    resolved = resolve_account(ConfigText(ConfigKind.ACCOUNT, "desk", text, 5), None)
    assert "'gone' does not exist" in resolved.error


def test_a_key_in_plain_text_is_not_repeated_in_the_finding() -> None:
    text = "[account]\ntemplate = navdesk\nkey_sha256 = my-secret-key\n"
    (finding,) = check_config_text(ConfigKind.ACCOUNT, text, "account/desk")
    assert "my-secret-key" not in str(finding)
    assert finding.place.line == 3


def test_keys_match_by_digest() -> None:
    digests = (hash_key("one"), hash_key("two"))
    assert key_matches("two", digests)
    assert not key_matches("three", digests)
    assert not key_matches("one", ())
