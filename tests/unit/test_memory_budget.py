"""The memory budget: what fits, who waits, who is refused, and that nothing leaks."""

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bayhinge._internal.decisions.memory_budget import (
    ANSWER_HOLDERS,
    UNSIZED_FREE_SHARE,
    MemoryBudget,
    MemoryClaim,
    MemoryHolder,
)

MB = 2**20
BODY, HISTORY, ANSWER, UNSIZED, UNREAD, EVENTS, WAITING = (
    MemoryHolder.BODY,
    MemoryHolder.HISTORY,
    MemoryHolder.ANSWER,
    MemoryHolder.UNSIZED,
    MemoryHolder.UNREAD,
    MemoryHolder.EVENTS,
    MemoryHolder.WAITING,
)
MACHINE_SETTINGS = settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def filled(budget: MemoryBudget, size: int = 4 * MB, urgency: int = 5) -> list[MemoryClaim]:
    """Returns claims with bodies of one size, as many as the budget takes."""
    claims: list[MemoryClaim] = []
    while True:
        claim = MemoryClaim(urgency)
        if not budget.try_acquire(claim, BODY, size):
            return claims
        claims.append(claim)


def test_long_bodies_leave_room_for_small_and_urgent_requests() -> None:
    """Guards against long bodies that shut out everybody else."""
    budget = MemoryBudget(128 * MB, 40 * MB)
    claims = filled(budget)
    assert len(claims) == 20
    assert not budget.try_acquire(MemoryClaim(5), BODY, 4 * MB)
    assert budget.try_acquire(MemoryClaim(0), BODY, 4 * MB), "the same size, but more urgent"
    for _ in range(100):
        assert budget.try_acquire(MemoryClaim(5), BODY, 10_000)


def test_the_least_urgent_of_one_size_is_refused_first() -> None:
    """Guards against an order by size alone."""
    bodies = [
        len(filled(MemoryBudget(128 * MB, 40 * MB), 4 * MB, urgency)) for urgency in range(10)
    ]
    assert bodies == sorted(bodies, reverse=True)
    assert bodies[0] == 22
    assert bodies[9] == 19


def test_requests_cannot_take_the_reserve_and_answers_can_take_all() -> None:
    """Guards against requests that leave no memory to read the answers of those that ran."""
    budget = MemoryBudget(30 * MB, 10 * MB)
    claims = filled(budget, 100_000, urgency=0)
    assert budget.free_request_bytes < 100_000
    answer = MemoryClaim(9)
    assert budget.try_acquire(answer, ANSWER, 8 * MB)
    for claim in claims:
        budget.close(claim)
    assert budget.try_acquire(answer, ANSWER, 18 * MB), "beyond the reserve while there is room"
    assert not budget.try_acquire(MemoryClaim(0), BODY, 5 * MB)


def test_a_request_larger_than_its_fraction_is_served_while_no_other_body_is_held() -> None:
    """Guards against a request that a small host would never serve, even when idle."""
    budget = MemoryBudget(6 * MB, 2 * MB)
    claim = MemoryClaim(9)
    assert budget.try_acquire(claim, WAITING, 32_768)
    assert budget.try_acquire(claim, BODY, 3 * MB)
    assert not budget.try_acquire(MemoryClaim(0), BODY, MB), "only one at a time"
    budget.close(claim)
    assert not budget.try_acquire(MemoryClaim(0), BODY, 5 * MB), "not into the reserve"


def test_answers_wait_by_unread_bytes_so_that_the_slowest_caller_is_paused_first() -> None:
    """Guards against a slow caller that stops the answers of faster ones."""
    budget = MemoryBudget(30 * MB, 10 * MB)
    slow, fast = MemoryClaim(0), MemoryClaim(9)
    while budget.try_acquire(slow, UNREAD, MB):
        pass
    assert budget.held_bytes >= 26 * MB, "nearly the whole room before anybody is paused"
    assert budget.try_acquire(fast, UNREAD, MB)
    budget.enqueue(slow, UNREAD, 3 * MB)
    budget.enqueue(fast, UNREAD, 4 * MB)
    assert budget.settle().granted == []
    budget.release(slow, UNREAD, 2 * MB)
    assert budget.settle().granted == [fast]
    budget.close(fast)
    budget.release(slow, UNREAD, 2 * MB)
    assert budget.settle().granted == [slow]


def test_answers_that_only_wait_for_each_other_are_read_one_after_the_other() -> None:
    """Guards against answers that each hold a part and wait for the rest until their deadlines."""
    budget = MemoryBudget(30 * MB, 10 * MB)
    first, second = MemoryClaim(0), MemoryClaim(0)
    assert budget.try_acquire(first, ANSWER, 12 * MB)
    assert budget.try_acquire(second, EVENTS, 14 * MB)
    budget.enqueue(second, EVENTS, 4 * MB)
    assert budget.settle().granted == [], "the first is still read, and may end"
    budget.enqueue(first, ANSWER, 4 * MB)
    assert budget.settle().granted == [first]


def test_a_slow_caller_leaves_room_even_if_nobody_else_waits() -> None:
    """Guards against a slow caller that takes the last room, so that later answers find none."""
    budget = MemoryBudget(30 * MB, 10 * MB)
    slow = MemoryClaim(0)
    while budget.try_acquire(slow, UNREAD, MB):
        pass
    for holder in (UNREAD, EVENTS):
        budget.enqueue(slow, holder, MB)
        assert budget.settle().granted == []
        budget.withdraw(slow)


def test_requests_wait_by_urgency_then_size_and_nobody_overtakes() -> None:
    """Guards against a stream of later requests that starves a waiting one."""
    budget = MemoryBudget(30 * MB, 10 * MB)
    blocker, *others = filled(budget, 3 * MB, urgency=0)
    small, large, urgent = MemoryClaim(5), MemoryClaim(5), MemoryClaim(1)
    for claim, size in ((large, 4 * MB), (small, 3 * MB), (urgent, 4 * MB)):
        assert not budget.try_acquire(claim, BODY, size)
        budget.enqueue(claim, BODY, size)
    assert budget.settle().granted == []
    assert not budget.try_acquire(MemoryClaim(5), BODY, 5 * MB)
    for claim in (blocker, *others):
        budget.close(claim)
    assert not budget.try_acquire(MemoryClaim(5), BODY, 5 * MB), "all three come first"
    assert budget.settle().granted == [urgent, small, large]


def test_requests_that_would_block_each_other_are_refused_largest_and_least_urgent_first() -> None:
    """Guards against chunked bodies that each hold a part and wait for the rest forever."""
    budget = MemoryBudget(30 * MB, 10 * MB)
    urgent, small, large = MemoryClaim(0), MemoryClaim(5), MemoryClaim(5)
    assert budget.try_acquire(large, BODY, 8 * MB)
    assert budget.try_acquire(urgent, BODY, 6 * MB)
    assert budget.try_acquire(small, BODY, 2 * MB)
    for claim in (urgent, small):
        budget.enqueue(claim, BODY, 5 * MB)
        settlement = budget.settle()
        assert (settlement.granted, settlement.refused) == ([], []), "one is still read"
    budget.enqueue(large, BODY, 5 * MB)
    assert budget.settle().refused == [large]
    budget.close(large)
    assert budget.settle().granted[0] is urgent


def test_more_than_what_is_held_can_not_be_released() -> None:
    """Guards against counts that become negative and hide a leak."""
    budget = MemoryBudget(30 * MB, 10 * MB)
    claim = MemoryClaim(0)
    assert budget.try_acquire(claim, BODY, 10)
    with pytest.raises(ValueError, match="not held"):
        budget.release(claim, BODY, 11)
    budget.close(claim)
    budget.close(claim)
    assert budget.held_bytes == 0


def test_how_full_a_host_is_counts_the_requests_room_too() -> None:
    """Guards against a host that refuses everything and still seems to have room: its reserve."""
    budget = MemoryBudget(30 * MB, 10 * MB)
    assert budget.used_thousandths == 0
    assert budget.try_acquire(MemoryClaim(0), BODY, 19 * MB)
    assert budget.used_thousandths == 950


class BudgetMachine(RuleBasedStateMachine):
    """Requests that begin, grow, wait, release and end in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.budget = MemoryBudget(1_000, 300)
        self.claims: list[MemoryClaim] = []
        self.waiting: dict[MemoryClaim, tuple[MemoryHolder, int]] = {}

    @rule(urgency=st.integers(0, 9), size=st.integers(0, 20))
    def begin(self, urgency: int, size: int) -> None:
        claim = MemoryClaim(urgency)
        if self.budget.try_acquire(claim, WAITING, size):
            self.claims.append(claim)

    @precondition(lambda self: self.idle())
    @rule(data=st.data(), holder=st.sampled_from(MemoryHolder), size=st.integers(0, 400))
    def grow(self, data: st.DataObject, holder: MemoryHolder, size: int) -> None:
        claim = data.draw(st.sampled_from(self.idle()))
        before = self.budget.held_bytes
        first = self.first_waiting(holder in ANSWER_HOLDERS)
        is_acquired = self.budget.try_acquire(claim, holder, size)
        if is_acquired and holder is UNSIZED:
            free = self.budget.limit_bytes - self.budget.held_bytes
            assert free >= self.budget.limit_bytes * UNSIZED_FREE_SHARE
        assert self.budget.held_bytes == before + (size if is_acquired else 0)
        if is_acquired and first is not None:
            assert self.key(claim, holder, 0) < self.key(first, *self.waiting[first])

    @precondition(lambda self: self.idle())
    @rule(
        data=st.data(),
        holder=st.sampled_from([BODY, HISTORY, ANSWER, UNSIZED, UNREAD, EVENTS]),
        size=st.integers(1, 300),
    )
    def wait(self, data: st.DataObject, holder: MemoryHolder, size: int) -> None:
        claim = data.draw(st.sampled_from(self.idle()))
        if self.budget.try_acquire(claim, holder, size):
            return
        self.budget.enqueue(claim, holder, size)
        self.waiting[claim] = (holder, size)
        self.settle()

    @precondition(lambda self: self.idle())
    @rule(data=st.data(), holder=st.sampled_from(MemoryHolder), part=st.integers(0, 4))
    def release(self, data: st.DataObject, holder: MemoryHolder, part: int) -> None:
        claim = data.draw(st.sampled_from(self.claims))
        self.budget.release(claim, holder, claim.bytes_by_holder[holder] * part // 4)
        self.settle()

    @precondition(lambda self: self.claims)
    @rule(data=st.data())
    def end(self, data: st.DataObject) -> None:
        claim = data.draw(st.sampled_from(self.claims))
        self.claims.remove(claim)
        self.waiting.pop(claim, None)
        self.budget.close(claim)
        self.settle()

    def idle(self) -> list[MemoryClaim]:
        return [claim for claim in self.claims if claim not in self.waiting]

    def key(self, claim: MemoryClaim, holder: MemoryHolder, size: int) -> tuple[int, int]:
        if holder in ANSWER_HOLDERS:
            return 0, claim.answer_bytes + size
        return claim.urgency, claim.request_bytes + size

    def first_waiting(self, is_answer: bool) -> MemoryClaim | None:
        kind = [
            claim
            for claim, (holder, _) in self.waiting.items()
            if (holder in ANSWER_HOLDERS) == is_answer
        ]
        return min(kind, key=lambda claim: self.key(claim, *self.waiting[claim]), default=None)

    def settle(self) -> None:
        """Settles, and checks that waits end in order and exactly once."""
        keys = {claim: self.key(claim, *wanted) for claim, wanted in self.waiting.items()}
        before = {claim: sum(claim.bytes_by_holder.values()) for claim in self.waiting}
        settlement = self.budget.settle()
        for is_answer in (True, False):
            granted = [
                claim
                for claim in settlement.granted
                if (self.waiting[claim][0] in ANSWER_HOLDERS) == is_answer
            ]
            assert [keys[claim] for claim in granted] == sorted(keys[claim] for claim in granted)
        for claim in settlement.granted:
            _, size = self.waiting.pop(claim)
            assert sum(claim.bytes_by_holder.values()) == before[claim] + size
        # Those that were granted do not wait any more, and the refused ones have not ended yet.
        held_by_waiting = sum(
            claim.answer_bytes
            for claim, (holder, _) in self.waiting.items()
            if holder in ANSWER_HOLDERS
        )
        for claim in settlement.refused:
            holder, _ = self.waiting.pop(claim)
            if holder in ANSWER_HOLDERS:
                assert holder is UNSIZED, "an answer of known length is never refused"
                held = sum(each.answer_bytes for each in self.claims)
                assert held == held_by_waiting, "one that others make room for is never refused"

    @invariant()
    def nothing_leaks_and_no_bound_is_exceeded(self) -> None:
        budget = self.budget
        for holder in MemoryHolder:
            held = [claim.bytes_by_holder[holder] for claim in self.claims]
            assert min(held, default=0) >= 0
            assert budget.bytes_by_holder[holder] == sum(held)
        assert budget.held_bytes == sum(budget.bytes_by_holder.values()) <= budget.limit_bytes
        for claim in self.claims:
            answer = sum(claim.bytes_by_holder[holder] for holder in ANSWER_HOLDERS)
            assert claim.answer_bytes == answer
            assert claim.request_bytes == sum(claim.bytes_by_holder.values()) - answer
        requests = sum(claim.request_bytes for claim in self.claims)
        assert requests <= budget.limit_bytes - budget.reserve_bytes

    @invariant()
    def those_that_wait_are_known_and_some_of_them_or_others_can_end(self) -> None:
        assert self.budget.waiting_count == len(self.waiting)
        requests = [
            claim for claim, (holder, _) in self.waiting.items() if holder not in ANSWER_HOLDERS
        ]
        answers = sum(claim.answer_bytes for claim in self.claims)
        if requests and answers <= self.budget.reserve_bytes:
            held_by_waiting = sum(claim.content_bytes for claim in requests)
            assert held_by_waiting < sum(claim.content_bytes for claim in self.claims), (
                "requests that only wait for each other block for good"
            )


TestBudget = BudgetMachine.TestCase
TestBudget.settings = MACHINE_SETTINGS


def test_answers_of_unknown_length_that_wait_for_each_other_are_refused_the_larger_half() -> None:
    budget = MemoryBudget(100 * MB, 30 * MB)
    claims = [MemoryClaim(5) for _ in range(4)]
    for size, claim in enumerate(claims, start=20):
        assert budget.try_acquire(claim, UNSIZED, size * MB)
    for claim in claims[:3]:
        budget.enqueue(claim, UNSIZED, 8 * MB)
        assert budget.settle().refused == []
    budget.enqueue(claims[3], UNSIZED, 8 * MB)
    assert budget.settle().refused == claims[2:]
    for claim in claims[2:]:
        budget.close(claim)
    assert budget.settle().granted == claims[:2]


def test_a_large_answer_of_unknown_length_does_not_wait_for_more() -> None:
    budget = MemoryBudget(100 * MB, 30 * MB)
    claim = MemoryClaim(5)
    assert budget.try_acquire(claim, UNSIZED, 25 * MB)
    assert not budget.is_outsized(claim)
    assert budget.try_acquire(claim, UNSIZED, 62 * MB)
    assert budget.is_outsized(claim)
    # The rest is left to others.
    assert not budget.try_acquire(claim, UNSIZED, MB)
    assert budget.try_acquire(MemoryClaim(5), WAITING, 10 * MB)
