"""An HTTP client of the daemon that caches host addresses and retries at other hosts."""

import asyncio
from typing import Any

import aiohttp
import attrs
import orjson

from bayhinge._internal import status_codes
from bayhinge._internal.network.request_reading import (
    CALL_HEADER,
    IDEMPOTENCY_HEADER,
    MESSAGES_HEADER,
    PATIENCE_HEADER,
    PROGRAM_HEADER,
)

RETRIES = 80
RETRY_S = 0.25


@attrs.frozen
class ApiResponse:
    """The status and decoded JSON body of a response; the body is None if it is empty."""

    status: int
    body: Any

    @property
    def is_ok(self) -> bool:
        """True for a successful answer."""
        return self.status < status_codes.HTTP_MULTIPLE_CHOICES

    @property
    def run_state(self) -> str:
        """Whether a refused call may have run; empty for an answer."""
        return "" if self.is_ok else str(self.body["error"]["run_state"])


class DemoClient:
    """Calls on behalf of one client account."""

    def __init__(self, addresses: list[str], key: str) -> None:
        self._addresses = list(addresses)
        self._key = key
        self._session = aiohttp.ClientSession()
        self._request_count = 0

    async def close(self) -> None:
        """Closes the connections."""
        await self._session.close()

    async def refresh(self) -> None:
        """Fetches the current host addresses."""
        found = await self.request("GET", "/v1/addresses")
        self._addresses = list(found.body["addresses"])

    async def open(self, parent: str | None = None) -> str:
        """Opens a program."""
        body = {} if parent is None else {"parent": parent}
        opened = await self.request("POST", "/v1/programs", body)
        if not opened.is_ok:
            raise RuntimeError(f"could not open a program: {opened.body}")
        return str(opened.body["id"])

    async def end(self, program: str) -> ApiResponse:
        """Ends a program."""
        return await self.request("POST", f"/v1/programs/{program}/end")

    async def chat(self, program: str, index: int, text: str, max_tokens: int = 16) -> ApiResponse:
        """Makes a model call that sends only the new message."""
        body = {
            "model": "agent-llm",
            "messages": [{"role": "user", "content": text}],
            "max_tokens": max_tokens,
        }
        headers = {
            PROGRAM_HEADER: program,
            CALL_HEADER: str(index),
            MESSAGES_HEADER: "new",
            PATIENCE_HEADER: "30",
        }
        return await self.request("POST", "/v1/chat/completions", body, headers)

    async def service(
        self, program: str, index: int, method: str, service: str, path: str, key: str = ""
    ) -> ApiResponse:
        """Calls a plain service."""
        headers = {PROGRAM_HEADER: program, CALL_HEADER: str(index)}
        if key:
            headers[IDEMPOTENCY_HEADER] = key
        return await self.request(method, f"/v1/services/{service}{path}", None, headers)

    async def request(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        headers: dict[str, str] | None = None,
    ) -> ApiResponse:
        """Sends a request, and retries at the next address after a connection error or a 503.

        Retries are safe: a call runs at most once because it carries its index.

        Raises:
            RuntimeError: no address answered within ``RETRIES`` attempts.
        """
        last_error = ""
        self._request_count += 1
        first = self._request_count
        for attempt in range(RETRIES):
            # The rotation is per request: with a shared position, concurrent requests can
            # hit the same dead address on every retry.
            address = self._addresses[(first + attempt) % len(self._addresses)]
            try:
                response = await self._send(method, address + path, body, headers)
            except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
                last_error = str(error)
                await asyncio.sleep(RETRY_S / 5)
                continue
            if response.status != status_codes.HTTP_UNAVAILABLE:
                return response
            await asyncio.sleep(RETRY_S)
        raise RuntimeError(f"{method} {path}: no address answered; last error: {last_error}")

    async def _send(
        self,
        method: str,
        url: str,
        body: dict[str, Any] | None,
        headers: dict[str, str] | None,
    ) -> ApiResponse:
        all_headers = {"Authorization": f"Bearer {self._key}", **(headers or {})}
        data = None if body is None else orjson.dumps(body)
        timeout = aiohttp.ClientTimeout(total=60)
        async with self._session.request(
            method, url, data=data, headers=all_headers, timeout=timeout
        ) as response:
            text = await response.read()
            return ApiResponse(response.status, orjson.loads(text) if text else None)
