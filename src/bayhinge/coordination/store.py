"""The object store that everything durable goes through.

The contract is the one common to platforms' object APIs: versions, conditional
updates, and watches. Implementations raise the errors of
:mod:`bayhinge.coordination.errors`; any call may raise
:class:`~bayhinge.coordination.errors.StoreUnavailableError`, also after a write
took effect.
"""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator

import attrs

from bayhinge.coordination.errors import StoreUnavailableError
from bayhinge.coordination.store_contact import StoreContact

MAX_VALUE_BYTES = 1_000_000
"""Largest value that the store takes."""


WATCH_WAIT_S = 20.0
"""Seconds that one waiting call of a watch lasts."""


@attrs.frozen
class StoredObject:
    """One object as the store holds it. ``version`` grows with each change of the key."""

    key: str
    value: bytes
    version: int


@attrs.frozen
class Listing:
    """A page of a listing, in key order.

    ``revision`` is the store's own counter at the time of reading; a watch that
    starts after it misses nothing. ``more`` says that further keys follow.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    more: bool


@attrs.frozen
class Change:
    """One change seen by a watch; ``value`` is None where the object was deleted."""

    key: str
    value: bytes | None
    version: int
    revision: int


@attrs.frozen
class ChangePage:
    """Changes in order; a watch goes on behind ``revision``."""

    changes: tuple[Change, ...]
    revision: int


class ObjectStore(ABC):
    """The platform's object API."""

    @abstractmethod
    async def get(self, key: str) -> StoredObject | None:
        """Returns the object, or None where the key is free."""

    @abstractmethod
    async def create(self, key: str, value: bytes) -> StoredObject:
        """Writes a key that must be free.

        Raises:
            AlreadyExistsError: the key is taken.
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
            VersionConflictError: it is not, or the key is free.
        """

    @abstractmethod
    async def list(self, prefix: str, after: str = "", limit: int = 500) -> Listing:
        """Returns the objects whose key starts with ``prefix`` and sorts behind ``after``."""

    @abstractmethod
    def watch(self, prefix: str, after_revision: int) -> AsyncIterator[Change]:
        """Yields the changes under ``prefix`` that follow ``after_revision``.

        Raises:
            WatchEndedError: the revision is too old, or the watch was cut.
        """

    async def close(self) -> None:
        """Closes connections, where there are any."""
        return


class PollingStore(ObjectStore):
    """A store whose watches are calls that wait."""

    @property
    @abstractmethod
    def contact(self) -> StoreContact:
        """What this client's calls tell of the store."""

    @abstractmethod
    async def poll(self, prefix: str, after_revision: int, wait_s: float) -> ChangePage:
        """Returns the changes behind a revision, as soon as there are any.

        Without any, it returns an empty page after ``wait_s`` seconds.

        Raises:
            HistoryLostError: the store has forgotten changes behind the revision.
        """

    async def watch(self, prefix: str, after_revision: int) -> AsyncIterator[Change]:
        """See :class:`ObjectStore`."""
        while True:
            page = await self.poll(prefix, after_revision, WATCH_WAIT_S)
            after_revision = page.revision
            for change in page.changes:
                yield change


async def list_all(store: ObjectStore, prefix: str) -> Listing:
    """Reads every page under ``prefix``; the revision is the first page's.

    Raises:
        StoreUnavailableError: a page says that more follows and tells nothing new: to go on would
            be to ask without end, and to keep what comes.
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
            raise StoreUnavailableError(
                f"list {prefix}", "it says that more follows, but does not go on"
            )
        page = await store.list(prefix, after=page.objects[-1].key)
