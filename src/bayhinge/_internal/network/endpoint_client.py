"""Endpoint clients: engines over the OpenAI chat protocol, and plain services over HTTP."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from enum import StrEnum
from typing import Any

import aiohttp
import attrs
import orjson

from bayhinge._internal import status_codes
from bayhinge._internal.exceptions import EndpointError
from bayhinge._internal.models.calls import ServiceCall, Usage
from bayhinge._internal.models.endpoints import EndpointLoad
from bayhinge._internal.network.frames import MAX_FRAME_BYTES
from bayhinge._internal.utils.http_session import (
    call_timeout,
    failure_reason,
    open_session,
    read_bounded,
)

DONE_LINE = b"data: [DONE]"
MAX_ANSWER_BYTES = MAX_FRAME_BYTES
"""Longest answer of a plain service; a longer one would not fit into a frame between hosts."""

MAX_REPORT_BYTES = 1_048_576
"""Longest report of an engine on itself."""

DRAINING_HEADER = "X-Draining"


@attrs.frozen
class EngineRequest:
    """One request to an engine; ``body`` is the encoded JSON."""

    request_id: str
    body: bytes


@attrs.frozen
class EngineChunk:
    """A chunk of an engine's stream: text, tool calls, or the fields of the last chunks."""

    text: str = ""
    tool_calls: bytes | None = None
    finish_reason: str | None = None
    usage: Usage | None = None


@attrs.frozen
class ServiceAnswer:
    """A plain service's complete answer."""

    status: int
    content_type: str
    body: bytes


@attrs.frozen
class EndpointTimeouts:
    """Timeouts in seconds."""

    connect_s: float = 1.0
    first_byte_s: float = 60.0
    between_bytes_s: float = 20.0


class SignOfLife(StrEnum):
    """What an endpoint shows when it is examined.

    Attributes:
        ANSWERED: it has answered a request.
        REFUSED: nothing listens at its address, so it has ended.
        SILENT: it has answered nothing in time.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    SILENT = "silent"


class EndpointClient(ABC):
    """Interface for requests to endpoints."""

    @abstractmethod
    def complete(
        self, endpoint: str, address: str, request: EngineRequest
    ) -> AsyncIterator[EngineChunk]:
        """Streams an engine's answer.

        Raises:
            EndpointError: there is no complete answer; the error tells if the request may have run.
        """

    @abstractmethod
    async def cancel(self, address: str, request_id: str) -> None:
        """Cancels a request at an engine; errors are ignored."""

    @abstractmethod
    async def release(self, address: str, program: str) -> None:
        """Releases a program's KV cache at an engine; errors are ignored."""

    @abstractmethod
    async def held(self, address: str) -> list[str] | None:
        """Returns the programs with KV cache held at an engine, or None on an error."""

    @abstractmethod
    async def load(self, address: str) -> EndpointLoad | None:
        """Returns an engine's load report, or None on an error."""

    @abstractmethod
    async def call_service(
        self, endpoint: str, address: str, call: ServiceCall, timeout_s: float
    ) -> ServiceAnswer:
        """Calls a plain service.

        Raises:
            EndpointError: there is no complete answer; the error tells if the request may have run.
        """

    async def examine(self, address: str) -> SignOfLife:
        """Returns what an endpoint shows that broke a request off."""
        return SignOfLife.ANSWERED

    async def close(self) -> None:
        """Closes the connections."""
        return


class HttpEndpointClient(EndpointClient):
    """The :class:`EndpointClient` over HTTP."""

    def __init__(self, times: EndpointTimeouts) -> None:
        self._times = times
        self._session: aiohttp.ClientSession | None = None
        self._is_closed = False

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = open_session()
        return self._session

    async def close(self) -> None:
        """See :class:`EndpointClient`."""
        self._is_closed = True
        if self._session is not None:
            await self._session.close()

    async def examine(self, address: str) -> SignOfLife:
        """See :class:`EndpointClient`."""
        timeout = call_timeout(self._times.connect_s)
        try:
            # Any status is an answer; a connection alone is none, as the kernel accepts it.
            async with self._open_session().head(address, timeout=timeout, allow_redirects=False):
                return SignOfLife.ANSWERED
        except aiohttp.ClientConnectorError as error:
            is_refused = isinstance(error.os_error, ConnectionRefusedError)
            return SignOfLife.REFUSED if is_refused else SignOfLife.SILENT
        except (aiohttp.ClientError, TimeoutError, ConnectionError):
            return SignOfLife.SILENT

    async def complete(
        self, endpoint: str, address: str, request: EngineRequest
    ) -> AsyncIterator[EngineChunk]:
        """See :class:`EndpointClient`."""
        times = self._times
        timeout = call_timeout(
            sock_connect_s=times.connect_s,
            sock_read_s=max(times.first_byte_s, times.between_bytes_s),
        )
        url = f"{address}/v1/chat/completions"
        headers = {"Content-Type": "application/json"}
        whole = False
        try:
            async with self._open_session().post(
                url, data=request.body, headers=headers, timeout=timeout
            ) as response:
                await _check_status(endpoint, response)
                async for line in response.content:
                    if line.startswith(DONE_LINE):
                        whole = True
                        break
                    if line.startswith(b"data: "):
                        yield _parse_chunk(endpoint, line[len(b"data: ") :])
        except aiohttp.ClientConnectorError as error:
            raise EndpointError(endpoint, str(error), may_have_run=False) from error
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            raise EndpointError(endpoint, failure_reason(error), may_have_run=True) from error
        except ValueError as error:
            # aiohttp's, of a line beyond its buffer.
            raise EndpointError(endpoint, "a line is too long", may_have_run=True) from error
        if not whole:
            raise EndpointError(endpoint, "the stream ended early", may_have_run=True)

    async def cancel(self, address: str, request_id: str) -> None:
        """See :class:`EndpointClient`."""
        await self._request_ignoring_errors("DELETE", f"{address}/v1/requests/{request_id}", None)

    async def release(self, address: str, program: str) -> None:
        """See :class:`EndpointClient`."""
        body = orjson.dumps({"program": program})
        await self._request_ignoring_errors("POST", f"{address}/v1/kv/release", body)

    async def held(self, address: str) -> list[str] | None:
        """See :class:`EndpointClient`."""
        answer = await self._request_ignoring_errors("GET", f"{address}/v1/kv/held", None)
        return None if answer is None else [str(item["program"]) for item in answer["held"]]

    async def load(self, address: str) -> EndpointLoad | None:
        """See :class:`EndpointClient`."""
        answer = await self._request_ignoring_errors("GET", f"{address}/v1/load", None)
        if answer is None:
            return None
        return EndpointLoad(
            int(answer["running"]),
            int(answer["cache_used_tokens"]),
            int(answer["cache_capacity_tokens"]),
            tuple(answer["models"]),
        )

    async def call_service(
        self, endpoint: str, address: str, call: ServiceCall, timeout_s: float
    ) -> ServiceAnswer:
        """See :class:`EndpointClient`."""
        timeout = call_timeout(timeout_s, sock_connect_s=self._times.connect_s)
        headers = {"Content-Type": call.content_type} if call.content_type else None
        try:
            async with self._open_session().request(
                call.http_method,
                f"{address}{call.path}",
                data=call.body or None,
                headers=headers,
                timeout=timeout,
            ) as response:
                if response.status == status_codes.HTTP_UNAVAILABLE:
                    await _check_status(endpoint, response)
                body = await read_bounded(response, MAX_ANSWER_BYTES)
                return ServiceAnswer(response.status, response.content_type, body)
        except aiohttp.ClientConnectorError as error:
            raise EndpointError(endpoint, str(error), may_have_run=False) from error
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            raise EndpointError(endpoint, failure_reason(error), may_have_run=True) from error

    async def _request_ignoring_errors(
        self, method: str, url: str, body: bytes | None
    ) -> dict[str, Any] | None:
        if self._is_closed:
            return None
        timeout = call_timeout(self._times.connect_s * 2)
        try:
            async with self._open_session().request(
                method, url, data=body, timeout=timeout
            ) as response:
                if response.status >= status_codes.HTTP_MULTIPLE_CHOICES:
                    return None
                data = await read_bounded(response, MAX_REPORT_BYTES)
        except (aiohttp.ClientError, TimeoutError, ConnectionError):
            return None
        return orjson.loads(data) if data else {}


async def _check_status(endpoint: str, response: aiohttp.ClientResponse) -> None:
    if response.status < status_codes.HTTP_MULTIPLE_CHOICES:
        return
    draining = DRAINING_HEADER in response.headers
    # An error status before the stream means that the engine rejected the request.
    ran = response.status >= status_codes.HTTP_SERVER_ERROR and not draining
    raise EndpointError(endpoint, f"status {response.status}", ran, draining)


def _parse_chunk(endpoint: str, line: bytes) -> EngineChunk:
    try:
        chunk = orjson.loads(line)
        choice = chunk["choices"][0] if chunk.get("choices") else {}
        delta = choice.get("delta") or {}
        calls = delta.get("tool_calls")
        return EngineChunk(
            delta.get("content") or "",
            orjson.dumps(calls) if calls else None,
            choice.get("finish_reason"),
            _parse_usage(chunk.get("usage")),
        )
    except (orjson.JSONDecodeError, KeyError, TypeError, AttributeError) as error:
        raise EndpointError(endpoint, f"invalid chunk ({type(error).__name__})", True) from error


def _parse_usage(usage: dict[str, Any] | None) -> Usage | None:
    if not usage:
        return None
    details = usage.get("prompt_tokens_details") or {}
    return Usage(
        int(usage.get("prompt_tokens", 0)),
        int(usage.get("completion_tokens", 0)),
        int(details.get("cached_tokens", 0)),
    )
