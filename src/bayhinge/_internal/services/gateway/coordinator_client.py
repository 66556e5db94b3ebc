"""Asks the coordinator of a hall for a place."""

import asyncio

from bayhinge._internal.decisions.endpoint_state import EndpointState
from bayhinge._internal.decisions.endpoint_table import (
    EndpointTable,
    PlacementPreference,
)
from bayhinge._internal.exceptions import FrameError, PeerFailureError, PeerUnreachableError
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.network.peers import Peers
from bayhinge._internal.services import methods
from bayhinge._internal.services.gateway.hall_coordinators import HallCoordinator, HallCoordinators
from bayhinge._internal.services.gateway.load_exchange import LoadExchange
from bayhinge._internal.services.gateway.place_demand import PlaceDemand
from bayhinge._internal.services.gateway.place_waiters import NO_ENDPOINT, PlaceOutcome
from bayhinge._internal.utils.stall_tolerant_timeouts import stall_tolerant_timeout
from bayhinge._internal.wire.hosts import ttypes as wire

ANSWER_S = 0.04
"""Timeout for a coordinator's answer, about ten times an ordinary one between halls. For a call
that may wait for a place, it is added to the longest wait."""

MAX_REDIRECTS = 1
"""A host that is no coordinator names another one; a second redirect would be a disagreement."""

MAX_MS = 2**31 - 1
"""Longest time that a message can carry, in milliseconds."""


class CoordinatorClient:
    """Sends place calls to coordinators, and accepts their grants."""

    def __init__(
        self,
        endpoint_table: EndpointTable,
        coordinators: HallCoordinators,
        exchange: LoadExchange,
        peers: Peers,
    ) -> None:
        self._endpoint_table = endpoint_table
        self._coordinators = coordinators
        self._exchange = exchange
        self._peers = peers

    async def ask(
        self,
        coordinator: HallCoordinator,
        service: str,
        preference: PlacementPreference,
        excluded: set[str],
        demand: PlaceDemand,
        max_wait_s: float,
    ) -> PlaceOutcome | None:
        """Returns a coordinator's reply, or None if it failed to answer and is suspected now."""
        excluded_now = excluded | self._endpoint_table.ejected(_now())
        for _ in range(MAX_REDIRECTS + 1):
            call = self._call(coordinator, service, preference, excluded_now, demand, max_wait_s)
            reply = await self._send(coordinator, call, max_wait_s)
            if reply is None:
                return None
            if reply.home is None:
                return self._read(reply, coordinator, service, excluded)
            other = self._coordinators.follow_redirect(coordinator.hall, reply.home)
            if other is None or other == coordinator:
                return NO_ENDPOINT
            coordinator = other
        return NO_ENDPOINT

    async def probe(self, coordinator: HallCoordinator) -> None:
        """Suspects a coordinator if it does not answer a call that asks for nothing."""
        loads = self._exchange.own_loads(coordinator.hall)
        await self._send(coordinator, wire.PlaceCall(loads, "", "", "", []), 0.0)

    def _call(
        self,
        coordinator: HallCoordinator,
        service: str,
        preference: PlacementPreference,
        excluded: set[str],
        demand: PlaceDemand,
        max_wait_s: float,
    ) -> wire.PlaceCall:
        """Returns the message that asks for a place; its times are relative to now."""
        now = _now()
        program_deadline_s = demand.program_deadline_s
        return wire.PlaceCall(
            self._exchange.own_loads(coordinator.hall),
            service,
            preference.incarnation.endpoint,
            preference.shared_part,
            sorted(excluded),
            preference.kept_tokens,
            preference.shared_tokens,
            preference.incarnation.born_ms,
            self._connected(coordinator, service, preference),
            waited_ms=_milliseconds(now - demand.arrived_s),
            urgency=demand.urgency,
            account=demand.account,
            begins_program=demand.begins_program,
            time_left_ms=_milliseconds(demand.deadline_s - now),
            program_left_ms=(
                None if program_deadline_s is None else _milliseconds(program_deadline_s - now)
            ),
            max_wait_ms=_milliseconds(max_wait_s),
            objective_left_ms=_milliseconds(demand.objective_s - now),
            caller_key=demand.caller_key,
        )

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

    async def _send(
        self, coordinator: HallCoordinator, call: wire.PlaceCall, max_wait_s: float
    ) -> wire.PlaceReply | None:
        reply: wire.PlaceReply | None = None
        try:
            # Not asyncio.timeout(): a host that stalled would take the coordinator for silent.
            async with stall_tolerant_timeout(max_wait_s + ANSWER_S):
                answer = await self._peers.call(
                    coordinator.address, methods.PLACE, encode_message(call)
                )
            reply = decode_message(wire.PlaceReply(), answer)
        except (TimeoutError, PeerUnreachableError, PeerFailureError, FrameError) as error:
            self._coordinators.mark_suspected(coordinator, str(error) or "no answer in time")
            return None
        finally:
            if reply is None:
                self._exchange.mark_abandoned(coordinator)
        return reply

    def _read(
        self, reply: wire.PlaceReply, coordinator: HallCoordinator, service: str, excluded: set[str]
    ) -> PlaceOutcome:
        if reply.endpoint:
            state = self._accept(reply, coordinator, service, excluded)
            return NO_ENDPOINT if state is None else PlaceOutcome(state, reply.grant)
        retry_after_ms = reply.retry_after_ms
        return PlaceOutcome(
            is_waiting=bool(reply.is_waiting),
            retry_after_s=None if retry_after_ms is None else retry_after_ms / 1000,
            expected_wait_s=(reply.expected_wait_ms or 0) / 1000,
            waiting_ahead=reply.waiting_ahead or 0,
        )

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
            # Its place is free again with the next report.
            self._exchange.mark_abandoned(coordinator)
            return None
        if reply.grant:
            newest = self._exchange.last_grant_by_hall.get(coordinator.hall, 0)
            self._exchange.last_grant_by_hall[coordinator.hall] = max(newest, reply.grant)
        else:
            self._exchange.mark_changed(state)
        return state


def outcome_reply(outcome: PlaceOutcome) -> wire.PlaceReply:
    """Returns the message of a coordinator's reply."""
    if outcome.state is not None:
        return wire.PlaceReply(outcome.state.entry.instance, outcome.grant)
    if outcome.has_no_endpoint:
        return wire.PlaceReply("", 0)
    retry_after_s = outcome.retry_after_s
    return wire.PlaceReply(
        "",
        0,
        is_waiting=outcome.is_waiting,
        retry_after_ms=None if retry_after_s is None else _milliseconds(retry_after_s),
        expected_wait_ms=_milliseconds(outcome.expected_wait_s),
        waiting_ahead=outcome.waiting_ahead,
    )


def _milliseconds(time_s: float) -> int:
    return max(0, min(MAX_MS, round(time_s * 1000)))


def _now() -> float:
    return asyncio.get_running_loop().time()
