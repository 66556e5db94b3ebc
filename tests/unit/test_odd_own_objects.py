"""Odd objects among the product's own: changes of configuration, heartbeats, listed endpoints."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from aiohttp import web
from hypothesis import given, settings
from hypothesis import strategies as st

from bayhinge._internal.bench.world.virtual_time import run_virtual
from bayhinge._internal.network.endpoint_list import HttpEndpointList
from bayhinge._internal.services.account_directory import AccountDirectory
from bayhinge.coordination.clock import SystemClock
from bayhinge.coordination.codec import FORMAT, encode
from bayhinge.coordination.config_feed import ConfigFeed, FeedTimes
from bayhinge.coordination.membership import HostInfo, HostState, Membership, MembershipTimes
from bayhinge.coordination.wire.ttypes import ConfigChange, HostStatus
from bayhinge_standins.http_service import StandinServer
from bayhinge_standins.object_store import MemoryObjects, MemoryObjectStore

TIMES = MembershipTimes(heartbeat_s=1.0, dead_after_s=3.7)
TEMPLATE = "[template]\nbudget_tokens = 1000\n"
ACCOUNT = "[account]\ntemplate = desk\nkey_sha256 = " + "ab" * 32 + "\n"

Scenario = Callable[[MemoryObjects, ConfigFeed], Awaitable[None]]


def with_feed(scenario: Scenario) -> None:
    async def main() -> None:
        objects = MemoryObjects()
        store = MemoryObjectStore(objects)
        feed = ConfigFeed(store, "config", SystemClock(), random.Random(1).random, FeedTimes())
        await scenario(objects, feed)

    asyncio.run(main())


def change(kind: str, name: str, text: str | None) -> bytes:
    return encode(ConfigChange(FORMAT, kind, name, text, "op", 0, "n", 1))


@pytest.mark.parametrize(
    "name", ["draft", "zz", "1", "00000000000x", "²²²²²²²²²²²²", "é", "000000000001/x", " " * 12]
)
def test_an_object_under_an_odd_name_holds_no_change_up(name: str) -> None:
    async def scenario(objects: MemoryObjects, feed: ConfigFeed) -> None:
        await objects.put(f"config/{name}", b"\x00odd", None)
        await feed.propose("template", "desk", TEMPLATE, "op", 0)
        await feed.propose("template", "desk", TEMPLATE + "\n", "op", 1)
        assert (feed.revision, feed.is_current()) == (2, True)

    with_feed(scenario)


def test_more_odd_names_than_a_page_holds_hide_no_change() -> None:
    async def scenario(objects: MemoryObjects, feed: ConfigFeed) -> None:
        for number in range(1200):
            await objects.put(f"config/!{number:04d}", b"", None)
        await objects.put("config/000000000001", change("template", "desk", TEMPLATE), None)
        await feed.step()
        assert (feed.revision, feed.is_current()) == (1, True)

    with_feed(scenario)


def test_an_unreadable_change_is_not_confirmed_until_it_is_repaired() -> None:
    async def scenario(objects: MemoryObjects, feed: ConfigFeed) -> None:
        await objects.put("config/000000000001", change("template", "desk", TEMPLATE), None)
        odd = await objects.put("config/000000000002", b"\x00odd", None)
        await objects.put("config/000000000003", change("account", "a", ACCOUNT), None)
        await feed.step()
        assert (feed.revision, feed.is_current()) == (1, False)
        assert list(feed.corrupt_by_key) == ["config/000000000002"]
        await objects.put("config/000000000002", change("template", "x", TEMPLATE), odd.version)
        await feed.step()
        assert (feed.revision, feed.is_current(), feed.corrupt_by_key) == (3, True, {})

    with_feed(scenario)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["template", "account", "sideways", ""]),
            st.sampled_from(["desk", "a", "é", ""]),
            st.none() | st.text(max_size=60) | st.sampled_from([TEMPLATE, ACCOUNT, "[account"]),
        ),
        max_size=6,
    )
)
def test_odd_settings_of_accounts_cost_no_other_account(
    odd: list[tuple[str, str, str | None]],
) -> None:
    async def scenario(objects: MemoryObjects, feed: ConfigFeed) -> None:
        accounts = AccountDirectory(feed)
        changes = [
            *odd,
            ("template", "well", TEMPLATE),
            ("account", "well", ACCOUNT.replace("desk", "well")),
        ]
        for number, (kind, name, text) in enumerate(changes, 1):
            await objects.put(f"config/{number:012d}", change(kind, name, text), None)
        await feed.step()
        assert feed.revision == len(changes)
        for name in ("desk", "a", "é", "", "nobody"):
            accounts.find(name)
        found = accounts.find("well")
        assert found.is_ok(), found.error
        assert found.ok.budget_tokens == 1000

    with_feed(scenario)


def status(state: str) -> bytes:
    return encode(HostStatus(FORMAT, "b~1", "b", "hall", "p:1", "c:1", state, 1, 0, 0.0))


@pytest.mark.parametrize("odd", [b"", b"\x00\xff", status("resting")])
def test_an_odd_heartbeat_is_silence_and_its_host_is_not_gone(odd: bytes) -> None:
    async def scenario() -> None:
        objects = MemoryObjects()
        info = HostInfo("a~1", "a", "hall", "p:1", "c:1", HostState.SERVING, 0, 0.0)
        member = Membership(MemoryObjectStore(objects), "hosts", info, TIMES)
        gone: list[str] = []
        died: list[str] = []
        member.on_departed = lambda one: gone.append(one.host)
        member.on_death = lambda one: died.append(one.host)
        task = asyncio.create_task(member.run())
        await objects.put("hosts/odd", odd, None)
        stored = await objects.put("hosts/b~1", status("serving"), None)
        await asyncio.sleep(1.5)
        assert {one.host for one in member.alive()} == {"a", "b"}
        stored = await objects.put("hosts/b~1", odd, stored.version)
        await asyncio.sleep(2.0)
        assert (gone, died, task.done()) == ([], [], False)
        for _ in range(6):
            stored = await objects.put("hosts/b~1", status("serving"), stored.version)
            await asyncio.sleep(1.0)
        assert (gone, died) == ([], [])
        await objects.put("hosts/b~1", odd, stored.version)
        await asyncio.sleep(8.0)
        assert died == ["b"]
        task.cancel()

    run_virtual(scenario())


LISTED: dict[str, Any] = {
    "name": "e-1",
    "pool": "app",
    "hall": "north",
    "address": "http://10.0.0.9:80",
    "state": "live",
}
ODD_LISTED: tuple[Any, ...] = (
    None,
    5,
    "e-1",
    [],
    {},
    LISTED | {"state": "resting"},
    LISTED | {"state": ["live"]},
    LISTED | {"name": 5},
    LISTED | {"pool": None},
    LISTED | {"address": True},
    {key: value for key, value in LISTED.items() if key != "hall"},
)


class ListServer(StandinServer):
    """Answers with whatever it was given."""

    def __init__(self) -> None:
        super().__init__()
        self.says: Any = None

    def add_routes(self, app: web.Application) -> None:
        app.router.add_get("/v1/endpoints", self._get)

    async def _get(self, request: web.Request) -> web.Response:
        return web.json_response(self.says)


def test_odd_entries_of_the_list_of_endpoints_hide_no_other_one() -> None:
    async def main() -> None:
        server = ListServer()
        await server.start()
        listed = HttpEndpointList(server.base_url, 1.0)
        for odd in ODD_LISTED:
            server.says = {"endpoints": [odd, LISTED, odd]}
            found = await listed.fetch()
            assert found is not None
            assert [one.name for one in found] == ["e-1"], odd
        for odd in (None, 5, [], {"endpoints": None}, {"endpoints": {"a": 1}}):
            server.says = odd
            assert await listed.fetch() is None, odd
        await listed.close()
        await server.stop()

    asyncio.run(main())
