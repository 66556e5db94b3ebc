"""Validation findings: a problem, its location and a hint."""

import attrs


@attrs.frozen
class Place:
    """A location in a file; ``line`` counts from 1, and 0 means the whole file."""

    file: str
    line: int = 0
    section: str = ""
    key: str = ""

    def __str__(self) -> str:
        """Returns ``file:line``, with the section and key if known."""
        text = f"{self.file}:{self.line}" if self.line else self.file
        if self.section:
            text += f" [{self.section}]"
        if self.key:
            text += f" {self.key}"
        return text


@attrs.frozen
class Finding:
    """One problem, with a hint how to fix it."""

    place: Place
    problem: str
    hint: str = ""

    def __str__(self) -> str:
        """Returns the finding as one line of text."""
        hint = f" ({self.hint})" if self.hint else ""
        return f"{self.place}: {self.problem}{hint}"
