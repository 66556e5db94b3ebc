"""A host that stood still finds what disks and other hosts sent it, and takes none for silent.

Peers answer from a thread of their own, over real sockets, while the host's loop stands still.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar, cast

import attrs
import pytest

from bayhinge._internal.models.routed_requests import TurnContext
from bayhinge._internal.models.site_settings import SiteSettings
from bayhinge._internal.network.peer_client import PeerClient
from bayhinge._internal.network.peers import Peers
from bayhinge._internal.services import methods
from bayhinge._internal.services.disks import disk_state
from bayhinge._internal.services.disks.disk_state import DiskState
from bayhinge._internal.services.gateway import disk_directory, disk_link
from bayhinge._internal.services.gateway.disk_directory import DiskDirectory
from bayhinge._internal.services.gateway.disk_link import DiskLink
from bayhinge._internal.services.gateway.turn_recorder import TurnRecorder
from bayhinge._internal.services.gateway.turn_refusals import DISK_ANSWER_S
from bayhinge._internal.services.gossip import Gossip
from bayhinge._internal.services.prefix_follower import (
    PEER_CALL_TIMEOUT_S,
    UNWATCHED_FETCH_DELAY_S,
    ObjectListener,
    PrefixFollower,
)
from bayhinge._internal.wire.hosts import ttypes as wire
from bayhinge.coordination.clock import HybridClock, SystemClock
from bayhinge.coordination.store import Change, ObjectStore, PollingStore
from bayhinge.coordination.store_contact import StoreAvailability
from tests.lib.disks_elsewhere import TEXT, Disk, disks_elsewhere

STALLS_AFTER_S = (0.0, 0.005)
"""The host stands still before its question leaves, or soon after: the answer comes meanwhile."""

Result = TypeVar("Result")


@attrs.define
class Hearing:
    """Stands for gossip: one other host, through which disks could be reached."""

    address: str
    own_heartbeat: wire.Hello = attrs.field(factory=lambda: wire.Hello(hall="north"))

    def recent_heartbeats(self, role: int) -> list[wire.Hello]:
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

    availability: StoreAvailability = attrs.field(factory=StoreAvailability)


class Ignoring(ObjectListener):
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
    keeper: TurnRecorder


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
        directory.accept(wire.DiskSet(1, members))
        link = DiskLink(directory, cast(Gossip, Hearing(addresses[3])), client)
        host = Host(client, directory, link, TurnRecorder(directory, link, 1))
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
        await stalled(host.keeper.open("a1", context), after_s, DISK_ANSWER_S + 0.1)

    at_host(scenario)


@pytest.mark.parametrize("after_s", STALLS_AFTER_S)
def test_a_host_that_stood_still_waits_for_the_nearest_disks_history(after_s: float) -> None:
    async def scenario(host: Host) -> bytes:
        context = TurnContext("p", None, 30, "a0")
        turn = await stalled(host.keeper.open("a1", context), after_s, DISK_ANSWER_S + 0.1)
        return turn.history

    history, disks, _ = at_host(scenario)
    assert history == TEXT
    assert sum(disk.calls.count(methods.RESERVE) for disk in disks) == len(disks)


@pytest.mark.parametrize("after_s", STALLS_AFTER_S)
def test_a_turn_that_is_looked_for_is_found_by_a_host_that_stood_still(after_s: float) -> None:
    async def scenario(host: Host) -> bytes | None:
        entry = await stalled(
            host.keeper._histories._find_turn("a0", True), after_s, DISK_ANSWER_S + 0.1
        )
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
        return host.directory.is_suspected(member), host.directory.reachability.is_partitioned

    original = Disk.answer

    async def slow(self: Disk, method: str, payload: bytes) -> bytes:
        if method in {"slow", methods.RELAY}:
            await asyncio.sleep(disk_link.HEDGE_S + 0.1)
        return await original(self, method, payload)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Disk, "answer", slow)
        (is_suspected, is_cut_off), _, _ = at_host(scenario)
    assert (is_suspected, is_cut_off) == (False, False)


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
        assert host.directory.is_suspected(member)
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
            host.directory.record_failure(member, "cut off")
        assert host.directory.reachability.is_partitioned
        stall_s = disk_directory.FETCH_S + 0.1
        await stalled(host.directory._probe(members[0]), after_s, stall_s)
        return host.directory.reachability.is_partitioned

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
        return await stalled(call, after_s, disk_state.CALL_TIMEOUT_S + 0.1)

    answer, _, _ = at_host(scenario)
    assert answer == b"x"


@pytest.mark.parametrize("after_s", STALLS_AFTER_S)
def test_a_host_that_stood_still_has_the_objects_from_a_peer(after_s: float) -> None:
    async def scenario(host: Host) -> int:
        address = host.directory.disk_set.members[0].address
        store = cast(PollingStore, Contacted())
        follower = PrefixFollower(store, "config/", float, Ignoring(), host.client)
        # Behind the pause in which several changes come together.
        after_pause_s = UNWATCHED_FETCH_DELAY_S + after_s
        fetch = follower._fetch(5, address)
        await stalled(fetch, after_pause_s, PEER_CALL_TIMEOUT_S + 0.1)
        return follower.complete_to

    complete_to, _, _ = at_host(scenario)
    assert complete_to == 5


# ---- connecting ----


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
