"""A lease with a fencing number, for duties that only one host should hold.

The holder trusts its lease for less time than others wait before they take it,
each counting on its own clock. A paused holder can still be wrong; the fencing
number that goes with each order protects endpoints that check it.
"""

import asyncio
from collections.abc import Callable
from enum import StrEnum

import attrs

from bayhinge.coordination.codec import FORMAT, decode, encode
from bayhinge.coordination.errors import AlreadyExistsError, VersionConflictError
from bayhinge.coordination.store import ObjectStore
from bayhinge.coordination.wire.ttypes import LeaseState

TRUST_SHARE = 0.6
"""The holder trusts its lease for this part of the duration; the rest is margin."""


class LeaseRole(StrEnum):
    """What an attempt to hold the lease came to."""

    HELD = "held"
    OTHER = "other"


@attrs.frozen
class LeaseView:
    """The lease as this host last saw it."""

    role: LeaseRole
    holder: str
    fencing: int


@attrs.define
class _Watched:
    """Another's lease, and since when its renewal count has stood still."""

    holder: str
    renewal: int
    since: float


class Lease:
    """One host's attempt to hold one lease."""

    def __init__(
        self,
        store: ObjectStore,
        key: str,
        holder: str,
        random_unit: Callable[[], float],
        duration_s: float = 6.0,
    ) -> None:
        """Takes the store, the lease's key, this host's incarnation and the duration."""
        self._store = store
        self._key = key
        self._holder = holder
        self._random_unit = random_unit
        self._duration_s = duration_s
        self._trusted_until = float("-inf")
        self._fencing = 0
        self._watched: _Watched | None = None

    @property
    def fencing(self) -> int:
        """The number to send with each order; grows with each change of holder."""
        return self._fencing

    def is_held(self) -> bool:
        """True while this host may act on the lease, by its own clock."""
        return asyncio.get_running_loop().time() < self._trusted_until

    async def step(self) -> LeaseView:
        """Takes, renews or watches the lease; call it a few times a duration.

        Raises:
            StoreError: the store did not answer; the lease runs out by itself.
        """
        # Counted from before the write: its answer may have taken long to come back.
        started = asyncio.get_running_loop().time()
        stored = await self._store.get(self._key)
        if stored is None:
            return await self._write(LeaseState(FORMAT, "", 0, 0, 0, ""), None, started)
        state = decode(LeaseState(), stored.value, self._key)
        if state.holder in {self._holder, ""} or self._has_lapsed(state, started):
            return await self._write(state, stored.version, started)
        return LeaseView(LeaseRole.OTHER, state.holder, state.fencing)

    async def give_up(self) -> None:
        """Frees the lease, as in a planned stop."""
        self._trusted_until = float("-inf")
        stored = await self._store.get(self._key)
        if stored is None:
            return
        state = decode(LeaseState(), stored.value, self._key)
        if state.holder != self._holder:
            return
        state.holder = ""
        try:
            await self._store.update(self._key, encode(state), stored.version)
        except VersionConflictError:
            # Somebody took it over meanwhile, which is what giving up is for.
            return

    def _has_lapsed(self, state: LeaseState, now: float) -> bool:
        watched = self._watched
        if watched is None or (watched.holder, watched.renewal) != (state.holder, state.renewal):
            self._watched = _Watched(state.holder, state.renewal, now)
            return False
        return now - watched.since > state.duration_ms / 1000

    async def _write(self, state: LeaseState, version: int | None, started: float) -> LeaseView:
        previous = state.holder
        fencing = state.fencing if previous == self._holder else state.fencing + 1
        nonce = f"{self._random_unit():.17f}"
        duration_ms = int(self._duration_s * 1000)
        renewed = LeaseState(FORMAT, self._holder, fencing, state.renewal + 1, duration_ms, nonce)
        try:
            if version is None:
                await self._store.create(self._key, encode(renewed))
            else:
                await self._store.update(self._key, encode(renewed), version)
        except (AlreadyExistsError, VersionConflictError):
            self._trusted_until = float("-inf")
            return LeaseView(LeaseRole.OTHER, previous, state.fencing)
        self._trusted_until = started + self._duration_s * TRUST_SHARE
        self._fencing = fencing
        self._watched = None
        return LeaseView(LeaseRole.HELD, self._holder, fencing)
