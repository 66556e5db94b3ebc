"""Membership: who is alive, from heartbeat objects in the store.

Each host rewrites one small object every few seconds and watches the others'.
Time is counted on the host's own clock, and only while the store is known to be
well: an outage makes nobody look dead. The view decides speed alone, never safety.
"""

import asyncio
import logging
from collections.abc import Callable
from enum import StrEnum

import attrs

from bayhinge.coordination.codec import FORMAT, decode, encode
from bayhinge.coordination.errors import (
    AlreadyExistsError,
    CorruptObjectError,
    StoreError,
    VersionConflictError,
)
from bayhinge.coordination.store import ObjectStore, StoredObject, list_all
from bayhinge.coordination.wire.ttypes import HostStatus

logger = logging.getLogger(__name__)


MAX_BEATS_PER_SECOND = 60.0
"""Heartbeats of a whole fleet; beyond it each host beats more slowly."""


class HostState(StrEnum):
    """What a host says of itself.

    Attributes:
        SERVING: it owns programs and takes new ones.
        LEAVING: it makes a planned stop.
        FENCED: its journal is another's; it owns nothing, and passes calls on.
    """

    SERVING = "serving"
    LEAVING = "leaving"
    FENCED = "fenced"


@attrs.frozen
class HostInfo:
    """A host as its heartbeat object tells of it."""

    incarnation: str
    host: str
    hall: str
    peer_address: str
    public_address: str
    state: HostState
    applied_revision: int
    load: float


@attrs.define
class _Seen:
    info: HostInfo
    version: int
    silent_s: float


@attrs.frozen
class MembershipTimes:
    """Periods in seconds.

    A host is dead after ``dead_after_s`` without a heartbeat, counted while the
    store is well. It should be three beats or more: one may be lost, one late.
    """

    beat_s: float = 1.5
    dead_after_s: float = 5.0


class Membership:
    """Keeps this host's heartbeat and the view of all others."""

    def __init__(
        self, store: ObjectStore, prefix: str, me: HostInfo, times: MembershipTimes
    ) -> None:
        """Takes the store, the prefix of heartbeat objects, this host and the periods."""
        self._store = store
        self._prefix = prefix
        self._me = me
        self._times = times
        self._beat = 0
        self._version: int | None = None
        self._seen_by_incarnation: dict[str, _Seen] = {}
        self._dead_by_incarnation: dict[str, HostInfo] = {}
        self._dead_version: dict[str, int] = {}
        self._last_poll: float | None = None
        self.corrupt_by_key: dict[str, CorruptObjectError] = {}
        self.on_death: Callable[[HostInfo], None] = lambda info: None
        self.on_gone: Callable[[HostInfo], None] = lambda info: None
        self.on_removed: Callable[[], None] = lambda: None
        self.on_change: Callable[[], None] = lambda: None

    @property
    def me(self) -> HostInfo:
        """This host as it was last described."""
        return self._me

    @property
    def beat_s(self) -> float:
        """Seconds between heartbeats; longer in a large fleet, for the store's sake."""
        return max(self._times.beat_s, len(self._seen_by_incarnation) / MAX_BEATS_PER_SECOND)

    @property
    def dead_after_s(self) -> float:
        """Seconds of silence that mean death: as many beats as settings say."""
        return self._times.dead_after_s * self.beat_s / self._times.beat_s

    def describe(self, me: HostInfo) -> None:
        """Changes what the next heartbeat says of this host."""
        self._me = me

    def alive(self) -> list[HostInfo]:
        """Returns the hosts that beat, this one included, ordered by incarnation."""
        others = (seen.info for seen in self._seen_by_incarnation.values())
        by_incarnation = {info.incarnation: info for info in others}
        by_incarnation[self._me.incarnation] = self._me
        return [by_incarnation[incarnation] for incarnation in sorted(by_incarnation)]

    def serving(self) -> list[HostInfo]:
        """Returns the living hosts that are not leaving."""
        return [info for info in self.alive() if info.state is HostState.SERVING]

    def find(self, incarnation: str) -> HostInfo | None:
        """Returns a living host, or None."""
        if incarnation == self._me.incarnation:
            return self._me
        seen = self._seen_by_incarnation.get(incarnation)
        return None if seen is None else seen.info

    async def run(self) -> None:
        """Beats and looks around until it is cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(self.beat_s)

    async def step(self) -> None:
        """Writes one heartbeat and reads all others once."""
        try:
            await self._write()
            listing = await list_all(self._store, f"{self._prefix}/")
        except StoreError as error:
            logger.info("membership waits for the store: %s", error)
            # Silence during an outage proves nothing, so the time is not counted.
            self._last_poll = None
            return
        self._take(listing.objects)

    async def leave(self) -> None:
        """Removes this host's heartbeat object; used at the end of a planned stop."""
        if self._version is None:
            return
        try:
            await self._store.delete(self._key(self._me.incarnation), self._version)
        except StoreError as error:
            logger.info("the heartbeat object stays until it is swept: %s", error)

    async def forget(self, incarnation: str) -> None:
        """Removes a dead host's heartbeat object, once its journal is sealed."""
        key = self._key(incarnation)
        try:
            stored = await self._store.get(key)
            if stored is not None:
                await self._store.delete(key, stored.version)
        except StoreError as error:
            logger.info("heartbeat object %s is left for a later sweep: %s", key, error)

    def _key(self, incarnation: str) -> str:
        return f"{self._prefix}/{incarnation}"

    async def _write(self) -> None:
        self._beat += 1
        value = encode(_to_wire(self._me, self._beat))
        key = self._key(self._me.incarnation)
        try:
            if self._version is None:
                self._version = (await self._store.create(key, value)).version
            else:
                self._version = (await self._store.update(key, value, self._version)).version
        except (AlreadyExistsError, VersionConflictError):
            # An earlier write took effect although its answer was lost.
            stored = await self._store.get(key)
            if stored is None:
                # Somebody held this host dead and settled its work.
                self.on_removed()
            self._version = None if stored is None else stored.version

    def _take(self, objects: tuple[StoredObject, ...]) -> None:
        now = asyncio.get_running_loop().time()
        elapsed = 0.0 if self._last_poll is None else now - self._last_poll
        # A process that was paused must not blame the others for the time it slept.
        elapsed = min(elapsed, 2 * self.beat_s)
        self._last_poll = now
        before = [info.incarnation for info in self.alive()]
        found = {
            info.incarnation: (info, stored.version)
            for stored in objects
            if (info := self._read(stored)) is not None
        }
        for stored in objects:
            # What stands there and can't be read is silence, not an object that was removed.
            seen = self._seen_by_incarnation.get(stored.key.removeprefix(f"{self._prefix}/"))
            if seen is not None:
                found.setdefault(seen.info.incarnation, (seen.info, seen.version))
        self._count_silence(found, elapsed)
        if [info.incarnation for info in self.alive()] != before:
            self.on_change()

    def _read(self, stored: StoredObject) -> HostInfo | None:
        try:
            info = _from_wire(decode(HostStatus(), stored.value, stored.key), stored.key)
        except CorruptObjectError as error:
            if stored.key not in self.corrupt_by_key:
                logger.error("%s", error)
            self.corrupt_by_key[stored.key] = error
            return None
        self.corrupt_by_key.pop(stored.key, None)
        return info

    def _count_silence(self, found: dict[str, tuple[HostInfo, int]], elapsed: float) -> None:
        gone = self._seen_by_incarnation.keys() - found.keys()
        for incarnation in sorted(gone):
            # Its object was removed: a planned stop, or a death that others settled.
            self.on_gone(self._seen_by_incarnation.pop(incarnation).info)
        for incarnation, (info, version) in found.items():
            if incarnation == self._me.incarnation:
                continue
            seen = self._seen_by_incarnation.get(incarnation)
            if seen is None and incarnation in self._dead_by_incarnation:
                self._revive_if_beating(incarnation, info, version)
                continue
            if seen is None or seen.version != version:
                self._seen_by_incarnation[incarnation] = _Seen(info, version, 0.0)
                continue
            seen.silent_s += elapsed
            if seen.silent_s >= self.dead_after_s:
                self._declare_dead(seen.info, version)

    def _declare_dead(self, info: HostInfo, version: int) -> None:
        logger.warning("host %s (%s) is silent and held dead", info.host, info.incarnation)
        del self._seen_by_incarnation[info.incarnation]
        self._dead_by_incarnation[info.incarnation] = info
        self._dead_version[info.incarnation] = version
        self.on_death(info)

    def _revive_if_beating(self, incarnation: str, info: HostInfo, version: int) -> None:
        if self._dead_version.get(incarnation) == version:
            return
        logger.warning("host %s beats again after it was held dead", info.host)
        del self._dead_by_incarnation[incarnation]
        self._seen_by_incarnation[incarnation] = _Seen(info, version, 0.0)

    def dead(self) -> list[HostInfo]:
        """Returns the hosts held dead whose objects are still there or were just removed."""
        return list(self._dead_by_incarnation.values())


def _to_wire(info: HostInfo, beat: int) -> HostStatus:
    return HostStatus(
        FORMAT,
        info.incarnation,
        info.host,
        info.hall,
        info.peer_address,
        info.public_address,
        info.state.value,
        beat,
        info.applied_revision,
        info.load,
    )


def _from_wire(status: HostStatus, key: str) -> HostInfo:
    try:
        state = HostState(status.state)
    except ValueError as error:
        raise CorruptObjectError(key, str(error)) from error
    return HostInfo(
        status.incarnation,
        status.host,
        status.hall,
        status.peer_address,
        status.public_address,
        state,
        status.applied_revision,
        status.load,
    )
