"""One host's view of the endpoints, and the choice of one for a request. Pure."""

from collections.abc import Callable, Iterable, Mapping
from enum import StrEnum

import attrs

from bayhinge._internal.decisions import placement_weights as weights
from bayhinge._internal.decisions.endpoint_state import EndpointState
from bayhinge._internal.decisions.incarnation_revisions import IncarnationRevisions
from bayhinge._internal.models.endpoint_entries import EndpointEntry, EndpointIncarnation
from bayhinge.coordination.rendezvous import rank


class EntryChange(StrEnum):
    """What an entry has changed."""

    NOTHING = "nothing"
    FOUND = "found"
    CHANGED = "changed"
    RESTARTED = "started_again"
    OUTDATED = "outdated"


@attrs.frozen(eq=False, repr=False)
class PlacementPreference:
    """A request's preference for endpoints with its history or its shared part in cache.

    Attributes:
        incarnation: the endpoint incarnation whose cache holds the history.
        kept_tokens: prompt tokens in that cache.
        shared_tokens: tokens of ``shared_part``.
        connected: endpoints to which the requesting host has an idle connection.
    """

    incarnation: EndpointIncarnation = EndpointIncarnation()
    shared_part: str = ""
    kept_tokens: int = 0
    shared_tokens: int = 0
    connected: frozenset[str] = frozenset()


@attrs.frozen
class FreeChoice:
    """The result of a choice among endpoints with a free place.

    Attributes:
        state: the chosen endpoint, or None.
        is_full: there are endpoints, but none has a free place.
    """

    state: EndpointState | None
    is_full: bool = False


class EndpointTable:
    """The state of the newest known incarnation of every endpoint."""

    def __init__(self, hall: str) -> None:
        self._hall = hall
        self._state_by_instance: dict[str, EndpointState] = {}
        self._removed_by_instance: dict[str, EndpointEntry] = {}
        self.incarnation_revisions = IncarnationRevisions()

    def all(self) -> list[EndpointState]:
        """Returns the states of all endpoints."""
        return list(self._state_by_instance.values())

    def find(self, instance: str) -> EndpointState | None:
        """Returns the state of an endpoint, or None where it is unknown."""
        return self._state_by_instance.get(instance)

    def find_incarnation(self, incarnation: EndpointIncarnation) -> EndpointState | None:
        """Returns the state of an incarnation, or None where it has ended or is unknown."""
        state = self._state_by_instance.get(incarnation.endpoint)
        return (
            state
            if state is not None and incarnation.may_be_same_as(state.entry.incarnation)
            else None
        )

    def is_current(self, state: EndpointState) -> bool:
        """Whether a state is of the newest known incarnation of its endpoint."""
        return self._state_by_instance.get(state.entry.instance) is state

    def last_entry(self, instance: str) -> EndpointEntry | None:
        """Returns the newest entry of an endpoint, also of a recently removed one."""
        state = self._state_by_instance.get(instance)
        return self._removed_by_instance.get(instance) if state is None else state.entry

    def forget_removed(self, incarnation: EndpointIncarnation) -> None:
        """Forgets a removed endpoint, once no delayed entry of it can arrive any more."""
        entry = self._removed_by_instance.get(incarnation.endpoint)
        if entry is not None and entry.incarnation == incarnation:
            del self._removed_by_instance[incarnation.endpoint]

    def put(self, entry: EndpointEntry) -> EntryChange:
        """Applies an entry, unless it is of an incarnation before the known one."""
        instance = entry.instance
        state = self._state_by_instance.get(instance)
        known = self.last_entry(instance)
        if known is not None and known.incarnation.is_later_than(entry.incarnation):
            return EntryChange.OUTDATED
        is_later = known is not None and entry.incarnation.is_later_than(known.incarnation)
        if state is None or is_later:
            self._removed_by_instance.pop(instance, None)
            self._state_by_instance[instance] = EndpointState(entry)
            self._update_replaced(entry.address)
            if known is not None:
                self._update_replaced(known.address)
            return EntryChange.RESTARTED if is_later else EntryChange.FOUND
        if entry.born_ms is None:
            # An entry without a start time is of the known incarnation.
            entry = attrs.evolve(entry, born_ms=state.entry.born_ms)
        is_changed = state.entry != entry or state.is_suspected
        old_address, state.entry = state.entry.address, entry
        state.is_suspected = False
        if is_changed:
            self._update_replaced(entry.address)
            self._update_replaced(old_address)
        return EntryChange.CHANGED if is_changed else EntryChange.NOTHING

    def mark_leaving(self, instance: str) -> bool:
        """Marks an endpoint as leaving until its next entry; returns whether it was not before."""
        state = self._state_by_instance.get(instance)
        if state is None or state.entry.is_leaving:
            return False
        state.entry = attrs.evolve(state.entry, is_leaving=True)
        return True

    def remove(self, instance: str) -> bool:
        """Removes an endpoint; returns whether it was known."""
        state = self._state_by_instance.pop(instance, None)
        if state is None:
            return False
        self.incarnation_revisions.forget(instance)
        self._removed_by_instance[instance] = state.entry
        self._update_replaced(state.entry.address)
        return True

    def replaced_at(self, address: str) -> list[EndpointState]:
        """Returns the endpoints at an address that another endpoint uses now."""
        return [
            state
            for state in self._state_by_instance.values()
            if state.is_replaced and state.entry.address == address
        ]

    def _update_replaced(self, address: str) -> None:
        """Marks the endpoints at an address that were replaced by one started there later."""
        there = [
            state for state in self._state_by_instance.values() if state.entry.address == address
        ]
        for state in there:
            state.is_replaced = any(other.entry.reuses_address_of(state.entry) for other in there)

    def apply_peer_loads(self, running_by_instance: Mapping[str, int]) -> None:
        """Applies the sums of the other hosts' requests in flight."""
        for instance, state in self._state_by_instance.items():
            state.running_at_peers = running_by_instance.get(instance, 0)

    def running_here(self) -> dict[str, int]:
        """Returns this host's requests in flight by endpoint."""
        return {
            instance: state.running_here
            for instance, state in self._state_by_instance.items()
            if state.running_here
        }

    def ejected(self, now_s: float) -> set[str]:
        """Returns the endpoints that this host has ejected."""
        return {
            instance
            for instance, state in self._state_by_instance.items()
            if state.ejected_until_s > now_s
        }

    def choose(
        self, service: str, preference: PlacementPreference, tried: Iterable[str], now_s: float
    ) -> EndpointState | None:
        """Returns the best endpoint of a service that is not in ``tried``, or None."""
        return self._best(self._usable(service, tried, now_s), preference)

    def choose_free(
        self,
        service: str,
        preference: PlacementPreference,
        tried: Iterable[str],
        now_s: float,
        limit: Callable[[EndpointState], int],
    ) -> FreeChoice:
        """Like ``choose``, but only among endpoints with fewer requests in flight than ``limit``.

        An ejected endpoint is not used while a healthy one exists, even if that one is full.
        """
        usable = self._usable(service, tried, now_s)
        best = self._best(usable, preference)
        if best is None or best.in_flight < limit(best):
            # The usual case, without the limits of all the others.
            return FreeChoice(best)
        free = [state for state in usable if state.in_flight < limit(state)]
        return FreeChoice(self._best(free, preference), is_full=not free)

    def of_service(self, service: str) -> list[EndpointState]:
        """Returns the endpoints of a service that are not leaving."""
        return [
            state
            for state in self._state_by_instance.values()
            if state.entry.service == service and not state.entry.is_leaving
        ]

    def _usable(self, service: str, tried: Iterable[str], now_s: float) -> list[EndpointState]:
        """Returns the endpoints of a service that may get a request; none if all were tried."""
        excluded = set(tried)
        candidates = [
            state
            for state in self._state_by_instance.values()
            if state.entry.service == service
            and not state.entry.is_leaving
            and state.entry.instance not in excluded
        ]
        unsuspected = [
            state for state in candidates if not (state.is_suspected or state.is_replaced)
        ] or candidates
        healthy = [state for state in unsuspected if state.ejected_until_s <= now_s]
        trusted = [
            state for state in healthy if state.failure_reports < weights.MIN_FAILURE_REPORTS
        ]
        if any(state.load < weights.ROOM_LOAD for state in trusted):
            healthy = trusted
        # Where all are ejected, trying one is better than refusing the request.
        return healthy or unsuspected

    def _best(
        self, candidates: list[EndpointState], preference: PlacementPreference
    ) -> EndpointState | None:
        if not candidates:
            return None
        # Among equal endpoints, prefers one with an idle connection.
        least_loaded = min(
            candidates,
            key=lambda state: (
                self._cost(state),
                state.entry.instance not in preference.connected,
                state.entry.instance,
            ),
        )
        holder = self.find_incarnation(preference.incarnation)
        for state in candidates:
            if state is holder:
                slack = weights.own_cache(state.entry.slots, preference.kept_tokens)
                if state.effective_load <= least_loaded.effective_load + slack:
                    return state
        if preference.shared_part:
            for state in self._by_shared_part(candidates, preference.shared_part):
                slack = weights.shared_part(state.entry.slots, preference.shared_tokens)
                if state.effective_load <= least_loaded.effective_load + slack:
                    return state
        return least_loaded

    def _by_shared_part(
        self, candidates: list[EndpointState], shared_part: str
    ) -> list[EndpointState]:
        """Returns the endpoints in the order of preference for requests with a shared part.

        Each hall concentrates these requests on its own endpoints, where it has any.
        """
        near = [state for state in candidates if state.entry.hall == self._hall]
        names = [state.entry.instance for state in near or candidates]
        return [self._state_by_instance[name] for name in rank(shared_part, names)]

    def _cost(self, state: EndpointState) -> float:
        is_near = state.entry.hall == self._hall
        away = 0.0 if is_near else weights.other_hall(state.entry.slots)
        return state.effective_load - state.slow_discount + away
