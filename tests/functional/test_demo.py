"""Runs the demo from start to end."""

import asyncio
import json

import pytest

from bayhinge._internal.demo.run import run_demo, summary_lines
from bayhinge._internal.queries.html_report import html_report


@pytest.mark.functional
def test_the_demo_finishes_every_program() -> None:
    result = asyncio.run(run_demo())
    figures = json.loads(result.to_json())
    assert figures["programs"] == figures["finished"] == 9
    assert figures["run_twice"] == 0
    assert figures["lost_turns"] == 0
    assert figures["events"] > 0
    summary = "\n".join(summary_lines(result))
    assert f"Host {result.killed} was killed" in summary
    assert any(event.what == "adopted" for event in result.event_list)
    page = html_report("demo", list(result.event_list))
    assert page.count("<tr data-text=") == result.events
    assert page.count("<circle") > result.events
    assert "<script src" not in page
