"""Findings: what is wrong in a text, where, and what to do about it."""

import attrs


@attrs.frozen
class Place:
    """Where something stands; ``line`` counts from 1, and 0 means the file as a whole."""

    file: str
    line: int = 0
    section: str = ""
    key: str = ""

    def __str__(self) -> str:
        """Returns the usual ``file:line`` form with section and key."""
        text = f"{self.file}:{self.line}" if self.line else self.file
        if self.section:
            text += f" [{self.section}]"
        if self.key:
            text += f" {self.key}"
        return text


@attrs.frozen
class Finding:
    """One thing that is wrong, with a hint how to mend it."""

    place: Place
    problem: str
    hint: str = ""

    def __str__(self) -> str:
        """Returns one line for a person."""
        hint = f" ({self.hint})" if self.hint else ""
        return f"{self.place}: {self.problem}{hint}"
