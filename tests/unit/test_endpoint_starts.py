"""What is known of one start of an endpoint is neither held for nor against the next one."""

from collections.abc import Iterable, Mapping
from itertools import permutations

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bayhinge._internal.decisions.endpoint_book import (
    EndpointState,
    EndpointTable,
    EntryChange,
    PlacementPreference,
)
from bayhinge._internal.decisions.endpoint_starts import (
    CLOCK_SKEW_S,
    ConnectionTimes,
    NewIncarnation,
    began_s,
    belongs_to,
    is_stale,
)
from bayhinge._internal.decisions.incarnation_revisions import IncarnationRevisions
from bayhinge._internal.decisions.load_table import HostLoadReport, LoadTable
from bayhinge._internal.exceptions import UnreadableObjectError
from bayhinge._internal.models.endpoint_entries import EndpointEntry, EndpointIncarnation
from bayhinge._internal.platform.object_reader import PlatformObjectReader

BORN_MS = 1_700_000_000_000
NOW_S = 100.0


def entry(
    instance: str = "a", born_ms: int | None = BORN_MS, address: str = "10.0.0.1:80"
) -> EndpointEntry:
    return EndpointEntry(instance, "app", address, "north", 10, False, born_ms)


def table_of(*entries: EndpointEntry) -> EndpointTable:
    endpoint_table = EndpointTable("north")
    for one in entries:
        endpoint_table.put(one)
    return endpoint_table


def state_of(endpoint_table: EndpointTable, instance: str = "a") -> EndpointState:
    state = endpoint_table.find(instance)
    assert state is not None
    return state


def chosen(
    endpoint_table: EndpointTable, preference: PlacementPreference | None = None
) -> str | None:
    state = endpoint_table.choose("app", preference or PlacementPreference(), (), NOW_S)
    return None if state is None else state.entry.instance


# ---- the edge ----


ENTRY: dict[str, object] = {
    "service": "app",
    "address": "10.0.0.1:80",
    "zone": "north",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 1,
}


@pytest.mark.parametrize(("said", "born_ms"), [(BORN_MS, BORN_MS), (1, 1), (0, None)])
def test_the_moment_of_a_start_is_a_whole_number_or_unknown(said: int, born_ms: int | None) -> None:
    value = orjson.dumps(ENTRY | {"born": said})
    assert PlatformObjectReader().read_endpoint("servers/a", value).born_ms == born_ms


@pytest.mark.parametrize("said", [None, True, 1.5, "1700000000000", -1, 2**63])
def test_an_entry_whose_moment_is_of_another_type_names_no_endpoint(said: object) -> None:
    with pytest.raises(UnreadableObjectError, match="born"):
        PlatformObjectReader().read_endpoint("servers/a", orjson.dumps(ENTRY | {"born": said}))


def test_an_entry_that_says_no_start_has_an_unknown_one() -> None:
    value = orjson.dumps(ENTRY)
    assert PlatformObjectReader().read_endpoint(
        "servers/a", value
    ).incarnation == EndpointIncarnation("a")


# ---- the order of starts ----


def test_an_unknown_start_is_neither_before_nor_after_another() -> None:
    unknown, known = EndpointIncarnation("a"), EndpointIncarnation("a", BORN_MS)
    assert not unknown.is_later_than(known)
    assert not known.is_later_than(unknown)
    assert unknown.may_be_same_as(known)
    assert known.may_be_same_as(unknown)
    assert not known.may_be_same_as(EndpointIncarnation("a", BORN_MS + 1))
    assert not known.may_be_same_as(EndpointIncarnation("b", BORN_MS))


def test_a_later_start_begins_with_nothing_of_the_former_one() -> None:
    endpoint_table = table_of(entry(), entry("b", address="10.0.0.2:80"))
    former = state_of(endpoint_table)
    former.running_here, former.running_at_peers, former.failure_reports = 3, 4, 2
    former.is_suspected = True
    for _ in range(5):
        former.record_failure(NOW_S)
    assert chosen(endpoint_table) == "b"
    assert endpoint_table.put(entry(born_ms=BORN_MS + 1)) is EntryChange.RESTARTED
    assert state_of(endpoint_table) is not former
    assert (
        state_of(endpoint_table).load,
        state_of(endpoint_table).effective_load,
        state_of(endpoint_table).failures,
    ) == (
        0,
        0,
        0,
    )
    assert not state_of(endpoint_table).is_suspected
    assert not endpoint_table.ejected(NOW_S)
    assert chosen(endpoint_table) == "a"


def test_what_the_former_start_does_late_is_not_the_next_ones() -> None:
    endpoint_table = table_of(entry())
    former = state_of(endpoint_table)
    endpoint_table.put(entry(born_ms=BORN_MS + 1))
    former.record_failure(NOW_S)
    former.running_here -= 1
    assert not endpoint_table.ejected(NOW_S)
    assert state_of(endpoint_table).running_here == 0


def test_a_start_that_is_seen_late_never_replaces_a_later_one() -> None:
    endpoint_table = table_of(entry(born_ms=BORN_MS + 1, address="10.0.0.2:80"))
    newest = state_of(endpoint_table)
    newest.is_suspected = True
    assert endpoint_table.put(entry(address="10.0.0.1:80")) is EntryChange.OUTDATED
    assert state_of(endpoint_table) is newest
    assert newest.entry.address == "10.0.0.2:80"
    assert newest.is_suspected, "the later start's own entry has not come back"


def test_a_start_that_is_seen_late_does_not_bring_a_gone_endpoint_back() -> None:
    endpoint_table = table_of(entry(born_ms=BORN_MS + 1))
    assert endpoint_table.remove("a")
    assert endpoint_table.put(entry()) is EntryChange.OUTDATED
    assert endpoint_table.find("a") is None
    assert endpoint_table.put(entry(born_ms=BORN_MS + 1)) is EntryChange.FOUND
    endpoint_table.remove("a")
    assert endpoint_table.put(entry(born_ms=BORN_MS + 2)) is EntryChange.RESTARTED
    endpoint_table.remove("a")
    endpoint_table.forget_removed(EndpointIncarnation("a", BORN_MS + 1))
    assert endpoint_table.put(entry()) is EntryChange.OUTDATED, "another start's time is not over"
    endpoint_table.forget_removed(EndpointIncarnation("a", BORN_MS + 2))
    assert endpoint_table.put(entry()) is EntryChange.FOUND


def test_an_entry_without_a_start_changes_no_start_and_is_taken_in() -> None:
    endpoint_table = table_of(entry())
    state = state_of(endpoint_table)
    assert endpoint_table.put(entry(born_ms=None, address="10.0.0.2:80")) is EntryChange.CHANGED
    assert state_of(endpoint_table) is state
    assert state.entry == entry(address="10.0.0.2:80")
    assert endpoint_table.put(entry(born_ms=BORN_MS - 1)) is EntryChange.OUTDATED


def test_a_start_that_becomes_known_is_the_one_that_was_unknown() -> None:
    endpoint_table = table_of(entry(born_ms=None))
    state = state_of(endpoint_table)
    state.running_here = 2
    assert endpoint_table.put(entry()) is EntryChange.CHANGED
    assert state_of(endpoint_table) is state
    assert state.running_here == 2


starts = st.one_of(st.none(), st.integers(BORN_MS, BORN_MS + 4))


@given(st.data(), st.lists(starts, max_size=12))
def test_hosts_that_hear_entries_in_any_order_agree_on_the_start(
    data: st.DataObject, births: list[int | None]
) -> None:
    shuffled = data.draw(st.permutations(births))
    found = [_start_after(order) for order in (births, shuffled, [*births, *shuffled])]
    known = [born_ms for born_ms in births if born_ms is not None]
    assert set(found) == {max(known, default=None)}


def _start_after(births: Iterable[int | None]) -> int | None:
    endpoint_table = EndpointTable("north")
    for born_ms in births:
        endpoint_table.put(entry(born_ms=born_ms))
    state = endpoint_table.find("a")
    return None if state is None else state.entry.born_ms


def test_twice_within_a_heartbeat_is_one_later_start() -> None:
    for order in permutations((BORN_MS, BORN_MS + 1, BORN_MS + 2)):
        assert _start_after(order) == BORN_MS + 2


# ---- addresses ----


def test_an_endpoint_whose_address_another_one_has_since_is_a_last_resort() -> None:
    newcomer = entry("b", BORN_MS + 1)
    for order in ((entry(), newcomer), (newcomer, entry())):
        endpoint_table = table_of(*order)
        assert [state.entry.instance for state in endpoint_table.replaced_at("10.0.0.1:80")] == [
            "a"
        ]
        assert chosen(endpoint_table) == "b"
        state_of(endpoint_table, "b").running_here = 1_000
        assert chosen(endpoint_table) == "b"
        endpoint_table.remove("b")
        assert chosen(endpoint_table) == "a", "the other one is gone, and this one's entry is there"


@pytest.mark.parametrize("born_ms", [None, BORN_MS])
def test_an_entry_that_may_be_a_copy_displaces_nobody(born_ms: int | None) -> None:
    endpoint_table = table_of(entry(), entry("b", born_ms))
    assert endpoint_table.replaced_at("10.0.0.1:80") == []


def test_an_endpoint_that_started_elsewhere_is_no_longer_replaced() -> None:
    endpoint_table = table_of(entry(), entry("b", BORN_MS + 1))
    endpoint_table.put(entry(born_ms=BORN_MS + 2, address="10.0.0.9:80"))
    assert (
        endpoint_table.replaced_at("10.0.0.1:80") == endpoint_table.replaced_at("10.0.0.9:80") == []
    )
    assert chosen(endpoint_table) == "a"


# ---- what a memory holds ----


def test_a_history_that_a_former_start_has_read_draws_no_turn() -> None:
    endpoint_table = table_of(entry("a", BORN_MS + 1), entry("b", address="10.0.0.2:80"))
    endpoint_table.apply_peer_loads({"a": 2})
    assert (
        chosen(
            endpoint_table,
            PlacementPreference(EndpointIncarnation("a", BORN_MS + 1), kept_tokens=20_000),
        )
        == "a"
    )
    assert (
        chosen(
            endpoint_table,
            PlacementPreference(EndpointIncarnation("a", BORN_MS), kept_tokens=20_000),
        )
        == "b"
    )
    assert (
        chosen(endpoint_table, PlacementPreference(EndpointIncarnation("a"), kept_tokens=20_000))
        == "a"
    ), "it may be this one"


# ---- which runs and connections are over ----


def connection_times(
    opened_s: float, last_received_s: float | None = None, address: str = "x"
) -> ConnectionTimes:
    return ConnectionTimes(
        address, opened_s, opened_s if last_received_s is None else last_received_s
    )


def test_the_moment_of_a_start_is_found_on_the_steady_clock() -> None:
    assert began_s(BORN_MS, BORN_MS + 2_500, NOW_S) == NOW_S - 2.5
    assert began_s(None, BORN_MS, NOW_S) is None
    ahead_ms = int(CLOCK_SKEW_S * 1000) + 1
    assert began_s(BORN_MS + ahead_ms, BORN_MS, NOW_S) is None, "one of the clocks is wrong"


def test_a_connection_of_before_the_start_is_over_and_one_of_after_it_is_not() -> None:
    incarnation = NewIncarnation("x", NOW_S)
    assert is_stale(connection_times(NOW_S - 1), incarnation)
    assert not is_stale(connection_times(NOW_S + 1), incarnation)
    assert belongs_to(connection_times(NOW_S + 1), incarnation)
    assert not belongs_to(connection_times(NOW_S - 1), incarnation)


def test_a_connection_that_was_heard_since_leads_to_the_new_start_whatever_clocks_say() -> None:
    incarnation = NewIncarnation("x", NOW_S)
    assert not is_stale(connection_times(NOW_S - 1, NOW_S + CLOCK_SKEW_S + 0.1), incarnation)
    assert is_stale(connection_times(NOW_S - 1, NOW_S + CLOCK_SKEW_S / 2), incarnation), (
        "that proves nothing"
    )


def test_where_clocks_leave_it_open_a_run_goes_on_and_an_idle_connection_is_not_used() -> None:
    for incarnation, opened_s in (
        (NewIncarnation("x", NOW_S), NOW_S - CLOCK_SKEW_S),
        (NewIncarnation("x", None), NOW_S - 60),
    ):
        assert not is_stale(connection_times(opened_s), incarnation)
        assert not belongs_to(connection_times(opened_s), incarnation)


def test_a_connection_to_another_address_is_over_whatever_clocks_say() -> None:
    assert is_stale(connection_times(NOW_S + 1), NewIncarnation("y", None))
    assert not belongs_to(connection_times(NOW_S + 1), NewIncarnation("y", NOW_S))


# ---- what other hosts say ----


def test_hosts_that_have_not_heard_of_a_start_are_known_by_their_revision() -> None:
    revisions = IncarnationRevisions()
    assert not revisions.not_known_by(0)
    revisions.record("a", 50)
    assert set(revisions.not_known_by(49)) == {"a"}
    assert not revisions.not_known_by(50)
    assert not revisions.not_known_by(None), "an older host does not say, and counts as before"
    revisions.forget("a")
    assert not revisions.not_known_by(49)


def counted(count_by_endpoint: Mapping[str, int]) -> dict[str, int]:
    return {endpoint: count for endpoint, count in count_by_endpoint.items() if count}


def test_a_coordinator_forgets_loads_failure_reports_and_grants_of_the_former_incarnation() -> None:
    load_table = LoadTable()
    load_table.record_report(
        HostLoadReport("h", 1, 1, 0, {"a": 5, "b": 1}, frozenset({"a", "b"})), NOW_S
    )
    grant = load_table.grant("h", "a")
    load_table.grant("h", "b")
    load_table.forget_endpoint("a")
    assert counted(load_table.running_by_endpoint()) == {"b": 2}
    assert counted(load_table.failure_reports_by_endpoint()) == {"b": 1}
    # What the host says from now on counts once, also where it counts in what was granted before.
    load_table.record_report(HostLoadReport("h", 1, 2, grant, {"a": 1, "b": 1}, frozenset()), NOW_S)
    assert counted(load_table.running_by_endpoint()) == {"a": 1, "b": 2}
    load_table.forget_silent(NOW_S + 60)
    assert not counted(load_table.running_by_endpoint())
    assert not counted(load_table.failure_reports_by_endpoint())
