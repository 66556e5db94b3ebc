"""The client of the platform's store against a stand-in, also with failures."""

import asyncio
from collections.abc import Awaitable, Callable

import orjson
import pytest

from bayhinge._internal.network.peer_client import PeerClient
from bayhinge._internal.network.peers import Peers
from bayhinge._internal.platform.objects_api import PlatformObjects
from bayhinge._internal.services import prefix_follower
from bayhinge._internal.services.disk_sets import change_disk_set, read_disk_set
from bayhinge._internal.services.prefix_follower import ObjectListener, PrefixFollower
from bayhinge._internal.wire.hosts.ttypes import DiskMember
from bayhinge.coordination.clock import HybridClock, SystemClock
from bayhinge.coordination.errors import (
    AlreadyExistsError,
    HistoryLostError,
    StoreRateLimitedError,
    StoreUnavailableError,
    VersionConflictError,
)
from bayhinge.coordination.store import Change, StoredObject, list_all
from tests.lib.platform_store import PlatformStoreServer

pytestmark = pytest.mark.functional


INVALID_BODIES = (
    b"[]",
    b"5",
    b"null",
    b"{",
    b"\xff",
    b'{"items":5,"events":5,"has_more":false,"timestamp":1}',
    b'{"items":null,"events":null,"has_more":false,"timestamp":1}',
    b'{"items":[],"events":[],"has_more":false,"timestamp":"x"}',
    b'{"items":[],"events":[],"has_more":false,"timestamp":Infinity}',
    b'{"items":[],"events":[],"has_more":false,"timestamp":null}',
    b"[" * 100_000,
)

VALID_OBJECT = b'{"metadata":{"name":"i-good","revision":7},"spec":{"slots":4}}'

INVALID_OBJECTS = (
    b"null",
    b"[1]",
    b'"x"',
    b"{}",
    b'{"metadata":null,"spec":{}}',
    b'{"metadata":{"name":5,"revision":7},"spec":{}}',
    b'{"metadata":{"name":"i-1","revision":null},"spec":{}}',
    b'{"metadata":{"name":"i-1","revision":1e999},"spec":{}}',
    b'{"metadata":{"name":"i-1"},"spec":{}}',
    b'{"metadata":{"name":"\\ud800","revision":7},"spec":{}}',
    b'{"metadata":{"name":"i-1","revision":7},"spec":{"service":"\xff\xfe"}}',
    b'{"metadata":{"name":"i-1","revision":7},"spec":{"service":"\\ud800"}}',
    b'{"metadata":{"name":"i-1","revision":7},"spec":' + b"[" * 300 + b"]" * 300 + b"}",
    b'{"metadata":{"name":"i-1","revision":7},"spec":"' + b"x" * 20_000 + b'"}',
)


def run_with_store(
    scenario: Callable[[PlatformStoreServer, PlatformObjects], Awaitable[None]],
) -> None:
    async def main() -> None:
        server = PlatformStoreServer()
        await server.start()
        store = PlatformObjects(server.address)
        try:
            await scenario(server, store)
        finally:
            await store.close()
            await server.stop()

    asyncio.run(main())


def test_create_update_and_delete_check_versions() -> None:
    async def scenario(server: PlatformStoreServer, store: PlatformObjects) -> None:
        assert await store.get("things/a") is None
        first = await store.create("things/a", b"\x00one")
        with pytest.raises(AlreadyExistsError):
            await store.create("things/a", b"again")
        second = await store.update("things/a", b"two", first.version)
        assert second.version > first.version
        with pytest.raises(VersionConflictError):
            await store.update("things/a", b"three", first.version)
        read = await store.get("things/a")
        assert read is not None
        assert (read.value, read.version) == (b"two", second.version)
        with pytest.raises(VersionConflictError):
            await store.delete("things/a", first.version)
        await store.delete("things/a", second.version)
        assert await store.get("things/a") is None
        with pytest.raises(VersionConflictError):
            await store.update("things/a", b"x", second.version)

    run_with_store(scenario)


def test_lists_are_read_page_by_page() -> None:
    async def scenario(server: PlatformStoreServer, store: PlatformObjects) -> None:
        for number in range(45):
            server.put("servers", f"i-{number:02d}", {"number": number})
        listing = await list_all(store, "servers/")
        assert [stored.key for stored in listing.objects] == [
            f"servers/i-{number:02d}" for number in range(45)
        ]
        assert orjson.loads(listing.objects[7].value) == {"number": 7}

    run_with_store(scenario)


def test_a_watch_returns_changes_and_reports_lost_history() -> None:
    async def scenario(server: PlatformStoreServer, store: PlatformObjects) -> None:
        start = server.revision
        waiting = asyncio.create_task(store.poll("config/", start, 5.0))
        await asyncio.sleep(0.05)
        server.put("config", "main", {"version": 3})
        page = await waiting
        assert [change.key for change in page.changes] == ["config/main"]
        server.remove("config", "main")
        page = await store.poll("config/", page.revision, 5.0)
        assert [change.value for change in page.changes] == [None]
        assert (await store.poll("config/", page.revision, 0.05)).changes == ()
        server.put("config", "main", {"version": 4})
        server.compact_history()
        with pytest.raises(HistoryLostError):
            await store.poll("config/", page.revision, 5.0)

    run_with_store(scenario)


def test_failures_of_the_store_raise_different_errors() -> None:
    async def scenario(server: PlatformStoreServer, store: PlatformObjects) -> None:
        server.faults.refuses_with = 429
        with pytest.raises(StoreRateLimitedError):
            await store.get("things/a")
        server.faults.refuses_with = 503
        with pytest.raises(StoreUnavailableError):
            await store.get("things/a")
        server.faults.refuses_with = 0
        server.faults.down = True
        with pytest.raises(StoreUnavailableError):
            await store.get("things/a")
        server.faults.down = False
        server.faults.loses_answers = True
        with pytest.raises(StoreUnavailableError):
            await store.create("things/a", b"one")
        server.faults.loses_answers = False
        # The write was done although its answer was lost.
        assert (await store.get("things/a")) is not None

    run_with_store(scenario)


def test_an_invalid_answer_counts_as_an_outage() -> None:
    async def scenario(server: PlatformStoreServer, store: PlatformObjects) -> None:
        server._objects["things", "odd"] = {"metadata": {}, "spec": "%%%", "status": None}
        with pytest.raises(StoreUnavailableError):
            await store.get("things/odd")
        for body in INVALID_BODIES:
            server.faults.says = body
            with pytest.raises(StoreUnavailableError):
                await store.list("things/")
            with pytest.raises(StoreUnavailableError):
                await store.poll("things/", 5, 0.1)

    run_with_store(scenario)


def test_an_invalid_object_does_not_hide_others() -> None:
    """Covers objects that can't be decoded or encoded again, in lists and in watches."""

    async def scenario(server: PlatformStoreServer, store: PlatformObjects) -> None:
        for invalid in INVALID_OBJECTS:
            items = b"%s,%s" % (invalid, VALID_OBJECT)
            server.faults.says = b'{"items":[%s],"has_more":false,"timestamp":9}' % items
            listing = await store.list("servers/")
            assert StoredObject("servers/i-good", b'{"slots":4}', 7) in listing.objects, invalid
            assert all(one.value == b"" for one in listing.objects[:-1]), invalid
            events = b",".join(
                b'{"deleted":false,"object":%s}' % one for one in (invalid, VALID_OBJECT)
            )
            server.faults.says = b'{"events":[%s],"timestamp":9}' % events
            page = await store.poll("servers/", 5, 0.1)
            assert page.changes[-1] == Change("servers/i-good", b'{"slots":4}', 7, 7), invalid
            assert all(one.value == b"" for one in page.changes[:-1]), invalid
            assert page.revision == 9

    run_with_store(scenario)


def test_an_object_with_invalid_base64_does_not_hide_others() -> None:
    async def scenario(server: PlatformStoreServer, store: PlatformObjects) -> None:
        for number, invalid in enumerate(("%%%", None, 5, {"a": 1}, "Zm9v!", "é")):
            server.put("things", f"a-{number}", invalid)
        await store.create("things/b", b"well")
        listing = await store.list("things/")
        assert [one.value for one in listing.objects] == [b""] * 6 + [b"well"]

    run_with_store(scenario)


def test_paging_continues_after_any_name() -> None:
    names = ["#a", "&a", "+a", "%41", "a/b", "a b", 'a"b', "aé", "a%2Fb", "a..", "a" * 2000]

    async def scenario(server: PlatformStoreServer, store: PlatformObjects) -> None:
        # Each name ends a page once, so that the next page is requested after it.
        for name in names:
            for number in range(19):
                server.put("servers", f"!{number:02d}", {})
            server.put("servers", name, {})
            server.put("servers", "\u4e00 last", {})
            listing = await list_all(store, "servers/")
            keys = [one.key for one in listing.objects]
            assert keys[-2:] == [f"servers/{name}", "servers/\u4e00 last"], name
            server.remove("servers", name)

    run_with_store(scenario)


def member(name: str) -> DiskMember:
    return DiskMember(name, hash(name) & 0xFFFF, "127.0.0.1:1", "north")


def test_concurrent_changes_of_the_disk_set_all_apply_despite_lost_answers() -> None:
    async def scenario(server: PlatformStoreServer, store: PlatformObjects) -> None:
        def add(name: str) -> Callable[[list[DiskMember]], list[DiskMember] | None]:
            def change(members: list[DiskMember]) -> list[DiskMember] | None:
                names = {one.host for one in members}
                return None if name in names else [*members, member(name)]

            return change

        changes = [
            asyncio.create_task(change_disk_set(store, add(f"d{number}"))) for number in range(5)
        ]
        await asyncio.sleep(0.02)
        server.faults.loses_answers = True
        await asyncio.sleep(0.1)
        server.faults.loses_answers = False
        await asyncio.gather(*changes)
        disk_set = await read_disk_set(store)
        assert disk_set is not None
        assert sorted(one.host for one in disk_set.members) == [f"d{n}" for n in range(5)]
        assert disk_set.version == 5

    run_with_store(scenario)


class RecordingListener(ObjectListener):
    """Keeps the current value of each key."""

    def __init__(self) -> None:
        self.value_by_key: dict[str, bytes] = {}

    def replace_all(self, value_by_key: dict[str, bytes], is_after_outage: bool) -> None:
        self.value_by_key = dict(value_by_key)

    def apply(self, change: Change, is_after_outage: bool) -> None:
        if change.value is None:
            self.value_by_key.pop(change.key, None)
        else:
            self.value_by_key[change.key] = change.value


def peers() -> Peers:
    return PeerClient(HybridClock(SystemClock()), 0.2)


async def until(condition: Callable[[], bool], limit_s: float = 3.0) -> None:
    async with asyncio.timeout(limit_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


def test_a_follower_receives_changes_despite_lost_history_and_outages(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(prefix_follower, "RETRY_S", 0.05)

    async def scenario(server: PlatformStoreServer, store: PlatformObjects) -> None:
        listener = RecordingListener()
        server.put("config", "main", {"version": 1})
        follower = PrefixFollower(store, "config/", lambda: 2.0, listener, peers())
        running = asyncio.create_task(follower.run())
        await until(lambda: listener.value_by_key == {"config/main": b'{"version":1}'})
        server.put("config", "main", {"version": 2})
        await until(lambda: listener.value_by_key == {"config/main": b'{"version":2}'})
        server.put("config", "main", {"version": 3})
        server.compact_history()
        await until(lambda: listener.value_by_key == {"config/main": b'{"version":3}'})
        server.faults.refuses_with = 503
        server.put("config", "main", {"version": 4})
        server.compact_history()
        await until(lambda: follower.health.failing_since_s is not None)
        assert listener.value_by_key == {"config/main": b'{"version":3}'}
        server.faults.refuses_with = 0
        await until(lambda: listener.value_by_key == {"config/main": b'{"version":4}'})
        assert follower.health.failing_since_s is None
        running.cancel()

    run_with_store(scenario)


@pytest.mark.parametrize("status", [429, 503])
def test_all_followers_continue_when_the_store_accepts_calls_again(status: int) -> None:
    async def scenario(server: PlatformStoreServer, store: PlatformObjects) -> None:
        prefixes = ("config/", "servers/")
        listeners = [RecordingListener() for _ in prefixes]
        followers = [
            PrefixFollower(store, prefix, lambda: 1.0, listener, peers())
            for prefix, listener in zip(prefixes, listeners, strict=True)
        ]
        running = [asyncio.create_task(follower.run()) for follower in followers]
        await until(lambda: len(server.calls) >= 4)
        server.faults.refuses_with = status
        await until(lambda: all(follower.is_failing for follower in followers))
        await asyncio.sleep(0.5)
        before = len(server.calls)
        await asyncio.sleep(2.0)
        assert len(server.calls) - before <= 9, "only one of them retries, at most every 0.25 s"
        server.faults.refuses_with = 0
        for prefix in prefixes:
            server.put(prefix.rstrip("/"), "main", {"version": 7})
        await until(lambda: all(listener.value_by_key for listener in listeners), limit_s=1.75)
        for task in running:
            task.cancel()

    run_with_store(scenario)


def test_many_changes_in_a_row_need_few_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(server: PlatformStoreServer, store: PlatformObjects) -> None:
        listener = RecordingListener()
        follower = PrefixFollower(store, "servers/", lambda: 2.0, listener, peers())
        running = asyncio.create_task(follower.run())
        await until(lambda: len(server.calls) >= 2)
        for number in range(40):
            server.put("servers", f"i-{number}", {})
            await asyncio.sleep(0.02)
        await until(lambda: len(listener.value_by_key) == 40)
        assert len(server.calls) <= 10, server.calls
        running.cancel()

    run_with_store(scenario)
