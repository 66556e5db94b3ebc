"""Decodes answers of the store of which a decoder takes only a part.

Whatever a writer has put into the ``spec`` of one object (nested very deeply, a number of thousands
of digits, bytes that are no JSON), the other objects must stay readable. So the text is split into
its objects by brackets and quotes alone, and each is decoded by itself.
"""

import json
import re
from collections.abc import Iterator
from typing import Any

import orjson

ODD = object()
"""Stands for a value that can't be decoded; no encoder takes it."""

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\],:]', re.DOTALL)
_OPENING, _CLOSING = b"{[", b"}]"


def decode_json(text: bytes) -> Any:
    """Decodes JSON, even if a string in it contains unpaired surrogates.

    Raises:
        ValueError: it is not valid JSON.
        RecursionError: it is nested too deeply.
    """
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError:
        # The standard library accepts unpaired surrogates. Such a string can't be encoded again,
        # so only the object that contains it counts as invalid.
        return json.loads(text.decode("utf-8", "surrogateescape"))


def decode_in_part(text: bytes) -> Any:
    """Decodes an object, a list or a page of changes, with :data:`ODD` for odd values.

    Raises:
        ValueError: it can't be split into its objects.
    """
    member_by_name = _members(text)
    if "items" in member_by_name:
        objects = [_decode_object(item) for item in _elements(member_by_name.pop("items"))]
        return _decode_members(member_by_name) | {"items": objects}
    if "events" in member_by_name:
        events = [_decode_event(event) for event in _elements(member_by_name.pop("events"))]
        return _decode_members(member_by_name) | {"events": events}
    return _decode_members(member_by_name)


def _decode_event(text: bytes) -> Any:
    try:
        member_by_name = _members(text)
    except ValueError:
        return ODD
    found = member_by_name.pop("object", b"null")
    return _decode_members(member_by_name) | {"object": _decode_object(found)}


def _decode_object(text: bytes) -> Any:
    try:
        return _decode_members(_members(text))
    except ValueError:
        return ODD


def _decode_members(member_by_name: dict[str, bytes]) -> dict[str, Any]:
    return {name: _decode_or_odd(text) for name, text in member_by_name.items()}


def _decode_or_odd(text: bytes) -> Any:
    try:
        return decode_json(text)
    except (ValueError, RecursionError):
        return ODD


def _members(text: bytes) -> dict[str, bytes]:
    """Splits a JSON object into its members.

    Raises:
        ValueError: it is none.
    """
    if not text.strip().startswith(b"{"):
        raise ValueError("it is no JSON object")
    members: dict[str, bytes] = {}
    for part in _parts(text):
        name = _TOKEN.match(part.lstrip())
        before = len(part) - len(part.lstrip())
        if name is None or not part[before + name.end() :].lstrip().startswith(b":"):
            raise ValueError("a member of a JSON object has no name")
        value = part[before + name.end() :].lstrip()[1:]
        members[str(decode_json(name[0]))] = value
    return members


def _elements(text: bytes) -> list[bytes]:
    """Splits a JSON list into its elements.

    Raises:
        ValueError: it is none.
    """
    if not text.strip().startswith(b"["):
        raise ValueError("it is no JSON list")
    return list(_parts(text))


def _parts(text: bytes) -> Iterator[bytes]:
    """Yields what stands between the commas of a JSON object or list.

    Raises:
        ValueError: its brackets don't match.
    """
    depth, begin = 0, 0
    for token in _TOKEN.finditer(text):
        sign = token[0]
        if sign in _OPENING:
            depth += 1
            if depth == 1:
                begin = token.end()
        elif sign in _CLOSING:
            depth -= 1
        if depth == 0 or (depth == 1 and sign == b","):
            part = text[begin : token.start()]
            if part.strip():
                yield part
            begin = token.end()
        if depth == 0:
            return
    raise ValueError("the brackets of a JSON text don't match")
