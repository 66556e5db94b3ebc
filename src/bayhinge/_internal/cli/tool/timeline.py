"""``bayhinge timeline``: the events of all hosts in causal order."""

import asyncio
from pathlib import Path
from typing import Any

from bayhinge._internal.cli.tool.connection import Api, Connection, print_json, run_with_api
from bayhinge._internal.models.events import event_from_fields
from bayhinge._internal.queries.html_report import html_report
from bayhinge._internal.queries.sentences import timeline_lines

POLL_S = 0.5


def timeline(
    *,
    follow: bool = False,
    program: str = "",
    account: str = "",
    endpoint: str = "",
    mechanism: str = "",
    html: Path | None = None,
    connection: Connection | None = None,
) -> None:
    """Prints the timeline of all hosts.

    Args:
        follow: keep printing new events until interrupted.
        program: print only the events of this program.
        account: print only the events of this client account.
        endpoint: print only the events of this endpoint.
        mechanism: print only the events of this mechanism, such as queue or budget.
        html: write a page with a lane for each host and endpoint to this file.
        connection: which host to ask.
    """
    connection = connection or Connection()
    filters = {
        "program": program,
        "account": account,
        "endpoint": endpoint,
        "mechanism": mechanism,
    }
    if html is not None:
        found = run_with_api(connection, lambda api: api.query("events", **filters))
        events = [event_from_fields(item) for item in found]
        html.write_text(html_report("bayhinge timeline", events), encoding="utf-8")
        print(f"written: {html}")
        return
    try:
        run_with_api(connection, lambda api: _print_events(api, connection, filters, follow))
    except KeyboardInterrupt:
        return


async def _print_events(
    api: Api, connection: Connection, filters: dict[str, str], follow: bool
) -> None:
    after = 0
    while True:
        found: list[dict[str, Any]] = await api.query("events", after=str(after), **filters)
        if connection.json:
            print_json(found)
        else:
            for line in timeline_lines(event_from_fields(item) for item in found):
                print(line, flush=True)
        after = max([after, *(int(item["stamp"]) for item in found)])
        if not follow:
            return
        await asyncio.sleep(POLL_S)
