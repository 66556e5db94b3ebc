"""How hosts measure speeds, report them, and apply what coordinators know."""

import asyncio
from collections.abc import AsyncIterator
from typing import cast

import attrs
import pytest

from bayhinge._internal.bench.world.virtual_time import run_virtual
from bayhinge._internal.decisions.endpoint_state import EndpointState
from bayhinge._internal.decisions.endpoint_table import EndpointTable
from bayhinge._internal.decisions.load_table import REPORT_TIMEOUT_S, HostLoadReport, LoadTable
from bayhinge._internal.models.endpoint_entries import EndpointEntry
from bayhinge._internal.models.routed_requests import RoutedRequest
from bayhinge._internal.models.routing import Route, RouteKind, ServiceShare
from bayhinge._internal.network.endpoint_answer import Answer
from bayhinge._internal.network.routed_front import Exchange
from bayhinge._internal.platform.call_format import PlatformCallFormat
from bayhinge._internal.services.gateway.active_runs import ActiveRun
from bayhinge._internal.services.gateway.buffered_delivery import BufferedDelivery
from bayhinge._internal.services.gateway.delivery import Delivery
from bayhinge._internal.services.gateway.hall_coordinators import HallCoordinator, HallCoordinators
from bayhinge._internal.services.gateway.load_exchange import LoadExchange
from bayhinge._internal.services.gateway.speed_tracker import (
    REFRESH_PERIOD_S,
    REPORT_PERIOD_S,
    SpeedTracker,
)
from bayhinge._internal.wire.hosts import ttypes as wire
from tests.lib.cut_answers import BOUNDS, SIGNED, Caller, TruncatedAnswer, delivery_to, event
from tests.lib.cut_answers import ROUTE as STREAM_ROUTE
from tests.lib.log_lines import Line, collected_lines, lines_of_type

ROUTE = Route(
    "r", "h", "/", RouteKind.IDEMPOTENT, (ServiceShare("app", 1),), 2.0, 1.0, 0, max_endpoints=1
)
BORN_MS = 1_700_000_000_000


def entry(name: str, hall: str = "north", born_ms: int = BORN_MS) -> EndpointEntry:
    return EndpointEntry(name, "app", f"{name}:80", hall, 6, False, born_ms)


class Host:
    """The parts of one host that learn and exchange speeds."""

    def __init__(self, name: str = "me", hall: str = "north") -> None:
        self.table = EndpointTable(hall)
        for one in (entry("a"), entry("b"), entry("c"), entry("s", "south")):
            self.table.put(one)
        self.speeds = SpeedTracker(self.table)
        coordinators = HallCoordinators.__new__(HallCoordinators)
        coordinators._coordinator_by_hall = {
            one: HallCoordinator(one, f"home of {one}", f"{one}:1") for one in ("north", "south")
        }
        self.exchange = LoadExchange(
            wire.Hello(host=name, hall=hall, incarnation=1),
            self.table,
            coordinators,
            self.speeds,
        )
        self.speeds.coordinated_hall = lambda: hall

    def state(self, name: str) -> EndpointState:
        state = self.table.find(name)
        assert state is not None
        return state

    async def record_answer(self, name: str, duration_s: float, outcome: str = "served") -> None:
        """Lets an endpoint answer a request after a time."""
        run = ActiveRun(self.state(name))
        self.speeds.begin(run)
        await asyncio.sleep(duration_s)
        delivery = BufferedDelivery(cast(Exchange, None), PlatformCallFormat())
        delivery.read_s, delivery.outcome = asyncio.get_running_loop().time(), outcome
        self.speeds.record_answer(run, ROUTE, delivery)

    async def learn(self, slow: float, outcome: str = "served") -> None:
        """Lets ``a`` be slower than ``b`` and ``c`` for some seconds."""
        for _ in range(12):
            await asyncio.gather(
                self.record_answer("a", 0.1 * slow, outcome),
                self.record_answer("b", 0.1),
                self.record_answer("c", 0.1),
            )


def report(
    beat: int, ratios: dict[str, int] | None, host: str = "other", known_to: int | None = None
) -> wire.HostLoads:
    return wire.HostLoads(host, 1, beat, 0, {"a": 1}, [], known_to, ratios)


# ---- measuring ----


def test_answers_teach_a_host_which_endpoint_is_slow() -> None:
    """Guards against a sender whose samples do not reach the endpoint table."""

    async def scenario() -> None:
        host = Host()
        await host.learn(slow=4.0)
        assert host.state("a").relative_duration > 1.5 > host.state("b").relative_duration
        assert (host.speeds.slow_count(), host.speeds.slowest()) == (
            1,
            host.state("a").relative_duration,
        )

    run_virtual(scenario())


@pytest.mark.parametrize("outcome", ["status_500", "status_404", ""])
def test_answers_that_are_no_success_are_no_samples(outcome: str) -> None:
    """Guards against a failing endpoint that looks fast because it fails at once."""

    async def scenario() -> None:
        host = Host()
        await host.learn(slow=0.01, outcome=outcome)
        assert host.state("a").relative_duration == 1.0

    run_virtual(scenario())


def test_answers_of_an_ended_incarnation_are_no_samples() -> None:
    """Guards against the speed of an ended incarnation that is held against the next."""

    async def scenario() -> None:
        host = Host()
        await host.learn(slow=1.0)
        run = ActiveRun(host.state("a"))
        host.speeds.begin(run)
        host.table.put(entry("a", born_ms=BORN_MS + 1))
        host.exchange.forget_endpoint("a")
        delivery = BufferedDelivery(cast(Exchange, None), PlatformCallFormat())
        delivery.read_s, delivery.outcome = 9.0, "served"
        for _ in range(5):
            host.speeds.record_answer(run, ROUTE, delivery)
        assert host.speeds.own_ratios("north") == {}

    run_virtual(scenario())


class LateAnswer(TruncatedAnswer):
    """An answer that takes 0.3 s as a whole, or 0.01 s a piece."""

    async def read_body(self) -> bytes:
        await asyncio.sleep(0.3)
        return b"".join(self.pieces)

    async def read_pieces(self) -> AsyncIterator[bytes]:
        async for piece in super().read_pieces():
            await asyncio.sleep(0.01)
            yield piece


class SlowCaller(Caller):
    """A caller that takes a second for each piece."""

    async def respond(self, *arguments: object) -> None:
        await asyncio.sleep(1.0)

    async def write(self, piece: bytes) -> None:
        await asyncio.sleep(1.0)
        await super().write(piece)


def test_a_plain_answer_lasts_until_its_body_is_read() -> None:
    """Guards against durations that include the time of a slow caller."""

    async def scenario() -> float | None:
        delivery: Delivery = BufferedDelivery(cast(Exchange, SlowCaller()), PlatformCallFormat())
        answer = cast(Answer, LateAnswer([b"body"], is_truncated=False))
        await delivery.deliver(answer, SIGNED, False, BOUNDS)
        assert delivery.outcome == "served"
        return delivery.read_s

    assert run_virtual(scenario()) == pytest.approx(0.3)


@pytest.mark.parametrize("is_resumable", [True, False])
def test_a_stream_for_a_slow_caller_is_no_sample(is_resumable: bool) -> None:
    """Guards against a slow caller that makes an engine look slow."""

    async def scenario() -> None:
        request = RoutedRequest("POST", "/x", "host", (), "a")
        route = attrs.evolve(STREAM_ROUTE, is_resumable=is_resumable)
        pieces = [event(number, 1) for number in range(1, 9)]
        for caller, is_sample in ((Caller(), True), (SlowCaller(), False)):
            delivery = delivery_to(caller, request, route)
            answer = cast(Answer, LateAnswer(list(pieces), is_truncated=False))
            await delivery.deliver(answer, SIGNED, False, BOUNDS)
            assert delivery.pace is not None
            assert (delivery.pace.per_event_s is not None) is is_sample

    run_virtual(scenario())


# ---- reports ----


def test_a_report_carries_ratios_at_most_twice_a_second() -> None:
    """Guards against control traffic that grows with the number of requests."""

    async def scenario() -> None:
        host = Host()
        await host.learn(slow=4.0)
        first = host.exchange.own_loads("north").relative_duration_by_endpoint
        assert first is not None and first["a"] > 1500
        assert host.exchange.own_loads("north").relative_duration_by_endpoint is None
        assert host.exchange.own_loads("south").relative_duration_by_endpoint == {}
        await asyncio.sleep(REPORT_PERIOD_S)
        assert host.exchange.own_loads("north").relative_duration_by_endpoint is not None

    run_virtual(scenario())


def test_a_coordinator_places_by_the_mean_of_its_hosts() -> None:
    """Guards against a coordinator that knows only what it measures itself."""

    async def scenario() -> None:
        host = Host()
        host.exchange.receive_loads(report(1, {"a": 2000}, "x"))
        host.exchange.receive_loads(report(1, {"a": 4000}, "y"))
        host.exchange.refresh_endpoint_table()
        assert host.state("a").relative_duration == pytest.approx(3.0)
        assert host.state("b").relative_duration == 1.0, "the one exception is not the median"
        await asyncio.sleep(REFRESH_PERIOD_S)
        host.exchange.receive_loads(report(2, None, "x"))
        host.exchange.refresh_endpoint_table()
        assert host.state("a").relative_duration == pytest.approx(3.0), "no ratios: as before"
        await asyncio.sleep(REPORT_TIMEOUT_S + 0.5)
        host.exchange.refresh_endpoint_table()
        assert host.state("a").relative_duration == 1.0, "reports expire"

    run_virtual(scenario())


def test_one_host_does_not_decide_for_those_that_see_the_usual_speed() -> None:
    """Guards against a host with a bad network path that moves the work of all others."""
    load_table = LoadTable()
    for number in range(4):
        ratios = {"a": 5000} if number == 0 else {}
        load_table.record_report(
            HostLoadReport(f"h{number}", 1, 1, 0, {"a": 1}, frozenset(), ratios), 0.0
        )
    assert load_table.relative_duration_by_endpoint({}, {}) == {"a": 2.0}
    assert load_table.relative_duration_by_endpoint({}, {"a": 1}) == {"a": 1.8}
    load_table.record_report(HostLoadReport("old", 1, 1, 0, {"a": 9}), 0.0)
    assert load_table.relative_duration_by_endpoint({}, {}) == {"a": 2.0}, "measures nothing"


def test_a_restart_drops_the_reports_of_all_hosts() -> None:
    """Guards against reports of an ended incarnation that count until the host's next one."""
    load_table = LoadTable()
    ratios = {"a": 4000, "b": 2000}
    load_table.record_report(HostLoadReport("x", 1, 1, 0, {}, frozenset(), ratios), 0.0)
    load_table.forget_endpoint("a")
    assert load_table.relative_duration_by_endpoint({}, {}) == {"b": 2.0}
    load_table.forget_silent(REPORT_TIMEOUT_S + 0.1)
    assert load_table.relative_duration_by_endpoint({}, {}) == {}


@pytest.mark.parametrize("thousandths", [-5, 0, 2**31 - 1])
def test_reported_ratios_are_bounded(thousandths: int) -> None:
    """Guards against an odd report that shuts an endpoint out."""
    load_table = LoadTable()
    load_table.record_report(HostLoadReport("x", 1, 1, 0, {}, frozenset(), {"a": thousandths}), 0.0)
    assert 0.25 <= load_table.relative_duration_by_endpoint({}, {})["a"] <= 8.0


def test_a_restart_drops_what_was_learned_everywhere() -> None:
    """Guards against a fresh incarnation that starts with the speed of the one before."""

    async def scenario() -> None:
        host = Host()
        await host.learn(slow=4.0)
        host.exchange.receive_loads(report(1, {"a": 4000}))
        host.exchange._receive_hall_table(south_table({"s": 3000}))
        for name in ("a", "s"):
            host.table.put(entry(name, "south" if name == "s" else "north", BORN_MS + 1))
            host.table.incarnation_revisions.record(name, 50)
            host.exchange.forget_endpoint(name)
        host.exchange.receive_loads(report(2, {"a": 4000}, known_to=49))
        await asyncio.sleep(REFRESH_PERIOD_S)
        host.exchange.refresh_endpoint_table()
        # "b" and "c" answer in a third of the former mean; a new incarnation has their median.
        median = host.state("b").relative_duration
        assert host.state("a").relative_duration == pytest.approx(median, abs=0.05)
        assert median < 0.85
        assert host.state("s").relative_duration < 1.0
        host.exchange.receive_loads(report(3, {"a": 4000}, known_to=50))
        await asyncio.sleep(REFRESH_PERIOD_S)
        host.exchange.refresh_endpoint_table()
        assert host.state("a").relative_duration > 2.0

    run_virtual(scenario())


def south_table(ratios: dict[str, int] | None, beat: int = 1, known_to: int = 40) -> wire.HallLoads:
    return wire.HallLoads("south", "home", 1, beat, {"s": 1}, known_to, None, ratios)


def test_the_speeds_of_another_hall_come_with_its_table() -> None:
    """Guards against halls that know only the speeds of their own endpoints."""

    async def scenario() -> None:
        host = Host()
        host.exchange._receive_hall_table(south_table({"s": 3000}))
        host.exchange.refresh_endpoint_table()
        assert host.state("s").relative_duration == 3.0
        await asyncio.sleep(REFRESH_PERIOD_S)
        for _ in range(12):
            await asyncio.gather(
                host.record_answer("s", 0.4),
                *(host.record_answer(name, 0.1) for name in ("a", "b", "c")),
            )
        assert host.state("s").relative_duration > 1.5, "measured here, as the table is too old"
        host.exchange._receive_hall_table(south_table({}, beat=2))
        await asyncio.sleep(REFRESH_PERIOD_S)
        host.exchange.refresh_endpoint_table()
        assert host.state("s").relative_duration == 1.0, "its coordinator knows better"

    run_virtual(scenario())


# ---- log lines ----


def test_a_coordinator_logs_a_change_once() -> None:
    """Guards against a slow endpoint that operators do not hear of, or hear of all the time."""

    async def scenario(hall: str) -> list[Line]:
        with collected_lines() as lines:
            host = Host()
            host.speeds.coordinated_hall = lambda: hall
            for _ in range(3):
                await host.learn(slow=4.0)
            await asyncio.sleep(60.0)
            host.speeds.refresh()
        return lines_of_type(lines, "endpoint.speed_changed")

    slow, usual = run_virtual(scenario("north"))
    assert (slow["endpoint"], slow["speed"], slow["before"]) == ("a", "slow_for_a_while", "usual")
    assert slow["relative_duration"] >= 1.5 and slow["own_samples"] >= 2
    assert (usual["speed"], usual["before"]) == ("usual", "slow_for_a_while")
    assert usual["own_age_s"] == pytest.approx(60.0, abs=1.0)
    assert run_virtual(scenario("")) == [], "only the coordinator of the hall"
