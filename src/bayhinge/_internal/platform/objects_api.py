"""The platform's store as a :class:`PollingStore`; a process uses one client.

A key is ``kind/name``. The ``spec`` of an object is JSON for kinds that other programs write, and
base64 for the scheduler's own kinds.

An object whose ``spec`` is invalid is returned with an empty value, so that its reader reports it
by key and the other objects stay usable.
"""

import asyncio
import base64
import binascii
from collections.abc import Iterable
from typing import Any
from urllib.parse import quote

import aiohttp
import attrs
import eliot
import orjson

from bayhinge._internal import status_codes
from bayhinge._internal.platform.odd_answers import decode_in_part, decode_json
from bayhinge._internal.utils.http_session import (
    call_timeout,
    failure_reason,
    open_session,
    read_bounded,
)
from bayhinge.coordination.errors import (
    AlreadyExistsError,
    HistoryLostError,
    StoreRateLimitedError,
    StoreUnavailableError,
    VersionConflictError,
)
from bayhinge.coordination.store import (
    Change,
    ChangePage,
    Listing,
    PollingStore,
    StoredObject,
)
from bayhinge.coordination.store_availability import StoreAvailability

MAX_ANSWER_BYTES = 16_777_216
"""Longest answer that is read; a list has about 1 MB, and so has the largest object."""

MAX_SHOWN_CHARS = 200
"""Of an answer that tells of a failure."""

CALL_TIMEOUT_S = 1.0
"""Timeout of one call; a healthy store answers within milliseconds."""

WAIT_MARGIN_S = 0.7
"""Timeout of a watch call, beyond its long-poll time."""

RATE_LIMIT_RETRY_S = 0.5
"""Retry delay after a 429; the store sends no Retry-After."""

CONFIGURATION_KIND = "config"
CONFIGURATION_KEY = f"{CONFIGURATION_KIND}/main"
ENDPOINTS_KIND = "servers"
RETIREMENTS_KIND = "retirements"
EXTERNAL_KINDS = frozenset({CONFIGURATION_KIND, ENDPOINTS_KIND, RETIREMENTS_KIND})

UNREADABLE = b""
"""Value of an object whose ``spec`` is invalid; valid objects are never empty."""

MAX_ENTRY_BYTES = 16_384
"""Longest endpoint entry that is accepted, to limit memory: the store allows 1 MB per object, and
each host holds all entries."""


@attrs.frozen(eq=False, repr=False)
class _Answer:
    status: int
    body: dict[str, Any]


class PlatformObjects(PollingStore):
    """A client of the platform's store at ``address`` (``ip:port``)."""

    def __init__(self, address: str) -> None:
        self._base_url = f"http://{address}/-/objects"
        self._session: aiohttp.ClientSession | None = None
        self._availability = StoreAvailability()
        self.calls = 0

    @property
    def availability(self) -> StoreAvailability:
        """See :class:`PollingStore`."""
        return self._availability

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()

    async def get(self, key: str) -> StoredObject | None:
        """See :class:`ObjectStore`."""
        answer = await self._call("GET", _object_path(key), f"get {key}")
        return (
            None
            if answer.status == status_codes.HTTP_NOT_FOUND
            else _stored_object(key, answer.body)
        )

    async def create(self, key: str, value: bytes) -> StoredObject:
        """See :class:`ObjectStore`."""
        kind, _, name = key.partition("/")
        body = {"metadata": {"name": name}, "spec": _to_spec(kind, value)}
        answer = await self._call("POST", f"/{kind}", f"create {key}", body)
        if answer.status == status_codes.HTTP_CONFLICT:
            raise AlreadyExistsError(key)
        return (
            _stored_object(key, answer.body)
            if "metadata" in answer.body
            else StoredObject(key, value, 0)
        )

    async def update(self, key: str, value: bytes, version: int) -> StoredObject:
        """See :class:`ObjectStore`."""
        kind, _, name = key.partition("/")
        body = {
            "metadata": {"name": name, "revision": version},
            "spec": _to_spec(kind, value),
        }
        answer = await self._call("PUT", _object_path(key), f"update {key}", body)
        if answer.status in {status_codes.HTTP_CONFLICT, status_codes.HTTP_NOT_FOUND}:
            raise VersionConflictError(key, version)
        return (
            _stored_object(key, answer.body)
            if "metadata" in answer.body
            else StoredObject(key, value, 0)
        )

    async def delete(self, key: str, version: int) -> None:
        """See :class:`ObjectStore`."""
        answer = await self._call(
            "DELETE", f"{_object_path(key)}?revision={version}", f"delete {key}"
        )
        if answer.status in {status_codes.HTTP_CONFLICT, status_codes.HTTP_NOT_FOUND}:
            raise VersionConflictError(key, version)

    async def list(self, prefix: str, after: str = "", limit: int = 500) -> Listing:
        """See :class:`ObjectStore`; a prefix is a kind with a slash."""
        kind = prefix.rstrip("/")
        query = f"?after={quote(after.removeprefix(prefix), safe='')}" if after else ""
        answer = await self._call("GET", f"/{kind}{query}", f"list {prefix}")
        body = answer.body
        try:
            objects = _parse_objects(kind, body["items"])
            return Listing(objects, int(body["timestamp"]), bool(body["has_more"]))
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise _invalid_answer_error(f"list {prefix}", error) from error

    async def poll(self, prefix: str, after_revision: int, wait_s: float) -> ChangePage:
        """See :class:`PollingStore`."""
        kind = prefix.rstrip("/")
        what = f"watch {prefix}"
        path = f"/{kind}?watch={after_revision}&wait_ms={int(wait_s * 1000)}"
        answer = await self._call("GET", path, what, time_s=wait_s + WAIT_MARGIN_S)
        if answer.status == status_codes.HTTP_GONE:
            raise HistoryLostError(prefix, f"changes after revision {after_revision} were removed")
        try:
            revision = int(answer.body["timestamp"])
            changes = _parse_changes(kind, answer.body["events"])
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise _invalid_answer_error(what, error) from error
        return ChangePage(changes, revision)

    async def write_status(self, key: str, status: dict[str, Any]) -> None:
        """Replaces an object's status.

        Raises:
            StoreError: the write failed.
        """
        _, _, name = key.partition("/")
        body = {"metadata": {"name": name}, "status": status}
        await self._call("PUT", f"{_object_path(key)}/status", f"status of {key}", body)

    async def _call(
        self,
        method: str,
        path: str,
        what: str,
        body: dict[str, Any] | None = None,
        time_s: float = CALL_TIMEOUT_S,
    ) -> _Answer:
        if self._session is None:
            self._session = open_session()
        self.calls += 1
        data = None if body is None else orjson.dumps(body)
        headers = {} if data is None else {"Content-Type": "application/json"}
        timeout = call_timeout(time_s)
        try:
            async with self._session.request(
                method, f"{self._base_url}{path}", data=data, headers=headers, timeout=timeout
            ) as response:
                status = response.status
                text = await read_bounded(response, MAX_ANSWER_BYTES)
            content = await _decode(what, text)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._availability.record_failure(timed_out=isinstance(error, TimeoutError))
            raise StoreUnavailableError(what, failure_reason(error)) from error
        except ValueError as error:
            raise _invalid_answer_error(what, error) from error
        self._record_status(status)
        return _check_status(what, status, content)

    def _record_status(self, status: int) -> None:
        is_rate_limited = status == status_codes.HTTP_TOO_MANY_REQUESTS
        if is_rate_limited or status >= status_codes.HTTP_SERVER_ERROR:
            self._availability.record_failure(timed_out=False)
        else:
            self._availability.record_answer()


def _check_status(what: str, status: int, content: Any) -> _Answer:
    if status == status_codes.HTTP_TOO_MANY_REQUESTS:
        raise StoreRateLimitedError(what, RATE_LIMIT_RETRY_S)
    known = {status_codes.HTTP_NOT_FOUND, status_codes.HTTP_CONFLICT, status_codes.HTTP_GONE}
    if status >= status_codes.HTTP_MULTIPLE_CHOICES and status not in known:
        raise StoreUnavailableError(what, f"status {status}: {str(content)[:MAX_SHOWN_CHARS]}")
    return _Answer(status, content if isinstance(content, dict) else {})


def _invalid_answer_error(what: str, error: Exception) -> StoreUnavailableError:
    return StoreUnavailableError(what, f"invalid answer: {error!r}")


async def _decode(what: str, text: bytes) -> Any:
    """Decodes an answer, object by object if a decoder doesn't take all of it.

    Raises:
        ValueError: it can't be split into its objects.
    """
    try:
        return decode_json(text) if text else {}
    except (ValueError, RecursionError) as error:
        # An object may be long and odd, and requests must not wait for it.
        content = await asyncio.to_thread(decode_in_part, text)
        eliot.log_message("store.read_in_part", what=what, why=type(error).__name__)
        return content


def _object_path(key: str) -> str:
    kind, _, name = key.partition("/")
    return f"/{kind}/{quote(name, safe='')}"


def _parse_objects(kind: str, items: Iterable[Any]) -> tuple[StoredObject, ...]:
    found = [_parse_object(kind, item) for item in items]
    _log_nameless_objects(kind, found.count(None))
    return tuple(stored for stored in found if stored is not None)


def _log_nameless_objects(kind: str, count: int) -> None:
    """Logs the number of objects that were skipped because they have no valid name or revision."""
    if count:
        eliot.log_message("store.nameless_objects", kind=kind, count=count)


def _parse_object(kind: str, item: Any) -> StoredObject | None:
    """Returns an object, or None if it has no valid name or revision."""
    try:
        name, revision = item["metadata"]["name"], int(item["metadata"]["revision"])
        # Encoding fails for unpaired surrogates.
        key = f"{kind}/{name.encode().decode()}"
    except (AttributeError, LookupError, TypeError, ValueError, OverflowError):
        return None
    return StoredObject(key, _from_spec(kind, item.get("spec")), revision)


def _stored_object(key: str, item: dict[str, Any]) -> StoredObject:
    found = _parse_object(key.partition("/")[0], item)
    if found is None:
        raise _invalid_answer_error(f"read {key}", KeyError("metadata"))
    return attrs.evolve(found, key=key)


def _parse_changes(kind: str, events: Iterable[Any]) -> tuple[Change, ...]:
    tables = [event if isinstance(event, dict) else {} for event in events]
    found = [
        (_parse_object(kind, table.get("object")), bool(table.get("deleted"))) for table in tables
    ]
    _log_nameless_objects(kind, sum(stored is None for stored, _ in found))
    return tuple(
        Change(stored.key, None if is_gone else stored.value, stored.version, stored.version)
        for stored, is_gone in found
        if stored is not None
    )


def _to_spec(kind: str, value: bytes) -> Any:
    return orjson.loads(value) if kind in EXTERNAL_KINDS else base64.b64encode(value).decode()


def _from_spec(kind: str, spec: Any) -> bytes:
    """Returns an object's value, or :data:`UNREADABLE` if its ``spec`` is invalid or too long."""
    try:
        if kind not in EXTERNAL_KINDS:
            return base64.b64decode(spec, validate=True)
        value = orjson.dumps(spec)
    except (TypeError, ValueError, binascii.Error):
        return UNREADABLE
    is_too_long = kind == ENDPOINTS_KIND and len(value) > MAX_ENTRY_BYTES
    return UNREADABLE if is_too_long else value
