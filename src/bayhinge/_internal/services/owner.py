"""Serves the calls of owned programs: call order, history, budget, and at-most-once calls."""

import asyncio
import logging
from collections.abc import AsyncGenerator, Iterator

import attrs

from bayhinge._internal.commands.accept_call import (
    AwaitEarlierCall,
    JoinCall,
    NewMessages,
    RefuseCall,
    ReplayCall,
    RunningCallView,
    check_limits,
    decide_call,
    find_new_messages,
)
from bayhinge._internal.models.accounts import ClientAccount
from bayhinge._internal.models.calls import AnswerItem, Call, ModelCall
from bayhinge._internal.models.events import Mechanism
from bayhinge._internal.models.messages import assistant_message, estimate_tokens
from bayhinge._internal.models.programs import (
    CallEntry,
    LostEndpoint,
    ProgramState,
    UnfinishedCall,
)
from bayhinge._internal.models.refusals import (
    Figure,
    Refusal,
    RefusalCode,
    RefusedError,
    RunState,
    SendRecord,
    not_run_refusal,
    refusal_from_json,
)
from bayhinge._internal.services.answers import LiveAnswer, replay
from bayhinge._internal.services.call_records import failure_record, finished_record
from bayhinge._internal.services.call_runner import CallResult, PreparedCall
from bayhinge._internal.services.owner_parts import (
    OwnedProgram,
    OwnerParts,
    RunningCall,
    moved_refusal,
    store_refusal,
)
from bayhinge._internal.services.program_registry import ProgramRegistry
from bayhinge._internal.services.record_codec import (
    apply_finished,
    decode_record,
    encode_finished,
    encode_lost,
    encode_started,
    encode_withdrawn,
    end_from_wire,
)
from bayhinge.coordination.errors import (
    BudgetExceededError,
    CoordinationError,
    FencedError,
    JournalFullError,
)
from bayhinge.coordination.escrow import Reservation

logger = logging.getLogger(__name__)

BUDGET_RETRY_AFTER_S = 5.0

RECORD_LOST_S = 1.0
"""Longest wait for the record of a lost endpoint, some times longer than a write usually takes."""


@attrs.frozen
class _Admitted:
    """A call that has passed every check, with its budget reserved."""

    prepared: PreparedCall
    new_messages: NewMessages | None
    reservation: Reservation | None


class ProgramOwner:
    """Serves the calls of the programs in a registry."""

    def __init__(self, parts: OwnerParts, registry: ProgramRegistry) -> None:
        self._parts = parts
        self._registry = registry
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def running_count(self) -> int:
        """Calls that run now."""
        return len(self._tasks)

    async def drain(self) -> None:
        """Waits until no call runs."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    def abandon(self) -> None:
        """Cancels every running call, as the death of the process would."""
        for task in list(self._tasks):
            task.cancel()

    async def call(self, call: Call) -> AsyncGenerator[AnswerItem, None]:
        """Yields the answer to a call.

        The call goes on if the caller disconnects: its answer is recorded and can be
        collected.

        Raises:
            RefusedError: the call gets no answer.
        """
        program = self._find(call)
        deadline = asyncio.get_running_loop().time() + call.patience_s
        while True:
            if program.has_moved:
                raise RefusedError(moved_refusal())
            running = program.running
            view = None if running is None else running.view
            decision = decide_call(program.state, call, view)
            if isinstance(decision, RefuseCall):
                self._record_refusal(program.state, call, decision.refusal)
                raise RefusedError(decision.refusal)
            if isinstance(decision, ReplayCall):
                async for item in self._replay(program.state, decision.entry, call.resume_offset):
                    yield item
                return
            if isinstance(decision, AwaitEarlierCall):
                await self._await_turn(program, decision.index, deadline)
                continue
            if program.is_moving and not isinstance(decision, JoinCall):
                await self._await_turn(program, program.state.next_index, deadline)
                continue
            if not isinstance(decision, JoinCall):
                running = self._start(program, call, deadline)
            assert running is not None
            async for item in running.live.follow(call.resume_offset):
                yield item
            return

    async def read_answer(
        self, account: str, program_id: str, index: int, offset: int
    ) -> AsyncGenerator[AnswerItem, None]:
        """Yields the answer to an earlier call, running or recorded, from ``offset`` characters.

        Raises:
            RefusedError: there is no such program or call, the call failed, or its record
                can't be read.
        """
        program = self._registry.find(program_id)
        if program is None or program.state.account != account:
            raise RefusedError(_unknown_program(program_id))
        running = program.running
        if running is not None and running.view.index == index:
            async for item in running.live.follow(offset):
                yield item
            return
        if index >= program.state.next_index:
            why = (
                f"call {index} has no recorded answer; the next call is {program.state.next_index}"
            )
            raise RefusedError(not_run_refusal(RefusalCode.NOT_RECORDED, why))
        async for item in self._replay(program.state, program.state.calls[index], offset):
            yield item

    # ---- starting ----

    def _find(self, call: Call) -> OwnedProgram:
        program = self._registry.find(str(call.program))
        if program is None or program.state.account != call.account:
            # The same error for both, so that other accounts' programs are not disclosed.
            raise RefusedError(_unknown_program(str(call.program)))
        return program

    async def _await_turn(self, program: OwnedProgram, index: int, deadline: float) -> None:
        changed = program.changed
        remaining = deadline - asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(max(0.0, remaining)):
                await changed.wait()
        except TimeoutError:
            refusal = not_run_refusal(
                RefusalCode.INDEX_GAP,
                f"the patience of call {index} ran out while it waited for the calls before it",
                Figure("next_index", program.state.next_index),
                retry_after_s=1.0,
            )
            raise RefusedError(refusal) from None

    def _start(self, program: OwnedProgram, call: Call, deadline: float) -> RunningCall:
        index = program.state.next_index
        running = RunningCall(
            RunningCallView(index, call.digest, call.idempotency_key), LiveAnswer()
        )
        program.running = running
        task = asyncio.create_task(self._run(program, running, call, deadline))
        running.task = task
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return running

    async def _run(
        self, program: OwnedProgram, running: RunningCall, call: Call, deadline: float
    ) -> None:
        try:
            await self._run_admitted(program, running, call, deadline)
        except RefusedError as error:
            self._record_refusal(program.state, call, error.refusal)
            running.live.refuse(error.refusal)
        except asyncio.CancelledError:
            moved = attrs.evolve(moved_refusal(), run_state=RunState.MAY_HAVE_RUN)
            ended = Refusal(RefusalCode.CANCELLED, RunState.MAY_HAVE_RUN, "the program was ended")
            running.live.refuse(moved if program.has_moved else ended)
            raise
        except Exception:
            # An internal error must not leave the caller waiting forever.
            logger.exception("call %s of %s failed", running.view.index, call.program)
            running.live.refuse(
                Refusal(
                    RefusalCode.OUTCOME_UNKNOWN,
                    RunState.MAY_HAVE_RUN,
                    "the owner failed while it ran the call; see its log",
                )
            )
        finally:
            program.running = None
            program.wake()

    async def _run_admitted(
        self, program: OwnedProgram, running: RunningCall, call: Call, deadline: float
    ) -> None:
        admitted = await self._admit(program, running.view.index, call, deadline)
        work = call.work
        used: int | None = None
        try:
            if isinstance(work, ModelCall):
                program.used_pools.update(self._pools(work))
                result = await self._parts.runner.run_model(admitted.prepared, running.live)
                used = result.spend
            else:
                result = await self._run_service(program, admitted.prepared)
        except RefusedError as error:
            if error.refusal.run_state is RunState.NOT_RUN:
                used = 0
            raise
        finally:
            if admitted.reservation is not None:
                # What an interrupted call used is unknown, so its worst case is charged.
                units = admitted.reservation.units
                self._parts.escrow.settle(admitted.reservation, units if used is None else used)
        await self._finish(program, running, admitted, result)

    def _pools(self, work: ModelCall) -> Iterator[str]:
        pool = self._parts.settings.pool_of_model(work.model)
        if pool is not None:
            yield pool.name

    async def _admit(
        self, program: OwnedProgram, index: int, call: Call, deadline: float
    ) -> _Admitted:
        state = program.state
        found = self._parts.accounts.find(state.account)
        if found.is_error():
            raise RefusedError(not_run_refusal(RefusalCode.FORBIDDEN, found.error))
        account = found.ok
        refusal = next(check_limits(account, state, call), None)
        if refusal is not None:
            raise RefusedError(refusal)

        async def record_lost(lost: LostEndpoint) -> None:
            await self._record_lost(state, lost)

        if not isinstance(call.work, ModelCall):
            prepared = PreparedCall(
                state, account, call, index, (), deadline, record_lost=record_lost
            )
            return _Admitted(prepared, None, None)
        new_messages = find_new_messages(state, call.work)
        if new_messages.is_error():
            raise RefusedError(new_messages.error)
        prompt = await self._build_prompt(state, call.work, new_messages.ok)
        reservation = await self._reserve(account, call.work, prompt)

        async def extend_budget(units: int, send_record: SendRecord) -> None:
            await self._extend_reservation(account, reservation, units, send_record)

        prepared = PreparedCall(
            state, account, call, index, prompt, deadline, extend_budget, record_lost
        )
        return _Admitted(prepared, new_messages.ok, reservation)

    async def _build_prompt(
        self, state: ProgramState, work: ModelCall, new_messages: NewMessages
    ) -> tuple[bytes, ...]:
        if new_messages.rewrite or not state.message_count:
            return new_messages.messages
        if len(work.messages) > len(new_messages.messages):
            # The caller sent the whole list, and its start matches the recorded history.
            return work.messages
        try:
            return (*await self._parts.histories.get(state), *new_messages.messages)
        except CoordinationError as error:
            raise RefusedError(store_refusal(SendRecord(), error)) from error

    async def _reserve(
        self, account: ClientAccount, work: ModelCall, prompt: tuple[bytes, ...]
    ) -> Reservation:
        units = estimate_tokens(prompt) + work.max_tokens
        try:
            return await self._parts.escrow.reserve(account.name, units, account.budget_tokens)
        except CoordinationError as error:
            raise RefusedError(_budget_refusal(account, SendRecord(), error)) from error

    async def _extend_reservation(
        self, account: ClientAccount, reservation: Reservation, units: int, send_record: SendRecord
    ) -> None:
        """Reserves the tokens of a failed attempt before the call is sent again."""
        try:
            await self._parts.escrow.extend(reservation, units, account.budget_tokens)
        except CoordinationError as error:
            raise RefusedError(_budget_refusal(account, send_record, error)) from error

    async def _record_lost(self, state: ProgramState, lost: LostEndpoint) -> None:
        """Records an endpoint that was lost under a call, before the call is sent on.

        The call goes on if the store is slow: a successor then counts one endpoint less.
        """
        state.lost_endpoints.append(lost)
        try:
            durable = self._parts.journal.append(encode_lost(state.program_id, lost))
            async with asyncio.timeout(RECORD_LOST_S):
                await asyncio.shield(durable)
        except (TimeoutError, FencedError, JournalFullError) as error:
            logger.warning(
                "the loss of endpoint %s under a call of %s could not be recorded in time: %r",
                lost.endpoint,
                state.program_id,
                error,
            )

    # ---- calls that may not be repeated ----

    async def _run_service(self, program: OwnedProgram, prepared: PreparedCall) -> CallResult:
        if prepared.call.repeatable:
            return await self._parts.runner.run_service(prepared, None)
        if not self._parts.journal.store_ok:
            why = "the call may not be repeated, and its start can't be recorded now"
            refusal = not_run_refusal(RefusalCode.STORE_UNAVAILABLE, why, retry_after_s=2.0)
            raise RefusedError(refusal)

        async def record_start(endpoint: str, send_record: SendRecord) -> None:
            await self._record_start(program, prepared, endpoint, send_record)

        try:
            return await self._parts.runner.run_service(prepared, record_start)
        except RefusedError as error:
            await self._record_refused_outcome(program, prepared, error.refusal)
            raise

    async def _record_start(
        self, program: OwnedProgram, prepared: PreparedCall, endpoint: str, send_record: SendRecord
    ) -> None:
        call = prepared.call
        started = UnfinishedCall(prepared.index, call.digest, call.idempotency_key, endpoint)
        program.state.unfinished = started
        remaining = prepared.deadline - asyncio.get_running_loop().time()
        try:
            durable = self._parts.journal.append(encode_started(program.state, started))
            async with asyncio.timeout(max(0.0, remaining)):
                await asyncio.shield(durable)
        except TimeoutError as error:
            why = "the call's start could not be recorded within the caller's patience"
            refusal = send_record.refusal(RefusalCode.STORE_UNAVAILABLE, why, retry_after_s=2.0)
            raise RefusedError(refusal) from error
        except (FencedError, JournalFullError) as error:
            raise RefusedError(store_refusal(send_record, error)) from error

    async def _record_refused_outcome(
        self, program: OwnedProgram, prepared: PreparedCall, refusal: Refusal
    ) -> None:
        """Records whether the call ran, so that a successor knows its outcome."""
        state = program.state
        started, state.unfinished = state.unfinished, None
        if started is None:
            return
        try:
            if refusal.run_state is RunState.NOT_RUN:
                self._parts.journal.append(encode_withdrawn(state.program_id, prepared.index))
                return
            finished = failure_record(state, started, refusal)
            position = await self._parts.journal.append(encode_finished(finished))
            apply_finished(state, finished, position)
        except (FencedError, JournalFullError) as error:
            logger.warning("the outcome of a call could not be recorded: %s", error)

    # ---- finishing ----

    async def _finish(
        self,
        program: OwnedProgram,
        running: RunningCall,
        admitted: _Admitted,
        result: CallResult,
    ) -> None:
        state = program.state
        finished = finished_record(
            state, admitted.prepared, admitted.new_messages, result, running.live.text
        )
        try:
            position = await self._parts.journal.append(encode_finished(finished))
        except (FencedError, JournalFullError) as error:
            send_record = SendRecord(sends=1, answered=True)
            raise RefusedError(store_refusal(send_record, error)) from error
        entry = apply_finished(state, finished, position)
        if admitted.new_messages is not None:
            answer = assistant_message(running.live.text, result.end.tool_calls)
            messages = (*admitted.new_messages.messages, answer)
            self._parts.histories.append(state, messages, admitted.new_messages.rewrite)
        self._parts.timeline.record(
            Mechanism.OWNER,
            "finished",
            "the answer is whole and recorded",
            Figure("service_s", round(result.service_s, 4)),
            Figure("prompt_tokens", result.end.usage.prompt_tokens),
            Figure("cached_tokens", result.end.usage.cached_tokens),
            Figure("completion_tokens", result.end.usage.completion_tokens),
            program=str(state.program_id),
            account=state.account,
            endpoint=result.endpoint,
            index=entry.index,
        )
        running.live.finish(result.end)

    async def _replay(
        self, state: ProgramState, entry: CallEntry, offset: int
    ) -> AsyncGenerator[AnswerItem, None]:
        try:
            record = decode_record(await self._parts.reader.read_record(entry.position))
        except CoordinationError as error:
            send_record = SendRecord(sends=1, answered=True)
            raise RefusedError(store_refusal(send_record, error)) from error
        finished = record.finished
        if finished.failure is not None:
            raise RefusedError(refusal_from_json(finished.failure))
        async for item in replay(finished.text, end_from_wire(finished.answer), offset):
            yield item

    def _record_refusal(self, state: ProgramState, call: Call, refusal: Refusal) -> None:
        self._parts.timeline.record(
            Mechanism.OWNER,
            f"refused: {refusal.code}",
            refusal.why,
            *refusal.figures,
            program=str(state.program_id),
            account=state.account,
            index=state.next_index if call.index is None else call.index,
        )


def _budget_refusal(
    account: ClientAccount, send_record: SendRecord, error: CoordinationError
) -> Refusal:
    if not isinstance(error, BudgetExceededError):
        return store_refusal(send_record, error)
    return send_record.refusal(
        RefusalCode.BUDGET_EXCEEDED,
        "the client account's budget has no room for this call's worst case",
        Figure("needed_tokens", error.wanted),
        Figure("free_on_this_host", error.available),
        Figure("budget_tokens", account.budget_tokens),
        retry_after_s=BUDGET_RETRY_AFTER_S,
    )


def _unknown_program(program: str) -> Refusal:
    why = f"no program '{program}' of this client account is known here"
    return not_run_refusal(RefusalCode.UNKNOWN_PROGRAM, why)
