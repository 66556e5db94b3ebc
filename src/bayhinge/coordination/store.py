"""The interface of the object store that holds all durable state.

It needs what the object APIs of platforms have in common: versions, conditional updates
and watches. Implementations raise the errors of :mod:`bayhinge.coordination.errors`; any
call may raise :class:`~bayhinge.coordination.errors.StoreUnavailableError`, even after a
write took effect.
"""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator

import attrs

from bayhinge.coordination.errors import StoreUnavailableError
from bayhinge.coordination.store_availability import StoreAvailability

MAX_VALUE_BYTES = 1_000_000
"""Maximum size of a value in the store."""


WATCH_WAIT_S = 20.0
"""Maximum duration of one long poll of a watch."""


@attrs.frozen
class StoredObject:
    """An object in the store. ``version`` grows with each change of the key."""

    key: str
    value: bytes
    version: int


@attrs.frozen
class Listing:
    """A page of a listing, in key order.

    ``revision`` is the store-wide revision at the time of reading; a watch that starts
    after it misses no change. ``more`` is true where further keys follow.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    more: bool


@attrs.frozen
class Change:
    """One change reported by a watch; ``value`` is None where the object was deleted."""

    key: str
    value: bytes | None
    version: int
    revision: int


@attrs.frozen
class ChangePage:
    """Changes in order; the watch continues after ``revision``."""

    changes: tuple[Change, ...]
    revision: int


class ObjectStore(ABC):
    """A versioned key-value store, implemented on the platform's object API."""

    @abstractmethod
    async def get(self, key: str) -> StoredObject | None:
        """Returns the object, or None where the key doesn't exist."""

    @abstractmethod
    async def create(self, key: str, value: bytes) -> StoredObject:
        """Creates an object whose key must not exist.

        Raises:
            AlreadyExistsError: the key exists.
        """

    @abstractmethod
    async def update(self, key: str, value: bytes, version: int) -> StoredObject:
        """Replaces a value that must still be at ``version``.

        Raises:
            VersionConflictError: it is not.
        """

    @abstractmethod
    async def delete(self, key: str, version: int) -> None:
        """Deletes an object that must still be at ``version``.

        Raises:
            VersionConflictError: it is not, or the key doesn't exist.
        """

    @abstractmethod
    async def list(self, prefix: str, after: str = "", limit: int = 500) -> Listing:
        """Returns the objects whose key starts with ``prefix`` and sorts after ``after``."""

    @abstractmethod
    def watch(self, prefix: str, after_revision: int) -> AsyncIterator[Change]:
        """Yields the changes under ``prefix`` that follow ``after_revision``.

        Raises:
            WatchEndedError: the revision is too old, or the watch was interrupted.
        """

    async def close(self) -> None:
        """Closes the connections, if any."""
        return


class PollingStore(ObjectStore):
    """A store whose watches are long polls."""

    @property
    @abstractmethod
    def availability(self) -> StoreAvailability:
        """Whether the store answers this client's calls."""

    @abstractmethod
    async def poll(self, prefix: str, after_revision: int, wait_s: float) -> ChangePage:
        """Returns the changes after a revision, as soon as there are any.

        Returns an empty page where there are none within ``wait_s`` seconds.

        Raises:
            HistoryLostError: the store no longer keeps the changes after the revision.
        """

    async def watch(self, prefix: str, after_revision: int) -> AsyncIterator[Change]:
        """See :class:`ObjectStore`."""
        while True:
            page = await self.poll(prefix, after_revision, WATCH_WAIT_S)
            after_revision = page.revision
            for change in page.changes:
                yield change


async def list_all(store: ObjectStore, prefix: str) -> Listing:
    """Reads all pages under ``prefix``; the revision is that of the first page.

    Raises:
        StoreUnavailableError: a page has ``more`` set but no new key, which would loop forever.
    """
    object_by_key: dict[str, StoredObject] = {}
    page = await store.list(prefix)
    revision = page.revision
    while True:
        known = len(object_by_key)
        object_by_key.update((stored.key, stored) for stored in page.objects)
        if not page.more:
            return Listing(tuple(object_by_key.values()), revision, more=False)
        if len(object_by_key) == known:
            raise StoreUnavailableError(f"list {prefix}", "the listing makes no progress")
        page = await store.list(prefix, after=page.objects[-1].key)
