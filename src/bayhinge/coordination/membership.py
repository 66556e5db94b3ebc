"""Membership: failure detection by heartbeat objects in the store.

Each host rewrites one small object every few seconds and lists those of all others.
Silence is measured on the host's own clock, and only while the store answers, so that a
store outage makes no host look dead. A wrong view costs time, never correctness.
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


MAX_HEARTBEATS_PER_SECOND = 60.0
"""Maximum heartbeats of all hosts; in larger fleets each host sends fewer."""


class HostState(StrEnum):
    """The state that a host reports of itself.

    Attributes:
        SERVING: owns programs and accepts new ones.
        LEAVING: a planned stop is in progress.
        FENCED: its journal was taken over; it owns no programs, and forwards calls.
    """

    SERVING = "serving"
    LEAVING = "leaving"
    FENCED = "fenced"


@attrs.frozen
class HostInfo:
    """A host as described by its heartbeat object.

    Attributes:
        incarnation: identifier of this run of the host's process.
        applied_revision: the newest configuration revision that the host has applied.
        load: the number of running calls.
    """

    incarnation: str
    host: str
    hall: str
    peer_address: str
    public_address: str
    state: HostState
    applied_revision: int
    load: float


@attrs.define
class _ObservedHost:
    info: HostInfo
    version: int
    silence_s: float


@attrs.frozen
class MembershipTimes:
    """Periods in seconds.

    Attributes:
        heartbeat_s: the time between heartbeats.
        dead_after_s: a host is declared dead after this long without a heartbeat, measured
            while the store answers. Use at least three times ``heartbeat_s``: one heartbeat may
            be lost, and the next one late.
    """

    heartbeat_s: float = 1.5
    dead_after_s: float = 5.0


class Membership:
    """Writes this host's heartbeat and detects the failure of others.

    Attributes:
        corrupt_by_key: heartbeat objects that can't be read.
        on_death: called with a host that was declared dead.
        on_departed: called with a host whose heartbeat object was removed.
        on_self_removed: called when this host's heartbeat object was removed by another host.
        on_change: called when the set of live hosts has changed.
    """

    def __init__(
        self, store: ObjectStore, prefix: str, me: HostInfo, times: MembershipTimes
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._me = me
        self._times = times
        self._heartbeat_count = 0
        self._version: int | None = None
        self._observed_by_incarnation: dict[str, _ObservedHost] = {}
        self._dead_by_incarnation: dict[str, HostInfo] = {}
        self._dead_version_by_incarnation: dict[str, int] = {}
        self._last_listed_at: float | None = None
        self.corrupt_by_key: dict[str, CorruptObjectError] = {}
        self.on_death: Callable[[HostInfo], None] = lambda info: None
        self.on_departed: Callable[[HostInfo], None] = lambda info: None
        self.on_self_removed: Callable[[], None] = lambda: None
        self.on_change: Callable[[], None] = lambda: None

    @property
    def me(self) -> HostInfo:
        """This host, as in its heartbeats."""
        return self._me

    @property
    def heartbeat_s(self) -> float:
        """Seconds between heartbeats; longer in a large fleet, to limit the store's load."""
        return max(
            self._times.heartbeat_s, len(self._observed_by_incarnation) / MAX_HEARTBEATS_PER_SECOND
        )

    @property
    def dead_after_s(self) -> float:
        """Seconds of silence until a host is declared dead, scaled with ``heartbeat_s``."""
        return self._times.dead_after_s * self.heartbeat_s / self._times.heartbeat_s

    def describe(self, me: HostInfo) -> None:
        """Changes the description of this host in its next heartbeats."""
        self._me = me

    def alive(self) -> list[HostInfo]:
        """Returns the live hosts, including this one, sorted by incarnation."""
        others = (seen.info for seen in self._observed_by_incarnation.values())
        by_incarnation = {info.incarnation: info for info in others}
        by_incarnation[self._me.incarnation] = self._me
        return [by_incarnation[incarnation] for incarnation in sorted(by_incarnation)]

    def serving(self) -> list[HostInfo]:
        """Returns the live hosts in the serving state."""
        return [info for info in self.alive() if info.state is HostState.SERVING]

    def find(self, incarnation: str) -> HostInfo | None:
        """Returns a live host, or None."""
        if incarnation == self._me.incarnation:
            return self._me
        seen = self._observed_by_incarnation.get(incarnation)
        return None if seen is None else seen.info

    async def run(self) -> None:
        """Sends heartbeats and reads those of others until it is cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(self.heartbeat_s)

    async def step(self) -> None:
        """Writes one heartbeat and reads all others once."""
        try:
            await self._write()
            listing = await list_all(self._store, f"{self._prefix}/")
        except StoreError as error:
            logger.info("cannot update membership, retrying: %s", error)
            # Time during a store outage does not count as silence.
            self._last_listed_at = None
            return
        self._apply_listing(listing.objects)

    async def leave(self) -> None:
        """Removes this host's heartbeat object, at the end of a planned stop."""
        if self._version is None:
            return
        try:
            await self._store.delete(self._key(self._me.incarnation), self._version)
        except StoreError as error:
            logger.info("cannot remove the heartbeat object, leaving it to others: %s", error)

    async def forget(self, incarnation: str) -> None:
        """Removes a dead host's heartbeat object, after its journal was sealed.

        Raises:
            StoreError: the store did not answer or rejected the call; to be retried.
        """
        key = self._key(incarnation)
        stored = await self._store.get(key)
        if stored is None:
            return
        try:
            await self._store.delete(key, stored.version)
        except VersionConflictError:
            logger.info("host %s sends heartbeats again, its object stays", incarnation)

    def _key(self, incarnation: str) -> str:
        return f"{self._prefix}/{incarnation}"

    async def _write(self) -> None:
        self._heartbeat_count += 1
        value = encode(_to_wire(self._me, self._heartbeat_count))
        key = self._key(self._me.incarnation)
        try:
            if self._version is None:
                self._version = (await self._store.create(key, value)).version
            else:
                self._version = (await self._store.update(key, value, self._version)).version
        except (AlreadyExistsError, VersionConflictError):
            # An earlier write took effect although its response was lost.
            stored = await self._store.get(key)
            if stored is None:
                # Another host declared this one dead and took over its programs.
                self.on_self_removed()
            self._version = None if stored is None else stored.version

    def _apply_listing(self, objects: tuple[StoredObject, ...]) -> None:
        now = asyncio.get_running_loop().time()
        elapsed = 0.0 if self._last_listed_at is None else now - self._last_listed_at
        # Time during which this process was paused is not silence of the others.
        elapsed = min(elapsed, 2 * self.heartbeat_s)
        self._last_listed_at = now
        before = [info.incarnation for info in self.alive()]
        found = {
            info.incarnation: (info, stored.version)
            for stored in objects
            if (info := self._read(stored)) is not None
        }
        for stored in objects:
            # An object that can't be read counts as silence, not as removed.
            seen = self._observed_by_incarnation.get(stored.key.removeprefix(f"{self._prefix}/"))
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
        removed = self._observed_by_incarnation.keys() - found.keys()
        for incarnation in sorted(removed):
            # The host stopped as planned, or another host has already taken over.
            self.on_departed(self._observed_by_incarnation.pop(incarnation).info)
        for incarnation, (info, version) in found.items():
            if incarnation == self._me.incarnation:
                continue
            seen = self._observed_by_incarnation.get(incarnation)
            if seen is None and incarnation in self._dead_by_incarnation:
                self._revive_if_heartbeat_changed(incarnation, info, version)
                continue
            if seen is None or seen.version != version:
                self._observed_by_incarnation[incarnation] = _ObservedHost(info, version, 0.0)
                continue
            seen.silence_s += elapsed
            if seen.silence_s >= self.dead_after_s:
                self._declare_dead(seen.info, version)

    def _declare_dead(self, info: HostInfo, version: int) -> None:
        logger.warning("no heartbeat from host %s (%s), marked dead", info.host, info.incarnation)
        del self._observed_by_incarnation[info.incarnation]
        self._dead_by_incarnation[info.incarnation] = info
        self._dead_version_by_incarnation[info.incarnation] = version
        self.on_death(info)

    def _revive_if_heartbeat_changed(self, incarnation: str, info: HostInfo, version: int) -> None:
        if self._dead_version_by_incarnation.get(incarnation) == version:
            return
        logger.warning("host %s sends heartbeats again after it was marked dead", info.host)
        del self._dead_by_incarnation[incarnation]
        self._observed_by_incarnation[incarnation] = _ObservedHost(info, version, 0.0)

    def dead(self) -> list[HostInfo]:
        """Returns the hosts that were declared dead and have not returned."""
        return list(self._dead_by_incarnation.values())


def _to_wire(info: HostInfo, heartbeat_count: int) -> HostStatus:
    return HostStatus(
        FORMAT,
        info.incarnation,
        info.host,
        info.hall,
        info.peer_address,
        info.public_address,
        info.state.value,
        heartbeat_count,
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
