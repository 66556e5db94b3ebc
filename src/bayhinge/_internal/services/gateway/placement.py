"""Places requests on endpoints, through a hall's coordinator or locally.

A coordinator knows the running requests of all hosts at its hall's endpoints; a host alone knows
those of others only with a delay of some tenths of a second. If no coordinator answers in time,
the host places the request itself: coordinators improve placement but are never required.
"""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Iterable

import attrs

from bayhinge._internal.decisions.endpoint_table import (
    EndpointState,
    EndpointTable,
    PlacementPreference,
)
from bayhinge._internal.exceptions import FrameError, PeerFailureError, PeerUnreachableError
from bayhinge._internal.models.endpoint_entries import EndpointIncarnation
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.network.peers import Peers
from bayhinge._internal.services import methods
from bayhinge._internal.services.gateway.hall_coordinators import HallCoordinator, HallCoordinators
from bayhinge._internal.services.gateway.load_exchange import LoadExchange
from bayhinge._internal.utils.stall_tolerant_timeouts import stall_tolerant_timeout
from bayhinge._internal.wire.hosts import ttypes as wire

ANSWER_S = 0.04
"""Timeout for a coordinator's answer, about ten times an ordinary one between halls."""


class Placer(ABC):
    """Chooses the endpoint for a request."""

    @abstractmethod
    async def place(
        self, service: str, preference: PlacementPreference, tried: Iterable[str]
    ) -> EndpointState | None:
        """Returns the endpoint to send to, or None if none is left.

        The caller must count the request as running before it next yields to the event loop.
        """

    @abstractmethod
    def record_end(self, state: EndpointState) -> None:
        """Records that a request is no longer running at an endpoint."""


class LocalPlacer(Placer):
    """Places requests with only this host's own view of endpoints."""

    def __init__(self, endpoint_table: EndpointTable) -> None:
        self._endpoint_table = endpoint_table

    async def place(
        self, service: str, preference: PlacementPreference, tried: Iterable[str]
    ) -> EndpointState | None:
        """See :class:`Placer`."""
        return self._endpoint_table.choose(
            service, preference, tried, asyncio.get_running_loop().time()
        )

    def record_end(self, state: EndpointState) -> None:
        """See :class:`Placer`."""


@attrs.define(eq=False, repr=False)
class PlacementCounts:
    """Requests by who placed them."""

    by_coordinator: int = 0
    as_coordinator: int = 0
    local: int = 0


class CoordinatorPlacer(Placer):
    """Asks the coordinator of a hall, and falls back to a local choice."""

    def __init__(
        self,
        endpoint_table: EndpointTable,
        coordinators: HallCoordinators,
        exchange: LoadExchange,
        peers: Peers,
        hall: str,
    ) -> None:
        self._endpoint_table = endpoint_table
        self._coordinators = coordinators
        self._exchange = exchange
        self._peers = peers
        self._hall = hall
        self.counts = PlacementCounts()

    async def place(
        self, service: str, preference: PlacementPreference, tried: Iterable[str]
    ) -> EndpointState | None:
        """See :class:`Placer`."""
        excluded = set(tried)
        preferred = self._endpoint_table.find_incarnation(preference.incarnation)
        hall = self._hall if preferred is None else preferred.entry.hall
        coordinator = self._coordinators.coordinator_of(hall)
        if coordinator is not None and hall != self._coordinators.coordinated_hall:
            state = await self._ask_coordinator(coordinator, service, preference, excluded)
            if state is not None:
                return state
        return self._place_locally(service, preference, excluded)

    def record_end(self, state: EndpointState) -> None:
        """See :class:`Placer`."""
        self._exchange.mark_changed(state)

    # ---- as a coordinator ----

    def answer(self, call: wire.PlaceCall) -> wire.PlaceReply:
        """Places another host's request, as the coordinator of this hall."""
        if not self._coordinators.coordinated_hall:
            coordinator = self._coordinators.coordinator_of(self._hall)
            return wire.PlaceReply("", 0, None if coordinator is None else coordinator.host)
        self._exchange.receive_loads(call.loads)
        self._exchange.refresh_endpoint_table()
        preference = PlacementPreference(
            EndpointIncarnation(call.wished, call.wished_born_ms),
            call.shared_part,
            call.kept_tokens,
            call.shared_tokens,
            frozenset(call.connected or ()),
        )
        now = asyncio.get_running_loop().time()
        # The caller would use the old address of endpoints whose restart it does not know yet.
        outdated = self._endpoint_table.incarnation_revisions.not_known_by(
            call.loads.endpoints_known_to
        )
        state = self._endpoint_table.choose(
            call.service_name, preference, {*call.avoid, *outdated}, now
        )
        if state is None:
            return wire.PlaceReply("", 0)
        grant = self._exchange.grant(call.loads.host, state)
        return wire.PlaceReply(state.entry.instance, grant)

    def _place_locally(
        self, service: str, preference: PlacementPreference, excluded: set[str]
    ) -> EndpointState | None:
        if self._coordinators.coordinated_hall:
            self._exchange.refresh_endpoint_table()
            self.counts.as_coordinator += 1
        else:
            self.counts.local += 1
        state = self._endpoint_table.choose(
            service, preference, excluded, asyncio.get_running_loop().time()
        )
        if state is not None and state.entry.hall != self._coordinators.coordinated_hall:
            # The endpoint's coordinator did not grant this request, so report it.
            self._exchange.mark_changed(state)
        return state

    async def _ask_coordinator(
        self,
        coordinator: HallCoordinator,
        service: str,
        preference: PlacementPreference,
        excluded: set[str],
    ) -> EndpointState | None:
        excluded_now = excluded | self._endpoint_table.ejected(asyncio.get_running_loop().time())
        for _ in range(2):
            call = wire.PlaceCall(
                self._exchange.own_loads(coordinator.hall),
                service,
                preference.incarnation.endpoint,
                preference.shared_part,
                sorted(excluded_now),
                preference.kept_tokens,
                preference.shared_tokens,
                preference.incarnation.born_ms,
                self._connected(coordinator, service, preference),
            )
            reply = await self._call_coordinator(coordinator, call)
            if reply is None:
                return None
            if reply.home is None:
                return self._accept(reply, coordinator, service, excluded)
            other = self._coordinators.follow_redirect(coordinator.hall, reply.home)
            if other is None or other == coordinator:
                return None
            coordinator = other
        return None

    def _connected(
        self, coordinator: HallCoordinator, service: str, preference: PlacementPreference
    ) -> list[str]:
        """Returns the connected endpoints that the coordinator may choose."""
        states = [self._endpoint_table.find(instance) for instance in preference.connected]
        return [
            state.entry.instance
            for state in states
            if state is not None
            and state.entry.hall == coordinator.hall
            and state.entry.service == service
        ]

    def _accept(
        self, reply: wire.PlaceReply, coordinator: HallCoordinator, service: str, excluded: set[str]
    ) -> EndpointState | None:
        """Returns a coordinator's choice, or None if this host knows that it is unusable."""
        state = self._endpoint_table.find(reply.endpoint)
        if (
            state is None
            or state.entry.service != service
            or state.entry.is_leaving
            or state.is_suspected
            or state.is_replaced
            or reply.endpoint in excluded
        ):
            return None
        self.counts.by_coordinator += 1
        if reply.grant:
            newest = self._exchange.last_grant_by_hall.get(coordinator.hall, 0)
            self._exchange.last_grant_by_hall[coordinator.hall] = max(newest, reply.grant)
        else:
            self._exchange.mark_changed(state)
        return state

    async def _call_coordinator(
        self, coordinator: HallCoordinator, call: wire.PlaceCall
    ) -> wire.PlaceReply | None:
        try:
            # Not asyncio.timeout(): a host that stalled would take the coordinator for silent.
            async with stall_tolerant_timeout(ANSWER_S):
                answer = await self._peers.call(
                    coordinator.address, methods.PLACE, encode_message(call)
                )
            reply: wire.PlaceReply = decode_message(wire.PlaceReply(), answer)
        except (TimeoutError, PeerUnreachableError, PeerFailureError, FrameError) as error:
            self._coordinators.mark_suspected(coordinator, str(error) or "no answer in time")
            return None
        return reply
