"""The lessons of the tool, and the commands and links in the documentation."""

import re
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from bayhinge._internal.bench.world.lessons import LESSONS_BY_NAME, run_lesson
from bayhinge._internal.cli.tool.main import app

DOCS = Path(__file__).parents[2] / "docs"
COMMAND = re.compile(r"^\s*\$ (bayhinge .*)$", re.MULTILINE)
LINK = re.compile(r"\]\((?!https?:)([^)#]+)")


def test_the_takeover_lesson_shows_events_in_order() -> None:
    lines = run_lesson("takeover")
    text = "\n".join(lines)
    assert "the owner, entry-1, is killed" in text
    assert text.index("adopted") < text.index("call 1 finished")


def test_the_at_most_once_lesson_shows_a_single_effect() -> None:
    text = "\n".join(run_lesson("at-most-once"))
    assert "'nav' took effect 1 time(s)" in text
    assert text.count("refused, may_have_run") == 2


@pytest.mark.parametrize("name", sorted(LESSONS_BY_NAME))
def test_every_lesson_prints_a_timeline(name: str) -> None:
    lines = run_lesson(name)
    assert lines[0] == LESSONS_BY_NAME[name].title
    assert len(lines) > lines.index("The time line of all hosts:") + 2


def commands() -> Iterator[tuple[str, str]]:
    for page in sorted(DOCS.rglob("*.md")):
        for match in COMMAND.finditer(page.read_text(encoding="utf-8")):
            yield page.name, match[1]


@pytest.mark.parametrize(("page", "command"), list(commands()))
def test_documented_commands_are_known_to_the_tool(page: str, command: str) -> None:
    words = command.split()[1:]
    parsed, *_ = app.parse_args(words, exit_on_error=False, print_error=False)
    assert parsed is not None
    if words[:1] == ["learn"] and len(words) > 1:
        assert words[1] in LESSONS_BY_NAME


def test_links_between_pages_resolve() -> None:
    pages = [DOCS.parent / "README.md", *sorted(DOCS.rglob("*.md"))]
    broken = [
        (page.name, target)
        for page in pages
        for target in LINK.findall(page.read_text(encoding="utf-8"))
        if not (page.parent / target).exists()
    ]
    assert broken == []


def test_the_coordination_example_runs_without_the_daemon() -> None:
    example = DOCS.parent / "examples" / "coordination_example.py"
    result = subprocess.run(
        [sys.executable, str(example)], capture_output=True, text=True, check=False
    )
    assert result.returncode == 0, result.stderr
    assert "LedgerView(budget=1000, spent=120, outstanding=0)" in result.stdout
    assert "the old writer learns of it" in result.stdout
