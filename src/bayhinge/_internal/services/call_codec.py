"""Encodes and decodes calls and answers on the peer link as thrift structs."""

from bayhinge._internal.models.calls import (
    AnswerEnd,
    AnswerItem,
    AnswerPart,
    IncomingCall,
    MessagesMode,
)
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.services.record_codec import WIRE_KIND, end_from_wire, end_to_wire
from bayhinge._internal.wire import ttypes as wire

_KIND_BY_WIRE = {value: kind for kind, value in WIRE_KIND.items()}
_WIRE_BY_MODE = {
    MessagesMode.WHOLE: wire.MessagesMode.WHOLE,
    MessagesMode.NEW: wire.MessagesMode.NEW,
    MessagesMode.REWRITE: wire.MessagesMode.REWRITE,
}
_MODE_BY_WIRE = {value: mode for mode, value in _WIRE_BY_MODE.items()}


def encode_call(incoming: IncomingCall) -> bytes:
    """Encodes a call that is forwarded."""
    message = wire.CallRequest(
        incoming.account,
        incoming.program,
        incoming.index,
        WIRE_KIND[incoming.kind],
        incoming.target,
        incoming.http_method,
        incoming.path,
        incoming.body,
        incoming.patience_s,
        incoming.idempotency_key,
        incoming.repeatable,
        _WIRE_BY_MODE[incoming.mode],
        incoming.resume_offset,
        incoming.hops,
        incoming.content_type,
    )
    return encode_message(message)


def decode_call(payload: bytes) -> IncomingCall:
    """Decodes a call that was forwarded.

    Raises:
        FrameError: the payload can't be decoded.
    """
    message = decode_message(wire.CallRequest(), payload)
    return IncomingCall(
        message.account,
        message.program,
        message.index,
        _KIND_BY_WIRE[message.kind],
        message.target,
        message.http_method,
        message.path,
        message.body,
        message.content_type,
        message.patience_s,
        message.idempotency_key,
        message.repeatable,
        _MODE_BY_WIRE[message.messages_mode],
        message.resume_offset,
        message.hops,
    )


def encode_item(item: AnswerItem) -> bytes:
    """Encodes one message of an answer's stream."""
    if isinstance(item, AnswerEnd):
        return encode_message(wire.AnswerItem(end=end_to_wire(item)))
    return encode_message(wire.AnswerItem(part=wire.AnswerPart(item.offset, item.text)))


def decode_item(payload: bytes) -> AnswerItem:
    """Decodes one message of an answer's stream.

    Raises:
        FrameError: the payload can't be decoded.
    """
    message = decode_message(wire.AnswerItem(), payload)
    if message.end is not None:
        return end_from_wire(message.end)
    return AnswerPart(message.part.offset, message.part.text)
