"""An append-only log of turns and reservations, in segments with checksums.

An entry is framed as length, checksum and thrift struct. What was not synced when the
power went may be there, torn or gone, so reading ends at the first frame that does not
check. An entry never changes; the same key again is the same entry.
"""

import os
import random
import struct
from collections.abc import Iterable, Iterator
from pathlib import Path

import attrs
import xxhash

from bayhinge._internal.exceptions import FrameError
from bayhinge._internal.network.frames import MessageReader, decode_message, encode_message
from bayhinge._internal.utils.durable_files import write_synced
from bayhinge._internal.wire.hosts.ttypes import EntryKind, TurnEntry

SEGMENT_BYTES = 8_000_000
"""A segment is closed at this size; whole segments are removed when nothing in them lives."""

LEAST_KEEP_S = 90.0
"""Entries are kept for so long at least after their program was last heard of."""

GENERATION_FILE = "generation"
JOINED_FILE = "joined"
SEGMENT_SUFFIX = ".turns"
_FRAME = struct.Struct(">IQ")


@attrs.frozen
class Location:
    """Where an entry stands."""

    segment: int
    offset: int
    length: int


@attrs.frozen
class KnownTurn:
    """What of a whole turn is kept in memory."""

    location: Location
    previous: str | None
    endpoint: str
    program: str


@attrs.define
class ProgramLife:
    """How long a program's entries are needed.

    Attributes:
        last_s: when something of it was last written or gone on from, on the caller's clock.
        keep_s: the longest time that one of its turns asks for.
        needs: programs whose turns its own go on from.
    """

    last_s: float = 0.0
    keep_s: float = LEAST_KEEP_S
    needs: set[str] = attrs.field(factory=set)


@attrs.define
class ProgramLedger:
    """What a program's turns have used, by attempt: open ones at their most."""

    open_by_attempt: dict[str, int] = attrs.field(factory=dict)
    settled_by_attempt: dict[str, int] = attrs.field(factory=dict)


def entry_key(entry: TurnEntry) -> str:
    """Returns what names an entry: its kind and its attempt."""
    return f"{entry.kind}{entry.attempt}"


@attrs.frozen
class Chain:
    """A chain of turns as one disk has it; ``missing`` names a turn that it lacks."""

    text: bytes = b""
    endpoint: str = ""
    missing: str | None = None


class TurnLog:
    """One disk's entries."""

    def __init__(self, folder: Path, now_s: float = 0.0) -> None:
        """Opens the folder and reads what stands there.

        ``now_s`` is the caller's steady clock; all that is read counts as just written.
        """
        self._folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self._files_by_segment: dict[int, int] = {}
        self._location_by_key: dict[str, Location] = {}
        self._keys: list[tuple[str, str]] = []
        self._turn_by_attempt: dict[str, KnownTurn] = {}
        self._ledger_by_program: dict[str, ProgramLedger] = {}
        self._life_by_program: dict[str, ProgramLife] = {}
        self._keys_by_segment: dict[int, list[tuple[str, str]]] = {}
        self._dropped_keys = 0
        self._now_s = now_s
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
        self._open_segment(self._segment + 1)

    # ---- reading ----

    def chain(self, last: str) -> Chain:
        """Returns the texts of a chain, joined from the oldest on."""
        texts: list[bytes] = []
        endpoint = ""
        attempt: str | None = last
        while attempt is not None:
            turn = self._turn_by_attempt.get(attempt)
            if turn is None:
                return Chain(missing=attempt)
            endpoint = endpoint or turn.endpoint
            texts.append(self._read(turn.location).text or b"")
            attempt = turn.previous
        return Chain(b"".join(reversed(texts)), endpoint)

    def ledger(self, program: str) -> ProgramLedger:
        """Returns what is known of a program's turns."""
        return self._ledger_by_program.get(program, ProgramLedger())

    def keys_after(self, position: int, most: int) -> list[tuple[str, str]]:
        """Returns keys in the order in which they were written, each with its program."""
        start = max(0, position - self._dropped_keys)
        return self._keys[start : start + most]

    @property
    def first_position(self) -> int:
        """The position of the oldest entry that is still here."""
        return self._dropped_keys

    @property
    def position(self) -> int:
        """The number of entries written so far, those dropped included."""
        return self._dropped_keys + len(self._keys)

    @property
    def entry_count(self) -> int:
        """The number of entries that are here."""
        return len(self._keys)

    def has(self, key: str) -> bool:
        """Tells whether an entry is here."""
        return key in self._location_by_key

    def read_entries(self, keys: Iterable[str]) -> Iterator[TurnEntry]:
        """Yields the entries of those keys that are here."""
        for key in keys:
            location = self._location_by_key.get(key)
            if location is not None:
                yield self._read(location)

    # ---- writing ----

    def append(self, entries: Iterable[TurnEntry]) -> None:
        """Writes those entries that are not here yet; they last after :meth:`sync`.

        Raises:
            OSError: the disk refused.
        """
        for entry in entries:
            key = entry_key(entry)
            if key not in self._location_by_key:
                self._write(key, entry)

    def sync(self) -> None:
        """Makes everything written so far last.

        Raises:
            OSError: the disk refused; what was written since the last sync is forgotten, for
                a later sync that works says nothing of it.
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
        """Removes the oldest segments in which no program lives; returns how many.

        ``now_s`` is the caller's steady clock.
        """
        self._now_s = now_s
        living = self._living(now_s)
        removed = 0
        for segment in sorted(self._files_by_segment):
            keys = self._keys_by_segment.get(segment, [])
            if segment == self._segment or any(program in living for _, program in keys):
                break
            self._remove_segment(segment, keys)
            removed += 1
        return removed

    def _living(self, now_s: float) -> set[str]:
        living = {
            program
            for program, life in self._life_by_program.items()
            if now_s - life.last_s <= life.keep_s
        }
        waiting = list(living)
        while waiting:
            needed = self._life_by_program[waiting.pop()].needs - living
            needed &= self._life_by_program.keys()
            living |= needed
            waiting.extend(needed)
        return living

    def _remove_segment(self, segment: int, keys: list[tuple[str, str]]) -> None:
        os.close(self._files_by_segment.pop(segment))
        self._segment_path(segment).unlink()
        self._keys_by_segment.pop(segment, None)
        # Segments go oldest first, so their keys stand at the front.
        del self._keys[: len(keys)]
        self._dropped_keys += len(keys)
        for key, program in keys:
            self._location_by_key.pop(key, None)
            self._turn_by_attempt.pop(key[1:], None)
            self._ledger_by_program.pop(program, None)
            self._life_by_program.pop(program, None)

    def mark_joined(self) -> None:
        """Notes that this disk counts: it has copied all that it lacked."""
        write_synced(self._folder / JOINED_FILE, b"joined\n")
        self.is_joined = True

    def close(self) -> None:
        """Syncs and closes every file."""
        self.sync()
        for file in self._files_by_segment.values():
            os.close(file)
        self._files_by_segment.clear()

    # ---- inside ----

    def _write(self, key: str, entry: TurnEntry) -> None:
        if self._end >= SEGMENT_BYTES:
            self.sync()
            self._open_segment(self._segment + 1)
        data = encode_message(entry)
        frame = _FRAME.pack(len(data), xxhash.xxh3_64_intdigest(data)) + data
        file = self._files_by_segment[self._segment]
        if self._has_torn_tail:
            self._drop_tail(file)
        try:
            written = os.write(file, frame)
        except OSError:
            self._drop_tail(file)
            raise
        if written != len(frame):
            self._drop_tail(file)
            raise OSError(f"only {written} of {len(frame)} bytes were written")
        location = Location(self._segment, self._end + _FRAME.size, len(data))
        self._end += len(frame)
        self._unsynced.append(entry)
        self._index(key, entry, location)

    def _drop_tail(self, file: int) -> None:
        """Takes a write back that was not whole, so that what follows can be read.

        Raises:
            OSError: the disk refused; nothing is written until it has taken it back.
        """
        self._has_torn_tail = True
        os.ftruncate(file, self._end)
        os.lseek(file, self._end, os.SEEK_SET)
        self._has_torn_tail = False

    def _forget_unsynced(self) -> None:
        for entry in self._unsynced:
            # The key's place in the order of writing stays, for others have counted it.
            del self._location_by_key[entry_key(entry)]
            self._forget(entry)
        self._unsynced.clear()
        self._end = self._synced_end
        self._drop_tail(self._files_by_segment[self._segment])

    def _forget(self, entry: TurnEntry) -> None:
        """Takes one entry back; what another one of its turn says, that was synced, stays."""
        ledger = self._ledger_by_program[entry.program]
        if entry.kind == EntryKind.RESERVED:
            ledger.open_by_attempt.pop(entry.attempt, None)
            return
        if entry.kind == EntryKind.TURN:
            self._turn_by_attempt.pop(entry.attempt, None)
        others = (f"{kind}{entry.attempt}" for kind in (EntryKind.TURN, EntryKind.SETTLED))
        kept = next(self.read_entries(others), None)
        if kept is None:
            ledger.settled_by_attempt.pop(entry.attempt, None)
        else:
            ledger.settled_by_attempt[entry.attempt] = kept.tokens

    def _index(self, key: str, entry: TurnEntry, location: Location) -> None:
        self._location_by_key[key] = location
        self._keys.append((key, entry.program))
        self._keys_by_segment.setdefault(location.segment, []).append((key, entry.program))
        life = self._life_by_program.setdefault(entry.program, ProgramLife())
        life.last_s = self._now_s
        life.keep_s = max(life.keep_s, entry.keep_s or 0.0)
        ledger = self._ledger_by_program.setdefault(entry.program, ProgramLedger())
        if entry.kind == EntryKind.RESERVED:
            ledger.open_by_attempt[entry.attempt] = entry.tokens
            return
        ledger.settled_by_attempt[entry.attempt] = entry.tokens
        if entry.kind == EntryKind.TURN:
            self._turn_by_attempt[entry.attempt] = KnownTurn(
                location, entry.previous, entry.endpoint or "", entry.program
            )
            self._note_needs(entry)

    def _note_needs(self, entry: TurnEntry) -> None:
        """A turn that goes on from another program's keeps that program alive."""
        previous = self._turn_by_attempt.get(entry.previous or "")
        if previous is not None and previous.program != entry.program:
            self._life_by_program[entry.program].needs.add(previous.program)

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
        # A new file lasts once it is synced itself.
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
        for offset, length, entry in _frames(data):
            self._index(entry_key(entry), entry, Location(segment, offset, length))
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


def _frames(data: bytes) -> Iterator[tuple[int, int, TurnEntry]]:
    """Yields offset, length and entry of each frame, up to the first that does not check."""
    view = memoryview(data)
    reader = MessageReader(data)
    position = 0
    while position + _FRAME.size <= len(data):
        length, checksum = _FRAME.unpack_from(data, position)
        offset = position + _FRAME.size
        end = offset + length
        if end > len(data) or xxhash.xxh3_64_intdigest(view[offset:end]) != checksum:
            return
        try:
            entry = reader.read(TurnEntry(), offset)
        except FrameError:
            return
        yield offset, length, entry
        position = end
