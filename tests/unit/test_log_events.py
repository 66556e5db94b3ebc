"""The page of log events is generated from the code, and the committed page is up to date."""

from pathlib import Path

import pytest

from bayhinge._internal.cli.tool.logs import events
from bayhinge._internal.models.refusals import RefusalCode
from bayhinge._internal.queries.log_events import LogEvent, events_of, log_events_page

PAGE = Path(__file__).parents[2] / "docs" / "operators" / "log-events.md"


def read_events(text: str) -> dict[str, LogEvent]:
    return {event.message_type: event for event in events_of({"some/module.py": text})}


def test_an_event_type_is_listed_with_its_fields_and_writer() -> None:
    text = """
class Writer:
    \"\"\"Writes things. And more.\"\"\"

    def write(self):
        eliot.log_message("thing.went", who=1, why=2)
"""
    event = read_events(text)["thing.went"]
    assert event.fields == ("who", "why")
    assert event.writers == ("some/module.py: Writer.write",)


def test_both_types_of_a_conditional_expression_are_found() -> None:
    text = """
def note(is_away):
    eliot.log_message("thing.went" if is_away else "thing.came", who=1)
"""
    assert set(read_events(text)) == {"thing.went", "thing.came"}


def test_a_type_passed_as_an_argument_is_found_at_the_callers() -> None:
    text = """
class Writer:
    def went(self):
        self._log("thing.went", 1)

    def came(self):
        self._log(who=2, what="thing.came")

    def _log(self, what, who):
        eliot.log_message(what, who=who)
"""
    assert {message_type: event.fields for message_type, event in read_events(text).items()} == {
        "thing.went": ("who",),
        "thing.came": ("who",),
    }


def test_a_type_passed_to_a_constructor_is_found_at_the_call() -> None:
    text = """
class Told:
    def __init__(self, line):
        self._line = line

    def note(self):
        eliot.log_message(self._line, key=1)

told = Told("thing.unreadable")
"""
    assert read_events(text)["thing.unreadable"].fields == ("key",)


def test_a_type_that_can_not_be_resolved_is_an_error() -> None:
    with pytest.raises(ValueError, match=r"some/module\.py:2"):
        read_events("\neliot.log_message(odd(), key=1)")


def test_event_types_and_refusal_codes_are_on_the_page() -> None:
    page = log_events_page()
    for message_type in (
        "request.served",
        "send.failed",
        "endpoint.unreadable",
        "store.fails_again",
    ):
        assert f"| `{message_type}` |" in page
    for code in RefusalCode:
        assert f"| `{code.value}` |" in page


def test_the_committed_page_is_up_to_date() -> None:
    assert PAGE.read_text(encoding="utf-8") == log_events_page()


def test_the_tool_writes_the_page(tmp_path: Path) -> None:
    events(write=tmp_path / "page.md")
    assert (tmp_path / "page.md").read_text(encoding="utf-8") == log_events_page()
