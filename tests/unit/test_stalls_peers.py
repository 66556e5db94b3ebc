"""Guards against a stalled host that ignores answers which arrived, or suspects its peers."""

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
from bayhinge.coordination.store_availability import StoreAvailability
from tests.lib.remote_disks import TEXT, Disk, remote_disks

STALLS_AFTER_S = (0.0, 0.005)
"""The loop stalls before the request is sent, or soon after: the answer arrives meanwhile."""

Result = TypeVar("Result")


@attrs.define
class GossipStub:
    """Stands for the gossip: knows one other host, which can relay calls to disks."""

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
class SettingsStub:
    hall: str = "north"
    tolerated_disks: int = 1


@attrs.define
class DiskStateStub:
    """Stands for a disk host that calls others."""

    peers: Peers


@attrs.define
class StoreStub:
    """Stands for a store that is never called."""

    availability: StoreAvailability = attrs.field(factory=StoreAvailability)


class IgnoringListener(ObjectListener):
    def replace_all(self, value_by_key: dict[str, bytes], is_after_outage: bool) -> None:
        return

    def apply(self, change: Change, is_after_outage: bool) -> None:
        return


@attrs.define
class Host:
    """One host's connections to three disks."""

    client: PeerClient
    directory: DiskDirectory
    link: DiskLink
    recorder: TurnRecorder


async def stalled(work: Awaitable[Result], after_s: float, stall_s: float) -> Result:
    """Awaits some work in a loop that stalls once, after a delay."""
    loop = asyncio.get_running_loop()
    if after_s:
        loop.call_later(after_s, time.sleep, stall_s)
    else:
        loop.call_soon(time.sleep, stall_s)
    return await work


def run_at_host(
    scenario: Callable[[Host], Awaitable[Result]],
) -> tuple[Result, list[Disk], Disk]:
    """Runs a scenario; returns its result, the disks, and the host that can relay calls."""

    async def main(addresses: list[str]) -> Result:
        client = PeerClient(HybridClock(SystemClock()), connect_s=0.5)
        settings = cast(SiteSettings, SettingsStub())
        directory = DiskDirectory(settings, cast(ObjectStore, None), client, list)
        members = [
            wire.DiskMember(f"disk-{number}", number + 1, address, "north")
            for number, address in enumerate(addresses[:3])
        ]
        directory.accept(wire.DiskSet(1, members))
        link = DiskLink(directory, cast(Gossip, GossipStub(addresses[3])), client)
        host = Host(client, directory, link, TurnRecorder(directory, link, 1))
        for address in addresses:
            # A serving host has its connections open.
            await client.call(address, "echo", b"")
        try:
            return await scenario(host)
        finally:
            await host.recorder.drain(1.0)
            await client.close()

    with remote_disks(4) as (addresses, disks):
        result = asyncio.run(main(addresses))
        return result, disks[:3], disks[3]


# ---- disks ----


@pytest.mark.parametrize("after_s", STALLS_AFTER_S)
def test_a_turn_is_not_refused_after_a_stall_of_its_host(after_s: float) -> None:
    async def scenario(host: Host) -> None:
        context = TurnContext("p", 100, 30, None)
        await stalled(host.recorder.open("a1", context), after_s, DISK_ANSWER_S + 0.1)

    run_at_host(scenario)


@pytest.mark.parametrize("after_s", STALLS_AFTER_S)
def test_a_host_that_stalled_waits_for_the_history_of_the_nearest_disk(after_s: float) -> None:
    async def scenario(host: Host) -> bytes:
        context = TurnContext("p", None, 30, "a0")
        turn = await stalled(host.recorder.open("a1", context), after_s, DISK_ANSWER_S + 0.1)
        return turn.history

    history, disks, _ = run_at_host(scenario)
    assert history == TEXT
    assert sum(disk.calls.count(methods.RESERVE) for disk in disks) == len(disks)


@pytest.mark.parametrize("after_s", STALLS_AFTER_S)
def test_a_host_that_stalled_finds_an_earlier_turn(after_s: float) -> None:
    async def scenario(host: Host) -> bytes | None:
        entry = await stalled(
            host.recorder._histories._find_turn("a0", True), after_s, DISK_ANSWER_S + 0.1
        )
        return cast(bytes | None, entry.text)

    text, _, _ = run_at_host(scenario)
    assert text == TEXT


@pytest.mark.parametrize("after_s", STALLS_AFTER_S)
def test_a_host_that_stalled_does_not_hedge_a_call_to_a_disk(after_s: float) -> None:
    async def scenario(host: Host) -> int:
        (member, *_) = host.directory.disk_set.members
        await stalled(host.link.call(member, "echo", b"x"), after_s, disk_link.HEDGE_S + 0.1)
        return host.link.relayed

    relayed, (disk, *_), relay = run_at_host(scenario)
    assert (relayed, relay.calls) == (0, ["echo"])
    assert disk.calls == ["echo", "echo"]


def test_a_host_that_stalled_does_not_suspect_a_slow_disk() -> None:
    async def scenario(host: Host) -> tuple[bool, bool]:
        (member, *_) = host.directory.disk_set.members
        loop = asyncio.get_running_loop()
        # The call is hedged over the relay, and then the host stalls.
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
        (is_suspected, is_cut_off), _, _ = run_at_host(scenario)
    assert (is_suspected, is_cut_off) == (False, False)


def test_a_disk_that_never_answers_is_suspected() -> None:
    async def never(self: Disk, method: str, payload: bytes) -> bytes:
        if method != "echo":
            await asyncio.sleep(5)
        return payload

    async def scenario(host: Host) -> float:
        (member, *_) = host.directory.disk_set.members
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        with pytest.raises(disk_link.DiskCallError):
            await host.link.call(member, "never", b"x")
        assert host.directory.is_suspected(member)
        return loop.time() - began_s

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Disk, "answer", never)
        took_s, _, _ = run_at_host(scenario)
    assert took_s >= disk_link.HEDGE_S + disk_link.ANSWER_S - 0.01


@pytest.mark.parametrize("after_s", STALLS_AFTER_S)
def test_a_host_that_stalled_notices_that_it_reaches_disks_again(after_s: float) -> None:
    async def scenario(host: Host) -> bool:
        members = host.directory.disk_set.members
        for member in members:
            host.directory.record_failure(member, "cut off")
        assert host.directory.reachability.is_partitioned
        stall_s = disk_directory.FETCH_S + 0.1
        await stalled(host.directory._probe(members[0]), after_s, stall_s)
        return host.directory.reachability.is_partitioned

    is_cut_off, _, _ = run_at_host(scenario)
    assert not is_cut_off


@pytest.mark.parametrize("after_s", STALLS_AFTER_S)
def test_a_host_that_stalled_fetches_the_set_of_disks_from_another_one(after_s: float) -> None:
    async def scenario(host: Host) -> int:
        address = host.directory.disk_set.members[0].address
        stall_s = disk_directory.FETCH_S + 0.1
        await stalled(host.directory.fetch(address), after_s, stall_s)
        return cast(int, host.directory.disk_set.version)

    version, _, _ = run_at_host(scenario)
    assert version == 2


@pytest.mark.parametrize("after_s", STALLS_AFTER_S)
def test_a_disk_that_stalled_gets_the_answer_of_another_one(after_s: float) -> None:
    async def scenario(host: Host) -> bytes | None:
        disk = cast(DiskState, DiskStateStub(host.client))
        address = host.directory.disk_set.members[0].address
        call = DiskState.call(disk, address, "echo", b"x")
        return await stalled(call, after_s, disk_state.CALL_TIMEOUT_S + 0.1)

    answer, _, _ = run_at_host(scenario)
    assert answer == b"x"


@pytest.mark.parametrize("after_s", STALLS_AFTER_S)
def test_a_host_that_stalled_fetches_the_objects_from_a_peer(after_s: float) -> None:
    async def scenario(host: Host) -> int:
        address = host.directory.disk_set.members[0].address
        store = cast(PollingStore, StoreStub())
        follower = PrefixFollower(store, "config/", float, IgnoringListener(), host.client)
        # After the pause that groups several changes.
        after_pause_s = UNWATCHED_FETCH_DELAY_S + after_s
        fetch = follower._fetch(5, address)
        await stalled(fetch, after_pause_s, PEER_CALL_TIMEOUT_S + 0.1)
        return follower.complete_to

    complete_to, _, _ = run_at_host(scenario)
    assert complete_to == 5


# ---- connecting ----


def test_a_host_that_stalled_connects_to_a_peer() -> None:
    async def scenario(address: str) -> bytes:
        client = PeerClient(HybridClock(SystemClock()), connect_s=0.1)
        asyncio.get_running_loop().call_soon(time.sleep, 0.2)
        try:
            return await client.call(address, "echo", b"x")
        finally:
            await client.close()

    with remote_disks(1) as (addresses, _):
        assert asyncio.run(scenario(addresses[0])) == b"x"
