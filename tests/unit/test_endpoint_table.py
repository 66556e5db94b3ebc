"""The choice of an endpoint for a request."""

from bayhinge._internal.decisions.endpoint_state import FIRST_EJECTION_S, EndpointState
from bayhinge._internal.decisions.endpoint_table import (
    EndpointTable,
    EntryChange,
    PlacementPreference,
)
from bayhinge._internal.models.endpoint_entries import EndpointEntry, EndpointIncarnation


def entry(
    instance: str, hall: str = "north", slots: int = 10, leaving: bool = False
) -> EndpointEntry:
    return EndpointEntry(instance, "app", f"10.0.0.1:{len(instance)}", hall, slots, leaving)


def table_of(*entries: EndpointEntry) -> EndpointTable:
    endpoint_table = EndpointTable("north")
    for one in entries:
        endpoint_table.put(one)
    return endpoint_table


def incarnation(instance: str, born_ms: int | None = None) -> EndpointIncarnation:
    return EndpointIncarnation(instance, born_ms)


def state_of(endpoint_table: EndpointTable, instance: str) -> EndpointState:
    state = endpoint_table.find(instance)
    assert state is not None
    return state


def chosen_endpoint(
    endpoint_table: EndpointTable,
    preference: PlacementPreference | None = None,
    tried: tuple[str, ...] = (),
) -> str | None:
    state: EndpointState | None = endpoint_table.choose(
        "app", preference or PlacementPreference(), tried, 100.0
    )
    return None if state is None else state.entry.instance


def test_the_least_loaded_endpoint_is_chosen_with_a_preference_for_the_own_hall() -> None:
    endpoint_table = table_of(entry("a", "south"), entry("b"), entry("c"))
    assert chosen_endpoint(endpoint_table) == "b"
    endpoint_table.apply_peer_loads({"b": 1, "c": 2})
    assert chosen_endpoint(endpoint_table) == "b", (
        "a load of one request in ten slots is below the cost of crossing halls"
    )
    endpoint_table.apply_peer_loads({"b": 2, "c": 2})
    assert chosen_endpoint(endpoint_table) == "a"
    endpoint_table.apply_peer_loads({"a": 1, "b": 2, "c": 2})
    assert chosen_endpoint(endpoint_table) == "b"


def test_requests_with_a_shared_part_stay_at_one_local_endpoint_while_loads_are_similar() -> None:
    names = [f"{hall}-{number}" for hall in ("north", "south") for number in range(4)]
    endpoint_table = table_of(*(entry(name, name[:5], 10) for name in names))
    preference = PlacementPreference(shared_part="rules")
    first = chosen_endpoint(endpoint_table, preference)
    assert first is not None and first.startswith("north")
    endpoint_table.apply_peer_loads({first: 1})
    assert chosen_endpoint(endpoint_table, preference) == first, (
        "a cached part outweighs a load of one request in ten slots"
    )
    endpoint_table.apply_peer_loads({first: 2})
    second = chosen_endpoint(endpoint_table, preference)
    assert second is not None and second.startswith("north") and second != first


def test_leaving_and_tried_endpoints_are_not_chosen() -> None:
    endpoint_table = table_of(entry("a", leaving=True), entry("b"), entry("c"))
    assert chosen_endpoint(endpoint_table, tried=("b",)) == "c"
    assert chosen_endpoint(endpoint_table, tried=("b", "c")) is None


def test_a_failure_ejects_an_endpoint_unless_there_is_no_other() -> None:
    endpoint_table = table_of(entry("a"), entry("b"))
    state_of(endpoint_table, "a").record_failure(100.0)
    assert chosen_endpoint(endpoint_table) == "b"
    assert chosen_endpoint(endpoint_table, tried=("b",)) == "a"
    state = endpoint_table.find("a")
    assert state is not None
    assert state.ejected_until_s == 100.0 + FIRST_EJECTION_S
    state_of(endpoint_table, "a").record_failure(100.0)
    assert state.ejected_until_s == 100.0 + 2 * FIRST_EJECTION_S
    state_of(endpoint_table, "a").record_success()
    assert chosen_endpoint(endpoint_table) == "a"


def test_a_suspected_endpoint_is_the_last_resort() -> None:
    endpoint_table = table_of(entry("a"), entry("b"))
    state = endpoint_table.find("a")
    assert state is not None
    state.is_suspected = True
    assert chosen_endpoint(endpoint_table) == "b"
    assert chosen_endpoint(endpoint_table, tried=("b",)) == "a"
    assert endpoint_table.put(entry("a")) is EntryChange.CHANGED
    assert chosen_endpoint(endpoint_table) == "a"


def test_a_turn_returns_to_its_engine_unless_that_is_much_busier() -> None:
    endpoint_table = table_of(entry("a"), entry("b"))
    endpoint_table.apply_peer_loads({"b": 1})
    assert chosen_endpoint(endpoint_table, PlacementPreference(incarnation("b"))) == "b"
    endpoint_table.apply_peer_loads({"b": 5})
    assert chosen_endpoint(endpoint_table, PlacementPreference(incarnation("b"))) == "a"


def test_requests_with_the_same_shared_part_go_to_one_engine() -> None:
    endpoint_table = table_of(*(entry(name) for name in "abcdef"))
    first = chosen_endpoint(endpoint_table, PlacementPreference(shared_part="policy"))
    assert {
        chosen_endpoint(endpoint_table, PlacementPreference(shared_part="policy")) for _ in range(5)
    } == {first}
    assert (
        len(
            {
                chosen_endpoint(endpoint_table, PlacementPreference(shared_part=f"p{number}"))
                for number in range(40)
            }
        )
        > 2
    )


def test_single_successes_do_not_end_the_ejection_of_a_partly_failing_endpoint() -> None:
    endpoint_table = table_of(entry("a"), entry("b", "south"))
    for _ in range(4):
        state_of(endpoint_table, "a").record_failure(100.0)
        state_of(endpoint_table, "a").record_failure(100.0)
        state_of(endpoint_table, "a").record_success()
    assert chosen_endpoint(endpoint_table) == "b"
    for _ in range(19):
        state_of(endpoint_table, "a").record_success()
    assert chosen_endpoint(endpoint_table) == "a"


def test_failure_reports_move_work_only_while_other_endpoints_have_free_slots() -> None:
    endpoint_table = table_of(entry("a"), entry("b", "south"))
    state = endpoint_table.find("a")
    assert state is not None
    state.failure_reports = 4
    assert chosen_endpoint(endpoint_table) == "b"
    assert chosen_endpoint(endpoint_table, PlacementPreference(incarnation("a"))) == "b", (
        "even if the preferred endpoint has a warm cache"
    )
    endpoint_table.apply_peer_loads({"b": 8})
    assert chosen_endpoint(endpoint_table) == "a"


def test_a_long_history_is_not_recomputed_to_avoid_a_small_difference_in_load() -> None:
    endpoint_table = table_of(entry("a", slots=6), entry("b", slots=6))
    endpoint_table.apply_peer_loads({"b": 5})
    assert (
        chosen_endpoint(endpoint_table, PlacementPreference(incarnation("b"), kept_tokens=6000))
        == "b"
    ), "recomputing the prompt takes longer than waiting"
    assert (
        chosen_endpoint(endpoint_table, PlacementPreference(incarnation("b"), kept_tokens=1500))
        == "a"
    )
    endpoint_table.apply_peer_loads({"b": 7})
    assert (
        chosen_endpoint(endpoint_table, PlacementPreference(incarnation("b"), kept_tokens=6000))
        == "a"
    )


def test_a_turn_whose_engine_is_too_busy_goes_to_the_engine_with_its_shared_part() -> None:
    names = [f"{number}" for number in range(6)]
    endpoint_table = table_of(*(entry(name, slots=6) for name in names))
    shared_endpoint = chosen_endpoint(
        endpoint_table, PlacementPreference(shared_part="rules", shared_tokens=2500)
    )
    assert shared_endpoint is not None
    busy = next(name for name in names if name != shared_endpoint)
    endpoint_table.apply_peer_loads({busy: 9, shared_endpoint: 2})
    assert (
        chosen_endpoint(endpoint_table, PlacementPreference(incarnation(busy), "rules", 4000, 2500))
        == shared_endpoint
    )


def test_work_moves_to_another_hall_only_for_a_clear_difference_in_load() -> None:
    endpoint_table = table_of(entry("a", slots=6), entry("b", "south", slots=6))
    endpoint_table.apply_peer_loads({"a": 2})
    assert chosen_endpoint(endpoint_table) == "a"
    endpoint_table.apply_peer_loads({"a": 3})
    assert chosen_endpoint(endpoint_table) == "b"


def test_two_failure_reports_keep_work_from_an_endpoint_that_looks_idle() -> None:
    endpoint_table = table_of(*(entry(name, slots=6) for name in "abc"))
    state = endpoint_table.find("a")
    assert state is not None
    state.failure_reports = 2
    endpoint_table.apply_peer_loads({"b": 4, "c": 4})
    assert chosen_endpoint(endpoint_table) == "b"
    assert (
        chosen_endpoint(endpoint_table, PlacementPreference(incarnation("a"), kept_tokens=9000))
        == "b"
    )
    endpoint_table.apply_peer_loads({"b": 11, "c": 11})
    assert chosen_endpoint(endpoint_table) == "a", "it is tried if no other endpoint has free slots"


def test_an_open_connection_decides_only_between_equal_endpoints() -> None:
    endpoint_table = table_of(entry("a"), entry("b"), entry("c"))
    preference = PlacementPreference(connected=frozenset({"c"}))
    assert chosen_endpoint(endpoint_table, preference) == "c"
    state = endpoint_table.find("c")
    assert state is not None
    state.running_here += 1
    assert chosen_endpoint(endpoint_table, preference) == "a", (
        "a load of one more request outweighs a connection"
    )
