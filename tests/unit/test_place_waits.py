"""Guards against requests that are lost, sent twice or overfill endpoints while they wait."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from bayhinge._internal.decisions.place_limits import PlaceLimits
from bayhinge._internal.decisions.place_request import PlaceRequest
from bayhinge._internal.decisions.wait_estimate import Admitted, Refused, WaitEstimate
from bayhinge._internal.services.gateway.coordinator_client import ANSWER_S
from bayhinge._internal.services.gateway.place_waiters import MAX_POLL_S
from bayhinge._internal.wire.hosts import ttypes as wire
from bayhinge.coordination.rendezvous import rank
from tests.lib.log_lines import collected_lines, lines_of_type
from tests.lib.place_hosts import FakeEndpoint, PlaceSite, Result, run_virtual

NORTH = [(f"n{number}", "north") for number in range(4)]
OVERCOMMIT = 1
"""What PlaceLimits adds to the slots here, where messages take far less time than requests."""


def site_of(
    endpoint_count: int = 2, slots: int = 2, queue: int = 8, run_s: float = 0.1
) -> PlaceSite:
    return PlaceSite(
        NORTH,
        {
            f"e{number}": ("north", FakeEndpoint(slots, queue, run_s))
            for number in range(endpoint_count)
        },
    )


def run_place_test(site: PlaceSite, scenario: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        await site.start()
        await scenario()

    run_virtual(main())


def outcomes(results: list[Result]) -> dict[str, int]:
    found: dict[str, int] = {}
    for result in results:
        found[result.outcome] = found.get(result.outcome, 0) + 1
    return found


def test_requests_of_several_hosts_wait_and_never_exceed_the_limit_of_an_endpoint() -> None:
    site = site_of()

    async def scenario() -> None:
        results = await asyncio.gather(*(site.ask(f"n{number % 4}") for number in range(40)))
        assert outcomes(results) == {"served": 40}
        limit = max(PlaceLimits().limit(s) for s in site.host_by_name["n0"].endpoint_table.all())
        assert max(one.most_present for one in site.endpoint_by_name.values()) <= limit
        assert sum(one.rejected for one in site.endpoint_by_name.values()) == 0
        # 40 runs of 0.1 s at 4 slots take 1 s; places that become free are granted without a poll.
        assert max(result.ended_s for result in results) - results[0].arrived_s < 1.4

    run_place_test(site, scenario)


def test_a_request_that_need_not_wait_costs_one_call() -> None:
    site = site_of()

    async def scenario() -> None:
        other = site.others(site.coordinator())[0]
        result = await site.ask(other)
        assert result.outcome == "served"
        assert site.calls == {site.coordinator(): 1}
        assert result.sent_s - result.arrived_s < 0.01
        assert site.host_by_name[other].placer.wait_counts.waited == 0

    run_place_test(site, scenario)


def test_waiting_requests_of_one_urgency_are_served_by_age() -> None:
    site = site_of(endpoint_count=1, slots=1)

    async def scenario() -> None:
        asked = []
        for number in range(12):
            asked.append(asyncio.ensure_future(site.ask(f"n{number % 4}")))
            await asyncio.sleep(0.01)
        results = await asyncio.gather(*asked)
        sent = [result.sent_s for result in results]
        assert sent == sorted(sent)

    run_place_test(site, scenario)


def test_a_more_urgent_request_overtakes_the_waiting_ones() -> None:
    site = site_of(endpoint_count=1, slots=1)

    async def scenario() -> None:
        first = [asyncio.ensure_future(site.ask(f"n{number % 4}")) for number in range(8)]
        await asyncio.sleep(0.15)
        urgent = await site.ask("n1", urgency=0)
        assert urgent.sent_s < sorted(one.sent_s for one in await asyncio.gather(*first))[5]

    run_place_test(site, scenario)


def test_a_killed_coordinator_with_200_waiting_requests_loses_none() -> None:
    site = site_of(endpoint_count=2, slots=6, queue=12)

    async def scenario() -> None:
        coordinator = site.coordinator()
        hosts = site.others(coordinator)
        asked = []
        for number in range(210):
            asked.append(asyncio.ensure_future(site.ask(hosts[number % 3], patience_s=20.0)))
            await asyncio.sleep(0.0005)
        assert site.host_by_name[coordinator].placer.hall_waiters.waiting > 150
        site.kill(coordinator)
        results = await asyncio.gather(*asked)
        assert outcomes(results) == {"served": 210}
        assert [result.runs for result in results] == [1] * 210
        assert site.coordinator() != coordinator
        # One request per host may overtake older ones while no coordinator is known.
        sent = [result.sent_s for result in results]
        early = [n for n in range(1, 210) if max(sent[:n]) - sent[n] > 0.3]
        assert len(early) <= len(hosts)
        limit = 6 + OVERCOMMIT
        assert max(one.most_present for one in site.endpoint_by_name.values()) <= limit

    run_place_test(site, scenario)


def test_a_frozen_coordinator_delays_waiting_requests_by_one_poll() -> None:
    site = site_of()

    async def scenario() -> None:
        coordinator = site.coordinator()
        hosts = site.others(coordinator)
        asked = [asyncio.ensure_future(site.ask(hosts[n % 3])) for n in range(30)]
        await asyncio.sleep(0.15)
        site.frozen.add(coordinator)
        frozen_s = asyncio.get_running_loop().time()
        results = await asyncio.gather(*asked)
        assert outcomes(results) == {"served": 30}
        assert [result.runs for result in results] == [1] * 30
        later = sorted(r.sent_s for r in results if r.sent_s > frozen_s)
        assert later[0] - frozen_s < MAX_POLL_S + 2 * ANSWER_S
        assert max(result.ended_s - frozen_s for result in results) < 2.5

    run_place_test(site, scenario)


def test_a_frozen_coordinator_delays_a_request_without_wait_by_the_answer_timeout() -> None:
    site = site_of()

    async def scenario() -> None:
        coordinator = site.coordinator()
        site.frozen.add(coordinator)
        result = await site.ask(site.others(coordinator)[0])
        assert result.outcome == "served"
        # The successor may refer to the frozen one, which is then not asked again.
        assert result.sent_s - result.arrived_s < 2 * ANSWER_S

    run_place_test(site, scenario)


def test_two_coordinators_at_once_neither_lose_nor_repeat_a_request() -> None:
    site = site_of(endpoint_count=4, slots=2, queue=6)

    async def scenario() -> None:
        # n0 and n1 don't hear of n2 and n3, so that each half has its own coordinator.
        site.cut = lambda source, target: (source in "n0 n1") != (target in "n0 n1")
        await asyncio.sleep(2.0)
        names = {
            host.coordinators.coordinator_of("north").host  # type: ignore[union-attr]
            for host in site.host_by_name.values()
        }
        assert len(names) == 2
        results = await asyncio.gather(*(site.ask(f"n{number % 4}") for number in range(80)))
        assert outcomes(results) == {"served": 80}
        assert [result.runs for result in results] == [1] * 80
        # Each coordinator knows the other half from heartbeats only, which don't arrive here.
        limit = 2 * (2 + OVERCOMMIT)
        assert max(one.most_present for one in site.endpoint_by_name.values()) == limit

    run_place_test(site, scenario)


def test_a_rejected_request_returns_to_the_queue_with_its_age() -> None:
    site = site_of(endpoint_count=2, slots=1, queue=0, run_s=0.3)

    async def scenario() -> None:
        # Requests that no host counts take up the first endpoint.
        foreign = asyncio.ensure_future(site.endpoint_by_name["e0"].serve())
        asked = []
        for host in ("n0", "n1", "n2"):
            asked.append(asyncio.ensure_future(site.ask(host)))
            await asyncio.sleep(0.01)
        results = await asyncio.gather(*asked)
        await foreign
        assert site.endpoint_by_name["e0"].rejected > 0
        assert results[0].outcome == "served"
        assert all(result.runs == (result.outcome == "served") for result in results)

    run_place_test(site, scenario)


def test_a_partition_and_its_end_lose_no_request() -> None:
    site = site_of(endpoint_count=2, slots=4, queue=30)

    async def scenario() -> None:
        asked = [asyncio.ensure_future(site.ask(f"n{n % 4}", patience_s=10)) for n in range(80)]
        await asyncio.sleep(0.2)
        lone = site.others(site.coordinator())[0]
        site.cut = lambda source, target: lone in {source, target}
        await asyncio.sleep(0.8)
        site.cut = lambda source, target: False
        results = await asyncio.gather(*asked)
        assert outcomes(results) == {"served": 80}
        assert [result.runs for result in results] == [1] * 80

    run_place_test(site, scenario)


def test_a_host_alone_uses_its_share_only() -> None:
    site = site_of(endpoint_count=2, slots=4, queue=40)

    async def scenario() -> None:
        # It suspects all others before it takes itself for the coordinator.
        lone = rank("home of north", site.host_by_name)[-1]

        # Heartbeats arrive, but every place call fails.
        async def fail(call: wire.PlaceCall) -> wire.PlaceReply:
            await asyncio.sleep(1000)
            raise AssertionError

        for name in site.others(lone):
            site.answer_by_host[name] = fail
        await asyncio.sleep(1.0)
        asked = [asyncio.ensure_future(site.ask(lone, patience_s=20)) for _ in range(40)]
        await asyncio.sleep(ANSWER_S * 3 + 0.04)
        assert sum(one.present for one in site.endpoint_by_name.values()) <= 2
        assert outcomes(await asyncio.gather(*asked)) == {"served": 40}

    run_place_test(site, scenario)


def test_a_caller_that_leaves_while_it_waits_leaves_no_trace() -> None:
    site = site_of(endpoint_count=1, slots=1)

    async def scenario() -> None:
        coordinator = site.coordinator()
        other = site.others(coordinator)[0]
        asked = [asyncio.ensure_future(site.ask(name)) for name in [other, coordinator] * 6]
        await asyncio.sleep(0.05)
        for task in asked[4:]:
            task.cancel()
        await asyncio.sleep(0.01)
        placer = site.host_by_name[coordinator].placer
        assert placer.hall_waiters.waiting <= 4
        await asyncio.gather(*asked[:4])
        await asyncio.sleep(0.05)
        assert placer.hall_waiters.waiting == 0
        assert placer.hall_waiters.waiting_by_service() == {}
        assert placer.wait_counts.waiting == 0
        assert site.in_flight(coordinator) == 0

    run_place_test(site, scenario)


@pytest.mark.parametrize("step", range(20))
def test_a_caller_that_leaves_around_its_grant_leaks_no_place(step: int) -> None:
    # The grant, its reply and the cancellation cross each other in different orders.
    site = site_of(endpoint_count=1, slots=1)

    async def scenario() -> None:
        coordinator = site.coordinator()
        first_host, second_host = site.others(coordinator)[:2]
        asked = [asyncio.ensure_future(site.ask(first_host)) for _ in range(2)]
        await asyncio.sleep(0.02)
        leaving = [asyncio.ensure_future(site.ask(at)) for at in (second_host, coordinator)]
        await asyncio.sleep(0.08 + 0.0015 * step)
        for task in leaving:
            task.cancel()
        await asyncio.gather(*asked, *leaving, return_exceptions=True)
        await asyncio.sleep(0.5)
        assert site.in_flight(coordinator) == 0
        results = await asyncio.gather(*(site.ask(second_host) for _ in range(4)))
        assert outcomes(results) == {"served": 4}

    run_place_test(site, scenario)


def test_an_own_request_that_leaves_in_the_iteration_of_its_grant_leaks_no_place() -> None:
    site = site_of(endpoint_count=1, slots=1)

    async def scenario() -> None:
        coordinator = site.coordinator()
        table = site.host_by_name[coordinator].endpoint_table
        [state] = table.all()
        state.running_here = 2
        leaving = asyncio.ensure_future(site.ask(coordinator))
        await asyncio.sleep(0.05)
        state.running_here = 0
        site.host_by_name[coordinator].placer.wake()
        await asyncio.sleep(0)
        leaving.cancel()
        await asyncio.gather(leaving, return_exceptions=True)
        assert state.running_here == 0
        assert (await site.ask(coordinator)).outcome == "served"

    run_place_test(site, scenario)


def test_a_lost_grant_is_counted_only_until_a_report() -> None:
    site = site_of(endpoint_count=1, slots=1)

    async def scenario() -> None:
        coordinator = site.coordinator()
        other = site.others(coordinator)[0]
        is_first = iter([True])
        site.drops_grant = lambda: next(is_first, False)
        result = await site.ask(other)
        assert result.outcome == "served"
        assert result.runs == 1
        await asyncio.sleep(0.5)
        assert site.in_flight(coordinator) == 0

    run_place_test(site, scenario)


def test_a_coordinator_of_the_earlier_release_is_obeyed_at_once() -> None:
    site = site_of()

    async def scenario() -> None:
        async def answer(call: wire.PlaceCall) -> wire.PlaceReply:
            return wire.PlaceReply("e1", 0)

        site.answer_by_host[site.coordinator()] = answer
        other = site.others(site.coordinator())[0]
        results = await asyncio.gather(*(site.ask(other) for _ in range(8)))
        assert outcomes(results) == {"served": 8}
        assert site.calls.total() == 8
        assert max(result.sent_s - result.arrived_s for result in results) < 0.01

    run_place_test(site, scenario)


def test_a_host_of_the_earlier_release_is_answered_at_once() -> None:
    site = site_of(endpoint_count=1, slots=1)

    async def scenario() -> None:
        coordinator = site.coordinator()
        for beat in range(1, 6):
            call = wire.PlaceCall(wire.HostLoads("old", 1, beat, 0, {}, []), "app", "", "", [])
            reply = await site.host_by_name[coordinator].placer.answer(call)
            assert reply.endpoint == "e0"

    run_place_test(site, scenario)


def test_a_coordinator_that_says_at_once_to_wait_is_not_asked_without_a_pause() -> None:
    site = site_of()

    async def scenario() -> None:
        async def answer(call: wire.PlaceCall) -> wire.PlaceReply:
            return wire.PlaceReply("", 0, is_waiting=True)

        site.answer_by_host[site.coordinator()] = answer
        result = await site.ask(site.others(site.coordinator())[0], patience_s=2.0)
        assert result.outcome == "refused"
        assert site.calls.total() <= 2.0 / 0.05 + 3

    run_place_test(site, scenario)


def test_a_request_is_refused_before_its_callers_time_is_over() -> None:
    site = site_of(endpoint_count=1, slots=1, run_s=5.0)

    async def scenario() -> None:
        with collected_lines() as lines:
            running = [asyncio.ensure_future(site.ask("n0")) for _ in range(2)]
            await asyncio.sleep(0.1)
            result = await site.ask("n1", patience_s=1.0)
        assert result.outcome == "refused"
        assert 0.9 < result.ended_s - result.arrived_s < 1.0
        assert result.error is not None
        assert result.error.retry_after_s > 0
        assert result.error.waited_s == pytest.approx(0.98, abs=0.02)
        [line] = lines_of_type(lines, "place.refused")
        assert line["why"] == "no place became free in the caller's time"
        assert line["waited_ms"] > 900
        assert line["running"] == 2
        assert line["slots"] == 1
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    run_place_test(site, scenario)


def test_a_request_whose_predicted_wait_is_too_long_is_refused_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def verdict(
        self: WaitEstimate, request: PlaceRequest, ahead: int, places: int, now_s: float
    ) -> Admitted | Refused:
        assert places == 1 + OVERCOMMIT
        return Refused(1.5, 7.0) if ahead >= 1 else Admitted(0.25)

    monkeypatch.setattr(WaitEstimate, "verdict", verdict)
    site = site_of(endpoint_count=1, slots=1)

    async def scenario() -> None:
        waiting = [asyncio.ensure_future(site.ask(f"n{n}")) for n in range(3)]
        await asyncio.sleep(0.05)
        refused = await site.ask("n3")
        assert refused.outcome == "refused"
        assert refused.ended_s - refused.arrived_s < 0.01
        assert refused.error is not None
        assert (refused.error.retry_after_s, refused.error.expected_wait_s) == (1.5, 7.0)
        assert refused.error.waiting_ahead == 1
        assert outcomes(await asyncio.gather(*waiting)) == {"served": 3}
        counts = site.host_by_name["n3"].placer.wait_counts
        assert (counts.refused_as_predicted, counts.refused_as_time_over) == (1, 0)

    run_place_test(site, scenario)


def test_waiting_requests_notice_a_removed_endpoint_and_a_new_one() -> None:
    site = site_of(endpoint_count=1, slots=1, run_s=0.5)

    async def scenario() -> None:
        asked = [asyncio.ensure_future(site.ask(f"n{n}")) for n in range(4)]
        await asyncio.sleep(0.1)
        entry = site.host_by_name["n0"].endpoint_table.all()[0].entry
        for host in site.host_by_name.values():
            host.endpoint_table.remove("e0")
            host.placer.wake()
        left = await asyncio.gather(*asked)
        assert outcomes(left) == {"served": 2, "no_endpoint": 2}
        for host in site.host_by_name.values():
            host.endpoint_table.put(entry)
        assert (await site.ask("n0")).outcome == "served"

    run_place_test(site, scenario)


def test_another_hall_is_used_up_to_its_slots_and_not_while_its_own_requests_wait() -> None:
    site = PlaceSite(
        [("n0", "north"), ("n1", "north"), ("s0", "south"), ("s1", "south")],
        {
            "en": ("north", FakeEndpoint(2, 20, 0.3)),
            "es": ("south", FakeEndpoint(2, 20, 0.3)),
        },
    )

    async def scenario() -> None:
        await asyncio.sleep(0.5)
        asked = [asyncio.ensure_future(site.ask(f"n{n % 2}")) for n in range(12)]
        await asyncio.sleep(0.2)
        assert site.endpoint_by_name["es"].most_present == 2
        assert site.endpoint_by_name["en"].most_present == 2 + OVERCOMMIT
        # From now on the southern hall has waiting requests of its own.
        own = [asyncio.ensure_future(site.ask(f"s{n % 2}")) for n in range(6)]
        results = await asyncio.gather(*asked)
        own_results = await asyncio.gather(*own)
        assert outcomes(results) | outcomes(own_results) == {"served": 6}
        assert max(r.ended_s for r in own_results) - own_results[0].arrived_s < 1.5
        assert site.endpoint_by_name["es"].most_present <= 2 + OVERCOMMIT

    run_place_test(site, scenario)


def test_a_wait_over_several_calls_is_compared_with_its_first_prediction(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    predictions = iter([3.0, 2.0, 1.0, 0.5, 0.1])
    recorded: list[tuple[float, float]] = []
    monkeypatch.setattr(
        WaitEstimate, "verdict", lambda self, *arguments: Admitted(next(predictions))
    )
    monkeypatch.setattr(
        WaitEstimate,
        "record_grant",
        lambda self, service, waited_s, predicted_s, now_s: recorded.append(
            (waited_s, predicted_s)
        ),
    )
    site = site_of(endpoint_count=1, slots=1, run_s=0.5)

    async def scenario() -> None:
        other = site.others(site.coordinator())[0]
        await asyncio.gather(*(site.ask(other) for _ in range(3)))
        [(waited_s, predicted_s)] = recorded
        assert predicted_s == 3.0
        assert waited_s == pytest.approx(0.5, abs=0.03)
        assert site.host_by_name[site.coordinator()].placer.hall_waiters.granted_after_wait == 1

    run_place_test(site, scenario)
