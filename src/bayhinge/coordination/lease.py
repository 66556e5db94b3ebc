"""A lease with a fencing token, for duties that only one host should have.

The holder relies on its lease for less time than others wait before they take it over,
each measured on its own clock. A paused holder may still act on an expired lease; the
fencing token sent with each command protects endpoints that check it.
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
"""Fraction of the duration for which the holder relies on its lease; the rest is a margin."""


class LeaseRole(StrEnum):
    """Who holds the lease: this host or another one."""

    HELD = "held"
    OTHER = "other"


@attrs.frozen
class LeaseView:
    """The lease as this host last observed it."""

    role: LeaseRole
    holder: str
    fencing: int


@attrs.define
class _ObservedLease:
    """Another host's lease.

    Attributes:
        renewal: its renewal count.
        since: when this count was first observed, on the event loop's clock.
    """

    holder: str
    renewal: int
    since: float


class Lease:
    """Acquires and renews one lease for one host."""

    def __init__(
        self,
        store: ObjectStore,
        key: str,
        holder: str,
        random_unit: Callable[[], float],
        duration_s: float = 6.0,
    ) -> None:
        """Prepares to acquire a lease; :meth:`step` acquires it.

        Args:
            store: where the lease is kept.
            key: the lease's key.
            holder: this host's incarnation.
            random_unit: returns random numbers in [0, 1), for nonces.
            duration_s: others may take the lease over after it was not renewed this long.
        """
        self._store = store
        self._key = key
        self._holder = holder
        self._random_unit = random_unit
        self._duration_s = duration_s
        self._trusted_until = float("-inf")
        self._fencing = 0
        self._observed_lease: _ObservedLease | None = None

    @property
    def fencing(self) -> int:
        """The fencing token to send with each command; grows with each change of holder."""
        return self._fencing

    def is_held(self) -> bool:
        """Returns whether this host may act on the lease, by its own clock."""
        return asyncio.get_running_loop().time() < self._trusted_until

    async def step(self) -> LeaseView:
        """Acquires, renews or observes the lease; call it several times per duration.

        Raises:
            StoreError: the store did not answer; the lease expires unless renewed.
        """
        # Measured from before the write, whose response may have been slow.
        started = asyncio.get_running_loop().time()
        stored = await self._store.get(self._key)
        if stored is None:
            return await self._write(LeaseState(FORMAT, "", 0, 0, 0, ""), None, started)
        state = decode(LeaseState(), stored.value, self._key)
        if state.holder in {self._holder, ""} or self._has_expired(state, started):
            return await self._write(state, stored.version, started)
        return LeaseView(LeaseRole.OTHER, state.holder, state.fencing)

    async def release(self) -> None:
        """Releases the lease, in a planned stop."""
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
            # Another host has taken it over, so there is nothing to release.
            return

    def _has_expired(self, state: LeaseState, now: float) -> bool:
        observed = self._observed_lease
        if observed is None or (observed.holder, observed.renewal) != (state.holder, state.renewal):
            self._observed_lease = _ObservedLease(state.holder, state.renewal, now)
            return False
        return now - observed.since > state.duration_ms / 1000

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
        self._observed_lease = None
        return LeaseView(LeaseRole.HELD, self._holder, fencing)
