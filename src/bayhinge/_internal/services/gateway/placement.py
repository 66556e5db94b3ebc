"""Places requests on endpoints, through a hall's coordinator or locally.

A coordinator knows the running requests of all hosts at its hall's endpoints; a host alone knows
those of others only with a delay of some tenths of a second. A request waits at the coordinator
until an endpoint has a place for it. If no coordinator answers in time, the host places the request
itself, within its share: coordinators improve placement but are never required.
"""

import asyncio
import math
from collections.abc import Iterable

import attrs

from bayhinge._internal.decisions.endpoint_state import EndpointState
from bayhinge._internal.decisions.endpoint_table import (
    EndpointTable,
    PlacementPreference,
)
from bayhinge._internal.decisions.place_limits import PlaceLimits
from bayhinge._internal.decisions.place_queue import PlaceQueue
from bayhinge._internal.decisions.place_request import PlaceRequest
from bayhinge._internal.decisions.returning_callers import ReturningCallers
from bayhinge._internal.decisions.wait_estimate import WaitEstimate
from bayhinge._internal.network.peers import Peers
from bayhinge._internal.services.gateway.coordinator_client import CoordinatorClient
from bayhinge._internal.services.gateway.hall_coordinators import HallCoordinators
from bayhinge._internal.services.gateway.load_exchange import (
    REPORT_DELAY_S,
    LoadExchange,
)
from bayhinge._internal.services.gateway.place_answers import PlaceAnswers
from bayhinge._internal.services.gateway.place_demand import PlaceDemand
from bayhinge._internal.services.gateway.place_views import HallPlaces, LocalShare
from bayhinge._internal.services.gateway.place_waiters import (
    MAX_POLL_S,
    OwnRequester,
    PlaceAsk,
    PlaceOutcome,
    PlaceWaiters,
)
from bayhinge._internal.services.gateway.place_waits import PlaceWait, WaitCounts
from bayhinge._internal.services.gateway.placer import Placer
from bayhinge._internal.wire.hosts import ttypes as wire

MAX_FAILED_CALLS = 3
"""Coordinators that one round asks if each fails to answer; then the host places by itself."""

MIN_POLL_S = 0.05
"""Shortest time between the calls of a waiting request, even if a coordinator replies sooner: a
faulty one must not keep its hosts busy."""

RECENT_WAIT_S = 1.0
"""For so long after a request of a service had to wait, the next ones offer to wait in their first
call. Otherwise a first call asks for a reply at once, so that a silent coordinator delays a request
that needs no wait by the answer timeout only."""

PROBE_PAUSE_S = 0.1
"""Shortest time between two probes of the coordinator. Longer than the timeout of its answer."""

END_MARGIN_S = 0.02
"""Part of a caller's time that is left for the refusal, so that it gets there before the end."""


@attrs.define(eq=False, repr=False)
class PlacementCounts:
    """Requests by who placed them."""

    by_coordinator: int = 0
    as_coordinator: int = 0
    local: int = 0


class CoordinatorPlacer(Placer):
    """Asks the coordinator of a hall, and falls back to a choice within this host's share."""

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
        self._hall = hall
        self._client = CoordinatorClient(endpoint_table, coordinators, exchange, peers)
        self.limits = PlaceLimits()
        self._estimate = WaitEstimate()
        self._hall_queue = PlaceQueue()
        self._local_queue = PlaceQueue()
        self._share = LocalShare(endpoint_table, coordinators)
        places = HallPlaces(endpoint_table, exchange, coordinators, self.limits, hall)
        self.hall_waiters = PlaceWaiters(
            places, self._hall_queue, self._estimate, ReturningCallers()
        )
        # A host alone refuses nothing ahead of time: the next coordinator may be a moment away.
        self.local_waiters = PlaceWaiters(
            self._share, self._local_queue, WaitEstimate(refuses=False), ReturningCallers()
        )
        self._answers = PlaceAnswers(
            endpoint_table, coordinators, exchange, self.hall_waiters, hall
        )
        self._queue_by_demand: dict[PlaceDemand, PlaceQueue] = {}
        self._last_wait_s_by_service: dict[str, float] = {}
        self._probe: asyncio.Task[None] | None = None
        self._probed_s = -math.inf
        self.counts = PlacementCounts()
        self.wait_counts = WaitCounts()
        exchange.waiting_by_service = self.hall_waiters.waiting_by_service
        exchange.on_loads = self.hall_waiters.wake

    def wake(self) -> None:
        """Grants places that a change of the endpoints may have freed."""
        self.hall_waiters.wake()
        self.local_waiters.wake()

    def handle_peer_loads(self) -> None:
        """Notes that the loads in the other hosts' heartbeats were applied."""
        self._share.forget_views()
        self.wake()

    # ---- this host's requests ----

    async def place(
        self,
        service: str,
        preference: PlacementPreference,
        tried: Iterable[str],
        demand: PlaceDemand,
    ) -> EndpointState | None:
        """See :class:`Placer`."""
        excluded = set(tried)
        outcome = await self._ask_round(service, preference, excluded, demand)
        if not outcome.is_waiting and outcome.retry_after_s is None:
            # The usual case: a place was free, or there is no endpoint.
            if outcome.state is None or self._is_usable(outcome.state):
                return outcome.state
            outcome = attrs.evolve(outcome, state=None, is_waiting=True)
        with PlaceWait(service, demand, self.wait_counts, self._endpoint_table) as wait:
            return await self._wait(wait, outcome, preference, excluded)

    async def _wait(
        self,
        wait: PlaceWait,
        outcome: PlaceOutcome,
        preference: PlacementPreference,
        excluded: set[str],
    ) -> EndpointState | None:
        """Asks again until a place is granted, the request is refused, or its time is over."""
        began_s = _now()
        while True:
            wait.record_reply(outcome)
            if outcome.retry_after_s is not None:
                raise wait.refused()
            if not outcome.is_waiting:
                if outcome.state is None:
                    return None
                if self._is_usable(outcome.state):
                    wait.record_grant()
                    return outcome.state
            self._last_wait_s_by_service[wait.service] = _now()
            left_s = wait.demand.deadline_s - END_MARGIN_S - _now()
            if left_s <= 0:
                raise wait.time_over()
            # The first reply asks for the wait, and needs no pause.
            if wait.replies > 1:
                await asyncio.sleep(min(left_s, max(0.0, began_s + MIN_POLL_S - _now())))
            began_s = _now()
            outcome = await self._ask_round(
                wait.service, preference, excluded, wait.demand, max_wait_s=min(MAX_POLL_S, left_s)
            )

    async def _ask_round(
        self,
        service: str,
        preference: PlacementPreference,
        excluded: set[str],
        demand: PlaceDemand,
        max_wait_s: float | None = None,
    ) -> PlaceOutcome:
        """Asks the coordinator, its successors if it fails, and at last this host itself."""
        preferred = self._endpoint_table.find_incarnation(preference.incarnation)
        hall = self._hall
        # A hall without hosts has endpoints; the own hall's coordinator may place there as well.
        if preferred is not None and self._coordinators.coordinator_of(preferred.entry.hall):
            hall = preferred.entry.hall
        if max_wait_s is None:
            max_wait_s = self._first_wait_s(service, demand)
        for _ in range(MAX_FAILED_CALLS):
            coordinator = self._coordinators.coordinator_of(hall)
            if coordinator is None or hall == self._coordinators.coordinated_hall:
                break
            began_s = _now()
            outcome = await self._client.ask(
                coordinator, service, preference, excluded, demand, max_wait_s
            )
            if outcome is not None and outcome.has_no_endpoint:
                break
            if outcome is not None:
                if outcome.state is not None:
                    self.counts.by_coordinator += 1
                if not max_wait_s:
                    self.limits.record_delay(REPORT_DELAY_S + _now() - began_s)
                return outcome
        return await self._place_here(service, preference, excluded, demand, max_wait_s)

    def _first_wait_s(self, service: str, demand: PlaceDemand) -> float:
        """Returns how long a request offers to wait in its first call, in seconds."""
        last_wait_s = self._last_wait_s_by_service.get(service, -math.inf)
        now = _now()
        if now - last_wait_s > RECENT_WAIT_S:
            return 0.0
        return max(0.0, min(MAX_POLL_S, demand.deadline_s - END_MARGIN_S - now))

    async def _place_here(
        self,
        service: str,
        preference: PlacementPreference,
        excluded: set[str],
        demand: PlaceDemand,
        max_wait_s: float,
    ) -> PlaceOutcome:
        """Asks this host itself, as the coordinator of its hall or within its share."""
        is_coordinator = (
            bool(self._coordinators.coordinated_hall) and not self._coordinators.is_isolated
        )
        waiters = self.hall_waiters if is_coordinator else self.local_waiters
        queue = self._hall_queue if is_coordinator else self._local_queue
        ask = PlaceAsk(
            _request_of(service, demand, waiters.new_ticket()),
            preference,
            frozenset(excluded),
            OwnRequester(),
            max_wait_s,
            demand.caller_key,
        )
        outcome = await waiters.place(ask)
        state = outcome.state
        if state is not None and self._is_usable(state):
            # Its duration counts where its grant was counted.
            self._queue_by_demand[demand] = queue
        if state is not None:
            if is_coordinator:
                self.counts.as_coordinator += 1
            else:
                self.counts.local += 1
            if state.entry.hall != self._coordinators.coordinated_hall:
                # The endpoint's coordinator did not grant this request, so report it.
                self._exchange.mark_changed(state)
        return outcome

    def _is_usable(self, state: EndpointState) -> bool:
        """Whether an endpoint may still get a request, after a wait in which it may have ended."""
        return self._endpoint_table.is_current(state) and not state.entry.is_leaving

    def record_end(self, state: EndpointState, demand: PlaceDemand, ran_s: float | None) -> None:
        """See :class:`Placer`."""
        queue = self._queue_by_demand.pop(demand, None)
        if ran_s is not None:
            service = state.entry.service
            self.limits.record_duration(service, ran_s)
            self._estimate.record_duration(service, ran_s)
            if queue is not None:
                queue.record_duration(service, demand.account, ran_s)
        self._exchange.mark_changed(state)
        self.wake()

    def clear_loads(self, host: str) -> None:
        """Stops counting the requests of a host whose connection has ended, until its report.

        The connections of a killed process end at once, and with them its requests at endpoints.
        """
        self._exchange.clear_loads(host)
        self.wake()

    async def answer(self, call: wire.PlaceCall) -> wire.PlaceReply:
        """Places another host's request, as the coordinator of this hall."""
        if not self._coordinators.coordinated_hall:
            self._probe_coordinator()
        return await self._answers.answer(call)

    def _probe_coordinator(self) -> None:
        """Probes the coordinator in place of which another host has asked this one.

        The other host may have got no answer from it. Without requests of its own, this host would
        notice that only by the missing heartbeats, and refer all hosts to a dead coordinator.
        """
        coordinator = self._coordinators.coordinator_of(self._hall)
        if coordinator is not None and _now() - self._probed_s >= PROBE_PAUSE_S:
            self._probed_s = _now()
            self._probe = asyncio.get_running_loop().create_task(self._client.probe(coordinator))


def _request_of(service: str, demand: PlaceDemand, ticket: int) -> PlaceRequest:
    """Returns one of this host's own requests as a queue orders it."""
    return PlaceRequest(
        ticket,
        service,
        demand.urgency,
        demand.account,
        demand.begins_program,
        demand.arrived_s,
        demand.deadline_s,
        demand.objective_s,
        demand.program_deadline_s,
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
