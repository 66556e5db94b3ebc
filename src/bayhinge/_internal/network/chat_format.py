"""Answers in the OpenAI chat format: one object, or a stream of server-sent events.

An event's id is the number of characters of text received up to and including the event, so that
``Last-Event-ID`` can resume running and recorded answers alike.
"""

from typing import Any

import orjson

from bayhinge._internal.models.calls import AnswerEnd, AnswerPart
from bayhinge._internal.models.refusals import Refusal

DONE_EVENT = b"data: [DONE]\n\n"


def answer_id(program: str, index: int | None) -> str:
    """Returns the ``id`` field of an answer."""
    return f"chatcmpl-{program}" if index is None else f"chatcmpl-{program}-{index}"


def whole_answer(program: str, text: str, end: AnswerEnd) -> bytes:
    """Returns the answer as one JSON object."""
    message: dict[str, Any] = {"role": "assistant", "content": text}
    if end.tool_calls:
        message["tool_calls"] = orjson.loads(end.tool_calls)
    body = {
        "id": answer_id(program, end.index),
        "object": "chat.completion",
        "model": end.model,
        "choices": [{"index": 0, "message": message, "finish_reason": end.finish_reason}],
        "usage": _usage(end),
        "bayhinge": {"program": program, "call": end.index},
    }
    return orjson.dumps(body)


def part_event(program: str, model: str, part: AnswerPart) -> bytes:
    """Returns an event with a piece of text."""
    delta: dict[str, Any] = {"content": part.text}
    if part.offset == 0:
        delta["role"] = "assistant"
    offset = part.offset + len(part.text)
    return _event(offset, _chunk(program, model, delta, None))


def end_events(program: str, offset: int, end: AnswerEnd) -> bytes:
    """Returns the events that end a stream."""
    delta: dict[str, Any] = {}
    if end.tool_calls:
        calls = orjson.loads(end.tool_calls)
        delta["tool_calls"] = [{"index": place, **call} for place, call in enumerate(calls)]
    last = _chunk(program, end.model, delta, end.finish_reason)
    usage = _chunk(program, end.model, {}, None)
    usage["choices"] = []
    usage["usage"] = _usage(end)
    usage["bayhinge"] = {"program": program, "call": end.index}
    return _event(offset, last) + _event(offset, usage) + DONE_EVENT


def refusal_event(refusal: Refusal) -> bytes:
    """Returns an error event, for a refusal after the answer has started."""
    return b"event: error\ndata: " + refusal.to_json() + b"\n\n"


def _chunk(
    program: str, model: str, delta: dict[str, Any], finish_reason: str | None
) -> dict[str, Any]:
    return {
        "id": answer_id(program, None),
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish_reason}],
    }


def _event(offset: int, body: dict[str, Any]) -> bytes:
    return b"id: %d\ndata: " % offset + orjson.dumps(body) + b"\n\n"


def _usage(end: AnswerEnd) -> dict[str, Any]:
    return {
        "prompt_tokens": end.usage.prompt_tokens,
        "completion_tokens": end.usage.completion_tokens,
        "total_tokens": end.usage.total,
        "prompt_tokens_details": {"cached_tokens": end.usage.cached_tokens},
    }
