"""``bayhinge addresses``: which hosts callers should use."""

from typing import Any

from bayhinge._internal.cli.tool.connection import Api, Connection, print_json, run_with_api


def addresses(program: str = "", *, connection: Connection | None = None) -> None:
    """Prints the addresses that callers should use, best first.

    Args:
        program: a program's identifier; its owner's address then comes first.
        connection: which host to ask.
    """
    connection = connection or Connection()

    async def query(api: Api) -> Any:
        parameters = {"program": program} if program else {}
        return await api.request("GET", "/v1/addresses", parameters=parameters)

    view = run_with_api(connection, query)
    if connection.json:
        print_json(view)
        return
    for address in view["addresses"]:
        mark = "  (owner)" if address == view["owner"] else ""
        print(f"{address}{mark}")
    print(f"keep for {view['keep_s']:g} s")
