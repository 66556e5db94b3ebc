"""Guards against requests that go to a full endpoint, or wait although one has room."""

import pytest

from bayhinge._internal.decisions.endpoint_state import EndpointState
from bayhinge._internal.decisions.endpoint_table import (
    EndpointTable,
    FreeChoice,
    PlacementPreference,
)
from bayhinge._internal.models.endpoint_entries import EndpointEntry, EndpointIncarnation

NOBODY = PlacementPreference()


def slots(state: EndpointState) -> int:
    return state.entry.slots


def table_of(**hall_by_instance: str) -> EndpointTable:
    table = EndpointTable("north")
    for number, (instance, hall) in enumerate(hall_by_instance.items()):
        table.put(EndpointEntry(instance, "app", f"10.0.0.1:{number}", hall, 2, False))
    return table


def state_of(table: EndpointTable, instance: str) -> EndpointState:
    state = table.find(instance)
    assert state is not None
    return state


def choose(
    table: EndpointTable,
    preference: PlacementPreference = NOBODY,
    tried: tuple[str, ...] = (),
) -> FreeChoice:
    return table.choose_free("app", preference, tried, 0.0, slots)


def test_the_best_endpoint_with_a_free_place_is_chosen() -> None:
    table = table_of(a="north", b="north")
    state_of(table, "a").running_here = 1
    assert choose(table) == FreeChoice(state_of(table, "b"))
    state_of(table, "b").running_at_peers = 2
    assert choose(table) == FreeChoice(state_of(table, "a"))


def test_full_endpoints_and_no_endpoint_are_told_apart() -> None:
    table = table_of(a="north", b="north")
    for state in table.all():
        state.running_here = state.running_at_peers = 1
    assert choose(table) == FreeChoice(None, is_full=True)
    assert choose(table, tried=("a", "b")) == FreeChoice(None, is_full=False)
    assert table.choose_free("other", NOBODY, (), 0.0, slots) == FreeChoice(None)
    # Where requests must not wait, a full endpoint is still chosen.
    assert table.choose("app", NOBODY, (), 0.0) is not None


def test_a_full_endpoint_with_the_history_in_its_cache_is_not_chosen() -> None:
    table = table_of(a="north", b="north")
    state_of(table, "a").running_here = 2
    state_of(table, "b").running_here = 1
    preference = PlacementPreference(EndpointIncarnation("a"), kept_tokens=1_000_000)
    assert choose(table, preference).state is state_of(table, "b")


def test_an_ejected_endpoint_is_not_used_while_a_healthy_one_is_full() -> None:
    table = table_of(a="north", b="north")
    state_of(table, "a").record_failure(0.0)
    state_of(table, "b").running_here = 2
    assert choose(table) == FreeChoice(None, is_full=True)
    state_of(table, "b").record_failure(0.0)
    assert choose(table).state is state_of(table, "a")


@pytest.mark.parametrize("is_other", [False, True])
def test_a_leaving_or_other_service_has_no_places(is_other: bool) -> None:
    table = table_of(a="north")
    table.mark_leaving("a")
    assert table.of_service("other" if is_other else "app") == []
    assert choose(table) == FreeChoice(None)
