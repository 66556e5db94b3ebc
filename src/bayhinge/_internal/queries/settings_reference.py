"""Generates the settings reference from the schema that validates the settings."""

from collections.abc import Iterator

from bayhinge._internal.models.accounts import ACCOUNT, TEMPLATE
from bayhinge._internal.models.schema import SectionSchema
from bayhinge._internal.models.settings import FIXED_SECTIONS, NAMED_SECTIONS

HEAD = """# Settings

This page is printed by `bayhinge settings reference`; a test compares them.
Every finding is reported at once, with its file, line, section and key, and
`bayhinged` exits with status 3 where there is one.
"""


def reference_page() -> str:
    """Returns the page as Markdown."""
    return "\n".join(_lines())


def _lines() -> Iterator[str]:
    yield HEAD
    yield "## The daemon's file\n"
    for schema in FIXED_SECTIONS:
        yield from _section(schema, f"[{schema.title}]")
    for schema in NAMED_SECTIONS:
        yield from _section(schema, f"[{schema.title} NAME]")
    yield "## Templates and client accounts\n"
    yield from _section(TEMPLATE, "[template]")
    yield from _section(ACCOUNT, "[account]")


def _section(schema: SectionSchema, title: str) -> Iterator[str]:
    yield (
        f"### `{title}`\n"
        if ", " not in title
        else f"### `{title.split(', ', maxsplit=1)[0]}`, any number\n"
    )
    yield "| key | type | default | meaning |"
    yield "| --- | --- | --- | --- |"
    for field in schema.fields:
        default = "required" if field.default is None else f"`{field.default}`"
        default = "empty" if field.default == "" else default
        yield f"| `{field.key}` | {field.kind.describe()} | {default} | {field.meaning} |"
    yield ""
