"""The state of one incarnation of an endpoint does not carry over to the next one."""

from collections.abc import Iterable, Mapping
from itertools import permutations

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bayhinge._internal.decisions.endpoint_incarnations import (
    CLOCK_SKEW_S,
    ConnectionTimes,
    NewIncarnation,
    began_s,
    belongs_to,
    is_stale,
)
from bayhinge._internal.decisions.endpoint_state import EndpointState
from bayhinge._internal.decisions.endpoint_table import (
    EndpointTable,
    EntryChange,
    PlacementPreference,
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


def chosen_endpoint(
    endpoint_table: EndpointTable, preference: PlacementPreference | None = None
) -> str | None:
    state = endpoint_table.choose("app", preference or PlacementPreference(), (), NOW_S)
    return None if state is None else state.entry.instance


# ---- parsing ----


ENTRY_OBJECT: dict[str, object] = {
    "service": "app",
    "address": "10.0.0.1:80",
    "zone": "north",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 1,
}


@pytest.mark.parametrize(("reported", "born_ms"), [(BORN_MS, BORN_MS), (1, 1), (0, None)])
def test_a_start_time_is_an_integer_or_unknown(reported: int, born_ms: int | None) -> None:
    value = orjson.dumps(ENTRY_OBJECT | {"born": reported})
    assert PlatformObjectReader().read_endpoint("servers/a", value).born_ms == born_ms


@pytest.mark.parametrize("reported", [None, True, 1.5, "1700000000000", -1, 2**63])
def test_an_entry_with_a_malformed_start_time_is_unreadable(reported: object) -> None:
    with pytest.raises(UnreadableObjectError, match="born"):
        PlatformObjectReader().read_endpoint(
            "servers/a", orjson.dumps(ENTRY_OBJECT | {"born": reported})
        )


def test_an_entry_without_a_start_time_has_an_unknown_one() -> None:
    value = orjson.dumps(ENTRY_OBJECT)
    assert PlatformObjectReader().read_endpoint(
        "servers/a", value
    ).incarnation == EndpointIncarnation("a")


# ---- the order of incarnations ----


def test_an_unknown_start_time_is_neither_before_nor_after_another() -> None:
    unknown, known = EndpointIncarnation("a"), EndpointIncarnation("a", BORN_MS)
    assert not unknown.is_later_than(known)
    assert not known.is_later_than(unknown)
    assert unknown.may_be_same_as(known)
    assert known.may_be_same_as(unknown)
    assert not known.may_be_same_as(EndpointIncarnation("a", BORN_MS + 1))
    assert not known.may_be_same_as(EndpointIncarnation("b", BORN_MS))


def test_a_later_incarnation_begins_with_a_fresh_state() -> None:
    endpoint_table = table_of(entry(), entry("b", address="10.0.0.2:80"))
    former = state_of(endpoint_table)
    former.running_here, former.running_at_peers, former.failure_reports = 3, 4, 2
    former.is_suspected = True
    for _ in range(5):
        former.record_failure(NOW_S)
    assert chosen_endpoint(endpoint_table) == "b"
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
    assert chosen_endpoint(endpoint_table) == "a"


def test_late_results_of_the_former_incarnation_do_not_affect_the_next() -> None:
    endpoint_table = table_of(entry())
    former = state_of(endpoint_table)
    endpoint_table.put(entry(born_ms=BORN_MS + 1))
    former.record_failure(NOW_S)
    former.running_here -= 1
    assert not endpoint_table.ejected(NOW_S)
    assert state_of(endpoint_table).running_here == 0


def test_a_late_entry_never_replaces_a_later_incarnation() -> None:
    endpoint_table = table_of(entry(born_ms=BORN_MS + 1, address="10.0.0.2:80"))
    newest = state_of(endpoint_table)
    newest.is_suspected = True
    assert endpoint_table.put(entry(address="10.0.0.1:80")) is EntryChange.OUTDATED
    assert state_of(endpoint_table) is newest
    assert newest.entry.address == "10.0.0.2:80"
    assert newest.is_suspected, "the entry of the later incarnation has not returned"


def test_a_late_entry_does_not_restore_a_removed_endpoint() -> None:
    endpoint_table = table_of(entry(born_ms=BORN_MS + 1))
    assert endpoint_table.remove("a")
    assert endpoint_table.put(entry()) is EntryChange.OUTDATED
    assert endpoint_table.find("a") is None
    assert endpoint_table.put(entry(born_ms=BORN_MS + 1)) is EntryChange.FOUND
    endpoint_table.remove("a")
    assert endpoint_table.put(entry(born_ms=BORN_MS + 2)) is EntryChange.RESTARTED
    endpoint_table.remove("a")
    endpoint_table.forget_removed(EndpointIncarnation("a", BORN_MS + 1))
    assert endpoint_table.put(entry()) is EntryChange.OUTDATED, (
        "another incarnation is still remembered"
    )
    endpoint_table.forget_removed(EndpointIncarnation("a", BORN_MS + 2))
    assert endpoint_table.put(entry()) is EntryChange.FOUND


def test_an_entry_without_a_start_time_updates_the_known_incarnation() -> None:
    endpoint_table = table_of(entry())
    state = state_of(endpoint_table)
    assert endpoint_table.put(entry(born_ms=None, address="10.0.0.2:80")) is EntryChange.CHANGED
    assert state_of(endpoint_table) is state
    assert state.entry == entry(address="10.0.0.2:80")
    assert endpoint_table.put(entry(born_ms=BORN_MS - 1)) is EntryChange.OUTDATED


def test_an_unknown_incarnation_keeps_its_state_when_its_start_time_becomes_known() -> None:
    endpoint_table = table_of(entry(born_ms=None))
    state = state_of(endpoint_table)
    state.running_here = 2
    assert endpoint_table.put(entry()) is EntryChange.CHANGED
    assert state_of(endpoint_table) is state
    assert state.running_here == 2


BORN_TIMES_MS = st.one_of(st.none(), st.integers(BORN_MS, BORN_MS + 4))


@given(st.data(), st.lists(BORN_TIMES_MS, max_size=12))
def test_entries_in_any_order_lead_to_the_same_incarnation(
    data: st.DataObject, born_times_ms: list[int | None]
) -> None:
    shuffled = data.draw(st.permutations(born_times_ms))
    found = [
        _latest_born_ms(order) for order in (born_times_ms, shuffled, [*born_times_ms, *shuffled])
    ]
    known = [born_ms for born_ms in born_times_ms if born_ms is not None]
    assert set(found) == {max(known, default=None)}


def _latest_born_ms(born_times_ms: Iterable[int | None]) -> int | None:
    endpoint_table = EndpointTable("north")
    for born_ms in born_times_ms:
        endpoint_table.put(entry(born_ms=born_ms))
    state = endpoint_table.find("a")
    return None if state is None else state.entry.born_ms


def test_two_restarts_in_any_order_lead_to_the_latest_incarnation() -> None:
    for order in permutations((BORN_MS, BORN_MS + 1, BORN_MS + 2)):
        assert _latest_born_ms(order) == BORN_MS + 2


# ---- addresses ----


def test_an_endpoint_whose_address_was_reused_is_the_last_resort() -> None:
    later = entry("b", BORN_MS + 1)
    for order in ((entry(), later), (later, entry())):
        endpoint_table = table_of(*order)
        assert [state.entry.instance for state in endpoint_table.replaced_at("10.0.0.1:80")] == [
            "a"
        ]
        assert chosen_endpoint(endpoint_table) == "b"
        state_of(endpoint_table, "b").running_here = 1_000
        assert chosen_endpoint(endpoint_table) == "b"
        endpoint_table.remove("b")
        assert chosen_endpoint(endpoint_table) == "a", (
            "the other one was removed, and the entry of this one is present"
        )


@pytest.mark.parametrize("born_ms", [None, BORN_MS])
def test_an_entry_with_the_same_or_no_start_time_replaces_no_endpoint(born_ms: int | None) -> None:
    endpoint_table = table_of(entry(), entry("b", born_ms))
    assert endpoint_table.replaced_at("10.0.0.1:80") == []


def test_an_endpoint_that_restarted_elsewhere_is_no_longer_replaced() -> None:
    endpoint_table = table_of(entry(), entry("b", BORN_MS + 1))
    endpoint_table.put(entry(born_ms=BORN_MS + 2, address="10.0.0.9:80"))
    assert (
        endpoint_table.replaced_at("10.0.0.1:80") == endpoint_table.replaced_at("10.0.0.9:80") == []
    )
    assert chosen_endpoint(endpoint_table) == "a"


# ---- cached prompts ----


def test_a_prompt_cached_by_a_former_incarnation_attracts_no_turn() -> None:
    endpoint_table = table_of(entry("a", BORN_MS + 1), entry("b", address="10.0.0.2:80"))
    endpoint_table.apply_peer_loads({"a": 2})
    assert (
        chosen_endpoint(
            endpoint_table,
            PlacementPreference(EndpointIncarnation("a", BORN_MS + 1), kept_tokens=20_000),
        )
        == "a"
    )
    assert (
        chosen_endpoint(
            endpoint_table,
            PlacementPreference(EndpointIncarnation("a", BORN_MS), kept_tokens=20_000),
        )
        == "b"
    )
    assert (
        chosen_endpoint(
            endpoint_table, PlacementPreference(EndpointIncarnation("a"), kept_tokens=20_000)
        )
        == "a"
    ), "it may be the same incarnation"


# ---- stale runs and connections ----


def connection_times(
    opened_s: float, last_received_s: float | None = None, address: str = "x"
) -> ConnectionTimes:
    return ConnectionTimes(
        address, opened_s, opened_s if last_received_s is None else last_received_s
    )


def test_a_start_time_is_converted_to_the_monotonic_clock() -> None:
    assert began_s(BORN_MS, BORN_MS + 2_500, NOW_S) == NOW_S - 2.5
    assert began_s(None, BORN_MS, NOW_S) is None
    ahead_ms = int(CLOCK_SKEW_S * 1000) + 1
    assert began_s(BORN_MS + ahead_ms, BORN_MS, NOW_S) is None, "one of the clocks is wrong"


def test_a_connection_opened_before_the_start_is_stale() -> None:
    incarnation = NewIncarnation("x", NOW_S)
    assert is_stale(connection_times(NOW_S - 1), incarnation)
    assert not is_stale(connection_times(NOW_S + 1), incarnation)
    assert belongs_to(connection_times(NOW_S + 1), incarnation)
    assert not belongs_to(connection_times(NOW_S - 1), incarnation)


def test_a_connection_that_received_data_since_the_start_is_not_stale() -> None:
    incarnation = NewIncarnation("x", NOW_S)
    assert not is_stale(connection_times(NOW_S - 1, NOW_S + CLOCK_SKEW_S + 0.1), incarnation)
    assert is_stale(connection_times(NOW_S - 1, NOW_S + CLOCK_SKEW_S / 2), incarnation), (
        "this is within the clock skew"
    )


def test_within_the_clock_skew_a_run_continues_and_an_idle_connection_is_not_reused() -> None:
    for incarnation, opened_s in (
        (NewIncarnation("x", NOW_S), NOW_S - CLOCK_SKEW_S),
        (NewIncarnation("x", None), NOW_S - 60),
    ):
        assert not is_stale(connection_times(opened_s), incarnation)
        assert not belongs_to(connection_times(opened_s), incarnation)


def test_a_connection_to_another_address_is_always_stale() -> None:
    assert is_stale(connection_times(NOW_S + 1), NewIncarnation("y", None))
    assert not belongs_to(connection_times(NOW_S + 1), NewIncarnation("y", NOW_S))


# ---- reports of other hosts ----


def test_hosts_that_do_not_know_an_incarnation_are_found_by_their_revision() -> None:
    revisions = IncarnationRevisions()
    assert not revisions.not_known_by(0)
    revisions.record("a", 50)
    assert set(revisions.not_known_by(49)) == {"a"}
    assert not revisions.not_known_by(50)
    assert not revisions.not_known_by(None), (
        "hosts of older versions report no revision, and still count"
    )
    revisions.forget("a")
    assert not revisions.not_known_by(49)


def nonzero(count_by_endpoint: Mapping[str, int]) -> dict[str, int]:
    return {endpoint: count for endpoint, count in count_by_endpoint.items() if count}


def test_a_coordinator_forgets_loads_failure_reports_and_grants_of_a_former_incarnation() -> None:
    load_table = LoadTable()
    load_table.record_report(
        HostLoadReport("h", 1, 1, 0, {"a": 5, "b": 1}, frozenset({"a", "b"})), NOW_S
    )
    grant = load_table.grant("h", "a", NOW_S)
    load_table.grant("h", "b", NOW_S)
    load_table.forget_endpoint("a")
    assert nonzero(load_table.running_by_endpoint()) == {"b": 2}
    assert nonzero(load_table.failure_reports_by_endpoint()) == {"b": 1}
    # Later reports count once, also if they include requests that were granted before.
    load_table.record_report(HostLoadReport("h", 1, 2, grant, {"a": 1, "b": 1}, frozenset()), NOW_S)
    assert nonzero(load_table.running_by_endpoint()) == {"a": 1, "b": 2}
    load_table.forget_silent(NOW_S + 60)
    assert not nonzero(load_table.running_by_endpoint())
    assert not nonzero(load_table.failure_reports_by_endpoint())
