"""Encodes and decodes the journal's records of programs as thrift structs."""

from bayhinge._internal.models.calls import AnswerEnd, CallKind, Usage
from bayhinge._internal.models.ids import ProgramId, parse_program_id
from bayhinge._internal.models.programs import (
    CallEntry,
    LostEndpoint,
    ProgramState,
    UnfinishedCall,
)
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.wire import ttypes as wire
from bayhinge.coordination.errors import CorruptObjectError
from bayhinge.coordination.journal_objects import JournalRecord, RecordPosition

WIRE_KIND = {CallKind.MODEL: wire.CallKind.MODEL, CallKind.SERVICE: wire.CallKind.SERVICE}


def encode_opened(state: ProgramState) -> bytes:
    """Encodes the opening of a program."""
    return encode_message(wire.Record(opened=_opened(state)))


def encode_started(state: ProgramState, call: UnfinishedCall) -> bytes:
    """Encodes the start of a call that may not be repeated, before it is sent."""
    return encode_message(wire.Record(started=_started(state, call)))


def encode_withdrawn(program: ProgramId, index: int) -> bytes:
    """Encodes the withdrawal of a started call that was not sent."""
    return encode_message(wire.Record(withdrawn=wire.CallWithdrawn(str(program), index)))


def encode_lost(program: ProgramId, lost: LostEndpoint) -> bytes:
    """Encodes the loss of an endpoint under a program's next call."""
    return encode_message(wire.Record(lost=_lost(program, lost)))


def encode_ended(program: ProgramId, reason: str) -> bytes:
    """Encodes the end of a program."""
    return encode_message(wire.Record(ended=wire.ProgramEnded(str(program), reason)))


def encode_finished(finished: wire.CallFinished) -> bytes:
    """Encodes a finished call."""
    return encode_message(wire.Record(finished=finished))


def encode_adopted(state: ProgramState) -> bytes:
    """Encodes a program's state; its messages stay in the journals that hold them."""
    unfinished = None if state.unfinished is None else _started(state, state.unfinished)
    calls = [
        wire.AdoptedCall(
            call.position.incarnation,
            call.position.sequence,
            call.position.entry,
            call.digest,
            call.idempotency_key,
            call.message_count,
            call.history_digest,
            call.has_messages,
        )
        for call in state.calls
    ]
    adopted = wire.ProgramAdopted(
        _opened(state),
        state.spend,
        calls,
        state.history_base,
        unfinished,
        state.ended,
        state.attained_s,
        [_lost(state.program_id, lost) for lost in state.lost_endpoints],
    )
    return encode_message(wire.Record(adopted=adopted))


def decode_record(record: JournalRecord) -> wire.Record:
    """Decodes a record.

    Raises:
        CorruptObjectError: it can't be decoded.
    """
    try:
        return decode_message(wire.Record(), record.data)
    except Exception as error:
        raise CorruptObjectError(_describe(record.position), str(error)) from error


def program_of(record: wire.Record) -> str:
    """Returns the identifier of the program that a record belongs to."""
    if record.adopted is not None:
        return str(record.adopted.opened.program)
    body = (
        record.opened
        or record.started
        or record.finished
        or record.ended
        or record.withdrawn
        or record.lost
    )
    return str(body.program)


def state_from_opened(opened: wire.ProgramOpened) -> ProgramState:
    """Returns the state of a program that was just opened."""
    program_id = parse_program_id(opened.program)
    if program_id is None:
        raise CorruptObjectError(opened.program, "invalid program identifier")
    return ProgramState(
        program_id, opened.account, opened.parent, opened.opened_at_ms, opened.idempotency_key
    )


def state_from_adopted(adopted: wire.ProgramAdopted, now_s: float) -> ProgramState:
    """Returns the state that an earlier successor recorded; ``now_s`` is on the monotonic clock."""
    state = state_from_opened(adopted.opened)
    state.spend = adopted.spend
    state.attained_s = adopted.attained_s
    state.history_base = adopted.history_base
    state.ended = adopted.ended
    for index, call in enumerate(adopted.calls):
        position = RecordPosition(call.incarnation, call.sequence, call.entry)
        entry = CallEntry(
            index,
            position,
            call.digest,
            call.idempotency_key,
            call.message_count,
            call.history_digest,
            call.has_messages,
        )
        state.calls.append(entry)
        state.recent_digests.append(entry.digest)
    if adopted.unfinished is not None:
        state.unfinished = unfinished_from_wire(adopted.unfinished)
    state.lost_endpoints.extend(
        lost_from_wire(lost, now_s) for lost in adopted.lost_endpoints or ()
    )
    return state


def lost_from_wire(lost: wire.EndpointLost, now_s: float) -> LostEndpoint:
    """Returns the endpoint that a former owner lost under a call, as one that is lost now.

    Hosts' clocks can't be compared, and a later time is the safe one.
    """
    return LostEndpoint(lost.digest, lost.endpoint, lost.address, lost.has_ended, now_s)


def unfinished_from_wire(started: wire.CallStarted) -> UnfinishedCall:
    """Returns the call that was started."""
    return UnfinishedCall(started.index, started.digest, started.idempotency_key, started.endpoint)


def apply_finished(
    state: ProgramState, finished: wire.CallFinished, position: RecordPosition
) -> CallEntry:
    """Adds a finished call to a program's state."""
    entry = CallEntry(
        finished.index,
        position,
        finished.digest,
        finished.idempotency_key,
        finished.message_count,
        finished.history_digest,
        finished.kind == wire.CallKind.MODEL and finished.failure is None,
    )
    state.calls.append(entry)
    state.recent_digests.append(entry.digest)
    state.spend += finished.spend
    state.attained_s += finished.service_s
    state.unfinished = None
    state.lost_endpoints.clear()
    if finished.rewrite:
        state.history_base = finished.index
    return entry


def end_to_wire(end: AnswerEnd) -> wire.AnswerEnd:
    """Returns the wire form of an answer's end."""
    return wire.AnswerEnd(
        end.index,
        end.status,
        end.content_type,
        end.body,
        end.finish_reason,
        end.usage.prompt_tokens,
        end.usage.completion_tokens,
        end.usage.cached_tokens,
        end.tool_calls,
        end.model,
    )


def end_from_wire(end: wire.AnswerEnd) -> AnswerEnd:
    """Returns an answer's end from its wire form."""
    usage = Usage(end.prompt_tokens, end.completion_tokens, end.cached_tokens)
    return AnswerEnd(
        end.index,
        end.status,
        end.content_type,
        end.body,
        end.finish_reason,
        usage,
        end.tool_calls,
        end.model,
    )


def _opened(state: ProgramState) -> wire.ProgramOpened:
    return wire.ProgramOpened(
        str(state.program_id),
        state.account,
        state.parent,
        state.opened_at_ms,
        state.idempotency_key,
    )


def _started(state: ProgramState, call: UnfinishedCall) -> wire.CallStarted:
    return wire.CallStarted(
        str(state.program_id), call.index, call.digest, call.endpoint, call.idempotency_key
    )


def _lost(program: ProgramId, lost: LostEndpoint) -> wire.EndpointLost:
    return wire.EndpointLost(
        str(program),
        lost.digest,
        lost.endpoint,
        lost.address,
        lost.has_ended,
    )


def _describe(position: RecordPosition) -> str:
    return f"journal of {position.incarnation}, object {position.sequence}, entry {position.entry}"
