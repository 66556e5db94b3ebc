"""In-memory index of a disk's entries: their locations and their programs' token use.

The index does no file access; the log adds entries to it and reads entries for it.
"""

from collections.abc import Callable, Iterable, Iterator

import attrs

from bayhinge._internal.decisions.turn_retention import needed_s
from bayhinge._internal.models.endpoint_entries import EndpointIncarnation
from bayhinge._internal.wire.hosts.ttypes import EntryKind, TurnEntry


@attrs.frozen
class Location:
    """Where an entry is stored."""

    segment: int
    offset: int
    length: int


@attrs.frozen
class KnownTurn:
    """What the index keeps of a whole turn."""

    location: Location
    previous: str | None
    run_at: EndpointIncarnation
    program: str
    account: str | None


@attrs.define(eq=False, repr=False)
class ProgramLifetime:
    """How long a program's entries are needed.

    Attributes:
        needed_until_s: on the log's clock; each entry of the program may extend it.
        needs: programs that its own turns continue.
    """

    needed_until_s: float = 0.0
    needs: set[str] = attrs.field(factory=set)

    def extend(self, now_s: float, keep_s: float) -> None:
        """Records that an entry written now needs the program for ``keep_s``."""
        self.needed_until_s = max(self.needed_until_s, now_s + needed_s(keep_s))


@attrs.define(eq=False, repr=False)
class ProgramLedger:
    """Tokens of a program's turns by attempt: reserved for open ones, used for settled ones."""

    open_by_attempt: dict[str, int] = attrs.field(factory=dict)
    settled_by_attempt: dict[str, int] = attrs.field(factory=dict)


def entry_key(entry: TurnEntry) -> str:
    """Returns an entry's key: its kind and its attempt, which may use several programs."""
    if entry.kind == EntryKind.USED:
        return f"{entry.kind}{entry.attempt}\n{entry.program}"
    return f"{entry.kind}{entry.attempt}"


class TurnIndex:
    """One disk's entries by key, by program and by segment.

    Attributes:
        now_s: time on the log's monotonic clock; added entries count as written then.
    """

    def __init__(self, now_s: float) -> None:
        self._location_by_key: dict[str, Location] = {}
        self._keys: list[tuple[str, str]] = []
        self._turn_by_attempt: dict[str, KnownTurn] = {}
        self._ledger_by_program: dict[str, ProgramLedger] = {}
        self._lifetime_by_program: dict[str, ProgramLifetime] = {}
        self._keys_by_segment: dict[int, list[tuple[str, str]]] = {}
        self._incarnations: dict[EndpointIncarnation, EndpointIncarnation] = {}
        self._dropped_keys = 0
        self.now_s = now_s

    # ---- reading ----

    def turn(self, attempt: str) -> KnownTurn | None:
        """Returns a whole turn; None where this disk does not have it."""
        return self._turn_by_attempt.get(attempt)

    def chain(self, last: str) -> tuple[list[KnownTurn], str | None]:
        """Returns the turns of a chain from its last one back, and one that is missing, if any."""
        turns: list[KnownTurn] = []
        attempt: str | None = last
        while attempt is not None:
            turn = self._turn_by_attempt.get(attempt)
            if turn is None:
                return turns, attempt
            turns.append(turn)
            attempt = turn.previous
        return turns, None

    def location(self, key: str) -> Location | None:
        """Returns an entry's location; None where this disk does not have it."""
        return self._location_by_key.get(key)

    def keys_of(self, segment: int) -> list[tuple[str, str]]:
        """Returns the keys of a segment, each with its program."""
        return self._keys_by_segment.get(segment, [])

    def ledger(self, program: str) -> ProgramLedger:
        """Returns the token use of a program's turns."""
        return self._ledger_by_program.get(program, ProgramLedger())

    def keys_after(self, position: int, limit: int) -> list[tuple[str, str]]:
        """Returns up to ``limit`` keys from a position in write order, each with its program."""
        start = max(0, position - self._dropped_keys)
        return self._keys[start : start + limit]

    @property
    def first_position(self) -> int:
        """The position of the oldest retained entry."""
        return self._dropped_keys

    @property
    def position(self) -> int:
        """The number of entries written so far, including dropped ones."""
        return self._dropped_keys + len(self._keys)

    @property
    def entry_count(self) -> int:
        """The number of retained entries."""
        return len(self._keys)

    def has(self, key: str) -> bool:
        """Whether this disk has an entry."""
        return key in self._location_by_key

    def live_programs(self, now_s: float) -> set[str]:
        """Returns the programs whose entries are needed, directly or by another live program."""
        live_programs = {
            program
            for program, life in self._lifetime_by_program.items()
            if now_s <= life.needed_until_s
        }
        waiting = list(live_programs)
        while waiting:
            needed = self._lifetime_by_program[waiting.pop()].needs - live_programs
            needed &= self._lifetime_by_program.keys()
            live_programs |= needed
            waiting.extend(needed)
        return live_programs

    # ---- changing ----

    def add(self, key: str, entry: TurnEntry, location: Location) -> None:
        """Adds an entry that is stored in a segment."""
        self._location_by_key[key] = location
        self._keys.append((key, entry.program))
        self._keys_by_segment.setdefault(location.segment, []).append((key, entry.program))
        life = self._lifetime_by_program.setdefault(entry.program, ProgramLifetime())
        life.extend(self.now_s, entry.keep_s or 0.0)
        if entry.kind == EntryKind.USED:
            return
        ledger = self._ledger_by_program.setdefault(entry.program, ProgramLedger())
        if entry.kind == EntryKind.RESERVED:
            ledger.open_by_attempt[entry.attempt] = entry.tokens
            return
        ledger.settled_by_attempt[entry.attempt] = entry.tokens
        if entry.kind == EntryKind.TURN:
            self._turn_by_attempt[entry.attempt] = KnownTurn(
                location, entry.previous, self._incarnation_of(entry), entry.program, entry.account
            )
            self._record_dependency(entry)

    def _incarnation_of(self, entry: TurnEntry) -> EndpointIncarnation:
        """Returns the endpoint incarnation that ran a turn, as one object shared by its turns."""
        incarnation = EndpointIncarnation(entry.endpoint or "", entry.endpoint_born_ms)
        return self._incarnations.setdefault(incarnation, incarnation)

    def _record_dependency(self, entry: TurnEntry) -> None:
        """Keeps a program alive while a turn of another one continues it."""
        previous = self._turn_by_attempt.get(entry.previous or "")
        if previous is not None and previous.program != entry.program:
            self._lifetime_by_program[entry.program].needs.add(previous.program)

    def forget(
        self, entry: TurnEntry, read_entries: Callable[[Iterable[str]], Iterator[TurnEntry]]
    ) -> None:
        """Removes an entry that was not synced; other entries of its turn still count."""
        # The key keeps its position, as other disks read the keys by position.
        del self._location_by_key[entry_key(entry)]
        if entry.kind == EntryKind.USED:
            return
        ledger = self._ledger_by_program[entry.program]
        if entry.kind == EntryKind.RESERVED:
            ledger.open_by_attempt.pop(entry.attempt, None)
            return
        if entry.kind == EntryKind.TURN:
            self._turn_by_attempt.pop(entry.attempt, None)
        others = (f"{kind}{entry.attempt}" for kind in (EntryKind.TURN, EntryKind.SETTLED))
        kept = next(read_entries(others), None)
        if kept is None:
            ledger.settled_by_attempt.pop(entry.attempt, None)
        else:
            ledger.settled_by_attempt[entry.attempt] = kept.tokens

    def drop(self, segment: int, keys: list[tuple[str, str]]) -> None:
        """Removes the entries of the oldest segment."""
        self._keys_by_segment.pop(segment, None)
        # Segments are removed oldest first, so their keys are at the front.
        del self._keys[: len(keys)]
        self._dropped_keys += len(keys)
        for key, program in keys:
            self._location_by_key.pop(key, None)
            self._turn_by_attempt.pop(key[1:], None)
            self._ledger_by_program.pop(program, None)
            self._lifetime_by_program.pop(program, None)

    def drop_unused_incarnations(self) -> None:
        """Drops endpoint incarnations that ran none of the retained turns."""
        self._incarnations = {turn.run_at: turn.run_at for turn in self._turn_by_attempt.values()}
