"""Keeps reading an endpoint's answer while its caller reads slowly.

What the caller has not taken stays in the connection's write buffer, counted in the memory budget.
An endpoint is therefore read in time, and does not cut off its answer, until the budget is used up.
"""

import asyncio

import eliot

from bayhinge._internal.decisions.memory_budget import MemoryHolder
from bayhinge._internal.network.routed_front import Exchange
from bayhinge._internal.services.gateway.held_memory import UNREAD_ALLOWANCE_BYTES, RequestMemory

SLOW_READING_RESERVE_SHARE = 1 / 4
"""An answer whose unread bytes exceed this share of the reserve is read more slowly."""

SLOW_READING_PAUSE_S = 0.05
"""Pause before each further piece of such an answer. It is far below the seconds after which
endpoints cut off an answer that is not read."""


class UnreadAnswer:
    """The unread part of one answer. A caller that reads in time costs no task and no copy."""

    def __init__(self, exchange: Exchange, memory: RequestMemory) -> None:
        self._exchange = exchange
        self._memory = memory
        self._room = memory.room(MemoryHolder.UNREAD)
        self._held_bytes = 0

    def begin(self) -> None:
        """Prepares the connection, once the answer's head was sent."""
        budget = self._memory.host.budget
        if budget is not None:
            self._exchange.buffer_writes(budget.limit_bytes)
            self._exchange.watch_caller(self._release_taken)

    async def write(self, piece: bytes) -> None:
        """Sends a piece to the caller, or keeps it if the caller does not read."""
        if self._memory.is_bounded:
            unread = self._exchange.unread_bytes
            # A piece larger than the threshold is no sign of a slow caller by itself.
            if unread > UNREAD_ALLOWANCE_BYTES:
                await self._hold(unread + len(piece))
        await self._exchange.write(piece)

    async def _hold(self, unread: int) -> None:
        """Takes room for the unread bytes beyond those already held; may wait for it."""
        self._exchange.expect_slow_reading()
        await self._slow_down(unread)
        grown = unread - self._held_bytes
        if grown > 0:
            await self._room.take(grown)
            self._held_bytes += grown

    async def _slow_down(self, unread: int) -> None:
        """Pauses reading from the endpoint if the unread part is large."""
        host, memory = self._memory.host, self._memory
        assert host.budget is not None
        if unread <= host.budget.reserve_bytes * SLOW_READING_RESERVE_SHARE:
            return
        if not memory.was_paced:
            memory.was_paced = True
            host.counts.paced += 1
            eliot.log_message(
                "memory.paced",
                attempt=memory.attempt,
                unread_bytes=unread,
                held_bytes=host.budget.held_bytes,
                reserve_bytes=host.budget.reserve_bytes,
            )
        await asyncio.sleep(SLOW_READING_PAUSE_S)

    def _release_taken(self) -> None:
        """Releases what the caller has taken meanwhile."""
        taken = self._held_bytes - self._exchange.unread_bytes
        if taken > 0:
            self._held_bytes -= taken
            self._room.give_back(taken)
