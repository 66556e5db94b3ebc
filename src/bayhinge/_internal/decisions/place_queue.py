"""Requests that wait for a place at an endpoint of a service, in the order of service. Pure.

Kept by a hall's coordinator for all hosts, or by a host that places alone for its own requests.
"""

from bisect import bisect_left, insort
from collections.abc import Callable, Iterator, Mapping, Set
from heapq import heapify, heappop, heapreplace

import attrs

from bayhinge._internal.decisions.account_shares import AccountShares
from bayhinge._internal.decisions.place_lane import OLDEST_EVERY_GRANTS, Lane
from bayhinge._internal.decisions.place_request import PlaceRequest, by_age


class PlaceQueue:
    """The waiting requests of one coordinator, by service."""

    def __init__(self) -> None:
        self._request_by_ticket: dict[int, PlaceRequest] = {}
        self._queue_by_service: dict[str, _ServiceQueue] = {}
        self._shares = AccountShares()

    def add(self, request: PlaceRequest) -> None:
        """Adds a request; replaces one with the same ticket."""
        self.remove(request.ticket)
        self._request_by_ticket[request.ticket] = request
        queue = self._queue_by_service.setdefault(request.service, _ServiceQueue())
        if queue.insert(request):
            self._shares.start_waiting(request.group, request.account, request.arrived_s)

    def remove(self, ticket: int) -> None:
        """Removes a request that no longer waits; one that is not in the queue is ignored."""
        request = self._request_by_ticket.pop(ticket, None)
        if request is not None and self._queue_by_service[request.service].delete(request):
            self._shares.stop_waiting(request.group, request.account)

    def waiting(self, service: str) -> int:
        """Returns how many requests wait for a service."""
        queue = self._queue_by_service.get(service)
        return 0 if queue is None else len(queue)

    def waiting_by_service(self) -> Mapping[str, int]:
        """Returns how many requests wait for each service, without those that have none."""
        return {service: len(queue) for service, queue in self._queue_by_service.items() if queue}

    def in_order(self, service: str, now_s: float) -> Iterator[PlaceRequest]:
        """Yields the waiting requests of a service in the order in which they get places.

        Requests that are removed meanwhile are left out; the order after other changes of the queue
        is that of a new call.
        """
        queue = self._queue_by_service.get(service)
        if queue is None:
            return iter(())
        return iter(_GrantOrder(queue, self._shares, service, now_s))

    def ahead_of(self, request: PlaceRequest, now_s: float) -> int:
        """Returns how many waiting requests get a place before this one, which may not wait yet."""
        if request.ticket in self._request_by_ticket:
            return self._position(request, now_s)
        queue = self._queue_by_service.get(request.service)
        if not queue:
            return 0
        queue.insert(request)
        try:
            return self._position(request, now_s)
        finally:
            queue.delete(request)

    def rank_in_account(self, request: PlaceRequest, now_s: float) -> int:
        """Returns how many requests of its account and urgency come before a waiting request."""
        lanes = self._queue_by_service[request.service].lane_by_account_by_urgency
        finish_s = now_s + self._shares.long_duration_s(request.service)
        return lanes[request.urgency][request.account].rank(request, finish_s)

    def record_grant(self, request: PlaceRequest, now_s: float) -> None:
        """Removes a request that got a place; called also for one that never had to wait."""
        self._shares.record_grant(request.group, request.account, now_s)
        waiting = self._request_by_ticket.get(request.ticket)
        if waiting is not None:
            self._queue_by_service[waiting.service].count_grant(
                waiting, now_s + self._shares.long_duration_s(waiting.service)
            )
            self.remove(request.ticket)

    def record_duration(self, service: str, account: str, duration_s: float) -> None:
        """Counts the service time that a request of an account has used, once it has ended."""
        self._shares.record_duration(service, account, duration_s)

    def _position(self, request: PlaceRequest, now_s: float) -> int:
        """Returns how many requests come before one that is in the queue of its service."""
        for position, other in enumerate(self.in_order(request.service, now_s)):
            if other.ticket == request.ticket:
                return position
        return 0


@attrs.define
class _UrgencyRound:
    """Grants to waiting requests since the last one that was due to a starving urgency.

    Attributes:
        served: the urgencies of these grants; others that wait are starving.
    """

    grants: int = 0
    served: set[int] = attrs.field(factory=set)

    @property
    def is_due(self) -> bool:
        """Whether the next grant goes to a starving urgency, if there is one."""
        return self.grants + 1 >= OLDEST_EVERY_GRANTS

    def count(self, urgency: int, ends: bool) -> None:
        """Counts a grant, which may end the round."""
        if ends:
            self.grants = 0
            self.served.clear()
        else:
            self.grants += 1
            self.served.add(urgency)

    def copy(self) -> "_UrgencyRound":
        """Returns a copy, to simulate grants."""
        return _UrgencyRound(self.grants, set(self.served))


class _ServiceQueue:
    """Waiting requests of one service.

    Attributes:
        tickets: the tickets of all.
        by_age: all, in the order of arrival.
        lane_by_account_by_urgency: the same requests in the order in which they get places.
    """

    def __init__(self) -> None:
        self.tickets: set[int] = set()
        self.by_age: list[PlaceRequest] = []
        self.lane_by_account_by_urgency: dict[int, dict[str, Lane]] = {}
        self.round = _UrgencyRound()

    def __len__(self) -> int:
        return len(self.by_age)

    def insert(self, request: PlaceRequest) -> bool:
        """Inserts a request; returns whether its account had none of its urgency waiting."""
        self.tickets.add(request.ticket)
        insort(self.by_age, request, key=by_age)
        lanes = self.lane_by_account_by_urgency.setdefault(request.urgency, {})
        lane = lanes.setdefault(request.account, Lane())
        lane.insert(request)
        return len(lane) == 1

    def delete(self, request: PlaceRequest) -> bool:
        """Deletes a request; returns whether its account has none of its urgency waiting now."""
        self.tickets.discard(request.ticket)
        del self.by_age[bisect_left(self.by_age, by_age(request), key=by_age)]
        lanes = self.lane_by_account_by_urgency[request.urgency]
        lane = lanes[request.account]
        lane.delete(request)
        if lane:
            return False
        del lanes[request.account]
        if not lanes:
            del self.lane_by_account_by_urgency[request.urgency]
        return True

    def oldest_starving(
        self, finish_s: float, served: Set[int], is_left: Callable[[PlaceRequest], bool]
    ) -> PlaceRequest | None:
        """Returns the oldest request of the urgencies that were not served, or None.

        Its caller must still wait at ``finish_s``, when it would end: a place for another one would
        be lost, as its caller is expected to give up before.
        """
        if self.lane_by_account_by_urgency.keys() <= served:
            return None
        for request in self.by_age:
            is_starving = request.urgency not in served
            if is_starving and request.deadline_s >= finish_s and is_left(request):
                return request
        return None

    def count_grant(self, request: PlaceRequest, finish_s: float) -> None:
        """Counts the grant of a waiting request, before it is deleted."""
        starving = None
        is_due = self.round.is_due
        if is_due:
            starving = self.oldest_starving(finish_s, self.round.served, lambda _: True)
        if starving is not request:
            self.lane_by_account_by_urgency[request.urgency][request.account].count_grant()
        self.round.count(request.urgency, ends=is_due and starving in (None, request))


class _GrantOrder:
    """The order in which the waiting requests of a service get places.

    Grants are simulated: each one adds the expected service time to its account's counter. Only
    what is asked for is computed, as for each free place the first request is needed.
    """

    def __init__(
        self, queue: _ServiceQueue, shares: AccountShares, service: str, now_s: float
    ) -> None:
        self._queue = queue
        self._shares = shares
        self._service = service
        self._expected_us = shares.expected_us(service)
        self._finish_s = now_s + shares.long_duration_s(service)
        self._granted: set[int] = set()
        self._granted_us_by_account: dict[str, int] = {}

    def __iter__(self) -> Iterator[PlaceRequest]:
        queue, granted_us = self._queue, self._granted_us_by_account
        simulated = queue.round.copy()
        by_shares = self._by_urgency()
        while True:
            request = None
            is_due = simulated.is_due
            if is_due:
                request = queue.oldest_starving(self._finish_s, simulated.served, self._is_left)
            request = request or next(by_shares, None)
            if request is None:
                return
            simulated.count(request.urgency, ends=is_due)
            self._granted.add(request.ticket)
            granted_us[request.account] = granted_us.get(request.account, 0) + self._expected_us
            yield request

    def _by_urgency(self) -> Iterator[PlaceRequest]:
        """Yields the requests without regard to starving urgencies."""
        for urgency in sorted(self._queue.lane_by_account_by_urgency):
            lanes = dict(self._queue.lane_by_account_by_urgency.get(urgency, {}))
            yield from self._by_account(urgency, lanes)

    def _by_account(self, urgency: int, lanes: dict[str, Lane]) -> Iterator[PlaceRequest]:
        """Yields the requests of one urgency.

        Among equal counters, the account that began to wait first goes first.
        """
        granted_us = self._granted_us_by_account
        start_us = self._shares.counters_us((self._service, urgency), lanes)
        requests_by_account: dict[str, Iterator[PlaceRequest]] = {}
        accounts = [
            (counter_us + granted_us.get(account, 0), index, account)
            for index, (account, counter_us) in enumerate(start_us.items())
        ]
        heapify(accounts)
        while accounts:
            counter_us, index, account = accounts[0]
            actual_us = start_us[account] + granted_us.get(account, 0)
            if counter_us < actual_us:
                # The account has had a grant since.
                heapreplace(accounts, (actual_us, index, account))
                continue
            requests = requests_by_account.get(account)
            if requests is None:
                requests = lanes[account].in_order(self._finish_s, self._is_left)
                requests_by_account[account] = requests
            request = next(requests, None)
            if request is None:
                heappop(accounts)
            else:
                yield request

    def _is_left(self, request: PlaceRequest) -> bool:
        """Whether a request still waits and has no simulated grant."""
        return request.ticket in self._queue.tickets and request.ticket not in self._granted
