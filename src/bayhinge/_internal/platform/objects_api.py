"""The platform's store as a :class:`PollingStore`: one client for all of a process.

A key is ``kind/name``. Objects of kinds that others write carry their ``spec`` as JSON;
objects of the product's own kinds carry bytes, in base64.
"""

import base64
from typing import Any

import aiohttp
import attrs
import orjson

from bayhinge._internal import status_codes
from bayhinge._internal.utils.http_session import call_timeout, open_session
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
from bayhinge.coordination.store_contact import StoreContact

CALL_S = 1.0
"""Time for one call; the store answers within milliseconds when it is well."""

WAIT_MARGIN_S = 0.7
"""Time beyond its wait that a watch call may take."""

RATE_RETRY_S = 0.5
"""When to come back after the store's rate was passed; the store names no time."""

CONFIGURATION_KIND = "config"
ENDPOINTS_KIND = "servers"
RETIREMENTS_KIND = "retirements"
FOREIGN_KINDS = frozenset({CONFIGURATION_KIND, ENDPOINTS_KIND, RETIREMENTS_KIND})


@attrs.frozen
class _Answer:
    status: int
    body: dict[str, Any]


class PlatformObjects(PollingStore):
    """A client of the platform's store."""

    def __init__(self, address: str) -> None:
        """Takes ``ip:port`` of the store."""
        self._base_url = f"http://{address}/-/objects"
        self._session: aiohttp.ClientSession | None = None
        self._contact = StoreContact()
        self.calls = 0

    @property
    def contact(self) -> StoreContact:
        """See :class:`PollingStore`."""
        return self._contact

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()

    async def get(self, key: str) -> StoredObject | None:
        """See :class:`ObjectStore`."""
        answer = await self._call("GET", f"/{key}", f"get {key}")
        return None if answer.status == status_codes.HTTP_NOT_FOUND else _stored(key, answer.body)

    async def create(self, key: str, value: bytes) -> StoredObject:
        """See :class:`ObjectStore`."""
        kind, _, name = key.partition("/")
        body = {"metadata": {"name": name}, "spec": _to_spec(kind, value)}
        answer = await self._call("POST", f"/{kind}", f"create {key}", body)
        if answer.status == status_codes.HTTP_CONFLICT:
            raise AlreadyExistsError(key)
        return (
            _stored(key, answer.body) if "metadata" in answer.body else StoredObject(key, value, 0)
        )

    async def update(self, key: str, value: bytes, version: int) -> StoredObject:
        """See :class:`ObjectStore`."""
        kind, _, name = key.partition("/")
        body = {
            "metadata": {"name": name, "revision": version},
            "spec": _to_spec(kind, value),
        }
        answer = await self._call("PUT", f"/{key}", f"update {key}", body)
        if answer.status in {status_codes.HTTP_CONFLICT, status_codes.HTTP_NOT_FOUND}:
            raise VersionConflictError(key, version)
        return (
            _stored(key, answer.body) if "metadata" in answer.body else StoredObject(key, value, 0)
        )

    async def delete(self, key: str, version: int) -> None:
        """See :class:`ObjectStore`."""
        answer = await self._call("DELETE", f"/{key}?revision={version}", f"delete {key}")
        if answer.status in {status_codes.HTTP_CONFLICT, status_codes.HTTP_NOT_FOUND}:
            raise VersionConflictError(key, version)

    async def list(self, prefix: str, after: str = "", limit: int = 500) -> Listing:
        """See :class:`ObjectStore`; a prefix is a kind with a slash."""
        kind = prefix.rstrip("/")
        query = f"?after={after.removeprefix(prefix)}" if after else ""
        answer = await self._call("GET", f"/{kind}{query}", f"list {prefix}")
        body = answer.body
        try:
            objects = tuple(_stored(_key(kind, item), item) for item in body["items"])
            return Listing(objects, int(body["timestamp"]), bool(body["has_more"]))
        except (KeyError, TypeError, ValueError) as error:
            raise _odd_answer(f"list {prefix}", error) from error

    async def poll(self, prefix: str, after_revision: int, wait_s: float) -> ChangePage:
        """See :class:`PollingStore`."""
        kind = prefix.rstrip("/")
        what = f"watch {prefix}"
        path = f"/{kind}?watch={after_revision}&wait_ms={int(wait_s * 1000)}"
        answer = await self._call("GET", path, what, time_s=wait_s + WAIT_MARGIN_S)
        if answer.status == status_codes.HTTP_GONE:
            raise HistoryLostError(prefix, f"changes behind revision {after_revision} are gone")
        try:
            revision = int(answer.body["timestamp"])
            changes = tuple(_change(kind, event) for event in answer.body["events"])
        except (KeyError, TypeError, ValueError) as error:
            raise _odd_answer(what, error) from error
        return ChangePage(changes, revision)

    async def write_status(self, key: str, status: dict[str, Any]) -> None:
        """Replaces an object's status.

        Raises:
            StoreError: the store did not take it.
        """
        _, _, name = key.partition("/")
        body = {"metadata": {"name": name}, "status": status}
        await self._call("PUT", f"/{key}/status", f"status of {key}", body)

    async def _call(
        self,
        method: str,
        path: str,
        what: str,
        body: dict[str, Any] | None = None,
        time_s: float = CALL_S,
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
                text = await response.read()
            content = orjson.loads(text) if text else {}
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._contact.note_failure(is_silent=isinstance(error, TimeoutError))
            raise StoreUnavailableError(what, str(error) or type(error).__name__) from error
        except orjson.JSONDecodeError as error:
            raise _odd_answer(what, error) from error
        self._note_status(status)
        return _checked(what, status, content)

    def _note_status(self, status: int) -> None:
        is_turned_away = status == status_codes.HTTP_TOO_MANY_REQUESTS
        if is_turned_away or status >= status_codes.HTTP_SERVER_ERROR:
            self._contact.note_failure(is_silent=False)
        else:
            self._contact.note_answer()


def _checked(what: str, status: int, content: Any) -> _Answer:
    if status == status_codes.HTTP_TOO_MANY_REQUESTS:
        raise StoreRateLimitedError(what, RATE_RETRY_S)
    known = {status_codes.HTTP_NOT_FOUND, status_codes.HTTP_CONFLICT, status_codes.HTTP_GONE}
    if status >= status_codes.HTTP_MULTIPLE_CHOICES and status not in known:
        raise StoreUnavailableError(what, f"status {status}: {content}")
    return _Answer(status, content if isinstance(content, dict) else {})


def _odd_answer(what: str, error: Exception) -> StoreUnavailableError:
    return StoreUnavailableError(what, f"an answer of unknown form: {error!r}")


def _key(kind: str, item: dict[str, Any]) -> str:
    return f"{kind}/{item['metadata']['name']}"


def _stored(key: str, item: dict[str, Any]) -> StoredObject:
    kind = key.partition("/")[0]
    try:
        return StoredObject(key, _from_spec(kind, item["spec"]), int(item["metadata"]["revision"]))
    except (KeyError, TypeError, ValueError) as error:
        raise _odd_answer(f"read {key}", error) from error


def _change(kind: str, event: dict[str, Any]) -> Change:
    item = event["object"]
    key = _key(kind, item)
    revision = int(item["metadata"]["revision"])
    value = None if event["deleted"] else _from_spec(kind, item["spec"])
    return Change(key, value, revision, revision)


def _to_spec(kind: str, value: bytes) -> Any:
    return orjson.loads(value) if kind in FOREIGN_KINDS else base64.b64encode(value).decode()


def _from_spec(kind: str, spec: Any) -> bytes:
    return orjson.dumps(spec) if kind in FOREIGN_KINDS else base64.b64decode(spec)
