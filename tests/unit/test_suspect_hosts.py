"""Guards against hosts that are skipped for long although other hosts hear them."""

import asyncio

from bayhinge._internal.services.gateway.hall_coordinators import HallCoordinator
from bayhinge._internal.services.gateway.suspect_hosts import SUSPECT_S, SuspectHosts
from tests.lib.place_hosts import FakeEndpoint, PlaceHost, PlaceSite, run_virtual


def _host_and_its_coordinator() -> tuple[PlaceHost, HallCoordinator]:
    """Returns a host of a hall of four, and the coordinator, which is another one."""
    hosts = [(name, "north") for name in ("a", "b", "c", "d")]
    site = PlaceSite(hosts, {"one": ("north", FakeEndpoint(4))})
    now = asyncio.get_running_loop().time()
    for host in site.host_by_name.values():
        for other in site.host_by_name.values():
            if other is not host:
                host.gossip.received_by_host[other.name] = other.gossip.own_heartbeat, now
        host.coordinators.refresh()
    home = site.host_by_name[site.coordinator()]
    coordinator = home.coordinators.coordinator_of("north")
    assert coordinator is not None
    return site.host_by_name[site.others(home.name)[0]], coordinator


def test_a_coordinator_that_another_host_names_is_asked_again_after_a_moment() -> None:
    """Without it, a host would place requests itself until the next heartbeat, up to 10 s."""

    async def scenario() -> None:
        host, coordinator = _host_and_its_coordinator()
        await asyncio.sleep(0.1)
        host.coordinators.mark_suspected(coordinator, "no answer in time")
        assert host.coordinators.coordinator_of("north") != coordinator
        assert host.coordinators.follow_redirect("north", coordinator.host) is None
        await asyncio.sleep(1.01 * SUSPECT_S)
        assert host.coordinators.follow_redirect("north", coordinator.host) == coordinator
        host.coordinators.refresh()
        assert host.coordinators.coordinator_of("north") == coordinator

    run_virtual(scenario())


def test_a_suspected_host_is_skipped_until_its_next_heartbeat() -> None:
    async def scenario() -> None:
        seen_s = asyncio.get_running_loop().time()
        suspects = SuspectHosts(lambda host: seen_s)
        await asyncio.sleep(0.1)
        suspects.add("a")
        await asyncio.sleep(10 * SUSPECT_S)
        assert suspects.has("a")
        seen_s = asyncio.get_running_loop().time()
        assert not suspects.has("a")

    run_virtual(scenario())


def test_a_host_that_fails_again_is_skipped_again() -> None:
    async def scenario() -> None:
        suspects = SuspectHosts(lambda host: -1.0)
        suspects.add("a")
        assert not suspects.forgive("a")
        await asyncio.sleep(1.01 * SUSPECT_S)
        assert suspects.forgive("a")
        suspects.add("a")
        assert suspects.has("a")
        assert not suspects.forgive("a")

    run_virtual(scenario())
