"""Answers the place calls of other hosts, as the coordinator of a hall."""

import asyncio

from bayhinge._internal.decisions.endpoint_state import EndpointState
from bayhinge._internal.decisions.endpoint_table import (
    EndpointTable,
    PlacementPreference,
)
from bayhinge._internal.decisions.place_request import PlaceRequest
from bayhinge._internal.models.endpoint_entries import EndpointIncarnation
from bayhinge._internal.services.gateway.coordinator_client import outcome_reply
from bayhinge._internal.services.gateway.hall_coordinators import HallCoordinators
from bayhinge._internal.services.gateway.load_exchange import LoadExchange
from bayhinge._internal.services.gateway.place_waiters import (
    MAX_POLL_S,
    PlaceAsk,
    PlaceWaiters,
    Requester,
)
from bayhinge._internal.wire.hosts import ttypes as wire


class PlaceAnswers:
    """Answers place calls with the places that a coordinator's waiters grant."""

    def __init__(
        self,
        endpoint_table: EndpointTable,
        coordinators: HallCoordinators,
        exchange: LoadExchange,
        waiters: PlaceWaiters,
        hall: str,
    ) -> None:
        self._endpoint_table = endpoint_table
        self._coordinators = coordinators
        self._exchange = exchange
        self._waiters = waiters
        self._hall = hall

    async def answer(self, call: wire.PlaceCall) -> wire.PlaceReply:
        """Places another host's request, as the coordinator of this hall."""
        if not self._coordinators.coordinated_hall:
            coordinator = self._coordinators.coordinator_of(self._hall)
            return wire.PlaceReply("", 0, None if coordinator is None else coordinator.host)
        if self._exchange.receive_loads(call.loads):
            self._waiters.wake()
        # The caller would use the old address of endpoints whose restart it does not know yet.
        outdated = self._endpoint_table.incarnation_revisions.not_known_by(
            call.loads.endpoints_known_to
        )
        excluded = frozenset({*call.avoid, *outdated})
        if call.time_left_ms is None:
            return self._answer_at_once(call, excluded)
        ask = PlaceAsk(
            _request_of(call, self._waiters.new_ticket(), _now()),
            _preference_of(call),
            excluded,
            _OtherHost(self._exchange, call.loads.host),
            min(MAX_POLL_S, (call.max_wait_ms or 0) / 1000),
            call.caller_key,
        )
        return outcome_reply(await self._waiters.place(ask))

    def _answer_at_once(self, call: wire.PlaceCall, excluded: frozenset[str]) -> wire.PlaceReply:
        """Places a request of a host of an earlier release, which can't wait."""
        self._exchange.refresh_endpoint_table()
        state = self._endpoint_table.choose(
            call.service_name, _preference_of(call), excluded, _now()
        )
        if state is None:
            return wire.PlaceReply("", 0)
        return wire.PlaceReply(state.entry.instance, self._exchange.grant(call.loads.host, state))


class _OtherHost(Requester):
    """Another host, whose requests count from the grant until its next report."""

    def __init__(self, exchange: LoadExchange, host: str) -> None:
        self._exchange = exchange
        self.name = host

    def may_get_grant(self) -> bool:
        """See :class:`Requester`."""
        return self._exchange.may_grant(self.name)

    def count(self, state: EndpointState) -> int:
        """See :class:`Requester`."""
        return self._exchange.grant(self.name, state)

    def revoke(self, state: EndpointState, grant: int) -> None:
        """See :class:`Requester`."""
        self._exchange.revoke_grant(self.name, grant, state)


def _request_of(call: wire.PlaceCall, ticket: int, now_s: float) -> PlaceRequest:
    """Returns a call's request on this host's clock."""
    deadline_s = now_s + call.time_left_ms / 1000
    objective_ms, program_ms = call.objective_left_ms, call.program_left_ms
    return PlaceRequest(
        ticket,
        call.service_name,
        call.urgency,
        call.account,
        call.begins_program,
        now_s - (call.waited_ms or 0) / 1000,
        deadline_s,
        deadline_s if objective_ms is None else now_s + objective_ms / 1000,
        None if program_ms is None else now_s + program_ms / 1000,
    )


def _preference_of(call: wire.PlaceCall) -> PlacementPreference:
    """Returns the preference that a call carries."""
    return PlacementPreference(
        EndpointIncarnation(call.wished, call.wished_born_ms),
        call.shared_part,
        call.kept_tokens,
        call.shared_tokens,
        frozenset(call.connected or ()),
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
