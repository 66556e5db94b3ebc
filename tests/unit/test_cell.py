"""The scheduler of a cell: order, placement, refusals, endpoints that come and go."""

import attrs
import pytest

from bayhinge._internal.decisions.cell import CellScheduler, CellSettings
from bayhinge._internal.decisions.cells import cell_count, cell_of, endpoints_of
from bayhinge._internal.decisions.offers import (
    Action,
    CallCompletion,
    Grant,
    Offer,
    Outcome,
    Reject,
    Release,
    Transition,
)
from bayhinge._internal.decisions.policies import ORDERS, PLACEMENTS
from bayhinge._internal.models.endpoints import Endpoint, ListedEndpointState
from bayhinge._internal.models.refusals import RefusalCode
from bayhinge._internal.models.settings import ORDER_NAMES, PLACEMENT_NAMES

SETTINGS = CellSettings(max_running=2, cache_tokens=100_000, prefill_tokens_per_s=10_000.0)


def listed(*names: str) -> list[Endpoint]:
    return [
        Endpoint(name, "pool", "hall", f"at-{name}", ListedEndpointState.LIVE) for name in names
    ]


def make_offer(program: str, index: int = 0, tokens: int = 1000, **more: object) -> Offer:
    offer = Offer(f"{program}/{index}", "owner", program, "desk", index, tokens, 100)
    return attrs.evolve(offer, **more)  # type: ignore[arg-type]


def grants(actions: list[Action]) -> dict[str, str]:
    found = [action for action in actions if isinstance(action, Grant)]
    return {action.offer.grant: action.endpoint for action in found}


def finish(offer: Offer, outcome: Outcome = Outcome.FINISHED) -> CallCompletion:
    return CallCompletion(offer.grant, outcome, offer.prompt_tokens, 0, 100, 0.1, 1.0)


def make_cell(
    settings: CellSettings = SETTINGS, names: tuple[str, ...] = ("a", "b")
) -> CellScheduler:
    cell = CellScheduler(settings)
    cell.set_endpoints(listed(*names), 0.0)
    return cell


def test_a_program_stays_where_its_prefix_is() -> None:
    cell = make_cell()
    first = make_offer("p", 0, 20_000)
    (endpoint,) = grants(cell.offer(first, 0.0)).values()
    cell.done(finish(first), 1.0)
    # The other endpoint is idle, and still the prefix is worth more.
    cell.offer(make_offer("q", 0, 500), 1.5)
    again = grants(cell.offer(make_offer("p", 1, 21_000), 2.0))
    assert again == {"p/1": endpoint}


def test_calls_that_begin_together_spread_over_endpoints() -> None:
    cell = make_cell()
    placed = [grants(cell.offer(make_offer(name), 0.0)) for name in ("p", "q")]
    assert {next(iter(item.values())) for item in placed} == {"a", "b"}


def test_the_older_program_goes_first() -> None:
    cell = make_cell(names=("a",))
    running = [make_offer(name) for name in ("old", "x")]
    for number, offer in enumerate(running):
        cell.offer(offer, float(number))
    cell.done(finish(running[0]), 2.0)
    cell.offer(make_offer("y"), 2.0)
    cell.offer(make_offer("young"), 3.0)
    cell.offer(make_offer("old", 1), 4.0)
    assert grants(cell.done(finish(running[1]), 5.0)) == {"old/1": "a"}


def test_a_step_of_priority_is_worth_ten_seconds_of_age() -> None:
    cell = make_cell(names=("a",))
    running = [make_offer("r1"), make_offer("r2")]
    for offer in running:
        cell.offer(offer, 0.0)
    cell.offer(make_offer("early", priority=5), 1.0)
    cell.offer(make_offer("late", priority=6), 10.0)
    assert grants(cell.done(finish(running[0]), 20.0)) == {"late/0": "a"}
    cell.offer(make_offer("later", priority=6), 21.0)
    assert grants(cell.done(finish(running[1]), 22.0)) == {"early/0": "a"}


def test_no_program_begins_where_it_would_push_out_what_is_soon_needed() -> None:
    cell = make_cell(attrs.evolve(SETTINGS, max_running=10), names=("a",))
    first = make_offer("p", 0, 80_000)
    cell.offer(first, 0.0)
    cell.done(finish(first), 1.0)
    assert grants(cell.offer(make_offer("q", 0, 30_000), 1.5)) == {}
    # The program that holds the memory goes on at once.
    assert grants(cell.offer(make_offer("p", 1, 81_000), 2.0)) == {"p/1": "a"}


def test_memory_of_a_program_that_ended_is_released_and_given_on() -> None:
    cell = make_cell(attrs.evolve(SETTINGS, max_running=10), names=("a",))
    first = make_offer("p", 0, 80_000)
    cell.offer(first, 0.0)
    cell.done(finish(first), 1.0)
    cell.offer(make_offer("q", 0, 30_000), 1.5)
    actions = cell.program_ended("p", 2.0)
    assert [action.program for action in actions if isinstance(action, Release)] == ["p"]
    assert grants(actions) == {"q/0": "a"}


def test_a_large_program_is_not_passed_for_ever() -> None:
    cell = make_cell(attrs.evolve(SETTINGS, max_running=50), names=("a",))
    holders = [make_offer(f"h{number}", 0, 20_000) for number in range(4)]
    for offer in holders:
        cell.offer(offer, 0.0)
    cell.offer(make_offer("large", 0, 60_000), 1.0)
    assert grants(cell.offer(make_offer("small", 0, 5_000), 2.0)) == {"small/0": "a"}
    # After ten seconds, what becomes free is kept for the large one.
    cell.tick(12.0)
    assert grants(cell.offer(make_offer("small2", 0, 5_000), 12.5)) == {}
    granted: dict[str, str] = {}
    for number, offer in enumerate(holders):
        granted |= grants(cell.done(finish(offer), 13.0 + number))
        granted |= grants(cell.program_ended(offer.program, 13.0 + number))
        if granted:
            break
    assert next(iter(granted)) == "large/0"


def test_a_wait_longer_than_patience_is_refused_at_once_with_the_figures() -> None:
    cell = make_cell(names=("a",))
    cell.estimates.call_s.value = 10.0
    for number in range(2):
        cell.offer(make_offer(f"r{number}"), 0.0)
    cell.offer(make_offer("r0", 1, patience_s=60.0), 0.0)
    (reject,) = cell.offer(make_offer("r1", 1, patience_s=1.0), 0.0)
    assert isinstance(reject, Reject)
    assert reject.code is RefusalCode.PATIENCE_EXCEEDED
    figures = {figure.name: figure.value for figure in reject.reason.figures}
    assert figures["predicted_wait_s"] > figures["patience_s"] == 1.0
    assert reject.retry_after_s > 0


def test_patience_that_runs_out_in_the_queue_is_refused() -> None:
    cell = make_cell(names=("a",))
    for number in range(2):
        cell.offer(make_offer(f"r{number}"), 0.0)
    cell.offer(make_offer("late", 3, patience_s=5.0), 0.0)
    assert cell.tick(4.9) == []
    (reject,) = cell.tick(5.0)
    assert isinstance(reject, Reject)
    assert reject.offer.program == "late"


def test_a_leaving_endpoint_gets_no_new_call_and_finishes_its_old_ones() -> None:
    cell = make_cell()
    first = make_offer("p")
    (endpoint,) = grants(cell.offer(first, 0.0)).values()
    other = "b" if endpoint == "a" else "a"
    states = [
        attrs.evolve(item, state=ListedEndpointState.LEAVING) if item.name == endpoint else item
        for item in listed("a", "b")
    ]
    actions = cell.set_endpoints(states, 1.0)
    assert [action.what for action in actions if isinstance(action, Transition)] == ["leaving"]
    cell.done(finish(first), 2.0)
    placed = [grants(cell.offer(make_offer("p", number), 3.0)) for number in (1, 2)]
    assert placed == [{"p/1": other}, {"p/2": other}]


def test_an_endpoint_that_fails_is_ejected_probed_and_taken_back() -> None:
    cell = make_cell(names=("a",))
    transitions: list[str] = []

    def note(actions: list[Action]) -> None:
        transitions.extend(item.what for item in actions if isinstance(item, Transition))

    for number in range(3):
        offer = make_offer(f"p{number}")
        cell.offer(offer, float(number))
        note(cell.done(finish(offer, Outcome.FAILED), number + 0.5))
    assert transitions == ["ejected"]
    waiting = make_offer("q")
    assert grants(cell.offer(waiting, 3.0)) == {}
    actions = cell.tick(10.0)
    note(actions)
    assert grants(actions) == {"q/0": "a"}
    assert grants(cell.offer(make_offer("r"), 10.1)) == {}
    note(cell.done(finish(waiting), 11.0))
    assert transitions == ["ejected", "probing", "live"]


def test_with_no_endpoint_a_call_is_refused_at_once() -> None:
    cell = CellScheduler(SETTINGS)
    (reject,) = cell.offer(make_offer("p"), 0.0)
    assert isinstance(reject, Reject)
    assert reject.code is RefusalCode.NO_ENDPOINT


def test_a_dead_owner_holds_no_slot() -> None:
    cell = make_cell(names=("a",))
    for name in ("p", "q"):
        cell.offer(make_offer(name, incarnation="dead"), 0.0)
    cell.offer(make_offer("r", incarnation="alive"), 0.0)
    assert grants(cell.owner_died("dead", 1.0)) == {"r/0": "a"}


@pytest.mark.parametrize("count", [1, 5, 13, 16])
def test_a_small_pool_is_one_cell(count: int) -> None:
    pool = listed(*(f"e{number}" for number in range(count)))
    cell = cell_of("pool", "program", cell_count(count))
    assert endpoints_of(cell, pool) == pool


def test_a_large_pool_is_cut_into_cells_that_cover_it_once() -> None:
    pool = listed(*(f"e{number}" for number in range(630)))
    cells = {cell_of("pool", item.name, cell_count(630)) for item in pool}
    members = [item.name for cell in cells for item in endpoints_of(cell, pool)]
    assert sorted(members) == sorted(item.name for item in pool)
    assert len(cells) > 70


def test_settings_name_the_policies_that_exist() -> None:
    assert set(ORDER_NAMES) == set(ORDERS)
    assert set(PLACEMENT_NAMES) == set(PLACEMENTS)


def test_retries_are_a_share_of_fresh_calls() -> None:
    cell = make_cell(attrs.evolve(SETTINGS, max_running=1000))
    failed = frozenset({"a"})
    rejected = [
        action
        for number in range(60)
        for action in cell.offer(make_offer(f"p{number}", 1, avoid=failed), 0.0)
        if isinstance(action, Reject)
    ]
    assert len(rejected) == 40
    assert {action.code for action in rejected} == {RefusalCode.ENDPOINT_FAILED}
    for number in range(10):
        cell.offer(make_offer(f"q{number}", 1), 1.0)
    # Ten fresh calls make two more retries.
    answers = [cell.offer(make_offer(f"r{number}", 1, avoid=failed), 2.0) for number in range(3)]
    assert [isinstance(actions[0], Reject) for actions in answers] == [False, False, True]


def test_the_limit_follows_the_time_between_tokens() -> None:
    cell = make_cell(attrs.evolve(SETTINGS, max_running=20), names=("a",))
    view = cell.endpoints_by_name["a"]

    def run_calls(count: int, token_s: float) -> None:
        for number in range(count):
            offer = make_offer(f"p{number}/{token_s}")
            cell.offer(offer, 0.0)
            cell.done(
                CallCompletion(offer.grant, Outcome.FINISHED, 1000, 0, 100, 0.1, 100 * token_s), 1.0
            )

    run_calls(60, 0.2)
    assert view.limit < 6
    low = view.exact_limit
    run_calls(10, 0.02)
    # A lone call says nothing of a higher limit.
    assert view.exact_limit == low
