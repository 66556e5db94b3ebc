"""``bayhinge accounts``: client accounts, their parameters and keys."""

import secrets
from typing import Any

from bayhinge._internal.cli.tool.config_commands import ConfigCommands, Wait, build_app
from bayhinge._internal.cli.tool.connection import (
    Api,
    Connection,
    print_json,
    print_table,
    run_with_api,
)
from bayhinge._internal.models.account_keys import hash_key
from bayhinge._internal.models.accounts import ConfigKind

KEY_BYTES = 32

app = build_app(ConfigKind.ACCOUNT, "accounts")


@app.command
def create(
    name: str,
    *,
    template: str,
    wait: Wait = 0.0,
    author: str = "",
    connection: Connection | None = None,
) -> None:
    """Creates a client account from a template, with a new key that is shown once.

    Args:
        name: the account's name.
        template: the template that its parameters come from.
        wait: seconds to wait until every host has applied it.
        author: who makes the change.
        connection: which host to ask.
    """
    connection = connection or Connection()
    key = secrets.token_urlsafe(KEY_BYTES)
    text = f"[account]\ntemplate = {template}\nkey_sha256 = {hash_key(key)}\n"
    commands = ConfigCommands(ConfigKind.ACCOUNT)
    commands.propose(connection, name, text, 0, author, wait)
    if connection.json:
        print_json({"account": name, "key": key})
        return
    print(f"key (only its hash is kept, so note it now): {key}")


@app.command
def parameters(name: str, *, connection: Connection | None = None) -> None:
    """Shows every parameter with the source of its value.

    Args:
        name: the account's name.
        connection: which host to ask.
    """
    connection = connection or Connection()

    async def query(api: Api) -> Any:
        return await api.query("account-parameters", name=name)

    print_table(connection, run_with_api(connection, query), ["name", "value", "source"])
