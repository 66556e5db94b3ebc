"""Fields of a table that another writer made, checked by type and range before they are used.

A table's form is an attrs class whose fields carry the validators below. attrs is loaded by every
host already: another library for this would cost each of them memory and time at its start.
"""

from collections.abc import Callable, Mapping
from ipaddress import AddressValueError, IPv4Address
from typing import Any, TypeVar

import attrs
from attrs import validators

Form = TypeVar("Form")
Check = Callable[[Any, Any, Any], None]

MAX_INTEGER = 2**53
"""Largest number that every JSON writer can write exactly."""

MAX_TEXT_CHARS = 4096
"""Longest text of one field, in signs; the longest that is in use are some 40."""

SHOWN = 80
"""Signs of an odd value that a finding shows."""

MAX_PORT = 65_535


class InvalidTableError(ValueError):
    """A table is not of its form; the message names the field and what it may hold."""


def _reject_bool(_: Any, field: Any, value: Any) -> None:
    # Python counts truth values among its whole numbers.
    if isinstance(value, bool):
        raise TypeError(f"'{field.name}' must be a number, not {value}")


def text(least: int = 1) -> Check:
    """Returns a check for text of at least so many signs."""
    is_text = validators.instance_of(str)
    return validators.and_(is_text, validators.min_len(least), validators.max_len(MAX_TEXT_CHARS))


def whole_number(least: int) -> Check:
    """Returns a check for a whole number; a truth value is none."""
    return validators.and_(
        validators.instance_of(int),
        _reject_bool,
        validators.ge(least),
        validators.le(MAX_INTEGER),
    )


def number(least: float, is_exclusive: bool = False) -> Check:
    """Returns a check for a number from ``least`` on, or above it; no truth value, no infinity."""
    bound = validators.gt(least) if is_exclusive else validators.ge(least)
    return validators.and_(
        validators.instance_of((int, float)), _reject_bool, bound, validators.le(MAX_INTEGER)
    )


def is_ipv4_with_port(address: str) -> bool:
    """Tells whether text is ``10.0.0.5:8100``: an address that one machine may have, and a port."""
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit()) or port.startswith("0") or int(port[:6]) > MAX_PORT:
        return False
    return is_ipv4(host)


def is_ipv4(host: str) -> bool:
    """Tells whether text is an IPv4 address that one machine may have."""
    try:
        address = IPv4Address(host)
    except AddressValueError:
        return False
    # What would be sent to 0.0.0.0 reaches this machine itself.
    return not (address.is_unspecified or address.is_multicast or address.is_reserved)


def ipv4_with_port(_: Any, field: Any, value: Any) -> None:
    """Checks for ``10.0.0.5:8100``.

    Raises:
        TypeError: it is none.
    """
    if not isinstance(value, str) or not is_ipv4_with_port(value):
        raise TypeError(f"'{field.name}' must be an IPv4 address and a port (got {value!r})")


def parse_form(form: type[Form], table: Any) -> Form:
    """Returns the attrs class ``form`` filled from a table; fields it doesn't name are passed over.

    Raises:
        InvalidTableError: not a table, a required field is missing, or a value has the wrong type
            or is out of range.
    """
    if not isinstance(table, Mapping):
        raise InvalidTableError(f"a {type(table).__name__}, where a table with fields is due")
    values: dict[str, Any] = {}
    for field in attrs.fields(form):  # type: ignore[arg-type]
        if field.name in table:
            values[field.name] = table[field.name]
        elif field.default is attrs.NOTHING:
            raise InvalidTableError(f"'{field.name}' is missing")
    try:
        return form(**values)
    except (TypeError, ValueError) as error:
        # attrs adds the field and the value behind its message.
        why = str(error.args[0] if error.args else error)
        raise InvalidTableError(
            why if len(why) <= SHOWN * 2 else f"{why[: SHOWN * 2]}..."
        ) from error
