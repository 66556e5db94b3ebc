"""``bayhinge logs``: traces requests through logs, and lists the log events."""

from pathlib import Path

import cyclopts

from bayhinge._internal import status_codes
from bayhinge._internal.queries.log_events import log_events_page
from bayhinge._internal.queries.log_files import LogFiles
from bayhinge._internal.queries.tracing import trace as trace_of
from bayhinge._internal.queries.tracing import trace_lines

app = cyclopts.App(name="logs", help="Trace a request through the logs of hosts.")


@app.command
@app.default
def trace(identifier: str, *files: Path) -> None:
    """Prints the lines about an id in order of time, and the likely causes of failures.

    ``bayhinge logs ID FILE...`` does the same.

    Args:
        identifier: the id of an attempt or a program.
        files: the logs of one or many hosts, in any order.
    """
    found = trace_of(identifier, LogFiles(files))
    if not found.lines:
        print(
            f"no line names '{identifier}'; another host may have served it, "
            "or the line of a success may have been suppressed"
        )
        raise SystemExit(status_codes.EXIT_NOT_FOUND)
    for line in trace_lines(found):
        print(line)


@app.command
def events(*, write: Path | None = None) -> None:
    """Prints all types of log messages that hosts write, with their fields, as Markdown.

    Args:
        write: write the page to this file instead.
    """
    page = log_events_page()
    if write is None:
        print(page, end="")
        return
    write.write_text(page, encoding="utf-8")
    print(f"written: {write}")
