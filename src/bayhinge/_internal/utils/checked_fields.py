"""Validation of the type and range of fields in tables from external sources.

A table's form is an attrs class whose fields carry the validators below. attrs is used because
every host already loads it; another validation library would cost memory and start-up time.
"""

from collections.abc import Callable, Mapping
from ipaddress import AddressValueError, IPv4Address
from typing import Any, TypeVar

import attrs
from attrs import validators

Form = TypeVar("Form")
Check = Callable[[Any, Any, Any], None]

MAX_INTEGER = 2**53
"""Largest integer that JSON implementations with double precision represent exactly."""

MAX_TEXT_CHARS = 4096
"""Longest text of one field, in characters."""

MAX_SHOWN_CHARS = 80
"""Characters of an invalid value that a finding shows."""

MAX_PORT = 65_535


class InvalidTableError(ValueError):
    """A table does not match its form; the message names the field and the allowed values."""


def _reject_bool(_: Any, field: Any, value: Any) -> None:
    # bool is a subclass of int.
    if isinstance(value, bool):
        raise TypeError(f"'{field.name}' must be a number, not {value}")


def text(least: int = 1) -> Check:
    """Returns a check for a string of at least ``least`` characters."""
    is_text = validators.instance_of(str)
    return validators.and_(is_text, validators.min_len(least), validators.max_len(MAX_TEXT_CHARS))


def whole_number(least: int) -> Check:
    """Returns a check for an integer of at least ``least``; bools are rejected."""
    return validators.and_(
        validators.instance_of(int),
        _reject_bool,
        validators.ge(least),
        validators.le(MAX_INTEGER),
    )


def number(least: float, is_exclusive: bool = False) -> Check:
    """Returns a check for a finite number of at least ``least``; bools are rejected.

    With ``is_exclusive`` the number must be above ``least``.
    """
    bound = validators.gt(least) if is_exclusive else validators.ge(least)
    return validators.and_(
        validators.instance_of((int, float)), _reject_bool, bound, validators.le(MAX_INTEGER)
    )


def is_ipv4_with_port(address: str) -> bool:
    """Returns whether text is a unicast IPv4 address and port, such as ``10.0.0.5:8100``."""
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit()) or port.startswith("0") or int(port[:6]) > MAX_PORT:
        return False
    return is_ipv4(host)


def is_ipv4(host: str) -> bool:
    """Returns whether text is a unicast IPv4 address."""
    try:
        address = IPv4Address(host)
    except AddressValueError:
        return False
    # 0.0.0.0 is excluded because traffic to it reaches this machine itself.
    return not (address.is_unspecified or address.is_multicast or address.is_reserved)


def ipv4_with_port(_: Any, field: Any, value: Any) -> None:
    """Checks that a value is an IPv4 address and port, such as ``10.0.0.5:8100``.

    Raises:
        TypeError: the value is anything else.
    """
    if not isinstance(value, str) or not is_ipv4_with_port(value):
        raise TypeError(f"'{field.name}' must be an IPv4 address and a port (got {value!r})")


def parse_form(form: type[Form], table: Any) -> Form:
    """Returns the attrs class ``form`` filled from a table; unknown fields are ignored.

    Raises:
        InvalidTableError: not a table, a required field is missing, or a value has the wrong type
            or is out of range.
    """
    if not isinstance(table, Mapping):
        raise InvalidTableError(f"expected a table with fields, not a {type(table).__name__}")
    values: dict[str, Any] = {}
    for field in attrs.fields(form):  # type: ignore[arg-type]
        if field.name in table:
            values[field.name] = table[field.name]
        elif field.default is attrs.NOTHING:
            raise InvalidTableError(f"'{field.name}' is missing")
    try:
        return form(**values)
    except (TypeError, ValueError) as error:
        # The further arguments of attrs' errors are the attribute and the value.
        why = str(error.args[0] if error.args else error)
        raise InvalidTableError(
            why if len(why) <= MAX_SHOWN_CHARS * 2 else f"{why[: MAX_SHOWN_CHARS * 2]}..."
        ) from error
