"""Opens and closes turns on the disks: token budgets, history and durable records.

Before a turn runs, its tokens are reserved on the disks, which answer with the program's entries;
a complete turn is synced on enough disks before the end of its answer is sent. Entries are
immutable, so disks may hold any subset of them in any order.
"""

import asyncio
from collections.abc import Iterable

import attrs

from bayhinge._internal.decisions.disk_quorum import committed_tokens
from bayhinge._internal.decisions.turn_retention import TurnTimes
from bayhinge._internal.models.endpoint_entries import EndpointIncarnation
from bayhinge._internal.models.refusals import RefusedError
from bayhinge._internal.models.routed_requests import TurnContext
from bayhinge._internal.services.gateway.disk_client import DiskClient
from bayhinge._internal.services.gateway.disk_directory import DiskDirectory
from bayhinge._internal.services.gateway.disk_link import DiskLink
from bayhinge._internal.services.gateway.entry_writer import EntryWriter
from bayhinge._internal.services.gateway.held_memory import UNBOUNDED, RequestMemory
from bayhinge._internal.services.gateway.open_turn import OpenTurn
from bayhinge._internal.services.gateway.turn_histories import TurnHistories
from bayhinge._internal.services.gateway.turn_refusals import budget_exceeded
from bayhinge._internal.services.gateway.turn_reservations import TurnReservations
from bayhinge._internal.wire.hosts import ttypes as wire

NO_TIMES = TurnTimes()
"""Of a turn that asks for no more than the minimum retention."""


class TurnRecorder(DiskClient):
    """Opens and closes turns for one entry host.

    ``tolerated`` is the number of disks that may be lost at once.
    """

    def __init__(self, directory: DiskDirectory, link: DiskLink, tolerated: int) -> None:
        super().__init__(directory, link)
        self._reservations = TurnReservations(self, directory, tolerated)
        self._histories = TurnHistories(self, directory)
        self._writer = EntryWriter(self, directory, tolerated)

    async def open(
        self,
        attempt: str,
        context: TurnContext,
        is_retained: bool = True,
        account: str = "",
        memory: RequestMemory = UNBOUNDED,
        times: TurnTimes = NO_TIMES,
    ) -> OpenTurn:
        """Reserves the turn's tokens, and fetches its history if turns are retained.

        ``account`` owns the turn; programs and turns of other accounts don't exist for it.
        ``memory`` is what the request holds, ``times`` how long its chain is needed.

        Raises:
            RefusedError: the budget is exhausted, the previous turn does not exist, too few disks
                answered, or there is no memory for the history.
        """
        if not is_retained:
            context = attrs.evolve(context, previous=None)
        reserved = context.max_output_tokens if context.token_budget is not None else 0
        if account:
            # Callers choose program ids: other accounts must not use up this program's budget.
            context = attrs.evolve(context, program=f"{account}/{context.program}")
        turn = OpenTurn(
            attempt, context, b"", EndpointIncarnation(), reserved, is_retained, account
        )
        self._check_turn_size(turn)
        replies = await self._reservations.reserve(attempt, context, reserved, times.needs_chain_s)
        try:
            self._check_budget(turn, replies)
            await self._histories.add(turn, replies, memory)
            if times.is_long:
                await self._tell_uses(turn, times)
        except (RefusedError, asyncio.CancelledError):
            self.settle(turn, 0)
            raise
        return turn

    async def close(
        self, turn: OpenTurn, text: bytes, tokens: int, engine: EndpointIncarnation, keep_s: float
    ) -> None:
        """Appends a complete turn to enough disks; retries until it is durable.

        The disks of other programs whose turns it goes on from learn that they are needed.
        """
        entry = wire.TurnEntry(
            wire.EntryKind.TURN,
            turn.attempt,
            turn.context.program,
            tokens,
            turn.context.previous,
            text,
            engine.endpoint,
            keep_s,
            engine.born_ms,
            turn.account,
        )
        others = turn.history_programs - {turn.context.program}
        uses = [] if turn.has_told_uses else _uses(turn, others, keep_s)
        encoded = self._writer.encode(turn.attempt, [entry, *uses])
        # The encoded message holds both; a long turn would be held twice until it is durable.
        del text, entry
        await self._writer.write(encoded)

    async def _tell_uses(self, turn: OpenTurn, times: TurnTimes) -> None:
        """Tells the disks before the turn runs how long it needs what it goes on from."""
        uses = _uses(turn, turn.history_programs, times.needs_chain_s)
        await self._writer.write(self._writer.encode(turn.attempt, uses))
        turn.has_told_uses = True

    def settle(self, turn: OpenTurn, tokens: int) -> None:
        """Records in the background the tokens used by a turn without a complete answer."""
        self._reservations.settle(turn, tokens)

    def _check_turn_size(self, turn: OpenTurn) -> None:
        """Refuses a turn larger than the whole budget, without calling any disk."""
        budget = turn.context.token_budget
        if budget is not None and (budget == 0 or turn.reserved > budget):
            raise budget_exceeded(turn, budget, 0)

    def _check_budget(self, turn: OpenTurn, replies: list[wire.ReserveReply]) -> None:
        budget = turn.context.token_budget
        if budget is None:
            return
        committed = committed_tokens(
            turn.attempt,
            ((reply.open_by_attempt, reply.settled_by_attempt) for reply in replies),
        )
        if committed + turn.reserved > budget:
            raise budget_exceeded(turn, budget, committed)


def _uses(turn: OpenTurn, programs: Iterable[str], keep_s: float) -> list[wire.TurnEntry]:
    """Returns one entry for each program that a turn goes on from."""
    return [
        wire.TurnEntry(wire.EntryKind.USED, turn.attempt, program, 0, keep_s=keep_s)
        for program in sorted(programs)
    ]
