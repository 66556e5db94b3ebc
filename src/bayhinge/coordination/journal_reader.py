"""Reads journals: complete ones, and single records by position."""

from collections.abc import Iterator

from bayhinge.coordination.codec import decode
from bayhinge.coordination.errors import CorruptObjectError, StoreUnavailableError
from bayhinge.coordination.journal_objects import (
    JournalContents,
    JournalRecord,
    RecordPosition,
    SealInfo,
    object_key,
    seal_info,
    sequence_of,
)
from bayhinge.coordination.store import ObjectStore, list_all
from bayhinge.coordination.wire.ttypes import Batch, Entry


class JournalReader:
    """Reads complete journals, and single records by position."""

    def __init__(self, store: ObjectStore, prefix: str) -> None:
        self._store = store
        self._prefix = prefix

    async def read_all(self, incarnation: str) -> JournalContents:
        """Reads a complete journal.

        A record whose last part is missing was never acknowledged and is omitted.

        Raises:
            CorruptObjectError: an object is damaged, not a journal's, or out of sequence.
        """
        listing = await list_all(self._store, f"{self._prefix}/{incarnation}/")
        entries: list[tuple[RecordPosition, Entry]] = []
        seal: SealInfo | None = None
        next_sequence = 0
        for stored in listing.objects:
            sequence = sequence_of(stored.key)
            if seal is not None:
                raise CorruptObjectError(stored.key, "it follows the journal's seal")
            if next_sequence and sequence != next_sequence:
                raise CorruptObjectError(stored.key, f"sequence {next_sequence} is missing")
            batch = decode(Batch(), stored.value, stored.key)
            seal = seal_info(batch.seal)
            next_sequence = sequence + 1
            entries.extend(
                (RecordPosition(incarnation, sequence, index), entry)
                for index, entry in enumerate(batch.entries)
            )
        return JournalContents(tuple(_join(entries)), seal, next_sequence)

    async def read_sealed(self, incarnation: str) -> JournalContents:
        """Reads a complete journal that is known to be sealed.

        Raises:
            StoreUnavailableError: the listing is older than the seal; call again.
            CorruptObjectError: see :meth:`read_all`.
        """
        contents = await self.read_all(incarnation)
        if contents.seal is None:
            # An adopter records what it read as complete, so a stale listing would lose the
            # last records for good.
            raise StoreUnavailableError(f"list journal {incarnation}", "the listing is too old")
        return contents

    async def read_record(self, position: RecordPosition) -> JournalRecord:
        """Reads one record, whose parts may be in several objects.

        Raises:
            CorruptObjectError: the object is missing or has no such entry.
        """
        parts: list[bytes] = []
        sequence, index = position.sequence, position.entry
        while True:
            batch = await self._read_batch(position.incarnation, sequence)
            if index >= len(batch.entries):
                key = object_key(self._prefix, position.incarnation, sequence)
                raise CorruptObjectError(key, f"entry {index} is missing")
            entry = batch.entries[index]
            parts.append(entry.data)
            if entry.part + 1 == entry.parts:
                return JournalRecord(position, b"".join(parts))
            index += 1
            if index == len(batch.entries):
                sequence, index = sequence + 1, 0

    async def _read_batch(self, incarnation: str, sequence: int) -> Batch:
        key = object_key(self._prefix, incarnation, sequence)
        stored = await self._store.get(key)
        if stored is None:
            raise CorruptObjectError(key, "the journal object is missing")
        return decode(Batch(), stored.value, key)


def _join(entries: list[tuple[RecordPosition, Entry]]) -> Iterator[JournalRecord]:
    parts: list[bytes] = []
    first: RecordPosition | None = None
    for position, entry in entries:
        if entry.part == 0:
            parts, first = [], position
        parts.append(entry.data)
        if entry.part + 1 == entry.parts and first is not None:
            yield JournalRecord(first, b"".join(parts))
