"""An append-only log of turns and reservations, in segments with checksums.

After a power failure unsynced data may be intact, torn or missing, so reading ends at the first
invalid frame. Entries are immutable; writing a key again is a no-op.
"""

import os
import random
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path

import attrs

from bayhinge._internal.models.endpoint_entries import EndpointIncarnation
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.services.disks.copy_limits import (
    ENTRIES_PER_CALL,
    ENTRY_BYTES_PER_CALL,
    first_within,
)
from bayhinge._internal.services.disks.log_frames import HEADER_BYTES, encode_frame, read_frames
from bayhinge._internal.services.disks.turn_index import (
    Location,
    ProgramLedger,
    TurnIndex,
    entry_key,
)
from bayhinge._internal.utils.durable_files import write_synced
from bayhinge._internal.wire.hosts.ttypes import TurnEntry

SEGMENT_BYTES = 8_000_000
"""A segment is closed at this size; it is removed as a whole once none of its programs is live."""

OPENING_BITS = 62

GENERATION_FILE = "generation"
JOINED_FILE = "joined"
FOUNDER_FILE = "founder"
SEGMENT_SUFFIX = ".turns"


@attrs.frozen
class Chain:
    """A chain of turns as stored on one disk, or its end.

    Attributes:
        text: the joined texts of the turns.
        run_at: the endpoint incarnation that ran the last turn for which one is known.
        missing: a turn of the chain that the disk does not have.
        account: the account of the last turn; None where its entry has none.
        programs: the programs of the turns.
        earlier: the last turn of the part that was left out, as the chain is too long.
    """

    text: bytes = b""
    run_at: EndpointIncarnation = EndpointIncarnation()
    missing: str | None = None
    account: str | None = None
    programs: frozenset[str] = frozenset()
    earlier: str | None = None


class TurnLog:
    """The log of one disk's entries.

    Attributes:
        opening: a random number; positions count from this opening of the log on.
    """

    def __init__(self, folder: Path, now_s: float = 0.0) -> None:
        """Opens the folder and indexes its segments.

        ``now_s`` is the caller's monotonic clock; all entries read count as written then.
        """
        self._folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self._files_by_segment: dict[int, int] = {}
        self._index = TurnIndex(now_s)
        self.opening = random.SystemRandom().getrandbits(OPENING_BITS)
        self._segment = 0
        self._end = 0
        self._synced_end = 0
        self._unsynced: list[TurnEntry] = []
        self.cut_bytes = 0
        self._has_torn_tail = False
        for segment in sorted(self._segments_on_disk()):
            self._read_segment(segment)
        self.generation, self.is_fresh = self._read_generation()
        self.is_joined = (folder / JOINED_FILE).exists()
        self.is_founder = (folder / FOUNDER_FILE).exists()
        self._open_segment(self._segment + 1)

    # ---- reading ----

    def chain(self, last: str, most_bytes: int | None = None) -> Chain:
        """Returns the chain that ends with a turn, its texts joined from the oldest on.

        Only its end where it is longer than ``most_bytes``, with the last turn at least.
        """
        turns, missing = self._index.chain(last)
        if missing is not None:
            return Chain(missing=missing)
        ends = [turn.run_at for turn in turns if turn.run_at.endpoint]
        sent = turns
        if most_bytes is not None:
            sent = first_within(turns, lambda turn: turn.location.length, most_bytes)
        texts = [self._read(turn.location).text or b"" for turn in reversed(sent)]
        return Chain(
            b"".join(texts),
            ends[0] if ends else EndpointIncarnation(),
            account=turns[0].account,
            programs=frozenset(turn.program for turn in turns),
            earlier=sent[-1].previous,
        )

    def ledger(self, program: str) -> ProgramLedger:
        """Returns the token use of a program's turns."""
        return self._index.ledger(program)

    def keys_after(self, position: int, limit: int) -> list[tuple[str, str]]:
        """Returns up to ``limit`` keys from a position in write order, each with its program."""
        return self._index.keys_after(position, limit)

    @property
    def first_position(self) -> int:
        """The position of the oldest retained entry."""
        return self._index.first_position

    @property
    def position(self) -> int:
        """The number of entries written so far, including dropped ones."""
        return self._index.position

    @property
    def entry_count(self) -> int:
        """The number of retained entries."""
        return self._index.entry_count

    def has(self, key: str) -> bool:
        """Whether this disk has an entry."""
        return self._index.has(key)

    def first_entries(self, keys: Sequence[str]) -> list[str]:
        """Returns the first of some keys, whose entries go into one message."""
        return first_within(keys[:ENTRIES_PER_CALL], self._length_of, ENTRY_BYTES_PER_CALL)

    def _length_of(self, key: str) -> int:
        location = self._index.location(key)
        return 0 if location is None else location.length

    def read_entries(self, keys: Iterable[str]) -> Iterator[TurnEntry]:
        """Yields the entries of those keys that this disk has."""
        for key in keys:
            location = self._index.location(key)
            if location is not None:
                yield self._read(location)

    # ---- writing ----

    def append(self, entries: Iterable[TurnEntry], now_s: float | None = None) -> None:
        """Writes the entries that this disk does not have; durable after :meth:`sync`.

        ``now_s`` is the caller's monotonic clock, None for the time that it gave last.

        Raises:
            OSError: the write failed.
        """
        if now_s is not None:
            self._index.now_s = now_s
        for entry in entries:
            key = entry_key(entry)
            if not self._index.has(key):
                self._write(key, entry)

    def sync(self) -> None:
        """Makes everything written so far durable.

        Raises:
            OSError: the sync failed. Entries since the last sync are discarded, as a later
                successful sync does not prove that they are durable.
        """
        if not self._unsynced:
            return
        try:
            os.fdatasync(self._files_by_segment[self._segment])
        except OSError:
            self._forget_unsynced()
            raise
        self._unsynced.clear()
        self._synced_end = self._end

    def expire(self, now_s: float) -> int:
        """Removes the oldest segments without live programs; returns how many.

        ``now_s`` is the caller's monotonic clock.
        """
        self._index.now_s = now_s
        live_programs = self._index.live_programs(now_s)
        removed = 0
        for segment in sorted(self._files_by_segment):
            keys = self._index.keys_of(segment)
            if segment == self._segment or any(program in live_programs for _, program in keys):
                break
            self._remove_segment(segment, keys)
            removed += 1
        if removed:
            self._index.drop_unused_incarnations()
        return removed

    def _remove_segment(self, segment: int, keys: list[tuple[str, str]]) -> None:
        os.close(self._files_by_segment.pop(segment))
        self._segment_path(segment).unlink()
        self._index.drop(segment, keys)

    def mark_founder(self) -> None:
        """Marks this disk as one of a new system, which may make the first set."""
        write_synced(self._folder / FOUNDER_FILE, b"founder\n")
        self.is_founder = True

    def mark_joined(self) -> None:
        """Marks this disk as one that is or was a member of the set."""
        write_synced(self._folder / JOINED_FILE, b"joined\n")
        self.is_joined = True

    def close(self) -> None:
        """Syncs and closes every file."""
        self.sync()
        for file in self._files_by_segment.values():
            os.close(file)
        self._files_by_segment.clear()

    # ---- internals ----

    def _write(self, key: str, entry: TurnEntry) -> None:
        if self._end >= SEGMENT_BYTES:
            self.sync()
            self._open_segment(self._segment + 1)
        data = encode_message(entry)
        frame = encode_frame(data)
        file = self._files_by_segment[self._segment]
        if self._has_torn_tail:
            self._truncate_tail(file)
        try:
            written = os.write(file, frame)
        except OSError:
            self._truncate_tail(file)
            raise
        if written != len(frame):
            self._truncate_tail(file)
            raise OSError(f"only {written} of {len(frame)} bytes were written")
        location = Location(self._segment, self._end + HEADER_BYTES, len(data))
        self._end += len(frame)
        self._unsynced.append(entry)
        self._index.add(key, entry, location)

    def _truncate_tail(self, file: int) -> None:
        """Truncates a partial write, so that later frames stay readable.

        Raises:
            OSError: the truncation failed; it is repeated before the next write.
        """
        self._has_torn_tail = True
        os.ftruncate(file, self._end)
        os.lseek(file, self._end, os.SEEK_SET)
        self._has_torn_tail = False

    def _forget_unsynced(self) -> None:
        for entry in self._unsynced:
            self._index.forget(entry, self.read_entries)
        self._unsynced.clear()
        self._end = self._synced_end
        self._truncate_tail(self._files_by_segment[self._segment])

    def _read(self, location: Location) -> TurnEntry:
        data = os.pread(self._files_by_segment[location.segment], location.length, location.offset)
        return decode_message(TurnEntry(), data)

    def _segment_path(self, segment: int) -> Path:
        return self._folder / f"{segment:08d}{SEGMENT_SUFFIX}"

    def _segments_on_disk(self) -> list[int]:
        paths = self._folder.glob(f"*{SEGMENT_SUFFIX}")
        return [int(path.name.removesuffix(SEGMENT_SUFFIX)) for path in paths]

    def _open_segment(self, segment: int) -> None:
        flags = os.O_RDWR | os.O_CREAT
        self._files_by_segment[segment] = os.open(self._segment_path(segment), flags, 0o644)
        # Makes the new file itself durable.
        os.fsync(self._files_by_segment[segment])
        self._segment = segment
        self._end = self._synced_end = 0
        self._has_torn_tail = False

    def _read_segment(self, segment: int) -> None:
        file = os.open(self._segment_path(segment), os.O_RDWR)
        self._files_by_segment[segment] = file
        self._segment = segment
        data = self._segment_path(segment).read_bytes()
        end = 0
        for offset, length, entry in read_frames(data):
            self._index.add(entry_key(entry), entry, Location(segment, offset, length))
            end = offset + length
        if end < len(data):
            self.cut_bytes += len(data) - end
            os.ftruncate(file, end)

    def _read_generation(self) -> tuple[int, bool]:
        path = self._folder / GENERATION_FILE
        if path.exists():
            text = path.read_text().strip()
            if text.isdigit():
                return int(text), False
        generation = random.SystemRandom().getrandbits(62)
        write_synced(path, f"{generation}\n".encode())
        return generation, True
