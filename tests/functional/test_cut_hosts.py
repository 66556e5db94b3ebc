"""Guards against callers or relayed calls being sent to hosts that can't reach the disks."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from bayhinge._internal.exceptions import PeerUnreachableError
from bayhinge._internal.services.gateway import disk_directory
from tests.lib.platform_site import PlatformSite, run_site

pytestmark = pytest.mark.functional

HOSTS = ("entry-0", "entry-1", "entry-2")


def partition_from_disks(site: PlatformSite, name: str) -> Callable[[], None]:
    """Partitions a host from every disk; returns a function that ends the partition."""
    gateway = site.entry_by_name[name]._gateway
    peers: Any = gateway.peers
    disks = {member.address for member in gateway.disks.disk_set.members}
    original_get_link, original_start_call = peers._get_link, peers.start_call

    async def get_link(address: str) -> Any:
        if address in disks:
            raise PeerUnreachableError(address, "partitioned", sent=False)
        return await original_get_link(address)

    def start_call(address: str, method: str, payload: bytes) -> asyncio.Future[bytes]:
        if address not in disks:
            future: asyncio.Future[bytes] = original_start_call(address, method, payload)
        else:
            future = asyncio.get_running_loop().create_future()
            future.set_exception(PeerUnreachableError(address, "partitioned", sent=False))
        return future

    def heal() -> None:
        peers._get_link, peers.start_call = original_get_link, original_start_call

    # Calls on open connections don't ask for a link.
    peers._get_link, peers.start_call = get_link, start_call
    return heal


async def wait_until_all_hosts_are_known(site: PlatformSite) -> None:
    gateways = [site.entry_by_name[name]._gateway for name in HOSTS]
    await site.until(lambda: all(len(one.addresses("north", "land")) == 3 for one in gateways))


def test_callers_are_sent_to_other_hosts_while_a_host_is_partitioned(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        await wait_until_all_hosts_are_known(site)
        heal = partition_from_disks(site, "entry-2")
        first = await site.turn(b"one ", at="entry-2")
        assert first.status == 200, "a caller that uses the host anyway is served"
        address = site.address("entry-2").removeprefix("http://")
        gateway = site.entry_by_name["entry-0"]._gateway
        own = site.entry_by_name["entry-2"]._gateway
        await site.until(lambda: address not in gateway.addresses("north", "land"), limit_s=2.0)
        assert address not in own.addresses("north", "land")
        heal()
        # It gets no requests now, so it must detect the recovery by itself.
        await site.until(lambda: address in gateway.addresses("north", "land"), limit_s=3.0)

    run_site(tmp_path, scenario, entries=3)


def test_a_relay_is_a_host_that_reaches_the_disks(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(disk_directory, "REACH_PERIOD_S", 30.0)

    async def scenario(site: PlatformSite) -> None:
        await wait_until_all_hosts_are_known(site)
        # The only other host of its hall is partitioned as well.
        for name in ("entry-0", "entry-2"):
            partition_from_disks(site, name)
            await site.turn(b"one ", at=name)
        gateway = site.entry_by_name["entry-2"]._gateway
        heartbeats = gateway.gossip.recent_heartbeats
        await site.until(
            lambda: any(one.is_cut_off for one in heartbeats(gateway.gossip.own_heartbeat.role))
        )
        for _ in range(5):
            relay = gateway.disk_link._choose_relay()
            assert relay is not None and relay.host == "entry-1"
        began_s = asyncio.get_running_loop().time()
        assert (await site.turn(b"two ", at="entry-2")).status == 200
        assert asyncio.get_running_loop().time() - began_s < 0.4

    run_site(tmp_path, scenario, entries=3)
