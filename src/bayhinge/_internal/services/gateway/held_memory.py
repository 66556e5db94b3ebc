"""Gives the memory budget of this host to requests, and takes it back when they end."""

import asyncio
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import attrs
import eliot

from bayhinge._internal.decisions.memory_budget import (
    ANSWER_HOLDERS,
    MemoryBudget,
    MemoryClaim,
    MemoryHolder,
)
from bayhinge._internal.models.refusals import Figure, RefusalCode, RefusedError, not_run_refusal
from bayhinge._internal.network.endpoint_answer import Answer, AnswerBeyondMemoryError
from bayhinge._internal.network.memory_room import UNBOUNDED_ROOM, MemoryRoom, MemoryRooms

SAFETY_SHARE = 0.4
"""Share of the memory beyond what an idle process uses that the budget may take. Connections take a
quarter; the rest covers the allocator's fragmentation, and copies of bodies and answers."""

RESERVE_SHARE = 1 / 3
"""Share of the budget that only answers can take."""

DEFAULT_BUDGET_BYTES = 64 * 2**20
"""Budget of a process without a memory limit: what one endpoint sends must not fill the machine."""

MIN_BUDGET_BYTES = 4 * 2**20
"""Least budget: with less, not even one body of the usual limit could be read."""

BODY_URGENCY = 4
"""Urgency of bodies where requests have none of their own; in the middle of the usual levels."""

REQUEST_BYTES = 32_768
"""Counted for each request in progress: its head, its objects and ``UNREAD_ALLOWANCE_BYTES``."""

UNREAD_ALLOWANCE_BYTES = 16_384
"""Unread bytes of an answer that are counted with its request; it is the write buffer's low-water
mark, below which a caller counts as reading in time."""

RETRY_AFTER_S = (0.5, 1.5)
"""Bounds of the random retry delay: a body of the usual limit is held for about a second, and
refused callers should not return at once together."""


@attrs.define
class MemoryCounts:
    """Counts of requests that the memory budget affected.

    Attributes:
        refused: requests that were refused for lack of memory.
        paused: requests whose body or answer had to wait for memory.
        paced: requests whose answer was read more slowly, as the caller had much of it unread.
    """

    refused: int = 0
    paused: int = 0
    paced: int = 0


class HeldMemory(MemoryRooms):
    """The memory budget of one host, or none."""

    def __init__(
        self,
        budget: MemoryBudget | None = None,
        on_refusal: Callable[[], None] = lambda: None,
    ) -> None:
        """Builds it; ``on_refusal`` is called when a request was refused for lack of memory."""
        self.budget = budget
        self._on_refusal = on_refusal
        self.counts = MemoryCounts()
        self._random = random.Random()
        self._future_by_claim: dict[MemoryClaim, asyncio.Future[None]] = {}

    def start(self, limit_bytes: int | None, idle_bytes: int) -> None:
        """Sets the budget from the process's memory limit and what it uses when idle.

        It may be called again when the limit has changed; what is held stays held.
        """
        size = DEFAULT_BUDGET_BYTES
        if limit_bytes is not None:
            size = max(MIN_BUDGET_BYTES, int((limit_bytes - idle_bytes) * SAFETY_SHARE))
        reserve_bytes = int(size * RESERVE_SHARE)
        if self.budget is None:
            self.budget = MemoryBudget(size, reserve_bytes)
        else:
            self.budget.resize(size, reserve_bytes)
            self._settle()
        eliot.log_message(
            "memory.budget",
            limit_bytes=limit_bytes,
            idle_bytes=idle_bytes,
            budget_bytes=size,
            reserve_bytes=self.budget.reserve_bytes,
        )

    @property
    def used_thousandths(self) -> int | None:
        """How full the budget is, or None if there is none."""
        return None if self.budget is None else self.budget.used_thousandths

    @contextmanager
    def open(self, attempt: str, urgency: int) -> Iterator["RequestMemory"]:
        """Holds memory for one request, and releases all of it at the end.

        Raises:
            RefusedError: there is no room for another request.
        """
        if self.budget is None:
            yield UNBOUNDED
            return
        with self._claim(attempt, urgency) as memory:
            self.acquire_at_once(memory, MemoryHolder.WAITING, REQUEST_BYTES)
            yield memory

    @contextmanager
    def body_room(self, name: str) -> Iterator[MemoryRoom]:
        """See :class:`MemoryRooms`."""
        if self.budget is None:
            yield UNBOUNDED_ROOM
            return
        with self._claim(name, BODY_URGENCY) as memory:
            yield memory.room(MemoryHolder.BODY)

    @contextmanager
    def _claim(self, attempt: str, urgency: int) -> Iterator["RequestMemory"]:
        assert self.budget is not None
        memory = RequestMemory(self, MemoryClaim(urgency), attempt)
        try:
            yield memory
        finally:
            self.budget.close(memory.claim)
            self._settle()

    def acquire_at_once(self, memory: "RequestMemory", holder: MemoryHolder, size: int) -> None:
        """Acquires bytes.

        Raises:
            RefusedError: there is no room for them.
        """
        assert self.budget is not None
        if not self.budget.try_acquire(memory.claim, holder, size):
            raise self._refusal(memory, holder, size)

    async def acquire(self, memory: "RequestMemory", holder: MemoryHolder, size: int) -> None:
        """Acquires bytes, and waits for them if there is no room.

        Raises:
            RefusedError: waiting for them would block other requests.
            AnswerBeyondMemoryError: the request and its answer are larger than the whole budget.
        """
        budget, claim = self.budget, memory.claim
        assert budget is not None
        if budget.try_acquire(claim, holder, size):
            return
        own = sum(claim.bytes_by_holder.values())
        if holder in ANSWER_HOLDERS and own + size > budget.limit_bytes:
            raise AnswerBeyondMemoryError(
                f"the request and its answer need {own + size} bytes, "
                f"and the host's memory budget is {budget.limit_bytes}"
            )
        if holder is MemoryHolder.UNSIZED and budget.is_outsized(claim):
            # It has no length: it may go on for ever, and the others would wait for it.
            raise AnswerBeyondMemoryError(_answer_reason(own, budget))
        if not memory.was_paused:
            memory.was_paused = True
            self.counts.paused += 1
            eliot.log_message(
                "memory.paused",
                attempt=memory.attempt,
                waits_for=holder.value,
                figures={figure.name: figure.value for figure in self._figures(claim, size)},
            )
        future = asyncio.get_running_loop().create_future()
        self._future_by_claim[claim] = future
        budget.enqueue(claim, holder, size)
        self._settle()
        try:
            await future
        except RefusedError:
            if holder in ANSWER_HOLDERS:
                raise AnswerBeyondMemoryError(_answer_reason(own, budget)) from None
            raise self._refusal(memory, holder, size) from None
        finally:
            del self._future_by_claim[claim]
            budget.withdraw(claim)

    def release(self, memory: "RequestMemory", holder: MemoryHolder, size: int) -> None:
        """Releases bytes, and passes them on to those that wait."""
        assert self.budget is not None
        self.budget.release(memory.claim, holder, size)
        self._settle()

    def _settle(self) -> None:
        """Ends the waits that the budget grants or refuses now."""
        assert self.budget is not None
        settlement = self.budget.settle()
        for claim in settlement.granted:
            future = self._future_by_claim[claim]
            if not future.done():
                future.set_result(None)
        for claim in settlement.refused:
            future = self._future_by_claim[claim]
            if not future.done():
                future.set_exception(RefusedError(not_run_refusal(RefusalCode.HOST_MEMORY, "")))

    def _figures(self, claim: MemoryClaim, size: int) -> tuple[Figure, ...]:
        budget = self.budget
        assert budget is not None
        return (
            Figure("wanted_bytes", size),
            Figure("free_needed_bytes", budget.free_needed_bytes(claim, size)),
            Figure("own_bytes", sum(claim.bytes_by_holder.values())),
            Figure("held_bytes", budget.held_bytes),
            Figure("free_for_requests_bytes", budget.free_request_bytes),
            Figure("budget_bytes", budget.limit_bytes),
            Figure("waiting", budget.waiting_count),
            Figure("urgency", claim.urgency),
        )

    def _refusal(self, memory: "RequestMemory", holder: MemoryHolder, size: int) -> RefusedError:
        self.counts.refused += 1
        self._on_refusal()
        return RefusedError(
            not_run_refusal(
                RefusalCode.HOST_MEMORY,
                f"the host's memory budget has no room for the request ({holder.value})",
                *self._figures(memory.claim, size),
                retry_after_s=round(self._random.uniform(*RETRY_AFTER_S), 3),
            )
        )


def _answer_reason(own_bytes: int, budget: MemoryBudget) -> str:
    return (
        f"{own_bytes} bytes of the request and its answer are held, the answer goes on, "
        f"and the host's memory budget of {budget.limit_bytes} bytes is used up"
    )


class _HeldRoom(MemoryRoom):
    """Room in the budget for one holder of one request."""

    def __init__(self, memory: "RequestMemory", holder: MemoryHolder) -> None:
        self._memory = memory
        self._holder = holder

    def take_at_once(self, size: int) -> None:
        """See :class:`MemoryRoom`."""
        self._memory.host.acquire_at_once(self._memory, self._holder, size)

    async def take(self, size: int) -> None:
        """See :class:`MemoryRoom`."""
        await self._memory.host.acquire(self._memory, self._holder, size)

    def give_back(self, size: int) -> None:
        """See :class:`MemoryRoom`."""
        self._memory.host.release(self._memory, self._holder, size)


class RequestMemory:
    """The memory that one request holds; see :meth:`HeldMemory.open`.

    Attributes:
        is_bounded: whether the host has a budget.
        was_paused: whether a wait for memory was logged.
        was_paced: whether slower reading was logged.
    """

    def __init__(self, host: HeldMemory, claim: MemoryClaim, attempt: str) -> None:
        self.host = host
        self.claim = claim
        self.attempt = attempt
        self.is_bounded = host.budget is not None
        self.was_paused = self.was_paced = False

    def room(self, holder: MemoryHolder) -> MemoryRoom:
        """Returns the room for one kind of bytes."""
        return _HeldRoom(self, holder) if self.is_bounded else UNBOUNDED_ROOM

    async def read_answer(self, answer: Answer) -> bytes:
        """Returns an answer's whole body, which stays counted until the request ends.

        The body of an earlier run's answer, which is no longer held, is released first.

        Raises:
            IncompleteAnswerError: the body is incomplete.
        """
        if not self.is_bounded:
            return await answer.read_body()
        for holder in (MemoryHolder.ANSWER, MemoryHolder.UNSIZED):
            self.room(holder).give_back(self.claim.bytes_by_holder[holder])
        holder = MemoryHolder.ANSWER if answer.has_length else MemoryHolder.UNSIZED
        return await answer.read_body(self.room(holder))


UNBOUNDED = RequestMemory(HeldMemory(), MemoryClaim(0), "")
"""Stands for the memory of requests on a host without a budget."""
