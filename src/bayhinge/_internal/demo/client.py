"""A caller as any team would write one: it asks for addresses, and keeps them a while."""

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
class Answered:
    """What a caller got: the status, and the body as JSON where it is some."""

    status: int
    body: Any

    @property
    def is_ok(self) -> bool:
        """True for a successful answer."""
        return self.status < status_codes.HTTP_MULTIPLE_CHOICES

    @property
    def run_state(self) -> str:
        """What a refusal says of the work; empty for an answer."""
        return "" if self.is_ok else str(self.body["error"]["run_state"])


class DemoClient:
    """Calls on behalf of one client account."""

    def __init__(self, addresses: list[str], key: str) -> None:
        """Takes some addresses to begin with, and the account's key."""
        self._addresses = list(addresses)
        self._key = key
        self._session = aiohttp.ClientSession()
        self._turn = 0

    async def close(self) -> None:
        """Closes the connections."""
        await self._session.close()

    async def refresh(self) -> None:
        """Asks for addresses."""
        found = await self.request("GET", "/v1/addresses")
        self._addresses = list(found.body["addresses"])

    async def open(self, parent: str | None = None) -> str:
        """Opens a program."""
        body = {} if parent is None else {"parent": parent}
        opened = await self.request("POST", "/v1/programs", body)
        if not opened.is_ok:
            raise RuntimeError(f"the program was refused: {opened.body}")
        return str(opened.body["id"])

    async def end(self, program: str) -> Answered:
        """Ends a program."""
        return await self.request("POST", f"/v1/programs/{program}/end")

    async def chat(self, program: str, index: int, text: str, max_tokens: int = 16) -> Answered:
        """Makes a model call that sends only what is new."""
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
    ) -> Answered:
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
    ) -> Answered:
        """Sends a request, at another address where one does not answer.

        Repeating is safe: a call bears its index, so that it runs once.
        """
        last = ""
        self._turn += 1
        first = self._turn
        for attempt in range(RETRIES):
            # Each request goes round by itself: with one turn for all, requests that
            # run side by side met the same dead address every time.
            address = self._addresses[(first + attempt) % len(self._addresses)]
            try:
                answered = await self._send(method, address + path, body, headers)
            except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
                last = str(error)
                await asyncio.sleep(RETRY_S / 5)
                continue
            if answered.status != status_codes.HTTP_UNAVAILABLE:
                return answered
            await asyncio.sleep(RETRY_S)
        raise RuntimeError(f"{method} {path}: no address answered; the last error: {last}")

    async def _send(
        self,
        method: str,
        url: str,
        body: dict[str, Any] | None,
        headers: dict[str, str] | None,
    ) -> Answered:
        all_headers = {"Authorization": f"Bearer {self._key}", **(headers or {})}
        data = None if body is None else orjson.dumps(body)
        timeout = aiohttp.ClientTimeout(total=60)
        async with self._session.request(
            method, url, data=data, headers=all_headers, timeout=timeout
        ) as response:
            text = await response.read()
            return Answered(response.status, orjson.loads(text) if text else None)
