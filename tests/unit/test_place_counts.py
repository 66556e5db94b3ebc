"""Guards against counts of requests that have ended, which keep places from being granted."""

import asyncio
import copy
from collections.abc import Awaitable, Callable

from bayhinge._internal.decisions.endpoint_table import PlacementPreference
from bayhinge._internal.decisions.load_table import REPORT_TIMEOUT_S
from bayhinge._internal.models.endpoint_entries import EndpointIncarnation
from bayhinge._internal.services.gateway.place_demand import PlaceDemand
from tests.lib.place_hosts import (
    HEARTBEAT_S,
    SERVICE,
    SILENCE_S,
    FakeEndpoint,
    PlaceSite,
    run_virtual,
)


def run_on_site(scenario: Callable[[PlaceSite], Awaitable[None]]) -> None:
    site = PlaceSite(
        [("n0", "north"), ("n1", "north"), ("n2", "north"), ("s0", "south")],
        {"e0": ("north", FakeEndpoint(1, 8))},
    )

    async def main() -> None:
        await site.start()
        await scenario(site)

    run_virtual(main())


def test_the_heartbeat_of_a_killed_host_does_not_block_places_longer_than_its_reports() -> None:
    """Guards against the last heartbeat of a killed host that is counted once its report expired.

    In a site of 79 hosts, a host of another hall stays among the recent heartbeats for 32 s.
    """

    async def scenario(site: PlaceSite) -> None:
        coordinator = site.host_by_name[site.coordinator()]
        heartbeat = copy.copy(site.host_by_name["s0"].gossip.own_heartbeat)
        heartbeat.running_by_endpoint = {"e0": 2}
        site.kill("s0")
        # As in a large site, where hosts of other halls count as silent only much later.
        coordinator.gossip.received_by_host["s0"] = heartbeat, 1000.0
        await asyncio.sleep(HEARTBEAT_S + 0.01)
        assert site.in_flight(coordinator.name) == 2, "not reported yet, but heard of"
        await asyncio.sleep(REPORT_TIMEOUT_S + HEARTBEAT_S)
        assert site.in_flight(coordinator.name) == 0

    run_on_site(scenario)


def test_a_request_that_prefers_a_hall_without_hosts_asks_the_coordinator_of_its_own() -> None:
    """Guards against turns that wait for the share of one host while the hall has free places."""
    site = PlaceSite(
        [("n0", "north"), ("n1", "north"), ("n2", "north"), ("s0", "south")],
        {"e0": ("north", FakeEndpoint(4)), "e1": ("south", FakeEndpoint(1))},
    )

    async def main() -> None:
        await site.start()
        site.kill("s0")
        await asyncio.sleep(SILENCE_S + 2 * HEARTBEAT_S)
        host = site.host_by_name[site.others(site.coordinator())[0]]
        assert host.coordinators.coordinator_of("south") is None
        preference = PlacementPreference(EndpointIncarnation("e1"))
        now = asyncio.get_running_loop().time()
        for number in range(4):
            demand = PlaceDemand(f"a{number}", 5, "", False, now, now + 5, now + 5)
            state = await host.placer.place(SERVICE, preference, [], demand)
            assert state is not None
            state.running_here += 1
        assert (host.placer.counts.local, host.placer.counts.by_coordinator) == (0, 4)
        assert asyncio.get_running_loop().time() - now < 0.1

    run_virtual(main())


def test_a_host_without_a_coordinator_refuses_nothing_ahead_of_time() -> None:
    """Guards against refusals by the pace of one host's share, while a coordinator may be near."""
    site = PlaceSite(
        [("n0", "north"), ("n1", "north"), ("n2", "north")],
        {"e0": ("north", FakeEndpoint(1, 8, run_s=0.2))},
    )

    async def main() -> None:
        await site.start()
        host = site.host_by_name["n0"]
        host.coordinators.refresh = lambda: None  # type: ignore[method-assign]
        host.coordinators._coordinator_by_hall.clear()
        first = [asyncio.ensure_future(site.ask("n0", patience_s=4.0)) for _ in range(15)]
        await asyncio.gather(*first)
        assert host.placer.counts.local > 10
        more = [asyncio.ensure_future(site.ask("n0", patience_s=1.0)) for _ in range(10)]
        await asyncio.gather(*more)
        assert host.placer.wait_counts.refused_as_predicted == 0

    run_virtual(main())


def test_endpoints_of_a_hall_without_hosts_are_kept_busy_by_another_hall() -> None:
    """Guards against free places that are granted only every few seconds, as no table tells."""
    site = PlaceSite(
        [("n0", "north"), ("n1", "north"), ("n2", "north"), ("s0", "south")],
        {"e1": ("south", FakeEndpoint(6, 18, run_s=0.1))},
    )

    async def main() -> None:
        await site.start()
        site.kill("s0")
        await asyncio.sleep(SILENCE_S + 2 * HEARTBEAT_S)
        asked = [asyncio.ensure_future(site.ask(f"n{number % 3}")) for number in range(60)]
        began_s = asyncio.get_running_loop().time()
        results = await asyncio.gather(*asked)
        assert [result.outcome for result in results] == ["served"] * 60
        # 60 runs of 0.1 s at 6 slots take 1 s, and the messages between them as much at most.
        assert asyncio.get_running_loop().time() - began_s < 2.0
        assert site.endpoint_by_name["e1"].most_present <= 6
        await asyncio.sleep(0.05)
        assert site.in_flight(site.coordinator()) == 0

    run_virtual(main())


def test_places_of_a_killed_host_are_granted_once_its_connection_has_ended() -> None:
    """Guards against waits for as long as the report of a killed host is kept."""
    site = PlaceSite(
        [("n0", "north"), ("n1", "north"), ("n2", "north")],
        {"e0": ("north", FakeEndpoint(1, 8))},
    )

    async def main() -> None:
        await site.start()
        coordinator = site.host_by_name[site.coordinator()]
        dying = next(name for name in site.host_by_name if name != coordinator.name)
        site.host_by_name[dying].endpoint_table.all()[0].running_here = 2
        site.host_by_name[dying].exchange._report("north")
        await asyncio.sleep(0.05)
        assert site.in_flight(coordinator.name) == 2
        site.kill(dying)
        coordinator.placer.clear_loads(dying)
        coordinator.exchange.refresh_if_changed()
        assert site.in_flight(coordinator.name) == 0

    run_virtual(main())
