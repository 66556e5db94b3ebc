"""Identifiers of incarnations and programs."""

import re
from collections.abc import Callable

import attrs

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_INCARNATION_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}~[0-9a-f]{12}")


def new_incarnation(host: str, random_unit: Callable[[], float]) -> str:
    """Returns a unique identifier for one run of a host's daemon process."""
    return f"{host}~{int(random_unit() * 2**48):012x}"


def host_of(incarnation: str) -> str:
    """Returns the host name part of an incarnation."""
    return incarnation.partition("~")[0]


@attrs.frozen
class ProgramId:
    """A program's identifier: the incarnation whose journal it began in, and a number in it."""

    incarnation: str
    number: int

    def __str__(self) -> str:
        """Returns the public form, such as ``host~0123456789ab.17``."""
        return f"{self.incarnation}.{self.number}"


def parse_program_id(text: str) -> ProgramId | None:
    """Parses a program's identifier; returns None if it is malformed."""
    incarnation, separator, number = text.rpartition(".")
    if not separator or not number.isascii() or not number.isdigit():
        return None
    if _INCARNATION_PATTERN.fullmatch(incarnation) is None:
        return None
    return ProgramId(incarnation, int(number))
