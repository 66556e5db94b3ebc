"""The journal: a durable, fenced log of one incarnation of a process.

Objects ``<prefix>/<incarnation>/<sequence>`` are written with create-if-absent, so each
sequence number has one writer. A successor takes over by writing the next object itself,
a *seal*. The next append of the old writer then conflicts, which fences it, however long
it was paused. This doesn't depend on clocks.
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
"""A batch is closed at this size, so that it stays below the store's maximum."""
PART_BYTES = 600_000
"""Larger records are split into parts of this size."""

ENTRY_OVERHEAD_BYTES = 32
"""Bound on what the encoding adds to each entry; of small records it is more than their data."""

BATCH_OVERHEAD_BYTES = 100_000
"""Room for the other fields of a batch, mainly the announced successors."""

assert BATCH_TARGET_BYTES + BATCH_OVERHEAD_BYTES <= MAX_VALUE_BYTES
assert PART_BYTES + ENTRY_OVERHEAD_BYTES <= BATCH_TARGET_BYTES


@attrs.define
class JournalStatistics:
    """Counters of a journal since it was opened."""

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
class _QueuedRecord:
    """A record that is not durable yet."""

    entries: deque[Entry]
    size: int
    done: asyncio.Future[RecordPosition]
    position: RecordPosition | None = None


@attrs.frozen
class _PendingBatch:
    """A batch whose write may already have taken effect.

    Attributes:
        finished: records whose last entry is in the batch.
    """

    key: str
    value: bytes
    nonce: str
    finished: list[_QueuedRecord]


class Journal:
    """The writer's side of a journal: queues records, which one task writes with group commit.

    Attributes:
        on_fenced: called when another process is found to have sealed the journal.
    """

    def __init__(
        self,
        store: ObjectStore,
        prefix: str,
        incarnation: str,
        pacer: WritePacer,
        random_unit: Callable[[], float],
        spool_bytes: int = 16_000_000,
    ) -> None:
        """Creates the writer; nothing is written until :meth:`run`.

        Args:
            store: holds the journal's objects.
            prefix: the prefix of its keys.
            incarnation: this run of the process; must never have been used before.
            pacer: limits the rate of writes.
            random_unit: returns random numbers in [0, 1), for nonces and jitter.
            spool_bytes: maximum size of the records that are not durable yet;
                :meth:`append` raises JournalFullError beyond it.
        """
        self._store = store
        self._prefix = prefix
        self.incarnation = incarnation
        self._pacer = pacer
        self._random_unit = random_unit
        self._spool_bytes = spool_bytes
        self._queue: deque[_QueuedRecord] = deque()
        self._waiting_bytes = 0
        self._wake = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()
        self._next_sequence = 0
        self._fenced: FencedError | None = None
        self._store_ok = True
        self._successors_to_announce: list[str] | None = None
        self._pending_batch: _PendingBatch | None = None
        self.on_fenced: Callable[[FencedError], None] = lambda error: None
        self.statistics = JournalStatistics()

    @property
    def fenced(self) -> bool:
        """True once this journal is known to be sealed by another process."""
        return self._fenced is not None

    @property
    def store_ok(self) -> bool:
        """False while writes to the store fail."""
        return self._store_ok

    @property
    def waiting_bytes(self) -> int:
        """Bytes of records that are not durable yet."""
        return self._waiting_bytes

    def append(self, data: bytes) -> asyncio.Future[RecordPosition]:
        """Queues a record and returns a future that completes once it is durable.

        Raises:
            FencedError: the journal was sealed.
            JournalFullError: the spool is full; nothing was queued.
        """
        if self._fenced is not None:
            raise self._fenced
        if self._waiting_bytes + len(data) > self._spool_bytes:
            raise JournalFullError(self._waiting_bytes, self._spool_bytes)
        done: asyncio.Future[RecordPosition] = asyncio.get_running_loop().create_future()
        # The future may fail with FencedError when nobody awaits it any more; without this
        # the loop would report an exception that was never retrieved.
        done.add_done_callback(_retrieve_exception)
        self._queue.append(_QueuedRecord(deque(_split(data)), len(data), done))
        self._waiting_bytes += len(data)
        self._idle.clear()
        self._wake.set()
        return done

    async def run(self) -> None:
        """Writes batches until it is cancelled or fenced."""
        while self._fenced is None:
            await self._wake.wait()
            if (
                not self._queue
                and self._successors_to_announce is None
                and self._pending_batch is None
            ):
                self._wake.clear()
                self._idle.set()
                continue
            await self._pacer.wait()
            await self._write_next_batch()

    async def check_seal(self) -> SealInfo | None:
        """Checks whether the journal has been sealed, for a process that was suspended.

        Raises:
            StoreError: the store did not answer.
        """
        seal = await find_seal(self._store, self._prefix, self.incarnation)
        if seal is not None and self._fenced is None:
            self._fence(FencedError(f"Journal '{self.incarnation}'", seal.sealed_by), [])
        return seal

    async def flush(self) -> None:
        """Waits until every queued record is durable or the journal is fenced."""
        await self._idle.wait()

    async def announce(self, successors: list[str]) -> None:
        """Records the successors that the seal will name, whichever process writes it.

        A planned stop does this before it moves the first program, so that moved programs
        can be found even if the process dies before it seals the journal.

        Raises:
            FencedError: the journal was sealed.
        """
        if self._fenced is not None:
            raise self._fenced
        self._successors_to_announce = list(successors)
        self._idle.clear()
        self._wake.set()
        await self.flush()
        if self.fenced:
            raise FencedError(f"Journal '{self.incarnation}'", "another process")

    async def seal(self, successors: list[str], reason: str) -> SealInfo:
        """Seals the journal as its writer, in a planned stop."""
        await self.flush()
        return await seal_journal(
            self._store, self._prefix, self.incarnation, successors, self.incarnation, reason
        )

    async def _write_next_batch(self) -> None:
        # A batch whose write was interrupted must be written before any other, since its
        # records are no longer in the queue.
        batch = self._pending_batch = self._pending_batch or self._build_batch()
        try:
            await self._create_with_retries(batch.key, batch.value, batch.nonce)
        except FencedError as error:
            self._fence(error, batch.finished)
            return
        self._pending_batch = None
        self._next_sequence += 1
        self.statistics.batches += 1
        self.statistics.bytes_written += len(batch.value)
        for record in batch.finished:
            self._complete(record)

    def _build_batch(self) -> _PendingBatch:
        entries, finished = self._dequeue_entries(self._next_sequence)
        nonce = f"{self._random_unit():.17f}"
        announced, self._successors_to_announce = self._successors_to_announce, None
        value = encode(Batch(FORMAT, self.incarnation, nonce, entries, None, announced))
        key = object_key(self._prefix, self.incarnation, self._next_sequence)
        return _PendingBatch(key, value, nonce, finished)

    def _dequeue_entries(self, sequence: int) -> tuple[list[Entry], list[_QueuedRecord]]:
        entries: list[Entry] = []
        finished: list[_QueuedRecord] = []
        size = 0
        while self._queue:
            record = self._queue[0]
            while record.entries:
                entry = record.entries[0]
                entry_bytes = len(entry.data) + ENTRY_OVERHEAD_BYTES
                if entries and size + entry_bytes > BATCH_TARGET_BYTES:
                    return entries, finished
                if record.position is None:
                    record.position = RecordPosition(self.incarnation, sequence, len(entries))
                entries.append(record.entries.popleft())
                size += entry_bytes
            finished.append(self._queue.popleft())
        return entries, finished

    async def _create_with_retries(self, key: str, value: bytes, nonce: str) -> None:
        """Creates the object; where the response was lost, reads the key back.

        Raises:
            FencedError: the key holds an object of another writer.
        """
        backoff = Backoff(self._random_unit)
        while True:
            self.statistics.write_attempts += 1
            try:
                await self._store.create(key, value)
                break
            except AlreadyExistsError:
                if await self._is_own_batch(key, nonce):
                    break
            except StoreRateLimitedError as error:
                await asyncio.sleep(max(error.retry_after_s, backoff.next_delay()))
            except StoreError as error:
                self._log_store_error(error)
                await asyncio.sleep(backoff.next_delay())
        self._store_ok = True

    async def _is_own_batch(self, key: str, nonce: str) -> bool:
        """Returns whether the existing key holds this batch.

        Raises:
            FencedError: it holds a seal or a batch of another writer.
        """
        backoff = Backoff(self._random_unit)
        while True:
            try:
                found = await self._store.get(key)
                break
            except StoreError as error:
                self._log_store_error(error)
                await asyncio.sleep(backoff.next_delay())
        if found is None:
            return False
        batch = decode(Batch(), found.value, key)
        if batch.writer == self.incarnation and batch.nonce == nonce:
            return True
        raise FencedError(f"Journal '{self.incarnation}'", batch.writer)

    def _log_store_error(self, error: StoreError) -> None:
        if self._store_ok:
            logger.warning("cannot write journal %s, retrying: %s", self.incarnation, error)
        self._store_ok = False

    def _complete(self, record: _QueuedRecord) -> None:
        self.statistics.records += 1
        self._waiting_bytes -= record.size
        if not record.done.done():
            assert record.position is not None
            record.done.set_result(record.position)

    def _fence(self, error: FencedError, finished: list[_QueuedRecord]) -> None:
        self._fenced = error
        for record in [*finished, *self._queue]:
            if not record.done.done():
                record.done.set_exception(error)
        self._queue.clear()
        self._waiting_bytes = 0
        self._idle.set()
        self.on_fenced(error)


def _retrieve_exception(done: "asyncio.Future[RecordPosition]") -> None:
    if not done.cancelled():
        done.exception()
