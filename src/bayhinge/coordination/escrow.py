"""Escrow: a budget that many hosts spend at once without ever going over.

The ledger object of a budget holds, for each incarnation, how many units it was
ever granted and how many of those it has settled. The sum of the units spent and
of the grants outstanding never passes the budget, because both change only by
conditional update. A host spends its grant without asking anybody.

Each entry bears the nonce of its incarnation's last write, so a write whose answer
was lost is settled by reading it back. Units whose return is in doubt stay unusable
until a later conditional write has settled the doubt.
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
RACE_DELAY_SHARE = 0.2
"""A lost race waits less than an outage: the other write is done already."""
GRANT_SHARE = 8
"""A grant asks for at most this part of what is free, so that one host can't take all."""


@attrs.define
class Reservation:
    """Units set aside for one call: its worst case, until it is settled."""

    ledger: str
    units: int
    settled: bool = False


@attrs.define
class _Account:
    """This host's side of one ledger.

    ``granted`` and ``settled`` are what the ledger object says of us; ``spent`` is
    what was really used, of which ``settled`` has been written back. ``in_doubt``
    is a return under way.
    """

    granted: int = 0
    settled: int = 0
    spent: int = 0
    reserved: int = 0
    in_doubt: int = 0
    recent: int = 0
    budget: int | None = None
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    @property
    def free(self) -> int:
        return self.granted - self.spent - self.reserved - self.in_doubt


@attrs.frozen
class LedgerView:
    """A ledger as the store holds it, in units."""

    budget: int
    spent: int
    outstanding: int

    @property
    def free(self) -> int:
        """Units that nobody holds."""
        return self.budget - self.spent - self.outstanding


Change = Callable[[Ledger, EscrowGrant], bool]
"""Edits a ledger and our entry in it; returns False where nothing is to be written."""


class Escrow:
    """One incarnation's grants from any number of ledgers."""

    def __init__(
        self,
        store: ObjectStore,
        prefix: str,
        incarnation: str,
        random_unit: Callable[[], float],
        grant_units: int = 20_000,
    ) -> None:
        """Takes the store, the ledgers' prefix, this incarnation, and the usual grant."""
        self._store = store
        self._prefix = prefix
        self.incarnation = incarnation
        self._random_unit = random_unit
        self._grant_units = grant_units
        self._accounts_by_ledger: dict[str, _Account] = {}
        self.updates = 0

    async def reserve(self, ledger: str, units: int, budget: int) -> Reservation:
        """Sets units aside from this host's grant, and asks for more where it is short.

        Raises:
            BudgetExceededError: the budget has no such amount free; nothing is held.
            StoreError: the grant is short and the store did not answer.
        """
        account = self._accounts_by_ledger.setdefault(ledger, _Account())
        if account.budget is not None and budget < account.budget:
            async with account.lock:
                await self._follow_cut(ledger, account, budget)
        account.budget = budget
        if account.free < units:
            async with account.lock:
                # Another call may have fetched enough while this one waited.
                if account.free < units:
                    await self._fetch(ledger, account, units, budget)
        if account.free < units:
            raise BudgetExceededError(ledger, units, max(0, account.free))
        account.reserved += units
        return Reservation(ledger, units)

    async def extend(self, reservation: Reservation, units: int, budget: int) -> None:
        """Sets more units aside for a call that costs more than was foreseen.

        Raises:
            BudgetExceededError: the budget has no such amount free; the reservation stays.
            StoreError: the grant is short and the store did not answer.
        """
        more = await self.reserve(reservation.ledger, units, budget)
        more.settled = True
        reservation.units += more.units

    def settle(self, reservation: Reservation, used: int) -> None:
        """Ends a reservation with what was really used; a second call does nothing."""
        if reservation.settled:
            return
        reservation.settled = True
        account = self._accounts_by_ledger[reservation.ledger]
        account.reserved -= reservation.units
        account.spent += min(used, reservation.units)
        account.recent += used

    async def write_back(self, keep_units: int | None = None) -> None:
        """Writes what was spent to the ledgers and returns grants that lie idle.

        Args:
            keep_units: how many free units a ledger may keep; by default the
                usual grant where it was used since the last time, else none.
        """
        for ledger in sorted(self._accounts_by_ledger):
            account = self._accounts_by_ledger[ledger]
            async with account.lock:
                usual = self._grant_units if account.recent else 0
                account.recent = 0
                await self._return(ledger, account, usual if keep_units is None else keep_units)

    async def view(self, ledger: str) -> LedgerView | None:
        """Reads a ledger, or returns None where nothing was ever granted from it."""
        stored = await self._store.get(self._key(ledger))
        if stored is None:
            return None
        return _view(decode(Ledger(), stored.value, stored.key))

    async def settle_dead(self, ledger: str, incarnation: str) -> int:
        """Closes a dead incarnation's grant and returns the units counted as spent.

        Nothing proves what it still had free to be unspent: its last calls may have
        reached an engine. So all of it counts as spent.
        """
        lost = 0

        def close(state: Ledger, mine: EscrowGrant) -> bool:
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
        """Returns the units this host holds of a ledger and has not spent."""
        account = self._accounts_by_ledger.get(ledger)
        return 0 if account is None else account.granted - account.spent

    def ledgers(self) -> list[str]:
        """Returns the ledgers that this host has had to do with."""
        return sorted(self._accounts_by_ledger)

    async def _fetch(self, ledger: str, account: _Account, units: int, budget: int) -> None:
        short = units - account.free

        def extend(state: Ledger, mine: EscrowGrant) -> bool:
            state.budget = budget
            free = _view(state).free
            if free < short:
                return False
            share = max(short, min(self._grant_units, free // GRANT_SHARE))
            mine.granted += share
            return True

        await self._update(ledger, account, extend)

    async def _follow_cut(self, ledger: str, account: _Account, budget: int) -> None:
        """Gives back what this host holds above a budget that was lowered."""
        free = max(0, account.free)
        account.in_doubt += free

        def shrink(state: Ledger, mine: EscrowGrant) -> bool:
            state.budget = budget
            excess = max(0, -_view(state).free)
            mine.granted -= min(free, excess)
            return True

        await self._update(ledger, account, shrink)

    async def _return(self, ledger: str, account: _Account, keep: int) -> None:
        surplus = max(0, account.free - keep)
        if account.spent == account.settled and not surplus and not account.in_doubt:
            return
        # Set aside first: a call that starts during the write must not use it.
        account.in_doubt += surplus

        def give_back(state: Ledger, mine: EscrowGrant) -> bool:
            state.spent += account.spent - mine.settled
            # Settled units leave the grant, and are counted once in `spent`.
            mine.settled = account.spent
            mine.granted -= surplus
            return True

        await self._update(ledger, account, give_back)

    async def _update(self, ledger: str, account: _Account | None, change: Change) -> None:
        """Applies a change by conditional update until it is known to stand or not."""
        backoff = Backoff(self._random_unit)
        last_error: StoreError | None = None
        nonces: set[str] = set()
        for _ in range(MAX_UPDATE_ATTEMPTS):
            try:
                mine = await self._update_once(ledger, account, change, nonces)
            except (AlreadyExistsError, VersionConflictError):
                await asyncio.sleep(backoff.next_delay() * RACE_DELAY_SHARE)
            except StoreRateLimitedError as error:
                last_error = error
                await asyncio.sleep(error.retry_after_s)
            except StoreUnavailableError as error:
                last_error = error
                await asyncio.sleep(backoff.next_delay())
            else:
                self._adopt(account, mine)
                return
        raise last_error or StoreUnavailableError(f"update ledger {ledger}", "too many races")

    async def _update_once(
        self, ledger: str, account: _Account | None, change: Change, nonces: set[str]
    ) -> EscrowGrant:
        key = self._key(ledger)
        stored = await self._store.get(key)
        state = _empty() if stored is None else decode(Ledger(), stored.value, key)
        mine = self._own_entry(state)
        if mine.nonce in nonces:
            return mine
        # A return in doubt may still be on its way; only a write at the same
        # version makes sure that it never arrives.
        must_write = account is not None and account.in_doubt > 0
        if not change(state, mine) and not must_write:
            return mine
        mine.nonce = f"{self.incarnation}-{self._random_unit():.17f}"
        nonces.add(mine.nonce)
        self.updates += 1
        if stored is None:
            await self._store.create(key, encode(state))
        else:
            await self._store.update(key, encode(state), stored.version)
        return mine

    def _own_entry(self, state: Ledger) -> EscrowGrant:
        for grant in state.grants:
            if grant.incarnation == self.incarnation:
                return grant
        mine = EscrowGrant(self.incarnation, 0, 0, False, "")
        state.grants.append(mine)
        return mine

    def _adopt(self, account: _Account | None, mine: EscrowGrant) -> None:
        if account is not None:
            account.granted = mine.granted
            account.settled = mine.settled
            account.in_doubt = 0

    def _key(self, ledger: str) -> str:
        return f"{self._prefix}/{ledger}"


def _empty() -> Ledger:
    return Ledger(FORMAT, 0, 0, [])


def _view(state: Ledger) -> LedgerView:
    outstanding = sum(grant.granted - grant.settled for grant in state.grants)
    return LedgerView(state.budget, state.spent, outstanding)
