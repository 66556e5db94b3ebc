"""Opens, finds and ends the programs that a host owns."""

import asyncio
from collections import Counter
from collections.abc import Iterator

import attrs
from expression import Error, Ok, Result

from bayhinge._internal.models.accounts import ClientAccount
from bayhinge._internal.models.events import Mechanism
from bayhinge._internal.models.ids import ProgramId
from bayhinge._internal.models.programs import ProgramState
from bayhinge._internal.models.refusals import Figure, Refusal, SendRecord
from bayhinge._internal.services.owner_parts import (
    OwnedProgram,
    OwnerParts,
    stale_config_refusal,
    store_refusal,
    too_many_programs_refusal,
    unrecorded_refusal,
)
from bayhinge._internal.services.record_codec import encode_ended, encode_opened
from bayhinge.coordination.errors import FencedError, JournalFullError
from bayhinge.coordination.journal_objects import RecordPosition

MAX_ENDED_KEPT = 2000
"""Ended programs per host whose answers can still be collected."""


@attrs.frozen
class OpenedProgram:
    """A program that is open in memory; ``durable`` is done once its record is durable."""

    program: OwnedProgram
    durable: "asyncio.Future[RecordPosition]"


class ProgramRegistry:
    """The programs of one owner, by their identifiers."""

    def __init__(self, parts: OwnerParts) -> None:
        self._parts = parts
        self._programs_by_id: dict[str, OwnedProgram] = {}
        self._ended_ids: dict[str, None] = {}
        self._id_by_opening_key: dict[str, str] = {}
        self._live_by_account: Counter[str] = Counter()
        self._next_number = 0
        self._end_tasks: set[asyncio.Task[Result[ProgramId, Refusal]]] = set()

    def find(self, program: str) -> OwnedProgram | None:
        """Returns a program that this host owns."""
        return self._programs_by_id.get(program)

    def all(self) -> list[OwnedProgram]:
        """Returns the programs that this host owns, retained ended ones included."""
        return list(self._programs_by_id.values())

    @property
    def live_count(self) -> int:
        """How many programs have not ended."""
        return self._live_by_account.total()

    def add(self, program: OwnedProgram) -> None:
        """Adds a program that was opened or adopted."""
        state = program.state
        self._programs_by_id[str(state.program_id)] = program
        if state.ended is None:
            self._live_by_account[state.account] += 1
        if state.idempotency_key is not None:
            key = f"{state.account}/{state.idempotency_key}"
            self._id_by_opening_key[key] = str(state.program_id)

    def remove(self, program: OwnedProgram) -> None:
        """Removes a program that this host no longer owns."""
        state = program.state
        del self._programs_by_id[str(state.program_id)]
        if state.ended is None:
            self._live_by_account[state.account] -= 1
        self._parts.histories.drop(str(state.program_id))

    def remove_all(self) -> None:
        """Removes every program, after the host's journal was fenced."""
        for program in list(self._programs_by_id.values()):
            self.remove(program)
            program.has_moved = True
            if program.running is not None and program.running.task is not None:
                program.running.task.cancel()
            program.wake()

    async def open(
        self, account: ClientAccount, parent: str | None, idempotency_key: str | None
    ) -> Result[OwnedProgram, Refusal]:
        """Opens a program; it is durable when this returns."""
        opened = self.open_nowait(account, parent, idempotency_key)
        if opened.is_error():
            return Error(opened.error)
        try:
            async with asyncio.timeout(account.patience_seconds):
                await asyncio.shield(opened.ok.durable)
        except FencedError as error:
            return Error(store_refusal(SendRecord(), error))
        except TimeoutError:
            # The record may still become durable, so the program's end is recorded after it.
            self._abandon(opened.ok.program)
            return Error(unrecorded_refusal())
        return Ok(opened.ok.program)

    def open_nowait(
        self, account: ClientAccount, parent: str | None, idempotency_key: str | None
    ) -> Result[OpenedProgram, Refusal]:
        """Opens a program without waiting until it is durable.

        Its first call is recorded after it in the same journal, so a program of one call needs
        no write of its own.
        """
        existing = self._find_opened(account, idempotency_key)
        if existing is not None:
            return Ok(existing)
        refusal = next(self._check_open(account), None)
        if refusal is not None:
            return Error(refusal)
        state = ProgramState(
            ProgramId(self._parts.journal.incarnation, self._next_number),
            account.name,
            parent,
            self._parts.clock.wall_ms(),
            idempotency_key,
        )
        try:
            durable = self._parts.journal.append(encode_opened(state))
        except (FencedError, JournalFullError) as error:
            return Error(store_refusal(SendRecord(), error))
        self._next_number += 1
        program = OwnedProgram(state)
        self.add(program)
        self._record(state, "opened", "a caller began a program")
        return Ok(OpenedProgram(program, durable))

    async def end(self, program: OwnedProgram, reason: str) -> Result[ProgramId, Refusal]:
        """Ends a program and waits until that is durable; idempotent."""
        state = program.state
        if state.ended is not None:
            return Ok(state.program_id)
        if program.running is not None and program.running.task is not None:
            program.running.task.cancel()
        state.ended = reason
        self._live_by_account[state.account] -= 1
        self._record(
            state,
            "ended",
            reason,
            Figure("calls", state.next_index),
            Figure("spent_tokens", state.spend),
        )
        self._parts.grants.program_ended(str(state.program_id), frozenset(program.used_pools))
        self._parts.histories.drop(str(state.program_id))
        program.wake()
        try:
            await self._parts.journal.append(encode_ended(state.program_id, reason))
        except (FencedError, JournalFullError) as error:
            return Error(store_refusal(SendRecord(), error))
        self._evict_oldest_ended(str(state.program_id))
        return Ok(state.program_id)

    def _abandon(self, program: OwnedProgram) -> None:
        end_task = asyncio.create_task(self.end(program, "its beginning could not be recorded"))
        self._end_tasks.add(end_task)
        end_task.add_done_callback(self._end_tasks.discard)

    def _find_opened(self, account: ClientAccount, key: str | None) -> OpenedProgram | None:
        if key is None:
            return None
        program = self.find(self._id_by_opening_key.get(f"{account.name}/{key}", ""))
        if program is None:
            return None
        durable: asyncio.Future[RecordPosition] = asyncio.get_running_loop().create_future()
        durable.set_result(RecordPosition("", 0, 0))
        return OpenedProgram(program, durable)

    def _check_open(self, account: ClientAccount) -> Iterator[Refusal]:
        if not self._parts.accounts.is_current():
            yield stale_config_refusal()
        if not self._parts.journal.store_ok:
            yield unrecorded_refusal()
        live = self._live_by_account[account.name]
        if live >= account.max_programs:
            yield too_many_programs_refusal(live, account.max_programs)

    def _evict_oldest_ended(self, program: str) -> None:
        self._ended_ids[program] = None
        while len(self._ended_ids) > MAX_ENDED_KEPT:
            oldest = next(iter(self._ended_ids))
            del self._ended_ids[oldest]
            state = self._programs_by_id.pop(oldest).state
            self._id_by_opening_key.pop(f"{state.account}/{state.idempotency_key}", None)

    def _record(self, state: ProgramState, what: str, why: str, *figures: Figure) -> None:
        self._parts.timeline.record(
            Mechanism.OWNER,
            what,
            why,
            *figures,
            program=str(state.program_id),
            account=state.account,
        )
