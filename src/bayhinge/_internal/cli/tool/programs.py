"""``bayhinge programs``: list, show and cancel programs."""

from typing import Any

import cyclopts

from bayhinge._internal.cli.tool.connection import (
    Api,
    Connection,
    print_json,
    print_table,
    run_with_api,
)

COLUMNS = ["id", "account", "owner", "next_call", "running_call", "spent_tokens", "ended"]

app = cyclopts.App(name="programs", help="List, show and cancel programs.")


@app.command(name="list")
def list_programs(account: str = "", *, connection: Connection | None = None) -> None:
    """Lists the programs of all hosts.

    Args:
        account: list only the programs of this client account.
        connection: which host to ask.
    """
    connection = connection or Connection()

    async def query(api: Api) -> Any:
        return await api.query("programs", account=account)

    print_table(connection, run_with_api(connection, query), COLUMNS)


@app.command
def show(program: str, *, connection: Connection | None = None) -> None:
    """Shows one program.

    Args:
        program: the program's identifier.
        connection: which host to ask.
    """
    connection = connection or Connection()

    async def query(api: Api) -> Any:
        return await api.request("GET", f"/v1/programs/{program}")

    _print(connection, run_with_api(connection, query))


@app.command
def cancel(program: str, *, connection: Connection | None = None) -> None:
    """Cancels a program: its running call is aborted, and further calls are refused.

    Args:
        program: the program's identifier.
        connection: which host to ask.
    """
    connection = connection or Connection()

    async def query(api: Api) -> Any:
        return await api.request("POST", f"/v1/programs/{program}/cancel")

    _print(connection, run_with_api(connection, query))


def _print(connection: Connection, view: dict[str, Any]) -> None:
    if connection.json:
        print_json(view)
        return
    for name, value in view.items():
        print(f"{name:13} {value}")
