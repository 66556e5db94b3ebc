"""The choice among endpoints of different speeds."""

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bayhinge._internal.decisions import placement_weights as weights
from bayhinge._internal.decisions.endpoint_state import EndpointState
from bayhinge._internal.decisions.endpoint_table import (
    EndpointTable,
    PlacementPreference,
)
from bayhinge._internal.models.endpoint_entries import EndpointEntry, EndpointIncarnation

SERVICE = "app"
NAMES = tuple("abcdef")
NOW_S = 100.0


class FormerTable(EndpointTable):
    """The rule before speeds were learned: requests in flight divided by slots."""

    def _best(
        self, candidates: list[EndpointState], preference: PlacementPreference
    ) -> EndpointState | None:
        if not candidates:
            return None
        least = min(
            candidates,
            key=lambda state: (
                former_load(state) + self._away(state),
                state.entry.instance not in preference.connected,
                state.entry.instance,
            ),
        )
        holder = self.find_incarnation(preference.incarnation)
        for state in candidates:
            slack = weights.own_cache(state.entry.slots, preference.kept_tokens)
            if state is holder and former_load(state) <= former_load(least) + slack:
                return state
        if preference.shared_part:
            for state in self._by_shared_part(candidates, preference.shared_part):
                slack = weights.shared_part(state.entry.slots, preference.shared_tokens)
                if former_load(state) <= former_load(least) + slack:
                    return state
        return least

    def _away(self, state: EndpointState) -> float:
        return 0.0 if state.entry.hall == self._hall else weights.other_hall(state.entry.slots)


def former_load(state: EndpointState) -> float:
    load = (state.running_here + state.running_at_peers) / max(1, state.entry.slots)
    return load + weights.failure_report(state.entry.slots) * state.failure_reports


@attrs.frozen
class Drawn:
    """One drawn endpoint."""

    hall: str
    slots: int
    here: int
    at_peers: int
    failure_reports: int
    is_ejected: bool
    is_suspected: bool


DRAWN = st.builds(
    Drawn,
    st.sampled_from(["north", "south"]),
    st.sampled_from([0, 1, 2, 3, 6, 10, 64, 3000]),
    st.integers(0, 12),
    st.integers(0, 12),
    st.sampled_from([0, 0, 0, 1, 2]),
    st.booleans(),
    st.booleans(),
)
PREFERENCES = st.builds(
    PlacementPreference,
    st.builds(EndpointIncarnation, st.sampled_from(["", *NAMES])),
    st.sampled_from(["", "rules", "policy"]),
    st.sampled_from([0, 500, 3000]),
    st.sampled_from([0, 500, 3000]),
    st.frozensets(st.sampled_from(NAMES)),
)


def filled(table: EndpointTable, drawn: list[Drawn]) -> EndpointTable:
    for name, one in zip(NAMES, drawn, strict=False):
        table.put(EndpointEntry(name, SERVICE, f"{name}:80", one.hall, one.slots, False))
        state = state_of(table, name)
        state.running_here, state.running_at_peers = one.here, one.at_peers
        state.failure_reports, state.is_suspected = one.failure_reports, one.is_suspected
        state.ejected_until_s = NOW_S + 1.0 if one.is_ejected else 0.0
    return table


def state_of(table: EndpointTable, name: str) -> EndpointState:
    state = table.find(name)
    assert state is not None
    return state


def chosen(table: EndpointTable, preference: PlacementPreference | None = None) -> str | None:
    state = table.choose(SERVICE, preference or PlacementPreference(), (), NOW_S)
    return None if state is None else state.entry.instance


@settings(derandomize=True, max_examples=600, deadline=None)
@given(st.lists(DRAWN, min_size=1, max_size=6), PREFERENCES)
def test_equally_fast_endpoints_are_chosen_as_before(
    drawn: list[Drawn], preference: PlacementPreference
) -> None:
    """Guards against a change for deployments whose endpoints are equally fast."""
    former, now = filled(FormerTable("north"), drawn), filled(EndpointTable("north"), drawn)
    assert chosen(now, preference) == chosen(former, preference)


def table_of(*endpoints: tuple[int, float]) -> EndpointTable:
    """Returns a table of endpoints of six slots, by running requests and relative duration."""
    table = EndpointTable("north")
    for name, (running, relative_duration) in zip(NAMES, endpoints, strict=False):
        table.put(EndpointEntry(name, SERVICE, f"{name}:80", "north", 6, False))
        state = state_of(table, name)
        state.running_at_peers, state.relative_duration = running, relative_duration
    return table


@pytest.mark.parametrize(
    ("endpoints", "best"),
    [
        # The shortest (running + 1) x relative duration: 4 x 0.7 against 2 x 1.7.
        (((1, 1.7), (3, 0.7)), "b"),
        (((0, 1.7), (3, 0.7)), "a"),
        # A slow endpoint is used as soon as the others have as much to do for their speed.
        (((0, 4.0), (2, 1.0)), "b"),
        (((0, 4.0), (4, 1.0)), "a"),
        # Equal speeds: the fewest requests.
        (((2, 1.0), (1, 1.0)), "b"),
    ],
)
def test_the_shortest_expected_delay_wins(
    endpoints: tuple[tuple[int, float], ...], best: str
) -> None:
    """Guards against equal work for endpoints of different speeds."""
    assert chosen(table_of(*endpoints)) == best


def test_a_free_slot_comes_before_a_place_in_a_queue() -> None:
    """Guards against requests that wait at fast endpoints while slow ones have free slots."""
    assert chosen(table_of((5, 4.0), (6, 0.5))) == "a"
    assert chosen(table_of((6, 4.0), (6, 0.5))) == "b"
    assert chosen(table_of((6, 0.5), (5, 1.0))) == "b"


def test_slow_endpoints_with_free_slots_are_ordered_by_their_delay() -> None:
    """Guards against a choice by name among endpoints that are slow."""
    assert chosen(table_of((1, 8.0), (2, 3.0), (6, 1.0))) == "b"


def test_a_fast_endpoint_without_a_free_slot_is_worth_what_it_was() -> None:
    """Guards against queues that grow at the fastest endpoint."""
    state = state_of(table_of((8, 0.25)), "a")
    assert state.expected_delay == state.load


def test_a_turn_leaves_its_engine_if_that_has_become_slow() -> None:
    """Guards against a preference for the own cache that ignores the engine's speed."""
    preference = PlacementPreference(EndpointIncarnation("a"))
    assert chosen(table_of((1, 1.0), (0, 1.0)), preference) == "a"
    assert chosen(table_of((1, 4.0), (0, 1.0)), preference) == "b"


def test_a_new_incarnation_has_the_usual_speed_until_it_is_known() -> None:
    """Guards against the speed of an ended incarnation that is held against the next."""
    table = table_of((0, 4.0))
    table.put(EndpointEntry("a", SERVICE, "a:80", "north", 6, False, 2_000))
    state_of(table, "a").relative_duration = 4.0
    table.put(EndpointEntry("a", SERVICE, "a:80", "north", 6, False, 3_000))
    assert state_of(table, "a").relative_duration == 1.0
