"""Decides whether to run a call, join a running one, replay its recorded answer, or refuse it.

The functions are pure: they map a program's state and a call to a decision.
"""

from collections.abc import Iterator

import attrs
from expression import Error, Ok, Result

from bayhinge._internal.models.accounts import ClientAccount
from bayhinge._internal.models.calls import Call, MessagesMode, ModelCall
from bayhinge._internal.models.messages import extend_digest
from bayhinge._internal.models.programs import EMPTY_DIGEST, CallEntry, ProgramState
from bayhinge._internal.models.refusals import (
    Figure,
    Refusal,
    RefusalCode,
    not_run_refusal,
)

MAX_AHEAD = 16
"""How far a call's index may be ahead of the next one; it then waits for the calls before it."""


class Decision:
    """What to do with a call."""


@attrs.frozen
class RunCall(Decision):
    """Run the call at this index."""

    index: int


@attrs.frozen
class JoinCall(Decision):
    """The call is already running: stream the answer of that run."""

    index: int


@attrs.frozen
class ReplayCall(Decision):
    """The call is already recorded: return the recorded answer."""

    entry: CallEntry


@attrs.frozen
class AwaitEarlierCall(Decision):
    """An earlier call of the program has not ended: decide again once it has."""

    index: int


@attrs.frozen
class RefuseCall(Decision):
    """Refuse the call."""

    refusal: Refusal


@attrs.frozen
class RunningCallView:
    """The program's running call; a program runs one call at a time."""

    index: int
    digest: str
    idempotency_key: str | None


def decide_call(state: ProgramState, call: Call, running: RunningCallView | None) -> Decision:
    """Decides what to do with a call; ``running`` is the program's running call, if any."""
    known = _find_earlier_call(state, call, running)
    if known is not None:
        return known
    if state.ended is not None:
        why = f"the program has ended: {state.ended}"
        return RefuseCall(not_run_refusal(RefusalCode.PROGRAM_ENDED, why))
    index = state.next_index if call.index is None else call.index
    if running is not None:
        if call.index is None or index <= running.index + MAX_AHEAD:
            return AwaitEarlierCall(index)
        return RefuseCall(_index_gap_refusal(state, index))
    if index > state.next_index:
        return (
            AwaitEarlierCall(index)
            if index <= state.next_index + MAX_AHEAD
            else RefuseCall(_index_gap_refusal(state, index))
        )
    return RunCall(state.next_index)


def _find_earlier_call(
    state: ProgramState, call: Call, running: RunningCallView | None
) -> Decision | None:
    """Finds an earlier request for the same call, by its idempotency key or index."""
    if call.idempotency_key is not None:
        if running is not None and running.idempotency_key == call.idempotency_key:
            return _check_same_request(running.digest, call, JoinCall(running.index))
        entry = state.find_by_idempotency_key(call.idempotency_key)
        if entry is not None:
            return _check_same_request(entry.digest, call, ReplayCall(entry))
    if call.index is not None:
        if running is not None and running.index == call.index:
            return _check_same_request(running.digest, call, JoinCall(running.index))
        if call.index < state.next_index:
            entry = state.calls[call.index]
            return _check_same_request(entry.digest, call, ReplayCall(entry))
    return None


def _check_same_request(digest: str, call: Call, decision: Decision) -> Decision:
    if digest == call.digest:
        return decision
    why = "another request was made with this index or idempotency key"
    return RefuseCall(not_run_refusal(RefusalCode.INDEX_REUSED, why))


def _index_gap_refusal(state: ProgramState, index: int) -> Refusal:
    why = f"call index {index} is too far ahead; the next index is {state.next_index}"
    return not_run_refusal(RefusalCode.INDEX_GAP, why, Figure("next_index", state.next_index))


def check_limits(account: ClientAccount, state: ProgramState, call: Call) -> Iterator[Refusal]:
    """Yields the account limits that a call violates, most severe first."""
    yield from _check_permission(account, call)
    if state.next_index >= account.max_calls:
        yield not_run_refusal(
            RefusalCode.PROGRAM_LIMIT,
            "the program has made as many calls as its account allows",
            Figure("max_calls", account.max_calls),
        )
    if state.spend >= account.max_program_tokens:
        yield not_run_refusal(
            RefusalCode.PROGRAM_LIMIT,
            "the program has spent as many tokens as its account allows",
            Figure("spent_tokens", state.spend),
            Figure("max_program_tokens", account.max_program_tokens),
        )
    repeated = state.count_repeats(call.digest)
    if repeated >= account.max_repeated_calls:
        yield not_run_refusal(
            RefusalCode.LOOP_DETECTED,
            "the program keeps repeating the same call",
            Figure("repeated_calls", repeated),
            Figure("max_repeated_calls", account.max_repeated_calls),
        )


def _check_permission(account: ClientAccount, call: Call) -> Iterator[Refusal]:
    if isinstance(call.work, ModelCall):
        if call.work.model not in account.models:
            why = f"the client account may not use model '{call.work.model}'"
            yield not_run_refusal(RefusalCode.FORBIDDEN, why)
    elif call.work.service not in account.services:
        why = f"the client account may not use service '{call.work.service}'"
        yield not_run_refusal(RefusalCode.FORBIDDEN, why)


@attrs.frozen
class NewMessages:
    """The messages that a model call adds to the history.

    Attributes:
        rewrite: the messages replace the history.
        digest: the digest of the resulting history.
    """

    messages: tuple[bytes, ...]
    rewrite: bool
    digest: str


def find_new_messages(state: ProgramState, work: ModelCall) -> Result[NewMessages, Refusal]:
    """Finds the messages that a call adds to the recorded history.

    In mode WHOLE the list must start with the recorded history, which is checked by digest.
    """
    if work.mode is MessagesMode.REWRITE:
        digest = extend_digest(EMPTY_DIGEST, work.messages)
        return Ok(NewMessages(work.messages, True, digest))
    if work.mode is MessagesMode.NEW:
        return Ok(_extend_history(state, work.messages))
    count = state.message_count
    if extend_digest(EMPTY_DIGEST, work.messages[:count]) == state.history_digest:
        return Ok(_extend_history(state, work.messages[count:]))
    why = (
        "the message list does not extend the program's recorded history; send only the new "
        "messages (Bayhinge-Messages: new) or replace the history (Bayhinge-Messages: rewrite)"
    )
    figures = (
        Figure("recorded_messages", count),
        Figure("differs_at_message", _first_difference(state, work.messages)),
    )
    return Error(not_run_refusal(RefusalCode.HISTORY_DIFFERS, why, *figures))


def _extend_history(state: ProgramState, messages: tuple[bytes, ...]) -> NewMessages:
    digest = extend_digest(state.history_digest, messages)
    return NewMessages(messages, False, digest)


def _first_difference(state: ProgramState, messages: tuple[bytes, ...]) -> int:
    """Returns the last call boundary, as a message number, up to which the lists are equal."""
    digest, done = EMPTY_DIGEST, 0
    for entry in state.calls[state.history_base :]:
        if not entry.has_messages:
            continue
        digest = extend_digest(digest, messages[done : entry.message_count])
        if digest != entry.history_digest:
            return done
        done = entry.message_count
    return done
