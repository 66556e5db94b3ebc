"""An :class:`ObjectStore` over the platform's HTTP object API.

Versions are entity tags, and writes are conditional by If-Match and If-None-Match. After a
connection error the outcome of a write is unknown.
"""

import base64
from collections.abc import AsyncIterator
from typing import Any
from urllib.parse import quote

import aiohttp
import orjson

from bayhinge._internal import status_codes
from bayhinge._internal.utils.http_session import (
    call_timeout,
    failure_reason,
    open_session,
    read_bounded,
)
from bayhinge.coordination.errors import (
    AlreadyExistsError,
    StoreRateLimitedError,
    StoreUnavailableError,
    VersionConflictError,
    WatchEndedError,
)
from bayhinge.coordination.store import Change, Listing, ObjectStore, StoredObject

MAX_ANSWER_BYTES = 64_000_000
"""Longest answer that is read; a page of objects is far shorter."""

WATCH_SILENCE_S = 300.0
"""Read timeout of a watch; the watch is then reopened."""


class HttpObjectStore(ObjectStore):
    """A client of the object API."""

    def __init__(self, base_url: str, timeout_s: float) -> None:
        self._base_url = base_url
        self._timeout = call_timeout(timeout_s)
        self._watch_timeout = call_timeout(sock_connect_s=timeout_s, sock_read_s=WATCH_SILENCE_S)
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()

    async def get(self, key: str) -> StoredObject | None:
        """See :class:`ObjectStore`."""
        answer = await self._call("GET", self._object_url(key), f"get {key}")
        if answer.status == status_codes.HTTP_NOT_FOUND:
            return None
        return StoredObject(key, answer.body, answer.version)

    async def create(self, key: str, value: bytes) -> StoredObject:
        """See :class:`ObjectStore`."""
        headers = {"If-None-Match": "*"}
        what = f"create {key}"
        answer = await self._call("PUT", self._object_url(key), what, headers, value)
        if answer.status == status_codes.HTTP_PRECONDITION_FAILED:
            raise AlreadyExistsError(key)
        return StoredObject(key, value, answer.version)

    async def update(self, key: str, value: bytes, version: int) -> StoredObject:
        """See :class:`ObjectStore`."""
        headers = {"If-Match": f'"{version}"'}
        what = f"update {key}"
        answer = await self._call("PUT", self._object_url(key), what, headers, value)
        if answer.status == status_codes.HTTP_PRECONDITION_FAILED:
            raise VersionConflictError(key, version)
        return StoredObject(key, value, answer.version)

    async def delete(self, key: str, version: int) -> None:
        """See :class:`ObjectStore`."""
        headers = {"If-Match": f'"{version}"'}
        answer = await self._call("DELETE", self._object_url(key), f"delete {key}", headers)
        if answer.status == status_codes.HTTP_PRECONDITION_FAILED:
            raise VersionConflictError(key, version)

    async def list(self, prefix: str, after: str = "", limit: int = 500) -> Listing:
        """See :class:`ObjectStore`."""
        url = (
            f"{self._base_url}/v1/objects?prefix={quote(prefix)}&after={quote(after)}&limit={limit}"
        )
        answer = await self._call("GET", url, f"list {prefix}")
        page: dict[str, Any] = orjson.loads(answer.body)
        objects = tuple(
            StoredObject(item["key"], base64.b64decode(item["value"]), item["version"])
            for item in page["objects"]
        )
        return Listing(objects, page["revision"], page["more"])

    async def watch(self, prefix: str, after_revision: int) -> AsyncIterator[Change]:
        """See :class:`ObjectStore`."""
        url = f"{self._base_url}/v1/watch?prefix={quote(prefix)}&after={after_revision}"
        try:
            async with self._open_session().get(url, timeout=self._watch_timeout) as response:
                async for line in response.content:
                    item = orjson.loads(line)
                    value = None if item["value"] is None else base64.b64decode(item["value"])
                    yield Change(item["key"], value, item["version"], item["revision"])
        except (aiohttp.ClientError, TimeoutError) as error:
            raise WatchEndedError(prefix, str(error) or type(error).__name__) from error
        raise WatchEndedError(prefix, "the platform closed the connection")

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = open_session()
        return self._session

    def _object_url(self, key: str) -> str:
        return f"{self._base_url}/v1/objects/{quote(key)}"

    async def _call(
        self,
        method: str,
        url: str,
        what: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> "_Response":
        session = self._open_session()
        try:
            async with session.request(
                method, url, headers=headers, data=body, timeout=self._timeout
            ) as response:
                text = await read_bounded(response, MAX_ANSWER_BYTES)
                answer = _Response(response.status, _etag_version(response), text)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StoreUnavailableError(what, failure_reason(error)) from error
        if answer.status == status_codes.HTTP_TOO_MANY_REQUESTS:
            raise StoreRateLimitedError(what, float(response.headers.get("Retry-After", "1")))
        if answer.status >= status_codes.HTTP_SERVER_ERROR:
            raise StoreUnavailableError(what, f"status {answer.status}")
        return answer


class _Response:
    """The used parts of an HTTP response."""

    __slots__ = ("body", "status", "version")

    def __init__(self, status: int, version: int, body: bytes) -> None:
        self.status = status
        self.version = version
        self.body = body


def _etag_version(response: aiohttp.ClientResponse) -> int:
    tag = response.headers.get("ETag", "").strip('"')
    return int(tag) if tag.isdigit() else 0
