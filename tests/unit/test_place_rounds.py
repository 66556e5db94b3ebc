"""Guards against places leaked or granted wrongly by what happens within one loop iteration."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from bayhinge._internal.decisions.endpoint_state import EndpointState
from bayhinge._internal.decisions.endpoint_table import PlacementPreference
from bayhinge._internal.decisions.load_table import REPORT_TIMEOUT_S
from bayhinge._internal.decisions.place_queue import PlaceQueue
from bayhinge._internal.decisions.wait_estimate import Refused, WaitEstimate
from bayhinge._internal.services.gateway.hall_coordinators import HallCoordinator
from bayhinge._internal.services.gateway.hall_tables import HALL_TABLE_KEEP_S
from bayhinge._internal.services.gateway.place_demand import PlaceDemand
from bayhinge._internal.wire.hosts import ttypes as wire
from bayhinge.coordination.rendezvous import rank
from tests.lib.place_hosts import FakeEndpoint, PlaceHost, PlaceSite, run_virtual


def run_on_site(scenario: Callable[[PlaceSite], Awaitable[None]]) -> None:
    site = PlaceSite(
        [("n0", "north"), ("n1", "north"), ("n2", "north"), ("s0", "south")],
        {"e0": ("north", FakeEndpoint(1, 8))},
    )

    async def main() -> None:
        await site.start()
        await scenario(site)

    run_virtual(main())


def coordinator_of(site: PlaceSite) -> PlaceHost:
    return site.host_by_name[site.coordinator()]


def only_endpoint(host: PlaceHost) -> EndpointState:
    [state] = host.endpoint_table.all()
    return state


async def wait_when_full(site: PlaceSite, at: str) -> "asyncio.Task[object]":
    """Starts a request that has to wait, as the coordinator counts two requests of its own."""
    only_endpoint(coordinator_of(site)).running_here = 2
    waiting = asyncio.ensure_future(site.ask(at))
    await asyncio.sleep(0.05)
    assert coordinator_of(site).placer.hall_waiters.waiting == 1
    return waiting


def test_a_caller_that_leaves_just_before_a_round_gets_no_place() -> None:
    async def scenario(site: PlaceSite) -> None:
        host = coordinator_of(site)
        leaving = await wait_when_full(site, host.name)
        only_endpoint(host).running_here = 0
        host.placer.wake()
        leaving.cancel()
        await asyncio.gather(leaving, return_exceptions=True)
        await asyncio.sleep(0.01)
        assert only_endpoint(host).running_here == 0

    run_on_site(scenario)


def test_a_grant_at_an_endpoint_that_has_ended_since_is_not_used() -> None:
    async def scenario(site: PlaceSite) -> None:
        host = coordinator_of(site)
        waiting = await wait_when_full(site, host.name)
        state = only_endpoint(host)
        state.running_here = 0
        host.placer.wake()
        await asyncio.sleep(0)
        assert state.running_here == 1, "the place is granted, and the request not resumed yet"
        host.endpoint_table.remove("e0")
        result = await waiting
        assert result.outcome == "no_endpoint"  # type: ignore[attr-defined]
        assert state.running_here == 0

    run_on_site(scenario)


def test_a_request_that_has_tried_all_endpoints_does_not_wait_for_a_place() -> None:
    async def scenario(site: PlaceSite) -> None:
        host = coordinator_of(site)
        await wait_when_full(site, host.name)
        now = asyncio.get_running_loop().time()
        for name in (host.name, "n0", "n1"):
            placed = await site.host_by_name[name].placer.place(
                "app",
                PlacementPreference(),
                ["e0"],
                PlaceDemand("a", 5, "", False, now, now + 5, now + 5),
            )
            assert placed is None
        assert asyncio.get_running_loop().time() - now < 0.02

    run_on_site(scenario)


def test_a_place_call_that_reports_an_end_grants_the_place_at_once() -> None:
    async def scenario(site: PlaceSite) -> None:
        host = coordinator_of(site)
        loads = wire.HostLoads("other", 1, 1, 0, {"e0": 2}, [])
        host.exchange.receive_loads(loads)
        waiting = asyncio.ensure_future(site.ask(host.name))
        await asyncio.sleep(0.05)
        assert host.placer.hall_waiters.waiting == 1
        loads = wire.HostLoads("other", 1, 2, 0, {}, [])
        await host.placer.answer(wire.PlaceCall(loads, "llm", "", "", [], time_left_ms=1000))
        await asyncio.sleep(0.001)
        assert host.placer.hall_waiters.waiting == 0
        assert (await waiting).outcome == "served"

    run_on_site(scenario)


def test_nothing_is_refused_while_a_place_is_free(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(site: PlaceSite) -> None:
        host = coordinator_of(site)
        waiting = await wait_when_full(site, host.name)
        monkeypatch.setattr(WaitEstimate, "verdict", lambda self, *arguments: Refused(1.0, 9.0))
        only_endpoint(host).running_here = 0
        # No round has granted the free places yet when this request arrives.
        assert (await site.ask(host.name)).outcome == "served"
        assert (await waiting).outcome == "served"  # type: ignore[attr-defined]

    run_on_site(scenario)


def test_a_duration_counts_in_the_queue_that_granted_the_place(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    recorded: list[tuple[PlaceQueue, str, float]] = []
    monkeypatch.setattr(
        PlaceQueue,
        "record_duration",
        lambda self, service, account, duration_s: recorded.append((self, account, duration_s)),
    )

    async def scenario(site: PlaceSite) -> None:
        host = coordinator_of(site)
        assert (await site.ask(host.name, account="desk")).outcome == "served"
        [(queue, account, duration_s)] = recorded
        assert (queue, account) == (host.placer._hall_queue, "desk")
        assert duration_s == pytest.approx(0.1)
        # The coordinator learns nothing of requests of other hosts.
        other = next(name for name in ("n0", "n1", "n2") if name != host.name)
        assert (await site.ask(other)).outcome == "served"
        assert len(recorded) == 1
        for each in site.host_by_name.values():
            assert each.placer._queue_by_demand == {}

    run_on_site(scenario)


def test_a_host_that_is_no_longer_coordinator_sends_its_callers_away() -> None:
    async def scenario(site: PlaceSite) -> None:
        former = coordinator_of(site)
        other, newer = (name for name in ("n0", "n1", "n2") if name != former.name)
        waiting = await wait_when_full(site, other)
        only_endpoint(former).running_here = 0
        for host in site.host_by_name.values():
            host.coordinators._coordinator_by_hall["north"] = HallCoordinator(
                "north", newer, f"{newer}:1"
            )
        granted_before = former.exchange._load_table.running_by_endpoint()["e0"]
        former.placer.wake()
        await asyncio.sleep(0)
        assert former.placer.hall_waiters.waiting == 0
        assert former.exchange._load_table.running_by_endpoint()["e0"] == granted_before
        assert (await waiting).outcome == "served"  # type: ignore[attr-defined]
        assert site.calls[newer] >= 1

    run_on_site(scenario)


def test_a_waiting_host_whose_report_has_expired_is_asked_to_call_again() -> None:
    async def scenario(site: PlaceSite) -> None:
        errors: list[object] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: errors.append(context)
        )
        host = coordinator_of(site)
        other = next(name for name in ("n0", "n1", "n2") if name != host.name)
        waiting = await wait_when_full(site, other)
        only_endpoint(host).running_here = 0
        # As after a stall of the coordinator.
        host.exchange._load_table.forget_silent(
            asyncio.get_running_loop().time() + 2 * REPORT_TIMEOUT_S
        )
        host.placer.wake()
        assert (await waiting).outcome == "served"  # type: ignore[attr-defined]
        assert not errors

    run_on_site(scenario)


def test_the_successor_of_a_killed_coordinator_is_asked() -> None:
    async def scenario(site: PlaceSite) -> None:
        first = site.coordinator()
        site.kill(first)
        left = [name for name in ("n0", "n1", "n2") if name != first]
        for name in left:
            assert (await site.ask(name)).outcome == "served"
        found = site.host_by_name[left[0]].coordinators.coordinator_of("north")
        assert found is not None
        successor = site.host_by_name[found.host]
        other = site.host_by_name[next(name for name in left if name != successor.name)]
        # Its suspicion has ended, so it asks the killed host first.
        other.coordinators._suspected._since_by_host.clear()
        other.coordinators.refresh()
        calls = site.calls.copy()
        before = other.placer.counts.by_coordinator
        assert (await site.ask(other.name)).outcome == "served"
        assert other.placer.counts.by_coordinator == before + 1
        assert (site.calls - calls)[successor.name] == 1

    run_on_site(scenario)


def test_a_successor_without_requests_of_its_own_takes_over_when_it_is_asked() -> None:
    async def scenario(site: PlaceSite) -> None:
        killed = site.coordinator()
        left = rank("home of north", [name for name in ("n0", "n1", "n2") if name != killed])
        successor, other = (site.host_by_name[name] for name in left)
        site.kill(killed)
        asked = [asyncio.ensure_future(site.ask(other.name)) for _ in range(8)]
        await asyncio.sleep(0.05)
        assert successor.coordinators.coordinated_hall == "north"
        await asyncio.gather(*asked)
        assert other.placer.counts.by_coordinator >= 4

    run_on_site(scenario)


def test_a_probe_of_a_live_coordinator_changes_nothing() -> None:
    async def scenario(site: PlaceSite) -> None:
        coordinator = coordinator_of(site)
        other = site.host_by_name[next(n for n in ("n0", "n1", "n2") if n != coordinator.name)]
        for beat in range(1, 21):
            loads = wire.HostLoads("x", 1, beat, 0, {}, [])
            call = wire.PlaceCall(loads, "app", "", "", [], time_left_ms=1000)
            assert (await other.placer.answer(call)).home == coordinator.name
        await asyncio.sleep(0.05)
        assert site.coordinator() == coordinator.name
        assert site.calls[coordinator.name] == 1, "probes are paced"
        assert coordinator.placer.hall_waiters.waiting == 0

    run_on_site(scenario)


def test_a_hall_tells_its_waiting_requests_and_gets_none_of_other_halls_meanwhile() -> None:
    async def scenario(site: PlaceSite) -> None:
        north = coordinator_of(site)
        waiting = await wait_when_full(site, north.name)
        await asyncio.sleep(0.3)
        south = site.host_by_name["s0"]
        table = south.exchange.hall_tables.find_fresh("north")
        assert table is not None
        assert table.waiting_by_service == {"app": 1}
        assert south.exchange.hall_tables.limit(only_endpoint(south)) == 0
        only_endpoint(north).running_here = 0
        north.placer.wake()
        await waiting
        await asyncio.sleep(0.3)
        assert south.exchange.hall_tables.limit(only_endpoint(south)) == 1

    run_on_site(scenario)


def test_without_a_fresh_table_of_a_hall_the_own_grants_bound_what_it_gets() -> None:
    async def scenario(site: PlaceSite) -> None:
        host = coordinator_of(site)
        exchange, state = site.host_by_name["s0"].exchange, only_endpoint(site.host_by_name["s0"])
        exchange._receive_hall_table(
            wire.HallLoads("north", host.name, 99, 10**6, {}, None, {"app": 1})
        )
        assert exchange.hall_tables.limit(state) == 0
        for name in ("n0", "n1", "n2"):
            site.kill(name)
        await asyncio.sleep(HALL_TABLE_KEEP_S + 0.1)
        assert exchange.hall_tables.limit(state) == 1
        exchange.record_remote_grant(state)
        assert exchange.hall_tables.limit(state) == 0
        await asyncio.sleep(REPORT_TIMEOUT_S + 0.1)
        assert exchange.hall_tables.limit(state) == 1, "heartbeats tell the load by now"

    run_on_site(scenario)
