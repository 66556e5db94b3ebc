"""A host that stood still finds what came for it meanwhile, and takes nobody for silent.

Peers answer from a thread of their own, over real sockets, while the host's loop stands still.
"""

import asyncio
import threading
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import TypeVar, cast

import attrs
import pytest

from bayhinge._internal.decisions.answer_bounds import AnswerBounds
from bayhinge._internal.models.routed_requests import TurnContext
from bayhinge._internal.models.site_settings import SiteSettings
from bayhinge._internal.network.endpoint_answer import Answer, SilentEndpointError
from bayhinge._internal.network.endpoint_link import CONNECT_S, EndpointLinks
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.network.peer_client import PeerClient
from bayhinge._internal.network.peer_server import PeerServer
from bayhinge._internal.network.peers import AnsweringHandler, Peers
from bayhinge._internal.services import methods
from bayhinge._internal.services.disks import disk_state
from bayhinge._internal.services.disks.disk_state import DiskState
from bayhinge._internal.services.gateway import disk_directory, disk_link
from bayhinge._internal.services.gateway.disk_directory import DiskDirectory
from bayhinge._internal.services.gateway.disk_link import DiskLink
from bayhinge._internal.services.gateway.stream_delivery import _pieces
from bayhinge._internal.services.gateway.turn_keeper import TurnKeeper
from bayhinge._internal.services.gateway.turn_refusals import OPEN_S
from bayhinge._internal.services.gossip import FIRST_S, LEAST_FRESH_S, Gossip
from bayhinge._internal.services.key_follower import (
    LISTENER_PATIENCE_S,
    PEER_CALL_S,
    FollowListener,
    KeyFollower,
)
from bayhinge._internal.wire.hosts import ttypes as wire
from bayhinge.coordination.clock import HybridClock, SystemClock
from bayhinge.coordination.store import Change, ObjectStore, PollingStore
from bayhinge.coordination.store_contact import StoreContact

ANSWERS_AFTER_S = 0.02
"""A peer's time to answer."""

STALLS_AFTER_S = (0.0, 0.005)
"""The host stands still before its question leaves, or soon after: the answer comes meanwhile."""

TEXT = b"what was said before"

Result = TypeVar("Result")


class Disk(AnsweringHandler):
    """Takes every reservation, and has each turn."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    async def answer(self, method: str, payload: bytes) -> bytes:
        self.calls.append(method)
        await asyncio.sleep(ANSWERS_AFTER_S)
        if method == methods.RESERVE:
            query = decode_message(wire.ReserveTurn(), payload)
            chain = TEXT if query.previous and query.wants_chain else None
            return encode_message(wire.ReserveReply(1, {}, {}, chain))
        if method == methods.ENTRIES:
            entry = wire.TurnEntry(wire.EntryKind.TURN, "a0", "p", 3, None, TEXT)
            return encode_message(wire.EntriesReply([entry]))
        if method == methods.DISK_SET:
            return encode_message(wire.DiskSet(2, [wire.DiskMember("disk-0", 1, "", "north")]))
        if method == methods.OBJECTS:
            return encode_message(wire.KnownObjects(5, {}, 5, False))
        return payload


@contextmanager
def disks_elsewhere(count: int) -> Iterator[tuple[list[str], list[Disk]]]:
    """Runs peers in another thread, whose loop goes on while this one's stands still."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    disks = [Disk() for _ in range(count)]
    servers = [PeerServer("127.0.0.1:0", disk, HybridClock(SystemClock())) for disk in disks]
    try:
        yield (
            [
                asyncio.run_coroutine_threadsafe(server.start(), loop).result(5)
                for server in servers
            ],
            disks,
        )
    finally:
        for server in servers:
            asyncio.run_coroutine_threadsafe(server.stop(), loop).result(5)
        loop.call_soon_threadsafe(loop.stop)
        thread.join(5)
        loop.close()


@attrs.define
class Hearing:
    """Stands for the hellos: one other host, through which disks could be reached."""

    address: str
    me: wire.Hello = attrs.field(factory=lambda: wire.Hello(hall="north"))

    def fresh(self, role: int) -> list[wire.Hello]:
        return [
            wire.Hello(
                host="entry-9",
                hall="north",
                phase=wire.HostPhase.READY,
                peer_address=self.address,
                is_cut_off=False,
            )
        ]


@attrs.define
class Settings:
    hall: str = "north"
    tolerated_disks: int = 1


@attrs.define
class Calling:
    """Stands for a disk host that calls others."""

    peers: Peers


@attrs.define
class Contacted:
    """Stands for a store that nobody asks."""

    contact: StoreContact = attrs.field(factory=StoreContact)


class Ignoring(FollowListener):
    def replace_all(self, value_by_key: dict[str, bytes], is_after_outage: bool) -> None:
        return

    def apply(self, change: Change, is_after_outage: bool) -> None:
        return


@attrs.define
class Host:
    """The way of one host to three disks."""

    client: PeerClient
    directory: DiskDirectory
    link: DiskLink
    keeper: TurnKeeper


async def stalled(work: Awaitable[Result], after_s: float, stall_s: float) -> Result:
    """Does some work in a host that stands still once, soon after it has begun."""
    loop = asyncio.get_running_loop()
    if after_s:
        loop.call_later(after_s, time.sleep, stall_s)
    else:
        loop.call_soon(time.sleep, stall_s)
    return await work


def at_host(
    scenario: Callable[[Host], Awaitable[Result]],
) -> tuple[Result, list[Disk], Disk]:
    """Plays a scenario; returns its result, the disks, and the host that could pass calls on."""

    async def main(addresses: list[str]) -> Result:
        client = PeerClient(HybridClock(SystemClock()), connect_s=0.5)
        settings = cast(SiteSettings, Settings())
        directory = DiskDirectory(settings, cast(ObjectStore, None), client, list)
        members = [
            wire.DiskMember(f"disk-{number}", number + 1, address, "north")
            for number, address in enumerate(addresses[:3])
        ]
        directory.take(wire.DiskSet(1, members))
        link = DiskLink(directory, cast(Gossip, Hearing(addresses[3])), client)
        host = Host(client, directory, link, TurnKeeper(directory, link, 1))
        for address in addresses:
            # A host that serves has its connections open.
            await client.call(address, "echo", b"")
        try:
            return await scenario(host)
        finally:
            await host.keeper.drain(1.0)
            await client.close()

    with disks_elsewhere(4) as (addresses, disks):
        result = asyncio.run(main(addresses))
        return result, disks[:3], disks[3]


# ---- disks ----


@pytest.mark.parametrize("after_s", STALLS_AFTER_S)
def test_a_turn_is_not_refused_because_its_host_stood_still(after_s: float) -> None:
    async def scenario(host: Host) -> None:
        context = TurnContext("p", 100, 30, None)
        await stalled(host.keeper.open("a1", context), after_s, OPEN_S + 0.1)

    at_host(scenario)


@pytest.mark.parametrize("after_s", STALLS_AFTER_S)
def test_a_host_that_stood_still_waits_for_the_nearest_disks_history(after_s: float) -> None:
    async def scenario(host: Host) -> bytes:
        context = TurnContext("p", None, 30, "a0")
        turn = await stalled(host.keeper.open("a1", context), after_s, OPEN_S + 0.1)
        return turn.history

    history, disks, _ = at_host(scenario)
    assert history == TEXT
    assert sum(disk.calls.count(methods.RESERVE) for disk in disks) == len(disks)


@pytest.mark.parametrize("after_s", STALLS_AFTER_S)
def test_a_turn_that_is_looked_for_is_found_by_a_host_that_stood_still(after_s: float) -> None:
    async def scenario(host: Host) -> bytes | None:
        entry = await stalled(host.keeper._histories._find_turn("a0", True), after_s, OPEN_S + 0.1)
        return cast(bytes | None, entry.text)

    text, _, _ = at_host(scenario)
    assert text == TEXT


@pytest.mark.parametrize("after_s", STALLS_AFTER_S)
def test_a_call_to_a_disk_goes_no_second_way_because_its_host_stood_still(after_s: float) -> None:
    async def scenario(host: Host) -> int:
        (member, *_) = host.directory.disk_set.members
        await stalled(host.link.call(member, "echo", b"x"), after_s, disk_link.HEDGE_S + 0.1)
        return host.link.relayed

    relayed, (disk, *_), relay = at_host(scenario)
    assert (relayed, relay.calls) == (0, ["echo"])
    assert disk.calls == ["echo", "echo"]


def test_a_disk_that_is_slow_is_not_held_silent_by_a_host_that_stood_still() -> None:
    async def scenario(host: Host) -> tuple[bool, bool]:
        (member, *_) = host.directory.disk_set.members
        loop = asyncio.get_running_loop()
        # The call goes a second way, and then the host stands still.
        loop.call_later(disk_link.HEDGE_S + 0.02, time.sleep, disk_link.ANSWER_S + 0.1)
        await host.link.call(member, "slow", b"x")
        return host.directory.is_suspect(member), host.directory.reach.is_cut_off

    original = Disk.answer

    async def slow(self: Disk, method: str, payload: bytes) -> bytes:
        if method in {"slow", methods.RELAY}:
            await asyncio.sleep(disk_link.HEDGE_S + 0.1)
        return await original(self, method, payload)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Disk, "answer", slow)
        (is_suspect, is_cut_off), _, _ = at_host(scenario)
    assert (is_suspect, is_cut_off) == (False, False)


def test_a_disk_that_says_nothing_is_held_silent_all_the_same() -> None:
    async def never(self: Disk, method: str, payload: bytes) -> bytes:
        if method != "echo":
            await asyncio.sleep(5)
        return payload

    async def scenario(host: Host) -> float:
        (member, *_) = host.directory.disk_set.members
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        with pytest.raises(disk_link.DiskUnreachableError):
            await host.link.call(member, "never", b"x")
        assert host.directory.is_suspect(member)
        return loop.time() - began_s

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Disk, "answer", never)
        took_s, _, _ = at_host(scenario)
    assert took_s >= disk_link.HEDGE_S + disk_link.ANSWER_S - 0.01


@pytest.mark.parametrize("after_s", STALLS_AFTER_S)
def test_a_host_that_stood_still_learns_that_it_reaches_disks_again(after_s: float) -> None:
    async def scenario(host: Host) -> bool:
        members = host.directory.disk_set.members
        for member in members:
            host.directory.note_failure(member, "cut off")
        assert host.directory.reach.is_cut_off
        stall_s = disk_directory.FETCH_S + 0.1
        await stalled(host.directory._try_to_reach(members[0]), after_s, stall_s)
        return host.directory.reach.is_cut_off

    is_cut_off, _, _ = at_host(scenario)
    assert not is_cut_off


@pytest.mark.parametrize("after_s", STALLS_AFTER_S)
def test_a_host_that_stood_still_has_the_set_of_disks_from_another_one(after_s: float) -> None:
    async def scenario(host: Host) -> int:
        address = host.directory.disk_set.members[0].address
        stall_s = disk_directory.FETCH_S + 0.1
        await stalled(host.directory.fetch(address), after_s, stall_s)
        return cast(int, host.directory.disk_set.version)

    version, _, _ = at_host(scenario)
    assert version == 2


@pytest.mark.parametrize("after_s", STALLS_AFTER_S)
def test_a_disk_that_stood_still_does_not_miss_another_one(after_s: float) -> None:
    async def scenario(host: Host) -> bytes | None:
        disk = cast(DiskState, Calling(host.client))
        address = host.directory.disk_set.members[0].address
        call = DiskState.call(disk, address, "echo", b"x")
        return await stalled(call, after_s, disk_state.CALL_S + 0.1)

    answer, _, _ = at_host(scenario)
    assert answer == b"x"


@pytest.mark.parametrize("after_s", STALLS_AFTER_S)
def test_a_host_that_stood_still_has_the_objects_from_a_peer(after_s: float) -> None:
    async def scenario(host: Host) -> int:
        address = host.directory.disk_set.members[0].address
        store = cast(PollingStore, Contacted())
        follower = KeyFollower(store, "config/", float, Ignoring(), host.client)
        # Behind the pause in which several changes come together.
        after_pause_s = LISTENER_PATIENCE_S + after_s
        fetch = follower._fetch(5, address)
        await stalled(fetch, after_pause_s, PEER_CALL_S + 0.1)
        return follower.complete_to

    complete_to, _, _ = at_host(scenario)
    assert complete_to == 5


# ---- hellos ----

OTHERS = 7
GOSSIP_PORT = 7399


@attrs.define
class GreetingSettings:
    """What a host needs to greet others on loopback."""

    host: str
    ip: str
    hall: str = "north"
    seeds: tuple[str, ...] = ("127.88.0.1",)
    gossip_port: int = GOSSIP_PORT
    peer_address: str = "127.0.0.1:1"
    front_address: str = "127.0.0.1:2"

    @property
    def gossip_address(self) -> str:
        return f"{self.ip}:{self.gossip_port}"


def greeting_host(number: int) -> Gossip:
    settings = cast(SiteSettings, GreetingSettings(f"h{number}", f"127.88.0.{number + 1}"))
    gossip = Gossip(settings, wire.HostRole.ENTRY)
    gossip.me.phase = wire.HostPhase.READY
    return gossip


async def run_others(is_over: threading.Event) -> None:
    others = [greeting_host(number) for number in range(1, OTHERS + 1)]
    for gossip in others:
        await gossip.start()
    while not is_over.is_set():  # noqa: ASYNC110 - it is set in another thread
        await asyncio.sleep(0.05)
    for gossip in others:
        await gossip.stop()


def test_a_host_that_stood_still_reads_what_it_was_told_before_it_judges_who_is_there() -> None:
    """Homes are worked out anew in each round of hellos, and hold until the next one."""

    async def scenario() -> list[int]:
        gossip = greeting_host(0)
        await gossip.start()
        async with asyncio.timeout(10):
            while len(gossip.fresh(wire.HostRole.ENTRY)) < OTHERS:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        await asyncio.sleep(FIRST_S)
        heard: list[int] = []
        gossip.on_round = lambda: heard.append(len(gossip.fresh(wire.HostRole.ENTRY)))
        time.sleep(LEAST_FRESH_S + 0.5)  # noqa: ASYNC251 - it plays a process that gets no time
        await asyncio.sleep(0.5)
        await gossip.stop()
        return heard

    is_over = threading.Event()
    others = threading.Thread(target=lambda: asyncio.run(run_others(is_over)), daemon=True)
    others.start()
    try:
        heard = asyncio.run(scenario())
    finally:
        is_over.set()
        others.join(5)
    assert heard
    assert set(heard) == {OTHERS}


# ---- endpoints ----

PAUSE_S = 0.04
BOUNDS = AnswerBounds(unheard_s=1.0, may_leave=True, pause_s=PAUSE_S)


@attrs.define
class StreamedAnswer:
    """An endpoint's answer whose pieces come over a real connection."""

    reader: asyncio.StreamReader

    async def read_pieces(self) -> AsyncIterator[bytes]:
        while piece := await self.reader.read(100):
            yield piece


async def read_stream(events: int, stall_s: float) -> list[bytes]:
    """Reads a stream whose events come every 5 ms from another thread."""

    def send(far: "asyncio.Transport", left: int) -> None:
        if left:
            far.write(b"data: x\n\n")
            elsewhere.call_later(0.005, send, far, left - 1)

    class Far(asyncio.Protocol):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            send(cast(asyncio.Transport, transport), events)

    elsewhere = asyncio.new_event_loop()
    thread = threading.Thread(target=elsewhere.run_forever, daemon=True)
    thread.start()
    serving = elsewhere.create_server(Far, "127.0.0.1", 0)
    server = asyncio.run_coroutine_threadsafe(serving, elsewhere).result(5)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    asyncio.get_running_loop().call_later(0.02, time.sleep, stall_s)
    pieces: list[bytes] = []
    try:
        async for piece in _pieces(cast(Answer, StreamedAnswer(reader)), BOUNDS):
            pieces.append(piece)
            if b"".join(pieces).count(b"\n\n") == events:
                break
    finally:
        writer.close()
        elsewhere.call_soon_threadsafe(elsewhere.stop)
        thread.join(5)
        server.close()
        elsewhere.close()
    return pieces


def test_a_stream_is_not_left_because_its_host_stood_still() -> None:
    pieces = asyncio.run(read_stream(40, 3 * PAUSE_S))
    assert b"".join(pieces).count(b"\n\n") == 40


def test_a_stream_that_pauses_for_too_long_is_left() -> None:
    class Pausing:
        async def read_pieces(self) -> AsyncIterator[bytes]:
            yield b"data: x\n\n"
            await asyncio.sleep(5)
            yield b"data: y\n\n"

    async def scenario() -> float:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        with pytest.raises(SilentEndpointError):
            async for _ in _pieces(cast(Answer, Pausing()), BOUNDS):
                pass
        return loop.time() - began_s

    assert asyncio.run(scenario()) >= PAUSE_S - 0.001


def test_an_endpoint_is_reached_by_a_host_that_stood_still() -> None:
    async def scenario(address: str) -> None:
        links = EndpointLinks()
        asyncio.get_running_loop().call_soon(time.sleep, CONNECT_S + 0.1)
        connection = await links.acquire("i-1", address)
        connection.abort("over")

    with disks_elsewhere(1) as (addresses, _):
        asyncio.run(scenario(addresses[0]))


def test_a_peer_is_reached_by_a_host_that_stood_still() -> None:
    async def scenario(address: str) -> bytes:
        client = PeerClient(HybridClock(SystemClock()), connect_s=0.1)
        asyncio.get_running_loop().call_soon(time.sleep, 0.2)
        try:
            return await client.call(address, "echo", b"x")
        finally:
            await client.close()

    with disks_elsewhere(1) as (addresses, _):
        assert asyncio.run(scenario(addresses[0])) == b"x"
