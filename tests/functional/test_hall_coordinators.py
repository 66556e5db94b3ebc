"""Placement by the hall coordinator, with real sockets: spread, loss of it, and redirects."""

import asyncio
from pathlib import Path

import eliot
import pytest

from bayhinge._internal.decisions.last_seen import MIN_ADVERTISED_S
from bayhinge._internal.services import gossip
from bayhinge._internal.wire.hosts.ttypes import HostRole
from bayhinge.coordination.rendezvous import choose
from tests.lib.platform_site import PlatformSite, run_site

pytestmark = pytest.mark.functional

HOSTS = ("entry-0", "entry-1", "entry-2")


async def wait_for_common_coordinator(site: PlatformSite) -> str:
    """Waits until the two hosts of the northern hall agree on the coordinator of both.

    Before they have received each other's heartbeats they may agree on another one: each is
    the coordinator of a hall of one host.
    """
    names = ("entry-0", "entry-2")
    coordinator_of_both = choose("home of north", names)
    assert coordinator_of_both is not None

    def coordinators() -> set[str]:
        found = [
            site.entry_by_name[name]._gateway.coordinators.coordinator_of("north") for name in names
        ]
        return {coordinator.host if coordinator else "" for coordinator in found}

    def known_host_counts() -> set[int]:
        heartbeats = [
            site.entry_by_name[name]._gateway.gossip.recent_heartbeats(HostRole.ENTRY)
            for name in names
        ]
        return {len([one for one in found if one.host in names]) for found in heartbeats}

    await site.until(lambda: coordinators() == {coordinator_of_both} and known_host_counts() == {1})
    return coordinator_of_both


def test_concurrent_requests_at_all_hosts_are_spread_evenly(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        await wait_for_common_coordinator(site)
        for service in site.services:
            service.faults.pause_s = 0.5
        asked = [site.ask("/act/x", b"pay", at=HOSTS[n % 3]) for n in range(12)]
        replies = await asyncio.gather(*asked)
        assert [reply.status for reply in replies] == [200] * 12
        # Without the coordinator, each host would send its first request to the same endpoint.
        assert [len(service.runs) for service in site.services] == [6, 6]
        counts = [site.entry_by_name[name]._gateway.placer.counts for name in HOSTS]
        assert sum(one.by_coordinator for one in counts) >= 4
        assert sum(one.local for one in counts) == 0

    run_site(tmp_path, scenario, entries=3)


def test_a_crashed_coordinator_delays_no_request_and_is_replaced(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        coordinator = await wait_for_common_coordinator(site)
        remaining = "entry-2" if coordinator == "entry-0" else "entry-0"
        await site.crash_entry(coordinator)
        replies = await asyncio.gather(
            *(site.ask("/act/x", b"pay", at=at) for at in (remaining, "entry-1") for _ in range(4))
        )
        assert [reply.status for reply in replies] == [200] * 8
        gateway = site.entry_by_name[remaining]._gateway
        await site.until(lambda: gateway.coordinators.coordinated_hall == "north")
        assert (await site.ask("/act/x", b"pay", at="entry-1")).status == 200

    run_site(tmp_path, scenario, entries=3)


def test_a_host_that_is_not_the_coordinator_redirects_to_it(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        coordinator = await wait_for_common_coordinator(site)
        other = "entry-2" if coordinator == "entry-0" else "entry-0"
        coordinators = site.entry_by_name["entry-1"]._gateway.coordinators
        assert coordinators.follow_redirect("north", other) is not None
        assert (await site.ask("/act/x", b"pay", at="entry-1")).status == 200

        def known_coordinator() -> str:
            found = coordinators.coordinator_of("north")
            return found.host if found else ""

        await site.until(lambda: known_coordinator() == coordinator)

    run_site(tmp_path, scenario, entries=3)


def test_callers_are_not_sent_to_a_host_that_has_been_silent_for_long(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # On a large site, a silent remote host is suspected only after a long time.
    monkeypatch.setattr(gossip, "SILENCE_CYCLES", 1000)

    async def scenario(site: PlatformSite) -> None:
        address = site.address("entry-2").removeprefix("http://")
        gateway = site.entry_by_name["entry-0"]._gateway
        await site.until(lambda: address in gateway.addresses("north", "land"))
        await site.crash_entry("entry-2")
        await asyncio.sleep(MIN_ADVERTISED_S + 0.3)
        assert address not in await site.resolve()

    run_site(tmp_path, scenario, entries=3)


def test_the_last_host_of_a_site_stops_without_an_error(tmp_path: Path) -> None:
    lines: list[dict[str, object]] = []

    async def scenario(site: PlatformSite) -> None:
        gateway = site.entry_by_name["entry-0"]._gateway
        await site.until(lambda: gateway.coordinators.coordinated_hall == "north")
        gateway.is_leaving = True
        gateway.gossip.send_now()
        gateway.coordinators.refresh()
        assert gateway.coordinators.coordinated_hall == ""
        gateway.is_leaving = False
        eliot.add_destinations(lines.append)
        await site.entry_by_name["entry-0"].stop()

    try:
        run_site(tmp_path, scenario, entries=1)
    finally:
        eliot.remove_destination(lines.append)
    kinds = [line.get("message_type") for line in lines]
    assert "host.stopped" in kinds
    assert "store.lost" not in kinds, "a planned stop must not report a lost store"
