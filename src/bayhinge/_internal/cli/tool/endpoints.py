"""``bayhinge endpoints``: engines and service endpoints, as their queue dispatchers see them."""

from typing import Any

from bayhinge._internal.cli.tool.connection import Api, Connection, print_table, run_with_api

COLUMNS = [
    "name",
    "pool",
    "hall",
    "home",
    "standing",
    "running",
    "limit",
    "resident_programs",
    "resident_tokens",
    "failures",
]


def endpoints(*, connection: Connection | None = None) -> None:
    """Lists the endpoints with their health, load and cache contents."""
    connection = connection or Connection()

    async def query(api: Api) -> Any:
        return await api.query("endpoints")

    print_table(connection, run_with_api(connection, query), COLUMNS)
