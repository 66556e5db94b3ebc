"""The tool's connection to a host; address and key come from flags or the environment."""

import asyncio
import os
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from typing import Annotated, Any, TypeVar

import aiohttp
import attrs
import cyclopts
import orjson

from bayhinge._internal import status_codes
from bayhinge._internal.exceptions import ApiError

ADDRESS_VARIABLE = "BAYHINGE_ADDRESS"
KEY_VARIABLE = "BAYHINGE_OPERATOR_KEY"
DEFAULT_ADDRESS = "http://127.0.0.1:8100"
Answer = TypeVar("Answer")


@cyclopts.Parameter(name="*")
@attrs.define
class Connection:
    """Which host to ask, and how to print.

    Attributes:
        address: any host's public address; the environment's BAYHINGE_ADDRESS by default.
        key: an operator's key; the environment's BAYHINGE_OPERATOR_KEY by default.
        json: print JSON in place of a table.
    """

    address: Annotated[str, cyclopts.Parameter(help="Any host's public address.")] = attrs.field(
        factory=lambda: os.environ.get(ADDRESS_VARIABLE, DEFAULT_ADDRESS)
    )
    key: Annotated[str, cyclopts.Parameter(help="An operator's key.")] = attrs.field(
        factory=lambda: os.environ.get(KEY_VARIABLE, "")
    )
    json: Annotated[bool, cyclopts.Parameter(help="Print JSON.")] = False


class Api:
    """A client of a host's operator API."""

    def __init__(self, connection: Connection) -> None:
        self._base_url = connection.address.rstrip("/")
        self._headers = {"Authorization": f"Bearer {connection.key}"}
        self._session = aiohttp.ClientSession()

    async def close(self) -> None:
        """Closes the connections."""
        await self._session.close()

    async def query(self, query: str, /, **parameters: str) -> Any:
        """Runs an operator query; empty parameters are left out.

        Raises:
            ApiError: the host refused it.
        """
        given = {key: value for key, value in parameters.items() if value}
        return await self.request("GET", f"/v1/operator/{query}", parameters=given)

    async def request(
        self,
        method: str,
        path: str,
        *,
        parameters: dict[str, str] | None = None,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Any:
        """Sends a request and returns the JSON of the response.

        Raises:
            ApiError: the host refused it.
        """
        async with self._session.request(
            method,
            self._base_url + path,
            params=parameters,
            data=body,
            headers={**self._headers, **(headers or {})},
        ) as response:
            data = await response.read()
            if response.status >= status_codes.HTTP_MULTIPLE_CHOICES:
                raise ApiError(response.status, data.decode("utf-8", "replace"))
            return orjson.loads(data) if data else None

    async def lines(self, path: str, parameters: dict[str, str]) -> AsyncIterator[Any]:
        """Yields the decoded lines of a JSON stream.

        Raises:
            ApiError: the host refused it.
        """
        timeout = aiohttp.ClientTimeout(total=None)
        async with self._session.get(
            self._base_url + path, params=parameters, headers=self._headers, timeout=timeout
        ) as response:
            if response.status >= status_codes.HTTP_MULTIPLE_CHOICES:
                raise ApiError(response.status, await response.text())
            async for line in response.content:
                yield orjson.loads(line)


def run_with_api(connection: Connection, action: Callable[[Api], Awaitable[Answer]]) -> Answer:
    """Runs ``action`` with a client; prints errors and exits with their exit codes."""

    async def main() -> Answer:
        api = Api(connection)
        try:
            return await action(api)
        finally:
            await api.close()

    try:
        return asyncio.run(main())
    except ApiError as error:
        print(_message(error), file=sys.stderr)
        raise SystemExit(_exit_code(error.status)) from error
    except (aiohttp.ClientError, TimeoutError) as error:
        print(f"{connection.address} does not answer: {error}", file=sys.stderr)
        raise SystemExit(status_codes.EXIT_UNREACHABLE) from error


def print_table(connection: Connection, rows: Iterable[dict[str, Any]], columns: list[str]) -> None:
    """Prints rows as a table, or as JSON."""
    listed = list(rows)
    if connection.json:
        print_json(listed)
        return
    cells = [[str(row.get(column, "")) for column in columns] for row in listed]
    widths = [
        max([len(column), *(len(line[place]) for line in cells)])
        for place, column in enumerate(columns)
    ]
    for line in [columns, *cells]:
        padded = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print("  ".join(padded).rstrip())


def print_json(value: Any) -> None:
    """Prints JSON with indentation."""
    print(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())


def _message(error: ApiError) -> str:
    try:
        body = orjson.loads(error.body)
    except orjson.JSONDecodeError:
        return str(error)
    if "error" in body:
        return f"refused: {body['error']['message']}"
    return str(body.get("message", error))


def _exit_code(status: int) -> int:
    by_status = {
        status_codes.HTTP_NOT_FOUND: status_codes.EXIT_NOT_FOUND,
        status_codes.HTTP_CONFLICT: status_codes.EXIT_CONFLICT,
        status_codes.HTTP_UNPROCESSABLE: status_codes.EXIT_INVALID_INPUT,
        status_codes.HTTP_UNAVAILABLE: status_codes.EXIT_UNREACHABLE,
    }
    return by_status.get(status, status_codes.EXIT_FAILURE)
