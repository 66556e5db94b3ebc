"""Generates the reference of log events: each message type, its fields and its writers."""

from collections.abc import Iterator, Mapping
from pathlib import Path

import attrs

import bayhinge
from bayhinge._internal.models.refusals import STATUS_BY_CODE
from bayhinge._internal.queries.log_calls import log_calls
from bayhinge._internal.queries.refusal_causes import EXPLANATION_BY_CODE

GENERATED_FOLDER = "wire"
"""Folders of generated code, which logs nothing."""

HEAD = """# Log events

This page is written by `bayhinge logs events --write docs/operators/log-events.md`; a test
compares them. [Operating](../OPERATIONS.md) tells what to do about a line. Each line has
`timestamp` in seconds, `message_type`, and on a platform `host` as well; `bayhinged` writes its
decisions as `bayhinge:event`.
"""


@attrs.frozen
class LogEvent:
    """One message type."""

    message_type: str
    fields: tuple[str, ...]
    writers: tuple[str, ...]


def events_of(text_by_module: Mapping[str, str]) -> list[LogEvent]:
    """Returns the message types that modules write, sorted by name."""
    fields_by_type: dict[str, dict[str, None]] = {}
    writers_by_type: dict[str, dict[str, None]] = {}
    for call in log_calls(text_by_module):
        fields_by_type.setdefault(call.message_type, {}).update(dict.fromkeys(call.fields))
        writers_by_type.setdefault(call.message_type, {})[call.writer] = None
    return [
        LogEvent(
            message_type, tuple(fields_by_type[message_type]), tuple(writers_by_type[message_type])
        )
        for message_type in sorted(fields_by_type)
    ]


def log_events_page() -> str:
    """Returns the page as Markdown."""
    return "\n".join(_lines()) + "\n"


def _lines() -> Iterator[str]:
    yield HEAD
    yield "## Lines\n"
    yield "| type | fields | written by |"
    yield "| --- | --- | --- |"
    for event in events_of(_own_modules()):
        fields = ", ".join(f"`{field}`" for field in event.fields)
        writers = "; ".join(f"`{writer}`" for writer in event.writers)
        yield f"| `{event.message_type}` | {fields} | {writers} |"
    yield "\n## Codes of `request.refused`\n"
    yield "`bayhinge logs trace ID FILE...` looks for lines of these types before a refusal.\n"
    yield "| code | status | meaning | lines that may explain it |"
    yield "| --- | --- | --- | --- |"
    for code, explanation in EXPLANATION_BY_CODE.items():
        lines = ", ".join(f"`{line}`" for line in explanation.lines) or "none, see its `why` field"
        yield f"| `{code.value}` | {STATUS_BY_CODE[code]} | {explanation.meaning} | {lines} |"


def _own_modules() -> dict[str, str]:
    folder = Path(bayhinge.__file__).parent
    return {
        path.relative_to(folder.parent).as_posix(): path.read_text(encoding="utf-8")
        for path in sorted(folder.rglob("*.py"))
        if GENERATED_FOLDER not in path.parts
    }
