"""Divides a host's memory for requests among them, by urgency and size. Pure.

All sizes are in bytes. A request may take room for itself (its body, history and bookkeeping) and
for its answer (unread bytes and events to record). A reserve is kept for answers, because a
request that ran must not be lost for lack of memory.

A request may only grow to a fraction of the room that is free without it (dynamic thresholds,
Choudhury and Hahne, "Dynamic queue length thresholds for shared-memory packet switches", 1998).
The largest and least urgent requests therefore reach their bound first, while small ones still fit.
"""

from collections import defaultdict
from collections.abc import Iterator
from enum import StrEnum

import attrs

URGENCY_SCALE = 4
"""A request of urgency ``u`` needs free room for ``1 + u / URGENCY_SCALE`` times its size: once for
the most urgent (0), and 3.25 times for the least urgent (9) of the usual levels."""

ANSWER_FREE_MULTIPLE = 8
"""An answer may grow to so many times the room that it leaves free. One answer alone can fill 8/9
of the room before it is paused, and the rest remains for callers that read faster."""


OUTSIZED_SHARE = 1 / 4
"""An answer of unknown length that has taken this share of the budget does not wait for more."""

UNSIZED_FREE_SHARE = 1 / 8
"""Share of the budget that answers of unknown length leave free: they may go on for ever."""


class MemoryHolder(StrEnum):
    """What memory is held for.

    Attributes:
        WAITING: a request in progress, without its body and history.
        BODY: the body of a request.
        HISTORY: the turns before this one, and a copy of the body behind them.
        ANSWER: an answer that is read whole before it is sent.
        UNSIZED: the same, if its length is not known before its end.
        UNREAD: the part of a stream that the caller has not taken yet.
        EVENTS: the events of a stream, to be recorded at its end.
    """

    WAITING = "waiting_request"
    BODY = "body"
    HISTORY = "history"
    ANSWER = "answer"
    UNSIZED = "unsized_answer"
    UNREAD = "unread_answer"
    EVENTS = "events"


ANSWER_HOLDERS = frozenset(
    {MemoryHolder.ANSWER, MemoryHolder.UNSIZED, MemoryHolder.UNREAD, MemoryHolder.EVENTS}
)
"""Holders that may use the reserve. The others count as parts of the request."""


@attrs.define(eq=False)
class MemoryClaim:
    """What one request holds and waits for.

    Attributes:
        urgency: 0 is the most urgent.
        request_bytes: the sum of what it holds for the request itself.
        answer_bytes: the sum of what it holds for its answer.
        wanted: the holder and size that it waits for, or None.
        arrived: the number of its last wait, in order of arrival.
    """

    urgency: int
    bytes_by_holder: dict[MemoryHolder, int] = attrs.field(factory=lambda: defaultdict(int))
    request_bytes: int = 0
    answer_bytes: int = 0
    wanted: tuple[MemoryHolder, int] | None = None
    arrived: int = 0

    @property
    def content_bytes(self) -> int:
        """Bytes held of the request's body and history."""
        return self.bytes_by_holder[MemoryHolder.BODY] + self.bytes_by_holder[MemoryHolder.HISTORY]


@attrs.frozen
class Settlement:
    """The waiting claims that got their bytes, and those that are to be refused."""

    granted: list[MemoryClaim] = attrs.field(factory=list)
    refused: list[MemoryClaim] = attrs.field(factory=list)


class MemoryBudget:
    """One host's budget.

    Attributes:
        limit_bytes: the bound on the sum of all bytes held.
        reserve_bytes: the part of it that requests can't take, only answers.
        bytes_by_holder: what is held now.
    """

    def __init__(self, limit_bytes: int, reserve_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.reserve_bytes = reserve_bytes
        self.bytes_by_holder = dict.fromkeys(MemoryHolder, 0)
        self._held_bytes = 0
        self._request_bytes = 0
        self._waiting: list[MemoryClaim] = []
        self._arrivals = 0

    def resize(self, limit_bytes: int, reserve_bytes: int) -> None:
        """Changes the bounds; what is held beyond them is not taken back."""
        self.limit_bytes = limit_bytes
        self.reserve_bytes = reserve_bytes

    @property
    def held_bytes(self) -> int:
        """The sum of all bytes held."""
        return self._held_bytes

    @property
    def request_room_bytes(self) -> int:
        """The bound on the bytes that requests hold, without their answers."""
        return self.limit_bytes - self.reserve_bytes

    @property
    def free_request_bytes(self) -> int:
        """The room that requests, not answers, have left."""
        return min(
            self.request_room_bytes - self._request_bytes, self.limit_bytes - self._held_bytes
        )

    @property
    def waiting_count(self) -> int:
        """The number of claims that wait."""
        return len(self._waiting)

    @property
    def used_thousandths(self) -> int:
        """How full the budget is, or the requests' part of it if that is fuller."""
        return max(
            1000 * self._held_bytes // self.limit_bytes,
            1000 * self._request_bytes // max(1, self.request_room_bytes),
        )

    def try_acquire(self, claim: MemoryClaim, holder: MemoryHolder, size: int) -> bool:
        """Acquires ``size`` bytes, unless they don't fit or another claim waits before this one."""
        if self._waiting:
            is_answer = holder in ANSWER_HOLDERS
            key = _order_key(claim, holder, size)
            if any(_waiting_key(other) <= key for other in self._in_order(is_answer)):
                return False
        if not self._fits(claim, holder, size):
            return False
        self._add(claim, holder, size)
        return True

    def is_outsized(self, claim: MemoryClaim) -> bool:
        """Whether an answer holds so much that it is not to wait for more."""
        return claim.answer_bytes > self.limit_bytes * OUTSIZED_SHARE

    def release(self, claim: MemoryClaim, holder: MemoryHolder, size: int) -> None:
        """Releases bytes that the claim holds; :meth:`settle` passes them on."""
        if not 0 <= size <= claim.bytes_by_holder[holder]:
            raise ValueError(f"{size} bytes of {holder} are not held")
        self._add(claim, holder, -size)

    def close(self, claim: MemoryClaim) -> None:
        """Releases everything that a claim holds, and ends its wait."""
        self.withdraw(claim)
        for holder, size in claim.bytes_by_holder.items():
            if size:
                self._add(claim, holder, -size)

    def enqueue(self, claim: MemoryClaim, holder: MemoryHolder, size: int) -> None:
        """Makes a claim wait for bytes until :meth:`settle` returns it."""
        self._arrivals += 1
        claim.wanted = (holder, size)
        claim.arrived = self._arrivals
        self._waiting.append(claim)

    def withdraw(self, claim: MemoryClaim) -> None:
        """Ends a claim's wait, if it waits."""
        if claim.wanted is not None:
            claim.wanted = None
            self._waiting.remove(claim)

    def settle(self) -> Settlement:
        """Gives free bytes to waiting claims in order; returns those whose wait has ended.

        Requests wait by urgency, then size. Answers wait by size, so that reading continues last
        for the caller with the most unread bytes.
        """
        settlement = Settlement()
        if not self._waiting:
            return settlement
        for is_answer in (True, False):
            for claim in list(self._in_order(is_answer)):
                if not self._grant(claim):
                    break
                settlement.granted.append(claim)
        for stalled in self._stalled_answers():
            self.withdraw(stalled)
            settlement.refused.append(stalled)
        settlement.refused.extend(self._refuse_stalled())
        return settlement

    def _stalled_answers(self) -> list[MemoryClaim]:
        """Returns the larger half of the answers of unknown length, if answers wait for each other.

        They may go on for ever, and callers that wait for the others should not wait for them.
        """
        waiting = list(self._in_order(is_answer=True))
        if not waiting or not self._is_blocked(waiting[0]):
            return []
        unsized = [claim for claim in waiting if _waits_for(claim) is MemoryHolder.UNSIZED]
        unsized.sort(key=lambda claim: claim.answer_bytes)
        return unsized[len(unsized) // 2 :]

    def _grant(self, claim: MemoryClaim) -> bool:
        """Gives a waiting claim its bytes if they fit; returns whether they do."""
        assert claim.wanted is not None
        holder, size = claim.wanted
        if not self._fits(claim, holder, size, self._is_blocked(claim)):
            return False
        self.withdraw(claim)
        self._add(claim, holder, size)
        return True

    def _is_blocked(self, claim: MemoryClaim) -> bool:
        """Returns whether an answer waits only for others that wait too.

        The first one may then use all that is free. Callers that read slowly free room by
        themselves, and must leave some to the others.
        """
        assert claim.wanted is not None
        if claim.wanted[0] is MemoryHolder.UNREAD or claim.bytes_by_holder[MemoryHolder.UNREAD]:
            return False
        waiting = sum(one.answer_bytes for one in self._in_order(is_answer=True))
        return waiting >= self._held_bytes - self._request_bytes

    def _refuse_stalled(self) -> Iterator[MemoryClaim]:
        """Ends the waits of the largest, least urgent requests if waiting can't free enough room.

        Waiting requests hold what they have read so far. If that is more than half of the room,
        or nobody else holds any, requests would block each other.
        """
        while True:
            waiting = list(self._in_order(is_answer=False))
            if not waiting:
                return
            held = sum(claim.content_bytes for claim in waiting)
            # Answers beyond their reserve take room that they will free by themselves.
            are_answers_within = self._held_bytes - self._request_bytes <= self.reserve_bytes
            is_stalled = held >= self._content_bytes and are_answers_within
            if not is_stalled and 2 * held <= self.request_room_bytes:
                return
            claim = max(
                waiting,
                key=lambda one: (one.urgency, one.request_bytes + _wanted(one), one.arrived),
            )
            self.withdraw(claim)
            yield claim

    @property
    def _content_bytes(self) -> int:
        return self.bytes_by_holder[MemoryHolder.BODY] + self.bytes_by_holder[MemoryHolder.HISTORY]

    def _fits(
        self, claim: MemoryClaim, holder: MemoryHolder, size: int, may_fill: bool = False
    ) -> bool:
        """Returns whether a claim may grow by ``size`` bytes.

        With ``may_fill``, an answer may use all free room rather than a fraction of it.
        """
        free = self.limit_bytes - self._held_bytes
        if size > free:
            return False
        if holder is MemoryHolder.UNSIZED and free - size < self.limit_bytes * UNSIZED_FREE_SHARE:
            return False
        if holder in ANSWER_HOLDERS:
            own = claim.answer_bytes
            return may_fill or own + size <= ANSWER_FREE_MULTIPLE * (free - size)
        if size > self.free_request_bytes:
            return False
        if self._content_bytes == claim.content_bytes:
            # Otherwise a request larger than its fraction of an idle host's room would never run.
            return True
        return self.free_needed_bytes(claim, size) <= self.free_request_bytes

    def free_needed_bytes(self, claim: MemoryClaim, size: int) -> int:
        """Returns how much room must be free for a request to grow by ``size`` bytes."""
        own = claim.request_bytes
        # Rounded up.
        return -(-(own + size) * (URGENCY_SCALE + claim.urgency) // URGENCY_SCALE) - own

    def _add(self, claim: MemoryClaim, holder: MemoryHolder, size: int) -> None:
        claim.bytes_by_holder[holder] += size
        self.bytes_by_holder[holder] += size
        self._held_bytes += size
        if holder in ANSWER_HOLDERS:
            claim.answer_bytes += size
        else:
            claim.request_bytes += size
            self._request_bytes += size

    def _in_order(self, is_answer: bool) -> Iterator[MemoryClaim]:
        """Returns the claims that wait for an answer (or else a request), in order."""
        kind = [
            claim
            for claim in self._waiting
            if claim.wanted is not None and (claim.wanted[0] in ANSWER_HOLDERS) == is_answer
        ]
        return iter(sorted(kind, key=lambda claim: (*_waiting_key(claim), claim.arrived)))


def _order_key(claim: MemoryClaim, holder: MemoryHolder, size: int) -> tuple[int, int]:
    """Returns the sort key of waits: by urgency (requests only), then by the size after growth."""
    if holder in ANSWER_HOLDERS:
        return 0, claim.answer_bytes + size
    return claim.urgency, claim.request_bytes + size


def _waiting_key(claim: MemoryClaim) -> tuple[int, int]:
    assert claim.wanted is not None
    return _order_key(claim, *claim.wanted)


def _waits_for(claim: MemoryClaim) -> MemoryHolder | None:
    return None if claim.wanted is None else claim.wanted[0]


def _wanted(claim: MemoryClaim) -> int:
    return 0 if claim.wanted is None else claim.wanted[1]
