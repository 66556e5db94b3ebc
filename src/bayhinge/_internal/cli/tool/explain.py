"""``bayhinge explain PROGRAM``: why a program waited, moved or was refused."""

from typing import Any

from bayhinge._internal.cli.tool.connection import Api, Connection, print_json, run_with_api
from bayhinge._internal.models.events import event_from_fields
from bayhinge._internal.queries.sentences import explanation_lines


def explain(program: str, *, connection: Connection | None = None) -> None:
    """Prints the history of a program in sentences, from the events of all hosts.

    Args:
        program: the program's identifier.
        connection: which host to ask.
    """
    connection = connection or Connection()

    async def query(api: Api) -> Any:
        return await api.query("events", program=program)

    found = run_with_api(connection, query)
    if connection.json:
        print_json(found)
        return
    for line in explanation_lines(program, [event_from_fields(item) for item in found]):
        print(line)
