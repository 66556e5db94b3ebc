"""``bayhinge config status``: the configuration revision of each host."""

from typing import Any

import cyclopts

from bayhinge._internal.cli.tool.connection import Api, Connection, print_table, run_with_api

COLUMNS = ["host", "incarnation", "revision", "newest_heard", "vouches", "damaged"]

app = cyclopts.App(name="config", help="The state of the configuration on all hosts.")


@app.command
def status(*, connection: Connection | None = None) -> None:
    """Shows the revision that each host has applied, and whether it is confirmed as current."""
    connection = connection or Connection()

    async def query(api: Api) -> Any:
        return await api.query("config-status")

    print_table(connection, run_with_api(connection, query), COLUMNS)
