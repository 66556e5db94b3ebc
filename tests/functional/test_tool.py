"""The command-line tool against hosts on real sockets."""

import asyncio
import json
import threading
from collections.abc import Coroutine, Iterator
from pathlib import Path
from typing import Any, TypeVar

import pytest

from bayhinge._internal import status_codes
from bayhinge._internal.cli.tool.main import app
from bayhinge._internal.demo.client import DemoClient
from bayhinge._internal.demo.run import configure
from bayhinge._internal.demo.workloads import Account, key_of, value_fund
from bayhinge._internal.demo.world import OPERATOR_KEY, World, WorldShape

Result = TypeVar("Result")
pytestmark = pytest.mark.functional


class BackgroundWorld:
    """Hosts and stand-ins on an event loop in a background thread; the tool runs in the test's."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()
        self.world, self.program = self.run(self._start())

    async def _start(self) -> tuple[World, str]:
        world = World(WorldShape(("hall-1",), hosts=2, services=("prices", "submissions")))
        await world.start()
        await configure(world)
        addresses = [host.base_url for host in world.hosts]
        client = DemoClient(addresses, key_of(Account.FUND_DESK))
        report = await value_fund(client, "one")
        await client.close()
        return world, report.program

    def run(self, work: Coroutine[Any, Any, Result]) -> Result:
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(60)

    def close(self) -> None:
        self.run(self.world.stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()


@pytest.fixture(scope="module")
def background() -> Iterator[BackgroundWorld]:
    running = BackgroundWorld()
    yield running
    running.close()


@pytest.fixture
def tool(background: BackgroundWorld, monkeypatch: pytest.MonkeyPatch) -> BackgroundWorld:
    monkeypatch.setenv("BAYHINGE_ADDRESS", background.world.hosts[0].base_url)
    monkeypatch.setenv("BAYHINGE_OPERATOR_KEY", OPERATOR_KEY)
    return background


def call(*words: str) -> int:
    try:
        app(list(words), result_action="return_value")
    except SystemExit as ended:
        return int(ended.code or 0)
    return 0


def test_queries_print_tables_and_json(
    tool: BackgroundWorld, capsys: pytest.CaptureFixture[str]
) -> None:
    for words in (["hosts"], ["endpoints"], ["stats"], ["programs", "list"], ["config", "status"]):
        assert call(*words) == 0
        assert "entry-" in capsys.readouterr().out
        assert call(*words, "--json") == 0
        assert isinstance(json.loads(capsys.readouterr().out), list)
    assert call("addresses", tool.program) == 0
    assert "(owner)" in capsys.readouterr().out
    assert call("programs", "show", tool.program) == 0
    assert "its caller ended it" in capsys.readouterr().out


def test_explain_shows_the_events_of_a_program_without_secrets(
    tool: BackgroundWorld, capsys: pytest.CaptureFixture[str]
) -> None:
    assert call("explain", tool.program) == 0
    output = capsys.readouterr().out
    assert f"Program {tool.program} of client account fund-desk:" in output
    for expected in ("opened", "call 0 placed at engine-", "call 8 finished", "ended"):
        assert expected in output
    assert key_of(Account.FUND_DESK) not in output
    assert call("timeline", "--mechanism", "owner") == 0
    shown = capsys.readouterr().out
    assert "placed" not in shown
    assert "opened" in shown


def test_accounts_are_created_edited_and_rolled_back(
    tool: BackgroundWorld, capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    assert call("accounts", "create", "new-desk", "--template", "navdesk", "--wait", "10") == 0
    created = capsys.readouterr().out
    assert "in force on every live host" in created
    assert "only its hash is kept" in created
    key = created.strip().rpartition(" ")[2]
    assert call("accounts", "edit", "new-desk", "priority=8", "--wait", "10") == 0
    assert call("accounts", "parameters", "new-desk") == 0
    rows = [line.split() for line in capsys.readouterr().out.splitlines()]
    assert ["priority", "8", "account"] in rows
    assert ["budget_tokens", "400000", "template", "navdesk"] in rows
    assert call("accounts", "get", "new-desk", "--json") == 0
    found = json.loads(capsys.readouterr().out)
    assert key not in found["text"]
    assert call("accounts", "history", "new-desk", "--json") == 0
    revisions = [item["revision"] for item in json.loads(capsys.readouterr().out)]
    assert len(revisions) == 2
    assert call("accounts", "rollback", "new-desk", str(revisions[0])) == 0
    assert call("accounts", "get", "new-desk") == 0
    assert "priority" not in capsys.readouterr().out.partition("\n")[2]
    stale = tmp_path / "desk.ini"
    stale.write_text("[account]\ntemplate = navdesk\npriority = 1\n", encoding="utf-8")
    words = ("accounts", "apply", "new-desk", str(stale), "--base", str(revisions[1]))
    assert call(*words) == status_codes.EXIT_CONFLICT
    assert "+priority = 1" in capsys.readouterr().out


def test_settings_errors_have_a_location_and_their_own_exit_status(
    tool: BackgroundWorld, capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    bad = tmp_path / "bad.ini"
    bad.write_text("[account]\ntemplate = gone\n", encoding="utf-8")
    assert call("accounts", "apply", "x-desk", str(bad)) == status_codes.EXIT_INVALID_INPUT
    assert "template 'gone' does not exist" in capsys.readouterr().err
    bad.write_text("[account]\npriority = 12\n", encoding="utf-8")
    assert call("accounts", "apply", "x-desk", str(bad)) == status_codes.EXIT_INVALID_INPUT
    shown = capsys.readouterr().err
    assert f"{bad}:2 [account] priority: 12 is not between 0 and 9" in shown
    assert "template: the key is missing" in shown
    assert call("settings", "check", str(bad)) == status_codes.EXIT_INVALID_INPUT
    assert call("programs", "show", "entry-1~000000000000.7") != 0
    assert call("templates", "get", "nothing") == status_codes.EXIT_NOT_FOUND


def test_a_wrong_key_and_an_unreachable_address_have_different_exit_statuses(
    tool: BackgroundWorld, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setenv("BAYHINGE_OPERATOR_KEY", "wrong")
    assert call("hosts") == status_codes.EXIT_FAILURE
    assert "needs an operator's key" in capsys.readouterr().err
    monkeypatch.setenv("BAYHINGE_ADDRESS", "http://127.0.0.1:9")
    assert call("hosts") == status_codes.EXIT_UNREACHABLE
