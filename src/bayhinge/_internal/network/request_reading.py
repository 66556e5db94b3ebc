"""Parses callers' requests: keys, headers and bodies."""

import math

from aiohttp import web
from multidict import CIMultiDictProxy

from bayhinge._internal.models.calls import MessagesMode
from bayhinge._internal.models.refusals import (
    Refusal,
    RefusalCode,
    RefusedError,
    not_run_refusal,
)
from bayhinge._internal.network.body_reading import read_body_within
from bayhinge._internal.network.memory_room import BodyTooLongError, MemoryRoom

ACCOUNT_HEADER = "Bayhinge-Account"
PROGRAM_HEADER = "Bayhinge-Program"
CALL_HEADER = "Bayhinge-Call"
PATIENCE_HEADER = "Bayhinge-Patience"
MESSAGES_HEADER = "Bayhinge-Messages"
REPEATABLE_HEADER = "Bayhinge-Repeatable"
IDEMPOTENCY_HEADER = "Idempotency-Key"
LAST_EVENT_HEADER = "Last-Event-ID"
MAX_IDEMPOTENCY_KEY = 255
MAX_INDEX = 1_000_000

BODY_ROOM_KEY = web.RequestKey("body_room", MemoryRoom)
"""Key of the memory for a request's body, among what aiohttp keeps with the request."""

ENDS_CONNECTION_KEY = web.RequestKey("ends_connection", bool)
"""The same for whether the connection ends with the request."""

Headers = CIMultiDictProxy[str]


def read_key(headers: Headers) -> str:
    """Returns the bearer key, or an empty string."""
    scheme, _, key = headers.get("Authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def read_index(headers: Headers) -> int | None:
    """Returns the call's index, or None if the header is missing.

    Raises:
        RefusedError: the header is not a whole number.
    """
    return _parse_whole_number(headers, CALL_HEADER)


def read_offset(headers: Headers) -> int:
    """Returns how many characters of the answer the caller has already received.

    Raises:
        RefusedError: the header is not a whole number.
    """
    return _parse_whole_number(headers, LAST_EVENT_HEADER) or 0


def read_patience(headers: Headers, max_s: float) -> float:
    """Returns the caller's patience in seconds, at most the account's.

    Raises:
        RefusedError: the header is not a number of seconds.
    """
    text = headers.get(PATIENCE_HEADER)
    if text is None:
        return max_s
    try:
        patience_s = float(text)
    except ValueError:
        patience_s = math.nan
    if not 0 <= patience_s < math.inf:
        raise RefusedError(_bad(f"header {PATIENCE_HEADER} must be a number of seconds"))
    return min(patience_s, max_s)


def read_mode(headers: Headers) -> MessagesMode:
    """Returns the mode of the message list.

    Raises:
        RefusedError: the header is not one of the modes.
    """
    value = headers.get(MESSAGES_HEADER, MessagesMode.WHOLE.value).strip().lower()
    if value not in list(MessagesMode):
        words = ", ".join(MessagesMode)
        raise RefusedError(_bad(f"header {MESSAGES_HEADER} must be one of {words}"))
    return MessagesMode(value)


def read_idempotency_key(headers: Headers) -> str | None:
    """Returns the idempotency key, or None.

    Raises:
        RefusedError: the key is too long.
    """
    key = headers.get(IDEMPOTENCY_HEADER)
    if key is not None and len(key) > MAX_IDEMPOTENCY_KEY:
        raise RefusedError(
            _bad(f"header {IDEMPOTENCY_HEADER} is longer than {MAX_IDEMPOTENCY_KEY} characters")
        )
    return key or None


def forbids_repeat(headers: Headers) -> bool:
    """Returns whether the caller forbids repeating its call."""
    return headers.get(REPEATABLE_HEADER, "").strip().lower() in {"no", "false"}


async def read_body(request: web.Request) -> bytes:
    """Reads the whole body.

    Raises:
        RefusedError: the body is too large or malformed, or the host has no room for it.
    """
    # Unless it turns out to be whole: the rest of a refused body is read and dropped.
    request[ENDS_CONNECTION_KEY] = True
    try:
        body = await read_body_within(request, request.client_max_size, request[BODY_ROOM_KEY])
    except BodyTooLongError as error:
        why = f"the body is larger than {request.client_max_size} bytes"
        raise RefusedError(not_run_refusal(RefusalCode.TOO_LARGE, why)) from error
    request[ENDS_CONNECTION_KEY] = body.ends_connection
    return body.content


def _parse_whole_number(headers: Headers, name: str) -> int | None:
    text = headers.get(name)
    if text is None or not text.strip():
        return None
    text = text.strip()
    if not text.isascii() or not text.isdigit() or int(text[:9]) > MAX_INDEX * 100:
        raise RefusedError(_bad(f"header {name} must be a whole number"))
    return int(text)


def _bad(why: str) -> Refusal:
    return not_run_refusal(RefusalCode.BAD_REQUEST, why)
