"""Plays drawn arrivals against places of one service, in virtual time."""

import random
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import Any

import attrs

from bayhinge._internal.decisions.place_queue import PlaceQueue
from bayhinge._internal.decisions.place_request import PlaceRequest
from bayhinge._internal.decisions.returning_callers import ReturningCallers
from bayhinge._internal.decisions.wait_estimate import (
    MAX_RETRY_SHARE,
    Refused,
    WaitEstimate,
    latest_start_s,
)

SERVICE = "engine"
MAX_TRIES = 3
"""How often a caller sends a request at most, with its retries after refusals."""


@attrs.frozen
class Load:
    """What arrives: as many requests a second as places, times ``load``; usual duration 1 s.

    Attributes:
        shares: share of the requests by urgency.
        storm: factor of the load of account 0.
        begun: share of the requests of begun programs.
        patience_s: bounds of the time until a caller gives up.
        until_s: when the arrivals end.
    """

    load: float
    places: int = 72
    accounts: int = 87
    shares: tuple[tuple[int, float], ...] = ((5, 1.0),)
    storm: float = 1.0
    begun: float = 0.75
    patience_s: tuple[float, float] = (4.0, 16.0)
    until_s: float = 36.0

    def draw(self, seed: int) -> list["Arrival"]:
        """Draws each account's requests separately: a storm leaves those of others the same."""
        arrivals: list[Arrival] = []
        for account in range(self.accounts):
            drawn = random.Random(f"{seed} {account}")
            per_s = self.load * self.places / self.accounts * (self.storm if not account else 1.0)
            at_s = drawn.expovariate(per_s)
            while at_s < self.until_s:
                arrivals.append(self._arrival(drawn, at_s, account))
                at_s += drawn.expovariate(per_s)
        arrivals.sort(key=lambda arrival: arrival.request.arrived_s)
        return arrivals

    def _arrival(self, drawn: random.Random, at_s: float, account: int) -> "Arrival":
        urgencies, weights = zip(*self.shares, strict=True)
        is_first = drawn.random() >= self.begun
        request = PlaceRequest(
            0,
            SERVICE,
            drawn.choices(urgencies, weights)[0],
            f"account-{account}",
            is_first,
            at_s,
            at_s + drawn.uniform(*self.patience_s),
            at_s + drawn.uniform(3.0, 8.0),
            None if is_first else at_s + drawn.uniform(3.0, 20.0),
        )
        return Arrival(request, drawn.lognormvariate(-0.125, 0.5))


@attrs.define(eq=False)
class Arrival:
    """A caller's request, and what became of it.

    Attributes:
        tries: how often it was sent.
        wait_began_s: when its wait began at the last try, by the queue.
    """

    request: PlaceRequest
    duration_s: float
    tries: int = 0
    wait_began_s: float = 0.0
    granted_s: float | None = None
    is_refused: bool = False

    @property
    def is_in_time(self) -> bool:
        """Whether it was answered in time for its caller and its program."""
        request = self.request
        if self.granted_s is None or self.granted_s > latest_start_s(request):
            return False
        return self.granted_s + self.duration_s <= min(request.deadline_s, request.due_s)


class Play:
    """One play; without an estimate, nothing is refused."""

    def __init__(self, load: Load, queue: PlaceQueue, estimate: WaitEstimate | None) -> None:
        self._load, self._queue, self._estimate = load, queue, estimate
        self._callers = ReturningCallers()
        self._events: list[tuple[float, int, Callable[[float, Any], None], Any]] = []
        self._numbers = count(1)
        self._free = load.places
        self._waiting: dict[int, tuple[Arrival, float, float]] = {}

    def run(self, seed: int) -> list[Arrival]:
        """Returns the arrivals with what became of them."""
        arrivals = self._load.draw(seed)
        for arrival in arrivals:
            self._at(arrival.request.arrived_s, self._arrive, arrival)
        while self._events:
            now_s, _, act, subject = heappop(self._events)
            act(now_s, subject)
        assert not self._waiting and self._free == self._load.places
        return arrivals

    def _at(self, at_s: float, act: Callable[[float, Any], None], subject: object) -> None:
        heappush(self._events, (at_s, next(self._numbers), act, subject))

    def _arrive(self, now_s: float, arrival: Arrival) -> None:
        arrival.tries += 1
        key = id(arrival)
        arrival.wait_began_s = self._callers.arrival(key, now_s, now_s)
        request = attrs.evolve(
            arrival.request, ticket=next(self._numbers), arrived_s=arrival.wait_began_s
        )
        if self._free:
            self._start(now_s, arrival, request)
            return
        expected_s = 0.0
        if self._estimate is not None:
            ahead = self._queue.ahead_of(request, now_s)
            verdict = self._estimate.verdict(request, ahead, self._load.places, now_s)
            expected_s = verdict.expected_wait_s
            if isinstance(verdict, Refused):
                self._callers.record_refusal(key, request.arrived_s, now_s)
                time_left_s = request.deadline_s - now_s
                follows = verdict.retry_after_s <= MAX_RETRY_SHARE * time_left_s
                if arrival.tries < MAX_TRIES and follows:
                    self._at(now_s + verdict.retry_after_s, self._arrive, arrival)
                else:
                    arrival.is_refused = True
                return
        self._queue.add(request)
        self._waiting[request.ticket] = arrival, expected_s, now_s
        self._at(request.deadline_s, self._give_up, request.ticket)

    def _give_up(self, now_s: float, ticket: int) -> None:
        if self._waiting.pop(ticket, None) is not None:
            self._queue.remove(ticket)

    def _start(self, now_s: float, arrival: Arrival, request: PlaceRequest) -> None:
        assert arrival.granted_s is None
        self._free -= 1
        arrival.granted_s = now_s
        self._queue.record_grant(request, now_s)
        self._at(now_s + arrival.duration_s, self._end, arrival)

    def _end(self, now_s: float, arrival: Arrival) -> None:
        self._free += 1
        request = arrival.request
        self._queue.record_duration(SERVICE, request.account, arrival.duration_s)
        if self._estimate is not None:
            self._estimate.record_duration(SERVICE, arrival.duration_s)
        head = next(self._queue.in_order(SERVICE, now_s), None)
        if head is None:
            return
        waiting, expected_s, since_s = self._waiting.pop(head.ticket)
        if self._estimate is not None:
            self._estimate.record_grant(SERVICE, now_s - since_s, expected_s, now_s)
        self._start(now_s, waiting, head)
