"""Takes over the programs of a host that died or stopped.

The seal at the end of a journal names its successors; each program's successor is
chosen among them by rendezvous hashing of its identifier. A successor rebuilds the state
from the sealed journal and writes it to its own journal before it serves the program.
"""

import asyncio
import logging
from collections.abc import Iterable

import attrs

from bayhinge._internal.models.events import Mechanism
from bayhinge._internal.models.ids import ProgramId
from bayhinge._internal.models.programs import ProgramState
from bayhinge._internal.models.refusals import (
    Figure,
    RefusalCode,
    RefusedError,
    SendRecord,
    not_run_refusal,
)
from bayhinge._internal.services.call_records import failure_record
from bayhinge._internal.services.owner_parts import OwnedProgram, OwnerParts
from bayhinge._internal.services.program_registry import ProgramRegistry
from bayhinge._internal.services.record_codec import (
    apply_finished,
    decode_record,
    encode_adopted,
    encode_finished,
    lost_from_wire,
    program_of,
    state_from_adopted,
    state_from_opened,
    unfinished_from_wire,
)
from bayhinge._internal.wire import ttypes as wire
from bayhinge.coordination.errors import CorruptObjectError, FencedError, StoreError
from bayhinge.coordination.journal_objects import JournalContents, RecordPosition, SealInfo
from bayhinge.coordination.journal_seal import read_tail, seal_journal
from bayhinge.coordination.membership import HostInfo, HostState, Membership
from bayhinge.coordination.rendezvous import choose, rank
from bayhinge.coordination.store import ObjectStore

logger = logging.getLogger(__name__)

MAX_SUCCESSORS = 8
"""Successors of one journal; each of them reads the whole journal for its share."""
SEAL_STAGGER_S = 0.5
"""Survivors seal one after another in rank order, so that usually only the first has to."""
RETRY_S = 1.0
MAX_SEALS_FOLLOWED = 64
"""Seals followed in one look-up."""


@attrs.frozen
class OwnerLocation:
    """The owner of a program; ``path`` lists the sealed journals followed to find it."""

    incarnation: str
    path: tuple[str, ...]


class OwnerLocator:
    """Finds a program's owner from its identifier, following seals."""

    def __init__(self, store: ObjectStore, prefix: str, membership: Membership) -> None:
        self._store = store
        self._prefix = prefix
        self._membership = membership
        # A seal never changes, so it is kept for as long as this process lives.
        self._seal_by_incarnation: dict[str, SealInfo] = {}

    async def locate(self, program: ProgramId, suspect: str = "") -> OwnerLocation | None:
        """Returns the owner, or None while a dead host's journal is not sealed yet.

        Args:
            program: the program whose owner is looked up.
            suspect: an incarnation that did not answer; its seal is looked up even
                while its heartbeat is valid.

        Raises:
            StoreError: a seal must be read and the store did not answer.
            RefusedError: the program's journal never existed.
        """
        incarnation = program.incarnation
        path: list[str] = []
        for _ in range(MAX_SEALS_FOLLOWED):
            if incarnation not in self._seal_by_incarnation:
                info = self._membership.find(incarnation)
                # A fenced host still sends heartbeats but owns nothing. Returning it would make
                # calls loop between hosts that know different seals.
                alive = info is not None and info.state is not HostState.FENCED
                if alive and incarnation != suspect:
                    return OwnerLocation(incarnation, tuple(path))
                if not await self._read_seal(incarnation):
                    return OwnerLocation(incarnation, tuple(path)) if alive else None
            path.append(incarnation)
            successors = self._seal_by_incarnation[incarnation].successors
            # Two hosts that leave at the same time may name each other as successors;
            # a journal already on the path is sealed, so its host owns nothing.
            unvisited = [name for name in successors if name not in path]
            chosen = choose(str(program), unvisited)
            if chosen is None:
                return None
            incarnation = chosen
        return None

    def record_seal(self, incarnation: str, seal: SealInfo) -> None:
        """Caches a seal that this host has written or read."""
        self._seal_by_incarnation[incarnation] = seal

    async def _read_seal(self, incarnation: str) -> bool:
        tail = await read_tail(self._store, self._prefix, incarnation)
        if tail.seal is not None:
            self._seal_by_incarnation[incarnation] = tail.seal
        elif not tail.next_sequence and self._membership.find(incarnation) is None:
            # The host is not a member and its journal is empty: it never opened a program.
            why = f"no journal '{incarnation}' exists, so it holds no program"
            raise RefusedError(not_run_refusal(RefusalCode.UNKNOWN_PROGRAM, why))
        return tail.seal is not None


class Adopter:
    """Seals the journals of dead hosts, and adopts this host's share of them."""

    def __init__(
        self,
        parts: OwnerParts,
        registry: ProgramRegistry,
        store: ObjectStore,
        prefix: str,
        membership: Membership,
        locator: OwnerLocator,
    ) -> None:
        self._parts = parts
        self._registry = registry
        self._store = store
        self._prefix = prefix
        self._membership = membership
        self._locator = locator
        self._adopted: set[str] = set()
        self._locks_by_incarnation: dict[str, asyncio.Lock] = {}

    async def take_over(self, dead: HostInfo) -> None:
        """Seals the journal of a dead host and adopts this host's share of its programs."""
        me = self._membership.me.incarnation
        survivors = [info.incarnation for info in self._membership.serving()]
        seal_order = (
            rank(dead.incarnation, survivors).index(me) if me in survivors else len(survivors)
        )
        await asyncio.sleep(seal_order * SEAL_STAGGER_S)
        while True:
            try:
                seal = await self._seal(dead)
                if me in seal.successors:
                    await self.adopt_share(dead.incarnation, seal)
                await self._membership.forget(dead.incarnation)
                return
            except StoreError as error:
                logger.info(
                    "takeover of %s is delayed by the store, retrying: %s", dead.incarnation, error
                )
                await asyncio.sleep(RETRY_S)
            except FencedError:
                # This host was declared dead meanwhile; its successors take over both.
                return
            except CorruptObjectError as error:
                logger.error("the journal of %s is corrupt: %s", dead.incarnation, error)
                return

    async def _seal(self, dead: HostInfo) -> SealInfo:
        serving = [info.incarnation for info in self._membership.serving()]
        candidates = [incarnation for incarnation in serving if incarnation != dead.incarnation]
        successors = rank(dead.incarnation, candidates)[:MAX_SUCCESSORS]
        me = self._membership.me.incarnation
        if me not in successors:
            # Only the sealing host is certain to be alive.
            successors.append(me)
        seal = await seal_journal(
            self._store, self._prefix, dead.incarnation, successors, me, "its heartbeat stopped"
        )
        self._locator.record_seal(dead.incarnation, seal)
        if seal.sealed_by == me:
            self._parts.timeline.record(
                Mechanism.MEMBERSHIP,
                "journal sealed",
                f"host {dead.host} is gone; its programs go to {len(successors)} host(s)",
                Figure("successors", len(successors)),
            )
        return seal

    async def adopt_share(self, incarnation: str, seal: SealInfo) -> None:
        """Adopts every program of a sealed journal whose successor is this host."""
        me = self._membership.me.incarnation
        lock = self._locks_by_incarnation.setdefault(incarnation, asyncio.Lock())
        async with lock:
            if incarnation in self._adopted:
                return
            contents = await self._parts.reader.read_sealed(incarnation)
            states = replay_journal(contents, _now())
            own_share = [
                state
                for state in states.values()
                if choose(str(state.program_id), seal.successors) == me
            ]
            await self._adopt(incarnation, own_share)
            self._adopted.add(incarnation)
        await self._settle_grants(incarnation, seal, states.values())

    async def adopt_program(self, program: ProgramId, path: tuple[str, ...]) -> OwnedProgram | None:
        """Adopts a requested program from the last journal on the path that holds it.

        Raises:
            StoreError: the store did not answer.
            CorruptObjectError: a journal is damaged.
        """
        for incarnation in reversed(path):
            lock = self._locks_by_incarnation.setdefault(incarnation, asyncio.Lock())
            async with lock:
                found = self._registry.find(str(program))
                if found is not None:
                    return found
                states = replay_journal(await self._parts.reader.read_sealed(incarnation), _now())
                state = states.get(str(program))
                if state is not None:
                    await self._adopt(incarnation, [state])
                    return self._registry.find(str(program))
        return None

    async def adopt_handed_over(self, state: ProgramState) -> None:
        """Adopts a program that its owner hands over in a planned stop."""
        if self._registry.find(str(state.program_id)) is None:
            await self._adopt(state.program_id.incarnation, [state])

    async def _adopt(self, incarnation: str, states: list[ProgramState]) -> None:
        wanted = [state for state in states if self._registry.find(str(state.program_id)) is None]
        # Appended together so that they share journal objects; order within a program is kept.
        durable = [self._parts.journal.append(encode_adopted(state)) for state in wanted]
        for state in wanted:
            if state.unfinished is not None:
                await self._close_unfinished(state)
        if durable:
            await asyncio.gather(*durable)
        for state in wanted:
            self._registry.add(OwnedProgram(state))
        if wanted:
            self._parts.timeline.record(
                Mechanism.OWNER,
                "adopted",
                f"the journal of {incarnation} is sealed and names this host",
                Figure("programs", len(wanted)),
            )

    async def _close_unfinished(self, state: ProgramState) -> None:
        """Records the outcome of a started call as unknown, so that it is not run again."""
        started = state.unfinished
        assert started is not None
        why = (
            f"call {started.index} was sent to {started.endpoint}, and its owner died before the "
            "outcome was recorded; the call may not be repeated"
        )
        refusal = SendRecord(started_before=True).refusal(RefusalCode.OUTCOME_UNKNOWN, why)
        finished = failure_record(state, started, refusal)
        position = await self._parts.journal.append(encode_finished(finished))
        apply_finished(state, finished, position)
        self._parts.timeline.record(
            Mechanism.OWNER,
            "outcome unknown",
            why,
            program=str(state.program_id),
            account=state.account,
            endpoint=started.endpoint,
            index=started.index,
        )

    async def _settle_grants(
        self, incarnation: str, seal: SealInfo, states: Iterable[ProgramState]
    ) -> None:
        """Closes a dead host's budget grants, each account's at one successor."""
        me = self._membership.me.incarnation
        for account in sorted({state.account for state in states}):
            if choose(account, seal.successors) != me:
                continue
            lost = await self._parts.escrow.settle_dead(account, incarnation)
            if lost:
                self._parts.timeline.record(
                    Mechanism.BUDGET,
                    "grant written off",
                    f"the part of its grant that {incarnation} left unspent is unknown",
                    Figure("tokens", lost),
                    account=account,
                )


def replay_journal(contents: JournalContents, now_s: float) -> dict[str, ProgramState]:
    """Rebuilds the state of every program in a journal, without message bytes.

    ``now_s`` is on this host's monotonic clock.

    Raises:
        CorruptObjectError: a record can't be decoded or is out of order.
    """
    states: dict[str, ProgramState] = {}
    for record in contents.records:
        body = decode_record(record)
        program = program_of(body)
        if body.opened is not None:
            states[program] = state_from_opened(body.opened)
            continue
        if body.adopted is not None:
            states[program] = state_from_adopted(body.adopted, now_s)
            continue
        state = states.get(program)
        if state is None:
            why = f"program {program} has a record before it was opened"
            raise CorruptObjectError(str(record.position), why)
        _apply(state, body, record.position, now_s)
    return states


def _apply(state: ProgramState, body: wire.Record, position: RecordPosition, now_s: float) -> None:
    if body.started is not None:
        state.unfinished = unfinished_from_wire(body.started)
    elif body.withdrawn is not None:
        state.unfinished = None
    elif body.lost is not None:
        state.lost_endpoints.append(lost_from_wire(body.lost, now_s))
    elif body.ended is not None:
        state.ended = body.ended.reason
    elif body.finished is not None:
        if body.finished.index != state.next_index:
            why = f"call {body.finished.index} is out of order after call {state.next_index - 1}"
            raise CorruptObjectError(str(position), why)
        apply_finished(state, body.finished, position)


def _now() -> float:
    return asyncio.get_running_loop().time()
