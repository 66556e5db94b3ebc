"""Requests that wait for a place at an endpoint, and the grants of places as they become free.

A coordinator holds the open calls of other hosts here, together with its own requests; a host
without a coordinator holds only its own. Each wait is short: who gets no place asks again with its
age, so nothing else of a wait needs to be kept.
"""

import asyncio
import itertools
from abc import ABC, abstractmethod
from collections.abc import Mapping

import attrs

from bayhinge._internal.decisions.endpoint_state import EndpointState
from bayhinge._internal.decisions.endpoint_table import PlacementPreference
from bayhinge._internal.decisions.first_predictions import FirstPredictions
from bayhinge._internal.decisions.place_queue import PlaceQueue
from bayhinge._internal.decisions.place_request import PlaceRequest
from bayhinge._internal.decisions.queue_positions import QueuePositions
from bayhinge._internal.decisions.returning_callers import ReturningCallers
from bayhinge._internal.decisions.wait_estimate import Refused, WaitEstimate
from bayhinge._internal.services.gateway.place_views import PlaceView

MAX_POLL_S = 0.2
"""Longest wait of one call. A silent coordinator is noticed that late by those that wait there."""

MAX_PASSED_OVER = 32
"""Waiting requests that one round of grants passes over because they may not use the free places,
such as after a failure there. Bounds the work of a round."""


class Requester(ABC):
    """Who sends a request that got a place: this host or another one.

    Attributes:
        name: the other host, or empty.
    """

    name = ""

    def may_get_grant(self) -> bool:
        """Returns whether a grant to it can be counted."""
        return True

    @abstractmethod
    def count(self, state: EndpointState) -> int:
        """Counts a granted place as in use; returns the number of the grant."""

    @abstractmethod
    def revoke(self, state: EndpointState, grant: int) -> None:
        """Stops counting a granted place that the request did not take."""


@attrs.define
class PlaceAsk:
    """A request for a place.

    Attributes:
        request: decides its position in the order; see :meth:`PlaceWaiters.new_ticket`.
        max_wait_s: how long to wait for a place before the reply.
        caller_key: recognizes a caller that returns after a refusal, or None.
    """

    request: PlaceRequest
    preference: PlacementPreference
    excluded: frozenset[str]
    requester: Requester
    max_wait_s: float
    caller_key: int | None = None


@attrs.frozen
class PlaceOutcome:
    """The reply to a :class:`PlaceAsk`.

    Attributes:
        state: the endpoint with the granted place, or None.
        grant: the number of the grant.
        is_waiting: no place became free; to be asked again.
        retry_after_s: set if the request is to be refused.
        expected_wait_s: the predicted wait.
        waiting_ahead: waiting requests that come first.
    """

    state: EndpointState | None = None
    grant: int = 0
    is_waiting: bool = False
    retry_after_s: float | None = None
    expected_wait_s: float = 0.0
    waiting_ahead: int = 0

    @property
    def has_no_endpoint(self) -> bool:
        """Whether no endpoint of the service is left for the request."""
        return self.state is None and not self.is_waiting and self.retry_after_s is None


NO_ENDPOINT = PlaceOutcome()


@attrs.define(eq=False)
class _Waiter:
    """A waiting call; ``asked_s`` is its arrival without the age of a refused first try."""

    ask: PlaceAsk
    asked_s: float
    outcome: "asyncio.Future[PlaceOutcome]"
    if_waiting: PlaceOutcome = PlaceOutcome(is_waiting=True)


class PlaceWaiters:
    """Grants the places of a view to requests, in the order of a queue."""

    def __init__(
        self,
        view: PlaceView,
        queue: PlaceQueue,
        estimate: WaitEstimate,
        returning: ReturningCallers,
    ) -> None:
        self._view = view
        self._queue = queue
        self._estimate = estimate
        self._returning = returning
        self._positions = QueuePositions(queue)
        self._predictions = FirstPredictions()
        self._waiter_by_ticket: dict[int, _Waiter] = {}
        self._waiting_by_service: dict[str, int] = {}
        self._tickets = itertools.count(1)
        self._is_round_scheduled = False
        self.granted_after_wait = 0

    @property
    def waiting(self) -> int:
        """The number of waiting requests."""
        return len(self._waiter_by_ticket)

    def new_ticket(self) -> int:
        """Returns the ticket of a new request."""
        return next(self._tickets)

    def waiting_by_service(self) -> Mapping[str, int]:
        """Returns the number of waiting requests of each service that has any."""
        return self._waiting_by_service

    def wake(self) -> None:
        """Notes that places may have become free; grants them once the loop has caught up."""
        if self._waiter_by_ticket and not self._is_round_scheduled:
            self._is_round_scheduled = True
            asyncio.get_running_loop().call_soon(self._grant_all)

    async def place(self, ask: PlaceAsk) -> PlaceOutcome:
        """Returns a place, a refusal, or after ``ask.max_wait_s`` seconds that none was free.

        A granted place of this host's own requests is no longer counted on return: the caller
        must count the request before it next yields to the event loop.
        """
        self._view.refresh()
        now, asked_s = _now(), ask.request.arrived_s
        if ask.caller_key is not None:
            arrived_s = self._returning.arrival(ask.caller_key, asked_s, now)
            if arrived_s != asked_s:
                ask.request = attrs.evolve(ask.request, arrived_s=arrived_s)
        request = ask.request
        has_waiting = request.service in self._waiting_by_service
        if has_waiting and not ask.excluded and not self._view.has_free(request.service):
            return await self._wait(ask, now, asked_s, is_full=True)
        choice = self._view.choose(request.service, ask.preference, ask.excluded)
        if choice.state is None and not choice.is_full:
            return NO_ENDPOINT
        if choice.state is not None and not has_waiting:
            self._queue.record_grant(request, now)
            self._record_wait(ask, asked_s, now)
            grant = ask.requester.count(choice.state)
            return self._hand_over(ask, PlaceOutcome(choice.state, grant))
        return await self._wait(ask, now, asked_s, choice.is_full)

    async def _wait(self, ask: PlaceAsk, now: float, asked_s: float, is_full: bool) -> PlaceOutcome:
        waiter = _Waiter(ask, asked_s, asyncio.get_running_loop().create_future())
        self._add(waiter)
        timer: asyncio.TimerHandle | None = None
        try:
            if not is_full:
                # A place is free, but others wait for the service.
                self._grant_free(ask.request.service)
            if not waiter.outcome.done():
                refusal = self._assess(waiter, now)
                if refusal is not None:
                    return refusal
                if ask.max_wait_s <= 0:
                    return waiter.if_waiting
                timer = asyncio.get_running_loop().call_later(
                    ask.max_wait_s, self._end, waiter, waiter.if_waiting
                )
            outcome = await waiter.outcome
        except asyncio.CancelledError:
            self._revoke(waiter)
            raise
        finally:
            self._remove(waiter)
            if timer is not None:
                timer.cancel()
        return self._hand_over(ask, outcome)

    def _assess(self, waiter: _Waiter, now: float) -> PlaceOutcome | None:
        """Predicts a wait; returns the refusal of a request that would get its place too late."""
        request = waiter.ask.request
        ahead = self._positions.ahead_of(request, now)
        places = self._view.places(request.service)
        verdict = self._estimate.verdict(request, ahead, places, now)
        if isinstance(verdict, Refused):
            if waiter.ask.caller_key is not None:
                self._returning.record_refusal(waiter.ask.caller_key, request.arrived_s, now)
            return PlaceOutcome(
                retry_after_s=verdict.retry_after_s,
                expected_wait_s=verdict.expected_wait_s,
                waiting_ahead=ahead,
            )
        self._predictions.record_call(
            _caller(waiter.ask), waiter.asked_s, verdict.expected_wait_s, now
        )
        waiter.if_waiting = PlaceOutcome(
            is_waiting=True, expected_wait_s=verdict.expected_wait_s, waiting_ahead=ahead
        )
        return None

    def _hand_over(self, ask: PlaceAsk, outcome: PlaceOutcome) -> PlaceOutcome:
        """Passes a place of this host's own request on to the caller, which counts it itself."""
        if outcome.state is not None and isinstance(ask.requester, OwnRequester):
            ask.requester.revoke(outcome.state, outcome.grant)
        return outcome

    # ---- grants ----

    def _grant_all(self) -> None:
        self._is_round_scheduled = False
        self._view.refresh()
        for service in list(self._waiting_by_service):
            self._grant_free(service)

    def _grant_free(self, service: str) -> None:
        """Grants the free places of a service to its waiting requests, in their order.

        If this host is no longer in charge of the places, all requests are told to ask again.
        """
        if not self._view.is_in_charge():
            for waiter in list(self._waiter_by_ticket.values()):
                self._end(waiter, waiter.if_waiting)
            return
        passed_over: set[int] = set()
        while len(passed_over) < MAX_PASSED_OVER and self._view.has_free(service):
            if not self._grant_next(service, passed_over):
                return

    def _grant_next(self, service: str, passed_over: set[int]) -> bool:
        """Grants one place; returns whether there may be more to grant."""
        now = _now()
        for request in self._queue.in_order(service, now):
            if request.ticket in passed_over:
                continue
            waiter = self._waiter_by_ticket[request.ticket]
            if waiter.outcome.done():
                # Its caller has left in this iteration of the event loop.
                self._remove(waiter)
                return True
            choice = self._view.choose(service, waiter.ask.preference, waiter.ask.excluded)
            if choice.state is not None and waiter.ask.requester.may_get_grant():
                self._grant(waiter, choice.state, now)
                return True
            if choice.state is not None or not choice.is_full:
                self._end(waiter, NO_ENDPOINT if choice.state is None else waiter.if_waiting)
                return True
            if not waiter.ask.excluded:
                return False
            passed_over.add(request.ticket)
            if len(passed_over) >= MAX_PASSED_OVER:
                return False
        return False

    def _grant(self, waiter: _Waiter, state: EndpointState, now: float) -> None:
        request = waiter.ask.request
        grant = waiter.ask.requester.count(state)
        self._queue.record_grant(request, now)
        self._record_wait(waiter.ask, waiter.asked_s, now)
        self._end(waiter, PlaceOutcome(state, grant))

    def _record_wait(self, ask: PlaceAsk, asked_s: float, now: float) -> None:
        """Compares a wait that ends in a grant with its prediction, unless there was no wait."""
        wait = self._predictions.find(_caller(ask), asked_s)
        if wait is not None:
            self.granted_after_wait += 1
            self._estimate.record_grant(
                ask.request.service, now - wait.began_s, wait.predicted_s, now
            )

    def _end(self, waiter: _Waiter, outcome: PlaceOutcome) -> None:
        self._remove(waiter)
        if not waiter.outcome.done():
            waiter.outcome.set_result(outcome)

    def _revoke(self, waiter: _Waiter) -> None:
        """Returns the place that was granted just before the caller left."""
        if not waiter.outcome.done() or waiter.outcome.cancelled():
            return
        outcome = waiter.outcome.result()
        if outcome.state is not None:
            waiter.ask.requester.revoke(outcome.state, outcome.grant)
            self.wake()

    # ---- the queue ----

    def _add(self, waiter: _Waiter) -> None:
        request = waiter.ask.request
        self._queue.add(request)
        self._waiter_by_ticket[request.ticket] = waiter
        waiting = self._waiting_by_service.get(request.service, 0)
        self._waiting_by_service[request.service] = waiting + 1

    def _remove(self, waiter: _Waiter) -> None:
        request = waiter.ask.request
        if self._waiter_by_ticket.pop(request.ticket, None) is None:
            return
        self._queue.remove(request.ticket)
        self._waiting_by_service[request.service] -= 1
        if not self._waiting_by_service[request.service]:
            del self._waiting_by_service[request.service]


class OwnRequester(Requester):
    """This host; the place counts among its own requests until the request itself does."""

    def count(self, state: EndpointState) -> int:
        """See :class:`Requester`."""
        state.running_here += 1
        return 0

    def revoke(self, state: EndpointState, grant: int) -> None:
        """See :class:`Requester`."""
        state.running_here -= 1


def _caller(ask: PlaceAsk) -> tuple[str, str, str]:
    return ask.requester.name, ask.request.service, ask.request.account


def _now() -> float:
    return asyncio.get_running_loop().time()
