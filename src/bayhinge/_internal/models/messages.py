"""Chat messages as encoded bytes, and the digest chain over a history.

Histories are stored encoded and inserted into request bodies without decoding.
"""

from collections.abc import Iterable
from typing import Any

import orjson
import xxhash

BYTES_PER_TOKEN = 4
"""Estimated size of a token, used until the engine has reported the real count."""

_ECHOED_KEYS = frozenset({"role", "content", "tool_calls"})


def encode_message(message: dict[str, Any]) -> bytes:
    """Encodes a message canonically, whichever client library sent it.

    Client libraries echo assistant messages with extra fields (null refusals, annotations);
    only the fields that the engine reads are kept.
    """
    kept = {key: value for key, value in message.items() if value is not None}
    if message.get("role") == "assistant":
        kept = {key: value for key, value in kept.items() if key in _ECHOED_KEYS}
    return orjson.dumps(kept, option=orjson.OPT_SORT_KEYS)


def assistant_message(text: str, tool_calls: bytes | None) -> bytes:
    """Encodes the message that an answer adds to the history."""
    message: dict[str, Any] = {"role": "assistant", "content": text}
    if tool_calls:
        message["tool_calls"] = orjson.loads(tool_calls)
    return encode_message(message)


def extend_digest(digest: str, messages: Iterable[bytes]) -> str:
    """Returns the digest of a history extended by more messages."""
    for message in messages:
        digest = xxhash.xxh3_128_hexdigest(digest.encode() + message)
    return digest


def estimate_tokens(messages: Iterable[bytes]) -> int:
    """Estimates the token count of encoded messages."""
    return sum(1 + len(message) // BYTES_PER_TOKEN for message in messages)


def build_request_body(fields: dict[str, Any], messages: Iterable[bytes]) -> bytes:
    """Builds a request body from already encoded messages and the other fields."""
    head = orjson.dumps(fields)
    joined = b",".join(messages)
    separator = b"," if fields else b""
    return head[:-1] + separator + b'"messages":[' + joined + b"]}"


def merge_tool_calls(merged: list[dict[str, Any]], deltas: bytes) -> None:
    """Merges a chunk's tool call deltas into the calls collected so far.

    The protocol sends a call's name first, then its arguments in pieces.
    """
    for delta in orjson.loads(deltas):
        position = int(delta.get("index", len(merged)))
        while len(merged) <= position:
            merged.append({"type": "function", "function": {"name": "", "arguments": ""}})
        call = merged[position]
        if delta.get("id"):
            call["id"] = delta["id"]
        function = delta.get("function") or {}
        call["function"]["name"] += function.get("name") or ""
        call["function"]["arguments"] += function.get("arguments") or ""
