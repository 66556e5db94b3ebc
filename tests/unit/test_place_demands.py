"""Guards against a wait that is ordered, limited or refused by the wrong figures."""

from unittest.mock import MagicMock

import attrs
import pytest

from bayhinge._internal.decisions.endpoint_table import PlacementPreference
from bayhinge._internal.models.refusals import RefusalCode, RunState, SendRecord
from bayhinge._internal.models.routed_requests import RoutedRequest, TurnContext
from bayhinge._internal.models.routing import Route, RouteKind, ServiceShare
from bayhinge._internal.services.gateway.delivery import Delivery
from bayhinge._internal.services.gateway.place_demand import NoPlaceError, demand_of
from bayhinge._internal.services.gateway.send_state import SendState

ROUTE = Route(
    "r",
    "h",
    "/",
    RouteKind.STREAMING,
    (ServiceShare("app", 1),),
    timeout_s=10.0,
    latency_objective_s=2.0,
    urgency=3,
    max_endpoints=2,
    retains_turns=True,
)
REQUEST = RoutedRequest("POST", "/x", "h", (), "mine")
FIRST_TURN = TurnContext("p", None, 10, None)


def test_times_count_from_the_receipt_of_the_request() -> None:
    request = attrs.evolve(REQUEST, patience_s=4.0, program_left_s=60.0)
    demand = demand_of(ROUTE, request, deadline_s=104.0, now_s=100.5)
    assert (demand.arrived_s, demand.deadline_s) == (100.5, 104.0)
    assert (demand.objective_s, demand.program_deadline_s) == (102.0, 160.0)
    assert demand.urgency == 3
    # A caller without a time limit has the route's, and a longer one is cut to it.
    for patience_s in (None, 99.0):
        patient = attrs.evolve(REQUEST, patience_s=patience_s)
        demand = demand_of(ROUTE, patient, deadline_s=110.0, now_s=100.0)
        assert (demand.objective_s, demand.program_deadline_s) == (102.0, None)


def test_only_the_first_turn_begins_a_program() -> None:
    def begins(turn: TurnContext | None) -> bool:
        return demand_of(ROUTE, attrs.evolve(REQUEST, turn=turn), 1.0, 0.0).begins_program

    assert begins(FIRST_TURN)
    assert not begins(attrs.evolve(FIRST_TURN, previous="before"))
    assert not begins(None)


def test_a_program_is_recognized_and_requests_without_one_are_not() -> None:
    def key(program: str | None, route: Route = ROUTE) -> int | None:
        turn = None if program is None else attrs.evolve(FIRST_TURN, program=program)
        return demand_of(route, attrs.evolve(REQUEST, turn=turn), 1.0, 0.0).caller_key

    assert key(None) is None
    assert key("p") == key("p")
    keys = {key("p"), key("q"), key("p", attrs.evolve(ROUTE, name="other"))}
    assert len(keys) == 3
    for number in range(200):
        found = key(str(number))
        assert found is not None
        assert -(2**63) <= found < 2**63, "thrift can't encode it"


@pytest.mark.parametrize("ran", [0, 1])
def test_a_refusal_without_a_place_says_not_run_only_if_nothing_was_sent(ran: int) -> None:
    record = SendRecord(sends=ran)
    demand = demand_of(ROUTE, REQUEST, 10.0, 0.0)
    delivery = MagicMock(Delivery)
    state = SendState(
        "app", ROUTE, REQUEST, b"", PlacementPreference(), demand, record, 10.0, delivery, ran=ran
    )
    refusal = state.no_place_refusal(NoPlaceError("why", 1.0004, 2.0, 7, 3.5))
    assert refusal.run_state is (RunState.MAY_HAVE_RUN if ran else RunState.NOT_RUN)
    assert refusal.code is (RefusalCode.OUTCOME_UNKNOWN if ran else RefusalCode.NO_PLACE)
    assert {figure.name: figure.value for figure in refusal.figures} == {
        "waited_s": 1.0,
        "expected_wait_s": 2.0,
        "waiting_ahead": 7,
    }
    assert refusal.retry_after_s == 3.5
