"""Configuration as an append-only log of accepted changes.

Change number *n* is the object ``<prefix>/<n>``, written with create-if-absent, so that
exactly one of two concurrent edits gets a revision. The log provides a total order,
history and rollback. A host applies changes in order of revision and never goes back.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable

import attrs

from bayhinge.coordination.clock import Clock
from bayhinge.coordination.codec import FORMAT, decode, encode
from bayhinge.coordination.errors import (
    AlreadyExistsError,
    ConfigConflictError,
    CorruptObjectError,
    StoreError,
    StoreRateLimitedError,
    StoreUnavailableError,
)
from bayhinge.coordination.pacing import Backoff
from bayhinge.coordination.store import ObjectStore, StoredObject
from bayhinge.coordination.wire.ttypes import ConfigChange

logger = logging.getLogger(__name__)

REVISION_DIGITS = 12
MAX_WRITE_ATTEMPTS = 8


@attrs.frozen
class ConfigObject:
    """A configured object at one revision; ``text`` is None where it was deleted."""

    kind: str
    name: str
    text: str | None
    revision: int
    author: str
    accepted_at_ms: int


@attrs.frozen
class FeedTimes:
    """Periods in seconds.

    Attributes:
        poll_s: how often the store is listed; a peer's newer revision triggers it sooner.
        stale_after_s: the configuration counts as current for this long after the store or
            a peer last confirmed it.
    """

    poll_s: float = 3.0
    stale_after_s: float = 30.0


class ConfigFeed:
    """Follows the log of changes, and appends to it.

    Attributes:
        corrupt_by_key: objects under the prefix that can't be read. An undecodable change
            blocks all later ones; an object whose key has no revision number blocks none.
        on_change: called after each change is applied.
    """

    def __init__(
        self,
        store: ObjectStore,
        prefix: str,
        clock: Clock,
        random_unit: Callable[[], float],
        times: FeedTimes,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._clock = clock
        self._random_unit = random_unit
        self._times = times
        self._objects_by_key: dict[tuple[str, str], ConfigObject] = {}
        self._changes_by_revision: dict[int, bytes] = {}
        self._revision = 0
        self._observed_revision = 0
        self._confirmed_at: float | None = None
        self._wake = asyncio.Event()
        self.corrupt_by_key: dict[str, CorruptObjectError] = {}
        self.on_change: Callable[[ConfigObject], None] = lambda changed: None

    @property
    def revision(self) -> int:
        """The newest revision that this host has applied."""
        return self._revision

    @property
    def observed_revision(self) -> int:
        """The newest revision that this host has applied or a peer has reported."""
        return max(self._observed_revision, self._revision)

    def is_current(self) -> bool:
        """True while the configuration is confirmed to be the newest known one."""
        if self._confirmed_at is None or self._revision < self._observed_revision:
            return False
        age = asyncio.get_running_loop().time() - self._confirmed_at
        return age <= self._times.stale_after_s

    def get(self, kind: str, name: str) -> ConfigObject | None:
        """Returns the object, or None where it doesn't exist or was deleted."""
        found = self._objects_by_key.get((kind, name))
        return None if found is None or found.text is None else found

    def all(self, kind: str) -> list[ConfigObject]:
        """Returns the objects of a kind that are not deleted, sorted by name."""
        found = (item for item in self._objects_by_key.values() if item.kind == kind)
        return sorted((item for item in found if item.text is not None), key=_name)

    def history(self, kind: str, name: str) -> list[ConfigObject]:
        """Returns every applied revision of an object, oldest first."""
        changes = (self._decode(rev, data) for rev, data in self._changes_by_revision.items())
        return [change for change in changes if (change.kind, change.name) == (kind, name)]

    def changes_after(self, revision: int, limit: int = 200) -> list[bytes]:
        """Returns encoded changes for a peer that has applied ``revision``."""
        upto = min(self._revision, revision + limit)
        return [self._changes_by_revision[rev] for rev in range(revision + 1, upto + 1)]

    def observe_revision(self, revision: int) -> None:
        """Records that a peer has applied ``revision``; triggers a read if it is newer."""
        if revision > self.observed_revision:
            self._observed_revision = revision
            self._wake.set()

    def apply_from_peer(self, first_revision: int, changes: Iterable[bytes]) -> None:
        """Applies consecutive changes sent by a peer, starting at ``first_revision``."""
        for offset, data in enumerate(changes):
            self._apply(first_revision + offset, data)
        if self._revision >= self._observed_revision:
            self._confirm()

    async def run(self) -> None:
        """Follows the store until it is cancelled."""
        while True:
            try:
                await self.step()
            except StoreError as error:
                logger.info("cannot read configuration changes, retrying: %s", error)
            self._wake.clear()
            try:
                async with asyncio.timeout(self._times.poll_s):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def step(self) -> None:
        """Reads and applies the changes that follow the applied revision.

        Confirms the configuration afterwards, unless the next change can't be decoded or a peer
        has reported a newer revision.

        Raises:
            StoreError: the store did not answer, or its listing makes no progress.
        """
        after = self._key(self._revision) if self._revision else ""
        while True:
            page = await self._store.list(f"{self._prefix}/", after=after)
            for stored in page.objects:
                self._apply_stored(stored)
            if self._key(self._revision + 1) in self.corrupt_by_key:
                # Not confirmed while a change is unreadable; `config status` shows it.
                return
            if not page.more or not page.objects:
                break
            if page.objects[-1].key <= after:
                raise StoreUnavailableError(f"list {self._prefix}", "the listing makes no progress")
            after = page.objects[-1].key
        # A stale listing must not confirm a configuration older than one a peer reported.
        if self._revision >= self._observed_revision:
            self._confirm()

    async def propose(
        self, kind: str, name: str, text: str | None, author: str, base_revision: int
    ) -> ConfigObject:
        """Appends a change that is based on ``base_revision`` of the object (0: a new object).

        Raises:
            ConfigConflictError: the object is at another revision, or does not exist.
            CorruptObjectError: the next change can't be read, so none can follow it.
            StoreError: the store did not answer; the change may or may not be accepted.
        """
        nonce = f"{self._random_unit():.17f}"
        backoff = Backoff(self._random_unit)
        last_error: StoreError | None = None
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                await self.step()
                accepted = self._find_by_nonce(kind, name, nonce)
                if accepted is not None:
                    return accepted
                self._raise_if_next_is_corrupt()
                self._raise_if_outdated(kind, name, base_revision)
                await self._append(kind, name, text, author, base_revision, nonce)
            except AlreadyExistsError:
                continue
            except (StoreUnavailableError, StoreRateLimitedError) as error:
                last_error = error
                await asyncio.sleep(backoff.next_delay())
        await self.step()
        accepted = self._find_by_nonce(kind, name, nonce)
        if accepted is not None:
            return accepted
        raise last_error or StoreUnavailableError(
            f"accept {kind} {name}", "too many concurrent edits"
        )

    async def _append(
        self, kind: str, name: str, text: str | None, author: str, base: int, nonce: str
    ) -> None:
        change = ConfigChange(FORMAT, kind, name, text, author, base, nonce, self._clock.wall_ms())
        await self._store.create(self._key(self._revision + 1), encode(change))

    def _raise_if_next_is_corrupt(self) -> None:
        """Raises CorruptObjectError if the change after the applied revision can't be read."""
        error = self.corrupt_by_key.get(self._key(self._revision + 1))
        if error is not None:
            raise CorruptObjectError(error.key, error.why)

    def _raise_if_outdated(self, kind: str, name: str, base_revision: int) -> None:
        """Raises ConfigConflictError if an edit is not based on the object's revision."""
        current = self._objects_by_key.get((kind, name))
        current_revision = 0 if current is None else current.revision
        # A deleted object may be created again like a new one.
        if current is not None and current.text is None and base_revision == 0:
            return
        if current_revision != base_revision:
            text = "" if current is None or current.text is None else current.text
            raise ConfigConflictError(kind, name, base_revision, current_revision, text)

    def _find_by_nonce(self, kind: str, name: str, nonce: str) -> ConfigObject | None:
        for revision in range(self._revision, max(0, self._revision - 50), -1):
            data = self._changes_by_revision[revision]
            change = decode(ConfigChange(), data, self._key(revision))
            if (change.kind, change.name, change.nonce) == (kind, name, nonce):
                return self._decode(revision, data)
        return None

    def _apply_stored(self, stored: StoredObject) -> None:
        """Applies an object of a listing, or records in `corrupt_by_key` why it can't be read."""
        revision_text = stored.key.rpartition("/")[2]
        try:
            if len(revision_text) != REVISION_DIGITS or not (
                revision_text.isascii() and revision_text.isdigit()
            ):
                raise CorruptObjectError(
                    stored.key, "the last part of its key is not a revision number"
                )
            self._apply(int(revision_text), stored.value)
            self.corrupt_by_key.pop(stored.key, None)
        except CorruptObjectError as error:
            if stored.key not in self.corrupt_by_key:
                logger.error("%s", error)
            self.corrupt_by_key[stored.key] = error

    def _apply(self, revision: int, data: bytes) -> None:
        if revision != self._revision + 1:
            # Already applied, or after a gap. A gap is filled from the store or by a peer, but
            # not from a corrupt object until that is repaired.
            return
        changed = self._decode(revision, data)
        # A peer may supply a change whose stored object is corrupt.
        self.corrupt_by_key.pop(self._key(revision), None)
        self._objects_by_key[(changed.kind, changed.name)] = changed
        self._changes_by_revision[revision] = data
        self._revision = revision
        self.on_change(changed)

    def _decode(self, revision: int, data: bytes) -> ConfigObject:
        change = decode(ConfigChange(), data, self._key(revision))
        return ConfigObject(
            change.kind, change.name, change.text, revision, change.author, change.accepted_at_ms
        )

    def _confirm(self) -> None:
        self._confirmed_at = asyncio.get_running_loop().time()

    def _key(self, revision: int) -> str:
        return f"{self._prefix}/{revision:0{REVISION_DIGITS}d}"


def _name(item: ConfigObject) -> str:
    return item.name
