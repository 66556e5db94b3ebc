"""Guards against requests that are lost, granted twice or overtaken against the rules."""

from collections import Counter
from itertools import islice

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bayhinge._internal.decisions.place_queue import PlaceQueue
from bayhinge._internal.decisions.place_request import PlaceRequest

OLDEST_EVERY_GRANTS = 50
"""As in the queue; not imported, as a queue without the rule must fail here instead of making
these tests large."""

FAR_S = 1e6


def _request(
    ticket: int,
    urgency: int = 5,
    account: str = "",
    first: bool = False,
    arrived_s: float | None = None,
    deadline_s: float = FAR_S,
    due_s: float | None = None,
    service: str = "engine",
) -> PlaceRequest:
    since_s = float(ticket) if arrived_s is None else arrived_s
    return PlaceRequest(
        ticket, service, urgency, account, first, since_s, deadline_s, deadline_s, due_s
    )


def _queue(*requests: PlaceRequest) -> PlaceQueue:
    queue = PlaceQueue()
    for request in requests:
        queue.add(request)
    return queue


def _tickets(queue: PlaceQueue, now_s: float = 0.0, service: str = "engine") -> list[int]:
    return [request.ticket for request in queue.in_order(service, now_s)]


def test_more_urgent_requests_come_first() -> None:
    queue = _queue(_request(1, urgency=9), _request(2, urgency=0), _request(3, urgency=5))
    assert _tickets(queue) == [2, 3, 1]


def test_begun_programs_come_before_first_turns_by_their_remaining_time() -> None:
    queue = _queue(
        _request(1, first=True),
        _request(2, due_s=50.0),
        _request(3, due_s=40.0),
        _request(4, deadline_s=45.0),
        _request(5, first=True),
    )
    assert _tickets(queue) == [3, 4, 2, 1, 5]


def test_those_that_cannot_reach_their_deadline_come_behind_those_that_can() -> None:
    queue = _queue(
        _request(1, due_s=10.5),
        _request(2, due_s=20.0),
        _request(3, first=True, deadline_s=10.5),
        _request(4, first=True, deadline_s=20.0),
    )
    assert _tickets(queue, now_s=9.0) == [1, 2, 3, 4]
    assert _tickets(queue, now_s=10.0) == [2, 1, 4, 3]


def test_accounts_take_turns_and_the_first_to_wait_begins() -> None:
    queue = _queue(*(_request(ticket, account="zeal") for ticket in (1, 2, 3)))
    queue.add(_request(4, account="axon"))
    queue.add(_request(5, account="axon"))
    assert _tickets(queue) == [1, 4, 2, 5, 3]


def test_an_account_that_has_had_service_comes_behind_the_others() -> None:
    queue = _queue(_request(1, account="a"), _request(2, account="a"), _request(3, account="b"))
    queue.record_grant(_request(1, account="a"), 0.0)
    assert _tickets(queue) == [3, 2]
    queue.record_grant(_request(3, account="b"), 0.0)
    queue.add(_request(4, account="b"))
    queue.record_duration("engine", "b", 30.0)
    assert _tickets(queue) == [2, 4]


def test_a_grant_without_a_wait_counts_as_service() -> None:
    queue = _queue(_request(1, account="a"), _request(2, account="b"))
    queue.record_grant(_request(9, account="a"), 0.0)
    assert _tickets(queue) == [2, 1]


def test_services_are_separate() -> None:
    queue = _queue(_request(1), _request(2, service="app", urgency=0))
    assert _tickets(queue) == [1]
    assert _tickets(queue, service="app") == [2]
    assert _tickets(queue, service="unknown") == []
    assert queue.waiting("unknown") == 0


def test_a_request_added_again_keeps_one_position() -> None:
    queue = _queue(_request(1), _request(2))
    queue.add(_request(1, urgency=9))
    assert _tickets(queue) == [2, 1]
    assert queue.waiting("engine") == 2


def test_a_request_that_waits_elsewhere_first_keeps_its_age() -> None:
    queue = _queue(_request(1, arrived_s=20.0), _request(2, arrived_s=10.0))
    assert _tickets(queue, now_s=30.0) == [2, 1]


def test_the_oldest_request_gets_one_of_so_many_grants() -> None:
    urgent = [_request(ticket, urgency=0) for ticket in range(100, 100 + 3 * OLDEST_EVERY_GRANTS)]
    queue = _queue(_request(1, urgency=9), _request(2, urgency=9), *urgent)
    order = _tickets(queue)
    assert order.index(1) == OLDEST_EVERY_GRANTS - 1
    assert order.index(2) == 2 * OLDEST_EVERY_GRANTS - 1


def test_the_oldest_request_takes_no_place_that_comes_too_late_for_it() -> None:
    urgent = [_request(ticket, urgency=0) for ticket in range(100, 100 + 2 * OLDEST_EVERY_GRANTS)]
    queue = _queue(_request(1, urgency=9, deadline_s=10.5), _request(2, urgency=9), *urgent)
    order = _tickets(queue, now_s=10.0)
    assert order.index(2) == OLDEST_EVERY_GRANTS - 1
    assert order[-1] == 1


def test_old_requests_of_one_account_take_no_turns_of_the_others() -> None:
    """Guards against a storm whose requests, the oldest of all, get places ahead of its share."""
    storm = [_request(ticket, account="storm") for ticket in range(1, 200)]
    others = [_request(ticket, account=f"{ticket % 80}") for ticket in range(200, 2000)]
    grants = Counter(dict.fromkeys((request.account for request in (*storm, *others)), 0))
    for request in islice(_queue(*storm, *others).in_order("engine", 0.0), 1000):
        grants[request.account] += 1
        assert max(grants.values()) <= min(grants.values()) + 1


def test_the_oldest_request_of_an_account_gets_one_of_so_many_of_its_grants() -> None:
    """Guards against first turns that wait behind begun programs of their account forever."""
    first = _request(1, account="a", first=True)
    tickets = range(100, 100 + 4 * OLDEST_EVERY_GRANTS)
    begun = [_request(ticket, account="ab"[ticket % 2]) for ticket in tickets]
    order = [one for one in _queue(first, *begun).in_order("engine", 0.0) if one.account == "a"]
    assert order.index(first) == OLDEST_EVERY_GRANTS - 1


def test_old_requests_of_a_class_that_is_served_keep_no_starving_one_waiting() -> None:
    """Guards against a storm that takes the places meant for urgencies that get none."""
    served = [_request(ticket) for ticket in range(1, 3 * OLDEST_EVERY_GRANTS)]
    starving = _request(1000, urgency=9)
    assert _tickets(_queue(*served, starving)).index(1000) == OLDEST_EVERY_GRANTS - 1


def test_requests_removed_during_the_iteration_are_left_out() -> None:
    queue = _queue(*(_request(ticket, account=f"{ticket % 2}") for ticket in range(1, 7)))
    order = queue.in_order("engine", 0.0)
    seen = [next(order).ticket]
    queue.remove(2)
    queue.remove(5)
    seen += [request.ticket for request in order]
    assert sorted(seen) == [1, 3, 4, 6]


def test_counting_those_ahead_of_a_new_request_changes_nothing() -> None:
    queue = _queue(_request(1, account="a"), _request(2, account="a"))
    before = _tickets(queue)
    assert queue.ahead_of(_request(3, account="b"), 0.0) == 1
    assert queue.ahead_of(_request(3, account="a", urgency=0), 0.0) == 0
    assert queue.ahead_of(_request(3, service="app"), 0.0) == 0
    assert _tickets(queue) == before
    assert queue.waiting_by_service() == {"engine": 2}


class PlaceQueueMachine(RuleBasedStateMachine):
    """Requests that come, leave, get places and end, against a plain set of those that wait."""

    SERVICES = ("engine", "app")

    def __init__(self) -> None:
        super().__init__()
        self.queue = PlaceQueue()
        self.now_s = 0.0
        self.ticket = 0
        self.waiting: dict[int, PlaceRequest] = {}
        self.grants_since_oldest = Counter[str]()

    def _draw(self, **drawn: object) -> PlaceRequest:
        self.ticket += 1
        age_s, left_s, program_s = (float(str(drawn[key])) for key in ("age", "left", "program"))
        return PlaceRequest(
            self.ticket,
            str(drawn["service"]),
            int(str(drawn["urgency"])),
            str(drawn["account"]),
            bool(drawn["first"]),
            self.now_s - age_s,
            self.now_s + left_s,
            self.now_s + left_s / 2,
            self.now_s + program_s if program_s > 0 else None,
        )

    requests = st.fixed_dictionaries(
        {
            "service": st.sampled_from(SERVICES),
            "urgency": st.integers(0, 2),
            "account": st.sampled_from(["", "a", "b", "c"]),
            "first": st.booleans(),
            "age": st.sampled_from([0.0, 0.3, 4.0]),
            "left": st.sampled_from([0.5, 3.0, 30.0]),
            "program": st.sampled_from([0.0, 1.0, 20.0]),
        }
    )

    @rule(drawn=requests, count=st.integers(1, 6))
    def arrive(self, drawn: dict[str, object], count: int) -> None:
        for _ in range(count):
            request = self._draw(**drawn)
            expected = self.queue.ahead_of(request, self.now_s)
            self.queue.add(request)
            self.waiting[request.ticket] = request
            assert self.queue.ahead_of(request, self.now_s) == expected

    @rule(drawn=requests)
    def start_without_waiting(self, drawn: dict[str, object]) -> None:
        self.queue.record_grant(self._draw(**drawn), self.now_s)

    @rule(service=st.sampled_from(SERVICES), count=st.integers(1, 30))
    def grant(self, service: str, count: int) -> None:
        predicted = _tickets(self.queue, self.now_s, service)[:count]
        for ticket in predicted:
            head = next(self.queue.in_order(service, self.now_s))
            assert head.ticket == ticket, "the order differs from the grants that it predicts"
            assert head == self.waiting.pop(ticket), "lost, or granted twice"
            self.queue.record_grant(head, self.now_s)

    @rule(service=st.sampled_from(SERVICES), skipped=st.integers(1, 5))
    def grant_another_than_the_first(self, service: str, skipped: int) -> None:
        order = list(self.queue.in_order(service, self.now_s))
        if len(order) > skipped:
            self.queue.record_grant(order[skipped], self.now_s)
            del self.waiting[order[skipped].ticket]

    @rule(data=st.data())
    def leave(self, data: st.DataObject) -> None:
        ticket = data.draw(st.sampled_from([*self.waiting, 10**9]))
        self.queue.remove(ticket)
        self.waiting.pop(ticket, None)

    @rule(
        service=st.sampled_from(SERVICES),
        account=st.sampled_from(["", "a", "b"]),
        duration_s=st.sampled_from([0.0, 0.2, 1.0, 9.0]),
    )
    def end(self, service: str, account: str, duration_s: float) -> None:
        self.queue.record_duration(service, account, duration_s)

    @rule(passed_s=st.sampled_from([0.01, 1.0, 90.0]))
    def wait(self, passed_s: float) -> None:
        self.now_s += passed_s

    @invariant()
    def nothing_is_lost_and_counts_agree(self) -> None:
        counts = Counter(request.service for request in self.waiting.values())
        assert dict(self.queue.waiting_by_service()) == dict(counts)
        for service in self.SERVICES:
            order = list(self.queue.in_order(service, self.now_s))
            assert self.queue.waiting(service) == len(order) == counts[service]
            assert {request.ticket for request in order} == {
                ticket for ticket, request in self.waiting.items() if request.service == service
            }

    @invariant()
    def those_ahead_agree_with_the_order(self) -> None:
        for service in self.SERVICES:
            order = list(self.queue.in_order(service, self.now_s))
            for position, request in list(enumerate(order))[:: max(1, len(order) // 5)]:
                assert self.queue.ahead_of(request, self.now_s) == position


TestPlaceQueueMachine = PlaceQueueMachine.TestCase
TestPlaceQueueMachine.settings = settings(
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


@pytest.mark.parametrize("accounts", [1, 7])
def test_no_wait_is_longer_than_the_rule_allows(accounts: int) -> None:
    """A stream of urgent requests that takes all places must not keep others waiting forever."""
    queue = _queue(*(_request(ticket, urgency=9, account="x") for ticket in range(5)))
    left = set(range(5))
    for ticket in range(10, 10 + 5 * OLDEST_EVERY_GRANTS):
        queue.add(_request(ticket, urgency=0, account=f"{ticket % accounts}"))
        queue.add(_request(10**6 + ticket, urgency=0, account=f"{ticket % accounts}"))
        head = next(queue.in_order("engine", float(ticket)))
        queue.record_grant(head, float(ticket))
        left.discard(head.ticket)
    assert not left
