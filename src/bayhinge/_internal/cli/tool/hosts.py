"""``bayhinge hosts``: the live hosts."""

from typing import Any

from bayhinge._internal.cli.tool.connection import Api, Connection, print_table, run_with_api

COLUMNS = ["host", "hall", "state", "public_address", "revision", "load", "incarnation"]


def hosts(*, connection: Connection | None = None) -> None:
    """Lists the hosts that the queried host considers live."""
    connection = connection or Connection()

    async def query(api: Api) -> Any:
        return await api.query("hosts")

    print_table(connection, run_with_api(connection, query), COLUMNS)
