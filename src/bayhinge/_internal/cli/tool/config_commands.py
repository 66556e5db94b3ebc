"""The commands that ``bayhinge templates`` and ``bayhinge accounts`` share."""

import asyncio
import difflib
import getpass
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Annotated, Any

import cyclopts
import orjson

from bayhinge._internal import status_codes
from bayhinge._internal.cli.tool.connection import (
    Api,
    Connection,
    print_json,
    print_table,
    run_with_api,
)
from bayhinge._internal.exceptions import ApiError
from bayhinge._internal.models.accounts import ConfigKind, check_config_text

HISTORY_COLUMNS = ["revision", "author", "accepted_at_ms", "change"]
POLL_S = 0.2
Wait = Annotated[float, cyclopts.Parameter(help="Seconds to wait until every host has applied it.")]


def build_app(kind: ConfigKind, plural: str) -> cyclopts.App:
    """Builds the commands for one kind of configuration object."""
    app = cyclopts.App(name=plural, help=f"Get, edit and roll back {plural}.")
    commands = ConfigCommands(kind)
    app.command(commands.list, name="list")
    app.command(commands.get, name="get")
    app.command(commands.edit, name="edit")
    app.command(commands.apply, name="apply")
    app.command(commands.diff, name="diff")
    app.command(commands.history, name="history")
    app.command(commands.rollback, name="rollback")
    app.command(commands.delete, name="delete")
    return app


class ConfigCommands:
    """The commands for one kind of configuration object, which is an INI text."""

    def __init__(self, kind: ConfigKind) -> None:
        self._kind = kind

    def list(self, *, connection: Connection | None = None) -> None:
        """Lists all names with their newest revisions."""
        connection = connection or Connection()

        async def query(api: Api) -> Any:
            return await api.query("config", kind=self._kind)

        print_table(connection, run_with_api(connection, query), ["name", "revision", "author"])

    def get(self, name: str, *, connection: Connection | None = None) -> None:
        """Prints an object as INI, with its revision as a comment.

        Args:
            name: the object's name.
            connection: the host to query, and how to print.
        """
        connection = connection or Connection()
        found = run_with_api(connection, lambda api: self._find(api, name))
        if connection.json:
            print_json(found)
            return
        print(f"# revision {found['revision']}, by {found['author']}")
        print(found["text"], end="" if found["text"].endswith("\n") else "\n")

    def edit(
        self,
        name: str,
        *values: str,
        wait: Wait = 0.0,
        author: str = "",
        connection: Connection | None = None,
    ) -> None:
        """Sets single values: ``edit desk-a priority=7``; ``priority=`` removes one.

        For larger changes, save the output of ``get`` to a file, edit it, and ``apply`` it.

        Args:
            name: the object's name.
            values: the values to set.
            wait: seconds to wait until every live host has applied the revision.
            author: who makes the change; by default the operating system's user.
            connection: the host to query, and how to print.
        """
        connection = connection or Connection()
        found = run_with_api(connection, lambda api: self._find(api, name))
        text = set_values(found["text"], values)
        _print_diff(found["text"], text, "accepted", "yours")
        self.propose(connection, name, text, found["revision"], author, wait)

    def apply(
        self,
        name: str,
        file: Path,
        *,
        base: int | None = None,
        wait: Wait = 0.0,
        author: str = "",
        connection: Connection | None = None,
    ) -> None:
        """Replaces an object's text by a file, as a new revision; creates a missing object.

        Args:
            name: the object's name.
            file: path of the INI text; ``-`` reads standard input.
            base: the revision that was edited; without it, a concurrent edit is overwritten.
            wait: seconds to wait until every live host has applied the revision.
            author: who makes the change; by default the operating system's user.
            connection: the host to query, and how to print.
        """
        connection = connection or Connection()
        text = sys.stdin.read() if str(file) == "-" else file.read_text(encoding="utf-8")
        findings = check_config_text(self._kind, text, str(file))
        if findings:
            _print_findings(str(finding) for finding in findings)
            raise SystemExit(status_codes.EXIT_INVALID_INPUT)
        if base is None:
            base = run_with_api(connection, lambda api: self._newest_revision(api, name))
        self.propose(connection, name, text, base, author, wait)

    def diff(self, name: str, file: Path, *, connection: Connection | None = None) -> None:
        """Shows what applying a file would change.

        Args:
            name: the object's name.
            file: the INI text.
            connection: the host to query, and how to print.
        """
        connection = connection or Connection()
        found = run_with_api(connection, lambda api: self._find(api, name))
        _print_diff(found["text"], file.read_text(encoding="utf-8"), "accepted", str(file))

    def history(self, name: str, *, connection: Connection | None = None) -> None:
        """Lists all revisions.

        Args:
            name: the object's name.
            connection: the host to query, and how to print.
        """
        connection = connection or Connection()
        found = run_with_api(connection, lambda api: self._history(api, name))
        rows = [
            {**item, "change": "deleted" if item["text"] is None else "written"} for item in found
        ]
        print_table(connection, rows, HISTORY_COLUMNS)

    def rollback(
        self,
        name: str,
        revision: int,
        *,
        wait: Wait = 0.0,
        author: str = "",
        connection: Connection | None = None,
    ) -> None:
        """Restores the text of an older revision, as a new revision.

        Args:
            name: the object's name.
            revision: the revision to restore.
            wait: seconds to wait until every live host has applied the revision.
            author: who makes the change; by default the operating system's user.
            connection: the host to query, and how to print.
        """
        connection = connection or Connection()
        found = run_with_api(connection, lambda api: self._history(api, name))
        texts = {item["revision"]: item["text"] for item in found}
        if texts.get(revision) is None:
            print(f"{name} has no text at revision {revision}", file=sys.stderr)
            raise SystemExit(status_codes.EXIT_NOT_FOUND)
        newest = max(texts)
        self.propose(connection, name, texts[revision], newest, author, wait)

    def delete(
        self,
        name: str,
        *,
        wait: Wait = 0.0,
        author: str = "",
        connection: Connection | None = None,
    ) -> None:
        """Deletes an object; its history is kept.

        Args:
            name: the object's name.
            wait: seconds to wait until every live host has applied the revision.
            author: who makes the change; by default the operating system's user.
            connection: the host to query, and how to print.
        """
        connection = connection or Connection()
        found = run_with_api(connection, lambda api: self._find(api, name))
        self.propose(connection, name, None, found["revision"], author, wait)

    async def _find(self, api: Api, name: str) -> Any:
        found = await api.query("config", kind=self._kind, name=name)
        if not found:
            message = orjson.dumps({"message": f"{self._kind} '{name}' does not exist"})
            raise ApiError(status_codes.HTTP_NOT_FOUND, message.decode())
        return found[0]

    async def _history(self, api: Api, name: str) -> Any:
        return await api.query("config-history", kind=self._kind, name=name)

    async def _newest_revision(self, api: Api, name: str) -> int:
        found = await self._history(api, name)
        return max((int(item["revision"]) for item in found), default=0)

    def propose(
        self,
        connection: Connection,
        name: str,
        text: str | None,
        base: int,
        author: str,
        wait: float,
    ) -> None:
        """Sends an edit, waits up to ``wait`` seconds for all hosts, and prints the result."""

        async def edit(api: Api) -> Any:
            return await self._send(api, name, text, base, author or getpass.getuser())

        revision = run_with_api(connection, lambda api: _report_rejection(edit(api), text))
        if wait:
            missing = run_with_api(connection, lambda api: _wait_until_applied(api, revision, wait))
            if missing:
                _print_findings(missing)
                raise SystemExit(status_codes.EXIT_FAILURE)
        if connection.json:
            print_json({"revision": revision, "in_force_everywhere": bool(wait)})
            return
        everywhere = ", in force on every live host" if wait else ""
        print(f"accepted as revision {revision}{everywhere}")

    async def _send(self, api: Api, name: str, text: str | None, base: int, author: str) -> int:
        path = f"/v1/operator/config/{self._kind}/{name}"
        headers = {"If-Match": f'"{base}"', "Bayhinge-Author": author}
        if text is None:
            answer = await api.request("DELETE", path, headers=headers)
        else:
            answer = await api.request("PUT", path, body=text.encode(), headers=headers)
        return int(answer["revision"])


def set_values(text: str, values: Iterable[str]) -> str:
    """Sets ``key=value`` pairs in an INI text of one section; an empty value removes the key."""
    lines = text.rstrip("\n").split("\n")
    for pair in values:
        key, _, value = (part.strip() for part in pair.partition("="))
        kept = [line for line in lines if line.partition("=")[0].strip() != key]
        lines = [*kept, f"{key} = {value}"] if value else kept
    return "\n".join(lines) + "\n"


async def _report_rejection(edit: Any, text: str | None) -> int:
    """Awaits an edit; prints findings, or the diff after a conflict, before it raises."""
    try:
        return int(await edit)
    except ApiError as error:
        body = orjson.loads(error.body)
        if "findings" in body:
            _print_findings(_finding_line(item) for item in body["findings"])
        if "current_text" in body:
            _print_diff(body["current_text"], text or "", "accepted concurrently", "yours")
        raise


async def _wait_until_applied(api: Api, revision: int, seconds: float) -> list[str]:
    """Waits until all hosts have applied a revision; returns a line for each that has not."""
    deadline = asyncio.get_running_loop().time() + seconds
    while True:
        hosts = {item["incarnation"]: item for item in await api.query("hosts")}
        status = {item["incarnation"]: item for item in await api.query("config-status")}
        missing = [
            _missing_line(hosts[name], status.get(name))
            for name in sorted(hosts)
            if name not in status or status[name]["revision"] < revision
        ]
        if not missing or asyncio.get_running_loop().time() >= deadline:
            return missing
        await asyncio.sleep(POLL_S)


def _missing_line(host: dict[str, Any], status: dict[str, Any] | None) -> str:
    if status is None:
        return f"{host['host']}: no configuration status received"
    why = "" if status["vouches"] else "; no recent confirmation from the store or a peer"
    return f"{host['host']}: still at revision {status['revision']}{why}"


def _finding_line(item: dict[str, Any]) -> str:
    place = f"{item['file']}:{item['line']}" if item["line"] else item["file"]
    section = f" [{item['section']}]" if item["section"] else ""
    hint = f" ({item['hint']})" if item["hint"] else ""
    return f"{place}{section} {item['key']}: {item['problem']}{hint}"


def _print_findings(lines: Any) -> None:
    """Prints lines to standard error: findings, or hosts that have not applied a revision."""
    for line in lines:
        print(line, file=sys.stderr)


def _print_diff(old: str, new: str, old_name: str, new_name: str) -> None:
    lines: Iterator[str] = difflib.unified_diff(
        old.splitlines(), new.splitlines(), old_name, new_name, lineterm=""
    )
    for line in lines:
        print(line)
