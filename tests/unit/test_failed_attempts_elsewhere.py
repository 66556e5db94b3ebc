"""Failed attempts leave no stale state in connections, object lists, logs and calls."""

import asyncio
import os
from collections.abc import AsyncGenerator
from random import Random
from types import SimpleNamespace
from typing import cast

import orjson
import pytest

from bayhinge._internal.bench.world.virtual_time import LoopClock, run_virtual
from bayhinge._internal.decisions.offers import CallCompletion, Offer, Outcome
from bayhinge._internal.exceptions import PeerUnreachableError
from bayhinge._internal.network.endpoint_connections import EndpointConnectionPool
from bayhinge._internal.network.frames import encode_message
from bayhinge._internal.network.peers import Peers
from bayhinge._internal.services.call_runner import _Progress
from bayhinge._internal.services.grants import GrantedEndpoint
from bayhinge._internal.services.prefix_follower import ObjectListener, PrefixFollower
from bayhinge._internal.services.queue_dispatcher import QueueDispatcher
from bayhinge._internal.services.remote_grants import RemoteGrants
from bayhinge._internal.utils.log_output import LogOutput
from bayhinge._internal.wire import ttypes as wire
from bayhinge._internal.wire.hosts.ttypes import KnownObjects
from bayhinge.coordination.config_feed import ConfigFeed, FeedTimes
from bayhinge.coordination.errors import CorruptObjectError
from bayhinge.coordination.membership import Membership
from bayhinge.coordination.store import Change, ChangePage, Listing, PollingStore, StoredObject
from bayhinge.coordination.store_availability import StoreAvailability
from bayhinge_standins.object_store import MemoryObjects, MemoryObjectStore
from tests.functional.test_endpoint_connections import Wire, answer, ask, read_request, run
from tests.lib.read_only_store import ReadOnlyStore


def endpoint_with_surplus(part: bytes) -> Wire:
    """Returns an endpoint that sends part of an unrequested answer after its first one."""

    async def endpoint(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        writer.write(answer("a") + part)
        await read_request(reader)
        writer.write(answer("b", b"mine"))
        await reader.read()

    return endpoint


@pytest.mark.parametrize("size", [1, 12, 17, 40])
def test_a_connection_with_the_start_of_a_surplus_answer_is_closed(size: int) -> None:
    """Guards against parsing the next answer after the start of an unrequested one."""
    part = b"HTTP/1.1 200 OK\r\nBayhinge-Odd: 1\r\nX-Cut: "[:size]

    async def scenario(connection_pool: EndpointConnectionPool, address: str) -> None:
        connection, first = await ask(connection_pool, address)
        assert await first.read_body() == b"body"
        connection_pool.release(connection, None)
        assert not connection.is_open

    run(endpoint_with_surplus(part), scenario)


def test_the_start_of_a_surplus_answer_does_not_change_the_next_head() -> None:
    part = b"HTTP/1.1 503 Full\r\nBayhinge-Not-Executed: 1\r\nX-Cut: "

    async def scenario(connection_pool: EndpointConnectionPool, address: str) -> None:
        connection, first = await ask(connection_pool, address)
        await first.read_body()
        connection_pool.release(connection, None)
        try:
            _, second = await ask(connection_pool, address)
        except Exception:
            return
        names = {name for name, _ in second.headers}
        assert (second.status, b"Bayhinge-Not-Executed" in names) == (200, False), second.headers

    run(endpoint_with_surplus(part), scenario)


class SlowList(ReadOnlyStore, PollingStore):
    """Answers a list late, with the state at the time of the request."""

    def __init__(self) -> None:
        self._availability = StoreAvailability()
        self.may_answer = asyncio.Event()

    @property
    def availability(self) -> StoreAvailability:
        return self._availability

    async def list(self, prefix: str, after: str = "", limit: int = 500) -> Listing:
        await self.may_answer.wait()
        return Listing((StoredObject("servers/old", b"old", 1),), 1, more=False)

    async def poll(self, prefix: str, after_revision: int, wait_s: float) -> ChangePage:
        await asyncio.sleep(wait_s)
        return ChangePage((), after_revision)


class NewerPeer(Peers):
    """A peer that knows a later revision than the store's list."""

    async def call(self, address: str, method: str, payload: bytes) -> bytes:
        return encode_message(KnownObjects(5, {"servers/new": b"new"}, 5))

    async def stream(
        self, address: str, method: str, payload: bytes
    ) -> AsyncGenerator[bytes, None]:
        yield await self.call(address, method, payload)

    async def close(self) -> None:
        return


class RecordingListener(ObjectListener):
    def __init__(self) -> None:
        self.states: list[set[str]] = []

    def replace_all(self, value_by_key: dict[str, bytes], is_after_outage: bool) -> None:
        self.states.append(set(value_by_key))

    def apply(self, change: Change, is_after_outage: bool) -> None:
        raise AssertionError


def test_a_late_list_does_not_undo_an_update_from_a_peer() -> None:
    """Guards against a late list that replaces newer objects, which no watch delivers again."""

    async def main() -> None:
        store, listener = SlowList(), RecordingListener()
        follower = PrefixFollower(store, "servers/", lambda: 0.05, listener, NewerPeer())
        follower.should_watch = lambda: False
        following = asyncio.create_task(follower.run())
        await asyncio.sleep(0.02)
        follower.observe_revision(5, "peer")
        await asyncio.sleep(0.1)
        assert listener.states == [{"servers/new"}]
        store.may_answer.set()
        await asyncio.sleep(0.1)
        follower.stop()
        following.cancel()
        known = follower.snapshot()
        assert known.complete_to == 5
        assert set(known.value_by_key) == {"servers/new"}, listener.states

    asyncio.run(main())


def test_lines_logged_after_the_end_of_the_loop_are_written() -> None:
    """Guards against buffered lines that wait for an event loop which has ended."""
    read_end, write_end = os.pipe()
    log = LogOutput(write_end)

    async def main() -> None:
        while not log._buffer:
            log({"message_type": "request.refused", "text": "x" * 900})

    asyncio.run(main())
    os.set_blocking(read_end, False)
    while True:
        try:
            os.read(read_end, 1 << 20)
        except BlockingIOError:
            break
    log({"message_type": "host.stopped"})
    data = os.read(read_end, 1 << 20)
    assert b"host.stopped" in data
    os.close(read_end)
    os.close(write_end)


def test_a_line_after_a_truncated_one_starts_on_a_new_line(monkeypatch: pytest.MonkeyPatch) -> None:
    """A partial write, then a failed one: the following line must start on a new line."""
    read_end, write_end = os.pipe()
    log = LogOutput(write_end)
    write, calls = os.write, 0

    def faulty_write(file: int, data: bytes) -> int:
        nonlocal calls
        calls += 1
        if calls == 1:
            return write(file, data[:10])
        if calls == 2:
            raise OSError(28, "no space left on device")
        return write(file, data)

    monkeypatch.setattr(os, "write", faulty_write)
    log({"message_type": "first"})
    log({"message_type": "second"})
    monkeypatch.undo()
    lines = os.read(read_end, 1 << 16).splitlines()
    assert orjson.loads(lines[-1])["message_type"] == "second", lines
    os.close(read_end)
    os.close(write_end)


def test_an_edit_behind_an_undecodable_change_says_so() -> None:
    """Guards against "too many concurrent edits", which nobody can do anything about."""

    async def scenario() -> None:
        objects = MemoryObjects()
        objects.objects_by_key["c/000000000001"] = StoredObject("c/000000000001", b"?", 1)
        feed = ConfigFeed(
            MemoryObjectStore(objects), "c", LoopClock(), Random(1).random, FeedTimes()
        )
        with pytest.raises(CorruptObjectError, match="c/000000000001"):
            await feed.propose("kind", "name", "text", "author", 0)
        assert list(objects.objects_by_key) == ["c/000000000001"]

    run_virtual(scenario())


def test_the_finish_reason_is_reset_for_each_attempt() -> None:
    """The finish reason is reset between attempts, as text, tool calls and usage are."""
    progress = _Progress()
    progress.begin_attempt()
    progress.finish_reason = "length"
    progress.begin_attempt()
    assert progress.finish_reason == "stop"


def test_an_object_is_no_longer_corrupt_once_it_can_be_read() -> None:
    """Guards against a damaged read that leaves the configuration outdated until a restart."""

    async def scenario() -> None:
        objects = MemoryObjects()
        writer = ConfigFeed(
            MemoryObjectStore(objects), "c", LoopClock(), Random(1).random, FeedTimes()
        )
        await writer.propose("kind", "name", "text", "author", 0)
        (key,) = objects.objects_by_key
        whole = objects.objects_by_key[key]
        reader = ConfigFeed(
            MemoryObjectStore(objects), "c", LoopClock(), Random(2).random, FeedTimes()
        )
        objects.objects_by_key[key] = StoredObject(key, whole.value[:5], whole.version)
        await reader.step()
        assert reader.corrupt_by_key
        objects.objects_by_key[key] = whole
        await reader.step()
        assert reader.revision == 1
        assert reader.corrupt_by_key == {}
        assert reader.is_current()

    run_virtual(scenario())


class FlakyPeers(Peers):
    """Peers whose connection breaks at the first call; later calls succeed."""

    def __init__(self) -> None:
        self.called_methods: list[str] = []
        self.calls = 0

    async def call(self, address: str, method: str, payload: bytes) -> bytes:
        self.calls += 1
        if self.calls == 1:
            raise PeerUnreachableError(address, "the connection broke", sent=True)
        self.called_methods.append(method)
        return b""

    async def stream(
        self, address: str, method: str, payload: bytes
    ) -> AsyncGenerator[bytes, None]:
        yield await self.call(address, method, payload)

    async def close(self) -> None:
        return


def test_the_end_of_a_grant_is_reported_after_a_failed_first_call() -> None:
    """Otherwise the dispatcher counts the call as running until the owner's process ends."""

    async def scenario() -> None:
        peers = FlakyPeers()
        membership = SimpleNamespace(me=SimpleNamespace(peer_address="here"))
        grants = RemoteGrants(cast(Membership, membership), cast(QueueDispatcher, None), peers)
        granted = GrantedEndpoint("g", "cell", "e-1", "e-1:1", 0.0, "there")
        grants.done(granted, CallCompletion("g", Outcome.FINISHED))
        await asyncio.sleep(60)
        assert peers.called_methods == ["done"]

    run_virtual(scenario())


class ConfusedPeers(FlakyPeers):
    """Two queue dispatchers, of which the first answers with what can't be decoded."""

    def __init__(self) -> None:
        super().__init__()
        self.called: list[tuple[str, str]] = []

    async def call(self, address: str, method: str, payload: bytes) -> bytes:
        self.called.append((address, method))
        if method == "done":
            return b""
        is_first = len(self.called) == 1
        return b"?" if is_first else encode_message(wire.GrantReply("g", "e-1", "e-1:1", 0.0, ""))


def test_after_an_undecodable_grant_the_next_dispatcher_is_asked() -> None:
    """The first one's slot is released, or it would stay taken until the owner's process ends."""

    async def scenario() -> None:
        peers = ConfusedPeers()
        hosts = [SimpleNamespace(host=n, incarnation=n, peer_address=n) for n in ("one", "two")]
        membership = SimpleNamespace(
            me=SimpleNamespace(incarnation="me", peer_address="me"), serving=lambda: hosts
        )
        dispatcher = SimpleNamespace(cell_of=lambda pool, program: pool)
        grants = RemoteGrants(
            cast(Membership, membership), cast(QueueDispatcher, dispatcher), peers
        )
        offer = Offer("g", "me", "p", "", 0, 10, 10)
        granted = await grants.request("pool", offer)
        await asyncio.sleep(0.1)
        first, second = peers.called[0][0], granted.dispatcher_address
        assert {first, second} == {"one", "two"}
        assert sorted(peers.called) == sorted(
            [(first, "grant"), (first, "done"), (second, "grant")]
        )

    run_virtual(scenario())
