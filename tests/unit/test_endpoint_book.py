"""Which endpoint a request goes to."""

from bayhinge._internal.decisions.endpoint_book import (
    FIRST_EJECTION_S,
    EndpointState,
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


def at(instance: str, born_ms: int | None = None) -> EndpointIncarnation:
    return EndpointIncarnation(instance, born_ms)


def state_of(endpoint_table: EndpointTable, instance: str) -> EndpointState:
    state = endpoint_table.find(instance)
    assert state is not None
    return state


def chosen(
    endpoint_table: EndpointTable,
    preference: PlacementPreference | None = None,
    tried: tuple[str, ...] = (),
) -> str | None:
    state: EndpointState | None = endpoint_table.choose(
        "app", preference or PlacementPreference(), tried, 100.0
    )
    return None if state is None else state.entry.instance


def test_the_least_loaded_endpoint_is_chosen_and_the_own_hall_while_it_has_room() -> None:
    endpoint_table = table_of(entry("a", "south"), entry("b"), entry("c"))
    assert chosen(endpoint_table) == "b"
    endpoint_table.apply_peer_loads({"b": 1, "c": 2})
    assert chosen(endpoint_table) == "b", (
        "one request of ten slots is less than the way between halls costs"
    )
    endpoint_table.apply_peer_loads({"b": 2, "c": 2})
    assert chosen(endpoint_table) == "a"
    endpoint_table.apply_peer_loads({"a": 1, "b": 2, "c": 2})
    assert chosen(endpoint_table) == "b"


def test_shared_parts_gather_in_each_hall_while_the_load_is_even() -> None:
    names = [f"{hall}-{number}" for hall in ("north", "south") for number in range(4)]
    endpoint_table = table_of(*(entry(name, name[:5], 10) for name in names))
    preference = PlacementPreference(shared_part="rules")
    first = chosen(endpoint_table, preference)
    assert first is not None and first.startswith("north")
    endpoint_table.apply_peer_loads({first: 1})
    assert chosen(endpoint_table, preference) == first, (
        "a read part is worth one request of ten slots"
    )
    endpoint_table.apply_peer_loads({first: 2})
    second = chosen(endpoint_table, preference)
    assert second is not None and second.startswith("north") and second != first


def test_what_is_leaving_or_tried_gets_nothing() -> None:
    endpoint_table = table_of(entry("a", leaving=True), entry("b"), entry("c"))
    assert chosen(endpoint_table, tried=("b",)) == "c"
    assert chosen(endpoint_table, tried=("b", "c")) is None


def test_a_failure_rests_an_endpoint_unless_there_is_no_other() -> None:
    endpoint_table = table_of(entry("a"), entry("b"))
    state_of(endpoint_table, "a").record_failure(100.0)
    assert chosen(endpoint_table) == "b"
    assert chosen(endpoint_table, tried=("b",)) == "a"
    state = endpoint_table.find("a")
    assert state is not None
    assert state.ejected_until_s == 100.0 + FIRST_EJECTION_S
    state_of(endpoint_table, "a").record_failure(100.0)
    assert state.ejected_until_s == 100.0 + 2 * FIRST_EJECTION_S
    state_of(endpoint_table, "a").record_success()
    assert chosen(endpoint_table) == "a"


def test_an_endpoint_whose_entry_vanished_is_the_last_resort() -> None:
    endpoint_table = table_of(entry("a"), entry("b"))
    state = endpoint_table.find("a")
    assert state is not None
    state.is_suspected = True
    assert chosen(endpoint_table) == "b"
    assert chosen(endpoint_table, tried=("b",)) == "a"
    assert endpoint_table.put(entry("a")) is EntryChange.CHANGED
    assert chosen(endpoint_table) == "a"


def test_a_turn_goes_back_to_its_engine_unless_that_is_much_busier() -> None:
    endpoint_table = table_of(entry("a"), entry("b"))
    endpoint_table.apply_peer_loads({"b": 1})
    assert chosen(endpoint_table, PlacementPreference(at("b"))) == "b"
    endpoint_table.apply_peer_loads({"b": 5})
    assert chosen(endpoint_table, PlacementPreference(at("b"))) == "a"


def test_requests_with_one_shared_part_meet_at_one_engine() -> None:
    endpoint_table = table_of(*(entry(name) for name in "abcdef"))
    first = chosen(endpoint_table, PlacementPreference(shared_part="policy"))
    assert {
        chosen(endpoint_table, PlacementPreference(shared_part="policy")) for _ in range(5)
    } == {first}
    assert (
        len(
            {
                chosen(endpoint_table, PlacementPreference(shared_part=f"p{number}"))
                for number in range(40)
            }
        )
        > 2
    )


def test_successes_between_failures_do_not_end_the_rest_of_a_grey_endpoint() -> None:
    endpoint_table = table_of(entry("a"), entry("b", "south"))
    for _ in range(4):
        state_of(endpoint_table, "a").record_failure(100.0)
        state_of(endpoint_table, "a").record_failure(100.0)
        state_of(endpoint_table, "a").record_success()
    assert chosen(endpoint_table) == "b"
    for _ in range(19):
        state_of(endpoint_table, "a").record_success()
    assert chosen(endpoint_table) == "a"


def test_failure_reports_of_other_hosts_move_work_only_while_others_have_room() -> None:
    endpoint_table = table_of(entry("a"), entry("b", "south"))
    state = endpoint_table.find("a")
    assert state is not None
    state.failure_reports = 4
    assert chosen(endpoint_table) == "b"
    assert chosen(endpoint_table, PlacementPreference(at("a"))) == "b", "not even for a warm cache"
    endpoint_table.apply_peer_loads({"b": 8})
    assert chosen(endpoint_table) == "a"


def test_a_long_history_is_not_read_again_for_a_few_requests_of_few_slots() -> None:
    endpoint_table = table_of(entry("a", slots=6), entry("b", slots=6))
    endpoint_table.apply_peer_loads({"b": 5})
    assert chosen(endpoint_table, PlacementPreference(at("b"), kept_tokens=6000)) == "b", (
        "reading it takes longer than waiting"
    )
    assert chosen(endpoint_table, PlacementPreference(at("b"), kept_tokens=1500)) == "a"
    endpoint_table.apply_peer_loads({"b": 7})
    assert chosen(endpoint_table, PlacementPreference(at("b"), kept_tokens=6000)) == "a"


def test_a_turn_whose_engine_is_too_busy_goes_where_its_shared_part_is() -> None:
    names = [f"{number}" for number in range(6)]
    endpoint_table = table_of(*(entry(name, slots=6) for name in names))
    gathering = chosen(endpoint_table, PlacementPreference(shared_part="rules", shared_tokens=2500))
    assert gathering is not None
    busy = next(name for name in names if name != gathering)
    endpoint_table.apply_peer_loads({busy: 9, gathering: 2})
    assert chosen(endpoint_table, PlacementPreference(at(busy), "rules", 4000, 2500)) == gathering


def test_figures_of_another_hall_move_work_only_where_they_differ_by_more_than_their_delay() -> (
    None
):
    endpoint_table = table_of(entry("a", slots=6), entry("b", "south", slots=6))
    endpoint_table.apply_peer_loads({"a": 2})
    assert chosen(endpoint_table) == "a"
    endpoint_table.apply_peer_loads({"a": 3})
    assert chosen(endpoint_table) == "b"


def test_two_failure_reports_exclude_an_endpoint_that_looks_idle_because_it_fails_at_once() -> None:
    endpoint_table = table_of(*(entry(name, slots=6) for name in "abc"))
    state = endpoint_table.find("a")
    assert state is not None
    state.failure_reports = 2
    endpoint_table.apply_peer_loads({"b": 4, "c": 4})
    assert chosen(endpoint_table) == "b"
    assert chosen(endpoint_table, PlacementPreference(at("a"), kept_tokens=9000)) == "b"
    endpoint_table.apply_peer_loads({"b": 11, "c": 11})
    assert chosen(endpoint_table) == "a", "where no other has room, it is tried all the same"


def test_a_connection_decides_only_between_endpoints_that_are_equal() -> None:
    endpoint_table = table_of(entry("a"), entry("b"), entry("c"))
    preference = PlacementPreference(connected=frozenset({"c"}))
    assert chosen(endpoint_table, preference) == "c"
    state = endpoint_table.find("c")
    assert state is not None
    state.running_here += 1
    assert chosen(endpoint_table, preference) == "a", "one request more outweighs a connection"
