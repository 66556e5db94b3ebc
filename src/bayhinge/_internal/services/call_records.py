"""Builds the journal's records of finished calls."""

from bayhinge._internal.commands.accept_call import NewMessages
from bayhinge._internal.models.calls import CallKind
from bayhinge._internal.models.messages import assistant_message, extend_digest
from bayhinge._internal.models.programs import ProgramState, UnfinishedCall
from bayhinge._internal.models.refusals import Refusal
from bayhinge._internal.services.call_runner import CallResult, PreparedCall
from bayhinge._internal.services.record_codec import WIRE_KIND, end_to_wire
from bayhinge._internal.wire import ttypes as wire


def finished_record(
    state: ProgramState,
    prepared: PreparedCall,
    new_messages: NewMessages | None,
    result: CallResult,
    text: str,
) -> wire.CallFinished:
    """Builds the record of a call with a complete answer."""
    call = prepared.call
    kind = CallKind.MODEL if new_messages is not None else CallKind.SERVICE
    messages: tuple[bytes, ...] = ()
    count, digest = state.message_count, state.history_digest
    if new_messages is not None:
        answer = assistant_message(text, result.end.tool_calls)
        messages = new_messages.messages
        count = (0 if new_messages.rewrite else count) + len(messages) + 1
        digest = extend_digest(new_messages.digest, [answer])
    return wire.CallFinished(
        str(state.program_id),
        prepared.index,
        call.digest,
        call.idempotency_key,
        WIRE_KIND[kind],
        list(messages),
        new_messages is not None and new_messages.rewrite,
        count,
        digest,
        end_to_wire(result.end),
        result.spend,
        text,
        result.service_s,
        None,
    )


def failure_record(
    state: ProgramState, call: UnfinishedCall, refusal: Refusal
) -> wire.CallFinished:
    """Builds the record of a call whose outcome is unknown."""
    return wire.CallFinished(
        str(state.program_id),
        call.index,
        call.digest,
        call.idempotency_key,
        WIRE_KIND[CallKind.SERVICE],
        [],
        False,
        state.message_count,
        state.history_digest,
        _failed_end(call.index, refusal),
        0,
        "",
        0.0,
        refusal.to_json(),
    )


def _failed_end(index: int, refusal: Refusal) -> wire.AnswerEnd:
    return wire.AnswerEnd(index, refusal.http_status, "", b"", "", 0, 0, 0, None, "")
