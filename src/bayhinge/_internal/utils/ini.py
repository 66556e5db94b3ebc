"""Parses INI texts and keeps the line number of each section and key for findings."""

import configparser
import re

import attrs
from expression import Error, Ok, Result

_SECTION = re.compile(r"\[(?P<name>[^]]+)\]")
_KEY = re.compile(r"(?P<name>[^=:\s#;][^=:]*?)\s*[=:]")


@attrs.frozen
class IniProblem:
    """A syntax error in an INI text."""

    line: int
    problem: str


@attrs.frozen
class IniValue:
    """A value and the line of its key."""

    text: str
    line: int


@attrs.frozen
class IniSection:
    """A section with its line and its values by key."""

    name: str
    line: int
    values_by_key: dict[str, IniValue]


@attrs.frozen
class IniDocument:
    """A parsed text: sections by name, in order."""

    sections_by_name: dict[str, IniSection]


def _line_numbers(text: str) -> dict[tuple[str, str], int]:
    """Returns the line of each section (key ``""``) and of each key."""
    lines: dict[tuple[str, str], int] = {}
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        if (match := _SECTION.match(line)) is not None:
            section = match["name"].strip()
            lines.setdefault((section, ""), number)
        elif (match := _KEY.match(line)) is not None:
            lines.setdefault((section, match["name"].strip().lower()), number)
    return lines


def parse_ini(text: str) -> Result[IniDocument, IniProblem]:
    """Parses an INI text, without interpolation."""
    parser = configparser.ConfigParser(interpolation=None, default_section="\0")
    try:
        parser.read_string(text)
    except configparser.MissingSectionHeaderError as error:
        return Error(IniProblem(error.lineno, "there is a value before the first section"))
    except configparser.ParsingError as error:
        line = error.errors[0][0] if error.errors else 0
        return Error(IniProblem(line, "this line is neither a section nor 'key = value'"))
    except configparser.DuplicateOptionError as error:
        return Error(IniProblem(error.lineno or 0, f"key '{error.option}' occurs twice"))
    except configparser.DuplicateSectionError as error:
        return Error(IniProblem(error.lineno or 0, f"section '{error.section}' occurs twice"))
    lines = _line_numbers(text)
    sections = {
        name: IniSection(
            name,
            lines.get((name, ""), 0),
            {key: IniValue(value, lines.get((name, key), 0)) for key, value in parser.items(name)},
        )
        for name in parser.sections()
    }
    return Ok(IniDocument(sections))
