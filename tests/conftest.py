"""Tests that are known to fail: listed in KNOWN-RED.txt at the root, run and printed each time."""

from pathlib import Path

import eliot
import pytest

# eliot keeps what is logged before anybody listens, and hands it to the first who does: a test that
# listens would read the lines of those before it.
eliot.add_destinations(lambda message: None)

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"

MOST_KNOWN_RED = 3


def _known_red() -> dict[str, str]:
    """Returns the reason by the test's id; a line is ``test: cause, issue``."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    if len(lines) > MOST_KNOWN_RED:
        raise pytest.UsageError(f"KNOWN-RED.txt has {len(lines)} lines, {MOST_KNOWN_RED} at most")
    pairs = [line.partition(": ") for line in lines]
    return {test: reason for test, _, reason in pairs}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks the listed tests. One that passes fails the run: it must leave the list."""
    reason_by_test = _known_red()
    for item in items:
        reason = reason_by_test.get(item.nodeid)
        if reason is not None:
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Prints the list, so that nobody takes the run for all green."""
    for test, reason in _known_red().items():
        terminalreporter.write_line(f"KNOWN RED: {test}: {reason}")
