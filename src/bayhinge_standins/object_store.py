"""An in-memory object store with conditional updates, watches, faults and call counts."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from enum import StrEnum

import attrs
from sortedcontainers import SortedDict

from bayhinge.coordination.errors import (
    AlreadyExistsError,
    StoreRateLimitedError,
    StoreUnavailableError,
    VersionConflictError,
    WatchEndedError,
)
from bayhinge.coordination.store import (
    MAX_VALUE_BYTES,
    Change,
    Listing,
    ObjectStore,
    StoredObject,
)
from bayhinge_standins.faults import StoreFaults

RETAINED_CHANGES = 10_000
"""Changes retained for watches; a watch that starts at an older revision ends."""


class Operation(StrEnum):
    """Kinds of calls, as counted."""

    GET = "get"
    LIST = "list"
    WATCH = "watch"
    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"


WRITES = frozenset({Operation.CREATE, Operation.UPDATE, Operation.DELETE})


@attrs.define
class _RateWindow:
    """Counts the calls of the current second."""

    second: int = -1
    count: int = 0

    def allows(self, now: float, limit: float | None) -> bool:
        if limit is None:
            return True
        if int(now) != self.second:
            self.second, self.count = int(now), 0
        self.count += 1
        return self.count <= limit


class MemoryObjects:
    """The stored objects, shared by all clients."""

    def __init__(self) -> None:
        self.objects_by_key: SortedDict[str, StoredObject] = SortedDict()
        self.revision = 0
        self.changes: list[Change] = []
        self.calls: Counter[Operation] = Counter()
        self.bytes_out = 0
        self.changed = asyncio.Condition()
        self._writes = _RateWindow()
        self._reads = _RateWindow()

    def count(self, operation: Operation, now: float, faults: StoreFaults, subject: str) -> None:
        """Counts a call.

        Raises:
            StoreRateLimitedError: the rate limit in ``faults`` is exceeded.
        """
        self.calls[operation] += 1
        is_write = operation in WRITES
        window = self._writes if is_write else self._reads
        limit = faults.writes_per_second if is_write else faults.reads_per_second
        if not window.allows(now, limit):
            raise StoreRateLimitedError(f"{operation} {subject}", retry_after_s=1 - now % 1)

    async def put(self, key: str, value: bytes, version: int | None) -> StoredObject:
        """Creates an object if ``version`` is None; otherwise updates that version.

        Raises:
            AlreadyExistsError: the key to create exists.
            VersionConflictError: the object to update has another version or does not exist.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError(f"{key}: {len(value)} bytes, the limit is {MAX_VALUE_BYTES}")
        current = self.objects_by_key.get(key)
        if version is None and current is not None:
            raise AlreadyExistsError(key)
        if version is not None and (current is None or current.version != version):
            raise VersionConflictError(key, version)
        self.revision += 1
        stored = StoredObject(key, value, self.revision)
        self.objects_by_key[key] = stored
        await self._publish(Change(key, value, stored.version, self.revision))
        return stored

    async def remove(self, key: str, version: int) -> None:
        """Deletes an object at the given version.

        Raises:
            VersionConflictError: the object has another version or does not exist.
        """
        current = self.objects_by_key.get(key)
        if current is None or current.version != version:
            raise VersionConflictError(key, version)
        self.revision += 1
        del self.objects_by_key[key]
        await self._publish(Change(key, None, version, self.revision))

    def select(self, prefix: str, after: str, limit: int) -> Listing:
        """Returns one page of a listing."""
        page: list[StoredObject] = []
        start = max(prefix, after)
        for key in self.objects_by_key.irange(minimum=start):
            if not key.startswith(prefix):
                break
            if key <= after:
                continue
            if len(page) == limit:
                return Listing(tuple(page), self.revision, more=True)
            page.append(self.objects_by_key[key])
        return Listing(tuple(page), self.revision, more=False)

    async def _publish(self, change: Change) -> None:
        self.changes.append(change)
        del self.changes[:-RETAINED_CHANGES]
        async with self.changed:
            self.changed.notify_all()


class MemoryObjectStore(ObjectStore):
    """A client of shared objects, with its own faults.

    Several clients of the same :class:`MemoryObjects` represent several hosts; a client
    that is ``down`` is partitioned from the store.
    """

    def __init__(self, objects: MemoryObjects, faults: StoreFaults | None = None) -> None:
        self.objects = objects
        self.faults = faults or StoreFaults()

    async def get(self, key: str) -> StoredObject | None:
        """See :class:`ObjectStore`."""
        await self._begin_call(Operation.GET, key)
        stored: StoredObject | None = self.objects.objects_by_key.get(key)
        self.objects.bytes_out += len(stored.value) if stored else 0
        return stored

    async def create(self, key: str, value: bytes) -> StoredObject:
        """See :class:`ObjectStore`."""
        await self._begin_call(Operation.CREATE, key)
        self._maybe_lose_write(f"create {key}")
        stored = await self.objects.put(key, value, None)
        self._maybe_lose_reply(f"create {key}")
        return stored

    async def update(self, key: str, value: bytes, version: int) -> StoredObject:
        """See :class:`ObjectStore`."""
        await self._begin_call(Operation.UPDATE, key)
        self._maybe_lose_write(f"update {key}")
        stored = await self.objects.put(key, value, version)
        self._maybe_lose_reply(f"update {key}")
        return stored

    async def delete(self, key: str, version: int) -> None:
        """See :class:`ObjectStore`."""
        await self._begin_call(Operation.DELETE, key)
        self._maybe_lose_write(f"delete {key}")
        await self.objects.remove(key, version)
        self._maybe_lose_reply(f"delete {key}")

    async def list(self, prefix: str, after: str = "", limit: int = 500) -> Listing:
        """See :class:`ObjectStore`."""
        await self._begin_call(Operation.LIST, prefix)
        page = self.objects.select(prefix, after, limit)
        if self.faults.stale_reads:
            visible_revision = self.objects.revision - self.faults.stale_reads
            visible = tuple(stored for stored in page.objects if stored.version <= visible_revision)
            page = Listing(visible, visible_revision, page.more)
        self.objects.bytes_out += sum(len(stored.value) for stored in page.objects)
        return page

    async def watch(self, prefix: str, after_revision: int) -> AsyncIterator[Change]:
        """See :class:`ObjectStore`."""
        await self._begin_call(Operation.WATCH, prefix)
        objects = self.objects
        position = after_revision
        while True:
            oldest = objects.changes[0].revision if objects.changes else objects.revision + 1
            if position + 1 < oldest and position < objects.revision:
                raise WatchEndedError(prefix, f"revision {position} is no longer retained")
            for change in [change for change in objects.changes if change.revision > position]:
                position = change.revision
                if change.key.startswith(prefix) and not self.faults.mute_watches:
                    self.objects.bytes_out += len(change.value or b"")
                    yield change
            if self.faults.down:
                raise WatchEndedError(prefix, "the connection broke")
            async with objects.changed:
                if objects.revision == position:
                    await objects.changed.wait()

    async def _begin_call(self, operation: Operation, subject: str) -> None:
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            raise StoreUnavailableError(f"{operation} {subject}", "no connection")
        now = asyncio.get_running_loop().time()
        self.objects.count(operation, now, self.faults, subject)

    def _maybe_lose_reply(self, operation: str) -> None:
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise StoreUnavailableError(operation, "the answer was lost")

    def _maybe_lose_write(self, operation: str) -> None:
        if self.faults.lose_writes > 0:
            self.faults.lose_writes -= 1
            raise StoreUnavailableError(operation, "the connection broke")
