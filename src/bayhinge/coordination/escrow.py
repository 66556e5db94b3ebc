"""Escrow: a budget that many hosts spend concurrently without exceeding it.

A budget's ledger object holds, for each incarnation, the units granted to it and the units
it has settled. Units spent plus outstanding grants never exceed the budget, because both
change only by conditional update. A host spends its grant without coordination.

Each entry holds the nonce of its incarnation's last write, so that a write whose response
was lost can be confirmed by reading it back. Units that may have been returned stay
unusable (``in_doubt``) until a later conditional write settles the outcome.
"""

import asyncio
import logging
from collections.abc import Callable

import attrs

from bayhinge.coordination.codec import FORMAT, decode, encode
from bayhinge.coordination.errors import (
    AlreadyExistsError,
    BudgetExceededError,
    StoreError,
    StoreRateLimitedError,
    StoreUnavailableError,
    VersionConflictError,
)
from bayhinge.coordination.pacing import Backoff
from bayhinge.coordination.store import ObjectStore
from bayhinge.coordination.wire.ttypes import EscrowGrant, Ledger

logger = logging.getLogger(__name__)

MAX_UPDATE_ATTEMPTS = 12
CONFLICT_DELAY_FACTOR = 0.2
"""Shortens the backoff after a version conflict: the competing write is done already."""
GRANT_DIVISOR = 8
"""A grant beyond the immediate need is at most the free units divided by this."""


@attrs.define
class Reservation:
    """Units reserved for one call, its worst case, until it is settled."""

    ledger: str
    units: int
    settled: bool = False


@attrs.define
class _LocalBalance:
    """This host's share of one ledger, in units.

    Attributes:
        granted: as last read from or written to the ledger object.
        settled: the part of ``spent`` that has been written to the ledger object.
        spent: used by settled reservations.
        in_doubt: being returned by a write that may or may not have taken effect.
    """

    granted: int = 0
    settled: int = 0
    spent: int = 0
    reserved: int = 0
    in_doubt: int = 0
    used_since_write_back: int = 0
    budget: int | None = None
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    @property
    def free(self) -> int:
        return self.granted - self.spent - self.reserved - self.in_doubt


@attrs.frozen
class LedgerView:
    """The totals of a ledger in the store, in units."""

    budget: int
    spent: int
    outstanding: int

    @property
    def free(self) -> int:
        """Units neither spent nor granted; negative after the budget was lowered."""
        return self.budget - self.spent - self.outstanding


LedgerEdit = Callable[[Ledger, EscrowGrant], bool]
"""Edits a ledger and this host's entry in it; returns False where no write is needed."""


class Escrow:
    """One incarnation's grants from any number of ledgers.

    Attributes:
        updates: conditional writes attempted.
    """

    def __init__(
        self,
        store: ObjectStore,
        prefix: str,
        incarnation: str,
        random_unit: Callable[[], float],
        grant_units: int = 20_000,
    ) -> None:
        """Holds no grants at first; :meth:`reserve` acquires them.

        Args:
            store: where the ledgers are kept.
            prefix: the prefix of the ledgers' keys.
            incarnation: this run of the process.
            random_unit: returns random numbers in [0, 1), for nonces and jitter.
            grant_units: the usual size of a grant.
        """
        self._store = store
        self._prefix = prefix
        self.incarnation = incarnation
        self._random_unit = random_unit
        self._grant_units = grant_units
        self._balances_by_ledger: dict[str, _LocalBalance] = {}
        self.updates = 0

    async def reserve(self, ledger: str, units: int, budget: int) -> Reservation:
        """Reserves units of this host's grant, which it enlarges first where needed.

        Raises:
            BudgetExceededError: the budget doesn't have that many units; none are reserved.
            StoreError: the grant is too small and the store did not answer.
        """
        balance = self._balances_by_ledger.setdefault(ledger, _LocalBalance())
        if balance.budget is not None and budget < balance.budget:
            async with balance.lock:
                await self._shrink_grant(ledger, balance, budget)
        balance.budget = budget
        if balance.free < units:
            async with balance.lock:
                # Another call may have enlarged the grant while this one waited.
                if balance.free < units:
                    await self._grow_grant(ledger, balance, units, budget)
        if balance.free < units:
            raise BudgetExceededError(ledger, units, max(0, balance.free))
        balance.reserved += units
        return Reservation(ledger, units)

    async def extend(self, reservation: Reservation, units: int, budget: int) -> None:
        """Reserves more units for a call that costs more than estimated.

        Raises:
            BudgetExceededError: the budget doesn't have that many units; the reservation is
                unchanged.
            StoreError: the grant is too small and the store did not answer.
        """
        more = await self.reserve(reservation.ledger, units, budget)
        more.settled = True
        reservation.units += more.units

    def settle(self, reservation: Reservation, used: int) -> None:
        """Ends a reservation with the units used; settling it again has no effect."""
        if reservation.settled:
            return
        reservation.settled = True
        balance = self._balances_by_ledger[reservation.ledger]
        balance.reserved -= reservation.units
        balance.spent += min(used, reservation.units)
        balance.used_since_write_back += used

    async def write_back(self, keep_units: int | None = None) -> None:
        """Writes the spent units to the ledgers and returns unused grants.

        Args:
            keep_units: how many free units of each ledger to keep; by default the usual
                grant where the ledger was used since the last write, else none.
        """
        for ledger in sorted(self._balances_by_ledger):
            balance = self._balances_by_ledger[ledger]
            async with balance.lock:
                usual = self._grant_units if balance.used_since_write_back else 0
                balance.used_since_write_back = 0
                await self._return(ledger, balance, usual if keep_units is None else keep_units)

    async def view(self, ledger: str) -> LedgerView | None:
        """Reads a ledger; returns None where nothing was ever granted from it."""
        stored = await self._store.get(self._key(ledger))
        if stored is None:
            return None
        return _view(decode(Ledger(), stored.value, stored.key))

    async def settle_dead(self, ledger: str, incarnation: str) -> int:
        """Closes a dead incarnation's grant and returns the units counted as spent.

        The whole grant counts as spent, since its last calls may have reached an engine.
        """
        lost = 0

        def close(state: Ledger, own_entry: EscrowGrant) -> bool:
            nonlocal lost
            for grant in state.grants:
                if grant.incarnation == incarnation and not grant.closed:
                    lost = grant.granted - grant.settled
                    state.spent += lost
                    grant.settled = grant.granted
                    grant.closed = True
                    return True
            return False

        await self._update(ledger, None, close)
        return lost

    def held(self, ledger: str) -> int:
        """Returns the granted units of a ledger that this host has not spent."""
        balance = self._balances_by_ledger.get(ledger)
        return 0 if balance is None else balance.granted - balance.spent

    def ledgers(self) -> list[str]:
        """Returns the ledgers that this host has reserved units of."""
        return sorted(self._balances_by_ledger)

    async def _grow_grant(
        self, ledger: str, balance: _LocalBalance, units: int, budget: int
    ) -> None:
        short = units - balance.free

        def grow(state: Ledger, own_entry: EscrowGrant) -> bool:
            state.budget = budget
            free = _view(state).free
            if free < short:
                return False
            share = max(short, min(self._grant_units, free // GRANT_DIVISOR))
            own_entry.granted += share
            return True

        await self._update(ledger, balance, grow)

    async def _shrink_grant(self, ledger: str, balance: _LocalBalance, budget: int) -> None:
        """Returns this host's free units as far as the grants exceed a lowered budget."""
        free = max(0, balance.free)
        balance.in_doubt += free

        def shrink(state: Ledger, own_entry: EscrowGrant) -> bool:
            state.budget = budget
            excess = max(0, -_view(state).free)
            own_entry.granted -= min(free, excess)
            return True

        await self._update(ledger, balance, shrink)

    async def _return(self, ledger: str, balance: _LocalBalance, keep: int) -> None:
        surplus = max(0, balance.free - keep)
        if balance.spent == balance.settled and not surplus and not balance.in_doubt:
            return
        # Set aside before the write, so that a call that starts meanwhile can't use them.
        balance.in_doubt += surplus

        def give_back(state: Ledger, own_entry: EscrowGrant) -> bool:
            state.spent += balance.spent - own_entry.settled
            # Settled units no longer count as outstanding, only in `spent`.
            own_entry.settled = balance.spent
            own_entry.granted -= surplus
            return True

        await self._update(ledger, balance, give_back)

    async def _update(self, ledger: str, balance: _LocalBalance | None, edit: LedgerEdit) -> None:
        """Applies an edit by conditional update; retries until the outcome is known.

        Raises:
            StoreError: every attempt failed; the outcome is unknown.
        """
        backoff = Backoff(self._random_unit)
        last_error: StoreError | None = None
        nonces: set[str] = set()
        for _ in range(MAX_UPDATE_ATTEMPTS):
            try:
                own_entry = await self._update_once(ledger, balance, edit, nonces)
            except (AlreadyExistsError, VersionConflictError):
                await asyncio.sleep(backoff.next_delay() * CONFLICT_DELAY_FACTOR)
            except StoreRateLimitedError as error:
                last_error = error
                await asyncio.sleep(error.retry_after_s)
            except StoreUnavailableError as error:
                last_error = error
                await asyncio.sleep(backoff.next_delay())
            else:
                self._apply_entry(balance, own_entry)
                return
        raise last_error or StoreUnavailableError(
            f"update ledger {ledger}", "too many version conflicts"
        )

    async def _update_once(
        self, ledger: str, balance: _LocalBalance | None, edit: LedgerEdit, nonces: set[str]
    ) -> EscrowGrant:
        key = self._key(ledger)
        stored = await self._store.get(key)
        state = _empty() if stored is None else decode(Ledger(), stored.value, key)
        own_entry = self._own_entry(state)
        if own_entry.nonce in nonces:
            return own_entry
        # A write in doubt may still arrive; only another write at the same version
        # prevents that.
        must_write = balance is not None and balance.in_doubt > 0
        if not edit(state, own_entry) and not must_write:
            return own_entry
        own_entry.nonce = f"{self.incarnation}-{self._random_unit():.17f}"
        nonces.add(own_entry.nonce)
        self.updates += 1
        if stored is None:
            await self._store.create(key, encode(state))
        else:
            await self._store.update(key, encode(state), stored.version)
        return own_entry

    def _own_entry(self, state: Ledger) -> EscrowGrant:
        for grant in state.grants:
            if grant.incarnation == self.incarnation:
                return grant
        own_entry = EscrowGrant(self.incarnation, 0, 0, False, "")
        state.grants.append(own_entry)
        return own_entry

    def _apply_entry(self, balance: _LocalBalance | None, own_entry: EscrowGrant) -> None:
        if balance is not None:
            balance.granted = own_entry.granted
            balance.settled = own_entry.settled
            balance.in_doubt = 0

    def _key(self, ledger: str) -> str:
        return f"{self._prefix}/{ledger}"


def _empty() -> Ledger:
    return Ledger(FORMAT, 0, 0, [])


def _view(state: Ledger) -> LedgerView:
    outstanding = sum(grant.granted - grant.settled for grant in state.grants)
    return LedgerView(state.budget, state.spent, outstanding)
