"""A sealed journal: the durable, fenced log of one incarnation of a process.

Objects ``<prefix>/<incarnation>/<sequence>`` are made with create-if-absent, so
the chain has one writer at each place. A successor takes over by creating the
next place itself as a *seal*; the old writer's next append then conflicts, and
it learns that it is out, however long it was paused. No clock is involved.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Callable

import attrs

from bayhinge.coordination.codec import FORMAT, decode, encode
from bayhinge.coordination.errors import (
    AlreadyExistsError,
    FencedError,
    JournalFullError,
    StoreError,
    StoreRateLimitedError,
)
from bayhinge.coordination.journal_objects import RecordPosition, SealInfo, object_key
from bayhinge.coordination.journal_seal import find_seal, seal_journal
from bayhinge.coordination.pacing import Backoff, WritePacer
from bayhinge.coordination.store import MAX_VALUE_BYTES, ObjectStore
from bayhinge.coordination.wire.ttypes import Batch, Entry

logger = logging.getLogger(__name__)

BATCH_TARGET_BYTES = 700_000
"""A batch is closed at this size, so that it stays below the store's largest value."""
PART_BYTES = 600_000
"""A larger record is split into parts of this size."""

assert BATCH_TARGET_BYTES + PART_BYTES < 2 * MAX_VALUE_BYTES


@attrs.define
class JournalStatistics:
    """What a journal has done since it was opened."""

    records: int = 0
    batches: int = 0
    write_attempts: int = 0
    bytes_written: int = 0


def _split(data: bytes) -> list[Entry]:
    count = max(1, -(-len(data) // PART_BYTES))
    return [
        Entry(data[part * PART_BYTES : (part + 1) * PART_BYTES], part, count)
        for part in range(count)
    ]


@attrs.define
class _Waiting:
    """A record that is not durable yet."""

    entries: deque[Entry]
    size: int
    done: asyncio.Future[RecordPosition]
    position: RecordPosition | None = None


@attrs.frozen
class _BegunBatch:
    """A batch whose write may have taken effect already."""

    key: str
    value: bytes
    nonce: str
    finished: list[_Waiting]


class Journal:
    """The writer's side: appends with group commit, from one task."""

    def __init__(
        self,
        store: ObjectStore,
        prefix: str,
        incarnation: str,
        pacer: WritePacer,
        random_unit: Callable[[], float],
        spool_bytes: int = 16_000_000,
    ) -> None:
        """Opens a new journal; ``incarnation`` must never have been used before.

        Args:
            store: where the journal lives.
            prefix: the first part of its keys.
            incarnation: this start of the process.
            pacer: spaces the writes.
            random_unit: numbers in [0, 1) for nonces and jitter.
            spool_bytes: cap on the records that wait for the store.
        """
        self._store = store
        self._prefix = prefix
        self.incarnation = incarnation
        self._pacer = pacer
        self._random_unit = random_unit
        self._spool_bytes = spool_bytes
        self._waiting: deque[_Waiting] = deque()
        self._waiting_bytes = 0
        self._wake = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()
        self._next_sequence = 0
        self._fenced: FencedError | None = None
        self._store_ok = True
        self._announcement: list[str] | None = None
        self._begun: _BegunBatch | None = None
        self.on_fenced: Callable[[FencedError], None] = lambda error: None
        self.statistics = JournalStatistics()

    @property
    def fenced(self) -> bool:
        """True once another process has sealed this journal."""
        return self._fenced is not None

    @property
    def store_ok(self) -> bool:
        """False while writes go unanswered."""
        return self._store_ok

    @property
    def waiting_bytes(self) -> int:
        """Bytes of records that are not durable yet."""
        return self._waiting_bytes

    def append(self, data: bytes) -> asyncio.Future[RecordPosition]:
        """Queues a record and returns a future that ends once it is durable.

        Raises:
            FencedError: the journal was sealed.
            JournalFullError: the spool is full; nothing was queued.
        """
        if self._fenced is not None:
            raise self._fenced
        if self._waiting_bytes + len(data) > self._spool_bytes:
            raise JournalFullError(self._waiting_bytes, self._spool_bytes)
        done: asyncio.Future[RecordPosition] = asyncio.get_running_loop().create_future()
        # The future may end with FencedError after its caller has gone; without this
        # the loop would report an exception that was never retrieved.
        done.add_done_callback(_retrieve)
        self._waiting.append(_Waiting(deque(_split(data)), len(data), done))
        self._waiting_bytes += len(data)
        self._idle.clear()
        self._wake.set()
        return done

    async def run(self) -> None:
        """Writes batches until it is cancelled or fenced."""
        while self._fenced is None:
            await self._wake.wait()
            if not self._waiting and self._announcement is None and self._begun is None:
                self._wake.clear()
                self._idle.set()
                continue
            await self._pacer.wait()
            await self._write_next_batch()

    async def check_seal(self) -> SealInfo | None:
        """Looks whether the journal was sealed meanwhile, as a process that slept should.

        Raises:
            StoreError: the store did not answer.
        """
        seal = await find_seal(self._store, self._prefix, self.incarnation)
        if seal is not None and self._fenced is None:
            self._give_up(FencedError(f"Journal '{self.incarnation}'", seal.sealed_by), [])
        return seal

    async def flush(self) -> None:
        """Waits until every record queued so far is durable or the journal is fenced."""
        await self._idle.wait()

    async def announce(self, successors: list[str]) -> None:
        """Names the successors that the seal will name, whoever sets it.

        A planned stop does this before it moves the first program, so that a program
        which was moved is found even if the process dies before it seals.

        Raises:
            FencedError: the journal was sealed.
        """
        if self._fenced is not None:
            raise self._fenced
        self._announcement = list(successors)
        self._idle.clear()
        self._wake.set()
        await self.flush()
        if self.fenced:
            raise FencedError(f"Journal '{self.incarnation}'", "another process")

    async def seal(self, successors: list[str], reason: str) -> SealInfo:
        """Ends the journal from the writer's side, as in a planned stop."""
        await self.flush()
        return await seal_journal(
            self._store, self._prefix, self.incarnation, successors, self.incarnation, reason
        )

    async def _write_next_batch(self) -> None:
        # A batch that was begun must be the next one written, whatever ended the task
        # that wrote it: its records have left the queue.
        batch = self._begun = self._begun or self._begin_batch()
        try:
            await self._create_surely(batch.key, batch.value, batch.nonce)
        except FencedError as error:
            self._give_up(error, batch.finished)
            return
        self._begun = None
        self._next_sequence += 1
        self.statistics.batches += 1
        self.statistics.bytes_written += len(batch.value)
        for waiting in batch.finished:
            self._finish(waiting)

    def _begin_batch(self) -> _BegunBatch:
        entries, finished = self._take_entries(self._next_sequence)
        nonce = f"{self._random_unit():.17f}"
        announced, self._announcement = self._announcement, None
        value = encode(Batch(FORMAT, self.incarnation, nonce, entries, None, announced))
        key = object_key(self._prefix, self.incarnation, self._next_sequence)
        return _BegunBatch(key, value, nonce, finished)

    def _take_entries(self, sequence: int) -> tuple[list[Entry], list[_Waiting]]:
        entries: list[Entry] = []
        finished: list[_Waiting] = []
        size = 0
        while self._waiting:
            waiting = self._waiting[0]
            while waiting.entries:
                entry = waiting.entries[0]
                if entries and size + len(entry.data) > BATCH_TARGET_BYTES:
                    return entries, finished
                if waiting.position is None:
                    waiting.position = RecordPosition(self.incarnation, sequence, len(entries))
                entries.append(waiting.entries.popleft())
                size += len(entry.data)
            finished.append(self._waiting.popleft())
        return entries, finished

    async def _create_surely(self, key: str, value: bytes, nonce: str) -> None:
        """Creates the object, settling lost answers by reading the key back.

        Raises:
            FencedError: the key holds another writer's object.
        """
        backoff = Backoff(self._random_unit)
        while True:
            self.statistics.write_attempts += 1
            try:
                await self._store.create(key, value)
                break
            except AlreadyExistsError:
                if await self._is_ours(key, nonce):
                    break
            except StoreRateLimitedError as error:
                await asyncio.sleep(max(error.retry_after_s, backoff.next_delay()))
            except StoreError as error:
                self._note_trouble(error)
                await asyncio.sleep(backoff.next_delay())
        self._store_ok = True

    async def _is_ours(self, key: str, nonce: str) -> bool:
        """Tells whether the taken key holds this very batch.

        Raises:
            FencedError: it holds a seal or another writer's batch.
        """
        backoff = Backoff(self._random_unit)
        while True:
            try:
                found = await self._store.get(key)
                break
            except StoreError as error:
                self._note_trouble(error)
                await asyncio.sleep(backoff.next_delay())
        if found is None:
            return False
        batch = decode(Batch(), found.value, key)
        if batch.writer == self.incarnation and batch.nonce == nonce:
            return True
        raise FencedError(f"Journal '{self.incarnation}'", batch.writer)

    def _note_trouble(self, error: StoreError) -> None:
        if self._store_ok:
            logger.warning("journal %s waits for the store: %s", self.incarnation, error)
        self._store_ok = False

    def _finish(self, waiting: _Waiting) -> None:
        self.statistics.records += 1
        self._waiting_bytes -= waiting.size
        if not waiting.done.done():
            assert waiting.position is not None
            waiting.done.set_result(waiting.position)

    def _give_up(self, error: FencedError, finished: list[_Waiting]) -> None:
        self._fenced = error
        for waiting in [*finished, *self._waiting]:
            if not waiting.done.done():
                waiting.done.set_exception(error)
        self._waiting.clear()
        self._waiting_bytes = 0
        self._idle.set()
        self.on_fenced(error)


def _retrieve(done: "asyncio.Future[RecordPosition]") -> None:
    if not done.cancelled():
        done.exception()
