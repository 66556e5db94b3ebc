"""Schemas of INI sections: each key with its type, default, bounds and meaning.

The same schemas validate a text, fill the settings classes and print the reference pages.
"""

import re
from abc import ABC, abstractmethod
from collections.abc import Iterator
from typing import Any, Generic, TypeVar

import attrs
from expression import Error, Ok, Result

from bayhinge._internal.models.findings import Finding, Place
from bayhinge._internal.models.ids import NAME_PATTERN
from bayhinge._internal.utils.ini import IniSection

Value = TypeVar("Value")

_DIGEST = re.compile(r"[0-9a-f]{64}")
_MAX_PORT = 65_535


class ValueType(ABC, Generic[Value]):
    """The type of a value: parses and validates its text."""

    @abstractmethod
    def read(self, text: str) -> Result[Value, str]:
        """Returns the parsed value, or the problem."""

    @abstractmethod
    def describe(self) -> str:
        """Returns the type's description for the reference page."""


@attrs.frozen
class Text(ValueType[str]):
    """Any text."""

    def read(self, text: str) -> Result[str, str]:
        """See :class:`ValueType`."""
        return Ok(text.strip())

    def describe(self) -> str:
        """See :class:`ValueType`."""
        return "text"


@attrs.frozen
class Name(ValueType[str]):
    """A name of lowercase letters, digits and hyphens."""

    def read(self, text: str) -> Result[str, str]:
        """See :class:`ValueType`."""
        name = text.strip()
        if NAME_PATTERN.fullmatch(name) is None:
            return Error(f"'{name}' is not a valid name: use lowercase letters, digits and hyphens")
        return Ok(name)

    def describe(self) -> str:
        """See :class:`ValueType`."""
        return "name"


@attrs.frozen
class Number(ValueType[float]):
    """A number between bounds, inclusive."""

    least: float
    most: float

    def read(self, text: str) -> Result[float, str]:
        """See :class:`ValueType`."""
        try:
            value = float(text)
        except ValueError:
            return Error(f"'{text}' is not a number")
        if not self.least <= value <= self.most:
            return Error(f"{text} is not between {self.least:g} and {self.most:g}")
        return Ok(value)

    def describe(self) -> str:
        """See :class:`ValueType`."""
        return f"number, {self.least:g} to {self.most:g}"


@attrs.frozen
class Integer(ValueType[int]):
    """An integer between bounds, inclusive."""

    least: int
    most: int

    def read(self, text: str) -> Result[int, str]:
        """See :class:`ValueType`."""
        try:
            value = int(text.replace("_", ""))
        except ValueError:
            return Error(f"'{text}' is not a whole number")
        if not self.least <= value <= self.most:
            return Error(f"{text} is not between {self.least} and {self.most}")
        return Ok(value)

    def describe(self) -> str:
        """See :class:`ValueType`."""
        return f"whole number, {self.least} to {self.most}"


@attrs.frozen
class Flag(ValueType[bool]):
    """Yes or no."""

    def read(self, text: str) -> Result[bool, str]:
        """See :class:`ValueType`."""
        value = text.strip().lower()
        if value in {"yes", "true", "on"}:
            return Ok(True)
        if value in {"no", "false", "off"}:
            return Ok(False)
        return Error(f"'{text}' is neither yes nor no")

    def describe(self) -> str:
        """See :class:`ValueType`."""
        return "yes or no"


@attrs.frozen
class Choice(ValueType[str]):
    """One of a fixed set of words."""

    words: tuple[str, ...]

    def read(self, text: str) -> Result[str, str]:
        """See :class:`ValueType`."""
        value = text.strip()
        if value not in self.words:
            return Error(f"'{value}' is not one of {', '.join(self.words)}")
        return Ok(value)

    def describe(self) -> str:
        """See :class:`ValueType`."""
        return " or ".join(self.words)


@attrs.frozen
class Names(ValueType[tuple[str, ...]]):
    """Names separated by commas."""

    def read(self, text: str) -> Result[tuple[str, ...], str]:
        """See :class:`ValueType`."""
        names = tuple(part.strip() for part in text.split(",") if part.strip())
        for name in names:
            if NAME_PATTERN.fullmatch(name) is None:
                return Error(
                    f"'{name}' is not a valid name: use lowercase letters, digits and hyphens"
                )
        return Ok(names)

    def describe(self) -> str:
        """See :class:`ValueType`."""
        return "names, separated by commas"


@attrs.frozen
class Words(ValueType[tuple[str, ...]]):
    """Words separated by commas."""

    def read(self, text: str) -> Result[tuple[str, ...], str]:
        """See :class:`ValueType`."""
        return Ok(tuple(part.strip() for part in text.split(",") if part.strip()))

    def describe(self) -> str:
        """See :class:`ValueType`."""
        return "words, separated by commas"


@attrs.frozen
class Digests(ValueType[tuple[str, ...]]):
    """SHA-256 digests in hexadecimal, separated by commas."""

    def read(self, text: str) -> Result[tuple[str, ...], str]:
        """See :class:`ValueType`."""
        digests = tuple(part.strip().lower() for part in text.split(",") if part.strip())
        for position, digest in enumerate(digests, start=1):
            if _DIGEST.fullmatch(digest) is None:
                # The value is not shown: it may be the key itself, entered by mistake.
                return Error(f"digest {position} is not 64 hexadecimal digits")
        return Ok(digests)

    def describe(self) -> str:
        """See :class:`ValueType`."""
        return "SHA-256 digests in hexadecimal, separated by commas"


@attrs.frozen
class Address(ValueType[str]):
    """An IP address and port."""

    def read(self, text: str) -> Result[str, str]:
        """See :class:`ValueType`."""
        host, separator, port = text.strip().rpartition(":")
        if not separator or not port.isdigit() or int(port) > _MAX_PORT:
            return Error(f"'{text}' is not an IP address and port, such as 10.0.0.5:8100")
        if not re.fullmatch(r"[0-9.]+|\[[0-9a-f:]+\]", host):
            return Error(f"'{host}' is not an IP address")
        return Ok(text.strip())

    def describe(self) -> str:
        """See :class:`ValueType`."""
        return "IP number and port"


@attrs.frozen
class Url(ValueType[str]):
    """An HTTP or HTTPS URL."""

    def read(self, text: str) -> Result[str, str]:
        """See :class:`ValueType`."""
        url = text.strip().rstrip("/")
        if not re.match(r"https?://[^/]+", url):
            return Error(f"'{url}' is not an HTTP URL")
        return Ok(url)

    def describe(self) -> str:
        """See :class:`ValueType`."""
        return "HTTP address"


@attrs.frozen
class Field:
    """One key of a section; ``default`` is INI text, or None if the key is required."""

    key: str
    kind: ValueType[Any]
    default: str | None
    meaning: str


@attrs.frozen
class SectionSchema:
    """The keys of a section."""

    title: str
    fields: tuple[Field, ...]

    def field(self, key: str) -> Field | None:
        """Returns the field of a key, or None."""
        return next((field for field in self.fields if field.key == key), None)


@attrs.frozen
class ParsedSection:
    """A section's parsed values including defaults; ``given`` holds the keys set in the text."""

    values_by_key: dict[str, object]
    given: frozenset[str]


def check_section(
    schema: SectionSchema, section: IniSection | None, file: str
) -> Iterator[Finding]:
    """Yields the findings on a section; None stands for a missing section."""
    if section is None:
        missing = [field.key for field in schema.fields if field.default is None]
        if missing:
            place = Place(file, 0, schema.title)
            yield Finding(place, "the section is missing", f"it needs {', '.join(missing)}")
        return
    for key, value in section.values_by_key.items():
        place = Place(file, value.line, section.name, key)
        field = schema.field(key)
        if field is None:
            known = ", ".join(field.key for field in schema.fields)
            yield Finding(place, "unknown key", f"known keys: {known}")
            continue
        problem = field.kind.read(value.text)
        if problem.is_error():
            yield Finding(place, problem.error, field.meaning)
    for field in schema.fields:
        if field.default is None and field.key not in section.values_by_key:
            place = Place(file, section.line, section.name, field.key)
            yield Finding(place, "the key is missing", field.meaning)


def read_section(schema: SectionSchema, section: IniSection | None) -> ParsedSection:
    """Parses a section that :func:`check_section` has found valid."""
    texts = {} if section is None else section.values_by_key
    values: dict[str, object] = {}
    for field in schema.fields:
        text = texts[field.key].text if field.key in texts else field.default
        values[field.key] = field.kind.read(text or "").ok
    return ParsedSection(values, frozenset(texts))
