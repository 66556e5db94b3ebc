"""Opens and closes turns on the disks: history, budgets, and what must last before an answer ends.

A reservation goes to the disks before a turn runs, and each answers with what it knows of
the program; a whole turn is synced on enough disks before the end of its answer is sent.
Entries never change, so any disk may have any of them, in any order.
"""

import asyncio

import attrs
import eliot

from bayhinge._internal.decisions.disk_quorum import committed_tokens, copies_needed
from bayhinge._internal.models.endpoint_entries import EndpointStart
from bayhinge._internal.models.refusals import RefusedError
from bayhinge._internal.models.routed_requests import TurnContext
from bayhinge._internal.network.frames import encode_message
from bayhinge._internal.services import methods
from bayhinge._internal.services.gateway.disk_client import DiskClient
from bayhinge._internal.services.gateway.disk_directory import DiskDirectory
from bayhinge._internal.services.gateway.disk_link import DiskLink
from bayhinge._internal.services.gateway.open_turn import OpenTurn
from bayhinge._internal.services.gateway.turn_histories import TurnHistories
from bayhinge._internal.services.gateway.turn_refusals import budget_exceeded
from bayhinge._internal.services.gateway.turn_reservations import TurnReservations
from bayhinge._internal.wire.hosts import ttypes as wire

APPEND_RETRY_S = 0.1
"""Between two tries to make a turn last."""


class TurnRecorder(DiskClient):
    """One entry host's way to the disks."""

    def __init__(self, directory: DiskDirectory, link: DiskLink, tolerated: int) -> None:
        """Takes who the disks are, the way there, and how many may be lost at once."""
        super().__init__(directory, link)
        self._tolerated = tolerated
        self._reservations = TurnReservations(self, directory, tolerated)
        self._histories = TurnHistories(self, directory)

    async def open(
        self, attempt: str, context: TurnContext, is_retained: bool = True, account: str = ""
    ) -> OpenTurn:
        """Reserves the turn's tokens, and fetches its history where it is kept.

        ``account`` is whose turn it is: programs and turns of others are not there for it.

        Raises:
            RefusedError: the budget is spent, there is no such turn, or too few disks answer.
        """
        if not is_retained:
            context = attrs.evolve(context, previous=None)
        reserved = context.most_tokens if context.token_budget is not None else 0
        if account:
            # Callers draw the ids, so another account may know one: it must not spend its budget.
            context = attrs.evolve(context, program=f"{account}/{context.program}")
        turn = OpenTurn(attempt, context, b"", EndpointStart(), reserved, is_retained, account)
        self._check_turn_size(turn)
        replies = await self._reservations.reserve(attempt, context, reserved)
        try:
            self._check_budget(turn, replies)
            await self._histories.add(turn, replies)
        except (RefusedError, asyncio.CancelledError):
            self.settle(turn, 0)
            raise
        return turn

    async def close(
        self, turn: OpenTurn, text: bytes, tokens: int, engine: EndpointStart, keep_s: float
    ) -> None:
        """Makes a whole turn last on enough disks; goes on until it does."""
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
        message = encode_message(wire.AppendEntries([entry]))
        generation_by_host: dict[str, int] = {}
        tries = 0
        while True:
            # Where the program's own disks are not enough, any other one will do.
            disks = (
                self._directory.writable()
                if tries
                else self._directory.places(turn.context.program)
            )
            disks = [disk for disk in disks if disk.host not in generation_by_host]
            async for disk, reply in self.ask(disks, methods.APPEND, message, wire.AppendReply):
                generation_by_host[disk.host] = reply.generation
                if len(set(generation_by_host.values())) >= copies_needed(self._tolerated):
                    return
            if tries == 0:
                eliot.log_message(
                    "turn.not_durable_yet",
                    attempt=turn.attempt,
                    copies_on=list(generation_by_host),
                    asked=[disk.host for disk in disks],
                    disk_set_version=self._directory.disk_set.version,
                )
            tries += 1
            await asyncio.sleep(APPEND_RETRY_S)

    def settle(self, turn: OpenTurn, tokens: int) -> None:
        """Says in the background what a turn without a whole answer has used."""
        self._reservations.settle(turn, tokens)

    def _check_turn_size(self, turn: OpenTurn) -> None:
        """Refuses a turn that the whole budget would not hold, without asking any disk."""
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
