"""Parses and validates incoming calls."""

from typing import Any

import orjson
import xxhash
from expression import Error, Ok, Result

from bayhinge._internal.models.calls import (
    Call,
    CallKind,
    IncomingCall,
    ModelCall,
    ServiceCall,
)
from bayhinge._internal.models.ids import parse_program_id
from bayhinge._internal.models.messages import encode_message
from bayhinge._internal.models.refusals import Refusal, RefusalCode, not_run_refusal

OWN_FIELDS = frozenset({"model", "messages", "max_tokens", "max_completion_tokens", "stream"})
FORBIDDEN_FIELDS = frozenset(
    {"stream_options", "priority", "request_id", "program", "hold", "resume_offset"}
)
ROLES = frozenset({"system", "developer", "user", "assistant", "tool"})
MAX_TOKENS = 1_000_000


def parse_call(incoming: IncomingCall, default_max_tokens: int) -> Result[Call, Refusal]:
    """Parses an incoming call."""
    program = parse_program_id(incoming.program)
    if program is None:
        return Error(_bad(f"'{incoming.program[:80]}' is not a program identifier"))
    work: Result[Any, Refusal]
    if incoming.kind is CallKind.MODEL:
        work = parse_model_call(incoming, default_max_tokens)
    else:
        work = Ok(_service_call(incoming))
    if work.is_error():
        return Error(work.error)
    call = Call(
        incoming.account,
        program,
        incoming.index,
        _call_digest(incoming),
        incoming.idempotency_key,
        incoming.patience_s,
        work.ok,
        incoming.resume_offset,
    )
    return Ok(call)


def parse_model_call(incoming: IncomingCall, default_max_tokens: int) -> Result[ModelCall, Refusal]:
    """Parses a chat completion request."""
    body = read_json_object(incoming.body)
    if body.is_error():
        return Error(body.error)
    fields = body.ok
    model = fields.get("model")
    if not isinstance(model, str) or not model:
        return Error(_bad("field 'model' must be the name of a model"))
    messages = _read_messages(fields.get("messages"))
    if messages.is_error():
        return Error(messages.error)
    max_tokens = fields.get("max_completion_tokens") or fields.get("max_tokens")
    if max_tokens is None:
        max_tokens = default_max_tokens
    if not isinstance(max_tokens, int) or not 1 <= max_tokens <= MAX_TOKENS:
        return Error(_bad(f"field 'max_tokens' must be a whole number from 1 to {MAX_TOKENS}"))
    if fields.get("n") not in {None, 1}:
        return Error(_bad("field 'n' must be 1: a program records one answer for each call"))
    left_out = OWN_FIELDS | FORBIDDEN_FIELDS
    options = {name: value for name, value in fields.items() if name not in left_out}
    return Ok(ModelCall(model, messages.ok, incoming.mode, max_tokens, options))


def read_json_object(body: bytes) -> Result[dict[str, Any], Refusal]:
    """Parses a JSON object."""
    try:
        fields = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return Error(_bad(f"the body is not valid JSON: {error}"))
    if not isinstance(fields, dict):
        return Error(_bad("the body must be a JSON object"))
    return Ok(fields)


def _read_messages(messages: object) -> Result[tuple[bytes, ...], Refusal]:
    if not isinstance(messages, list) or not messages:
        return Error(_bad("field 'messages' must be a list with at least one message"))
    encoded: list[bytes] = []
    for position, message in enumerate(messages):
        if not isinstance(message, dict) or message.get("role") not in ROLES:
            roles = ", ".join(sorted(ROLES))
            return Error(_bad(f"message {position} must be an object whose role is one of {roles}"))
        encoded.append(encode_message(message))
    return Ok(tuple(encoded))


def _service_call(incoming: IncomingCall) -> ServiceCall:
    return ServiceCall(
        incoming.target,
        incoming.http_method,
        incoming.path,
        incoming.body,
        incoming.content_type,
        incoming.repeatable,
    )


def _call_digest(incoming: IncomingCall) -> str:
    """Returns a digest of what identifies a call; patience and resume offset are left out."""
    digest = xxhash.xxh3_128()
    parts = (incoming.kind, incoming.target, incoming.http_method, incoming.path, incoming.mode)
    for part in parts:
        digest.update(f"{part}\0".encode())
    digest.update(incoming.body)
    return digest.hexdigest()


def _bad(why: str) -> Refusal:
    return not_run_refusal(RefusalCode.BAD_REQUEST, why)
