"""The parts of a journal: object keys, records, positions and seals."""

import attrs

from bayhinge.coordination.errors import CorruptObjectError
from bayhinge.coordination.wire.ttypes import Seal

SEQUENCE_DIGITS = 10


@attrs.frozen
class RecordPosition:
    """The position of a record: journal, object sequence, and index of its first entry."""

    incarnation: str
    sequence: int
    entry: int


@attrs.frozen
class JournalRecord:
    """A complete record and its position."""

    position: RecordPosition
    data: bytes


@attrs.frozen
class SealInfo:
    """The end of a journal: its successors, who sealed it, and why."""

    successors: tuple[str, ...]
    sealed_by: str
    reason: str


@attrs.frozen
class JournalContents:
    """All records of a journal. ``seal`` is None while its writer may append."""

    records: tuple[JournalRecord, ...]
    seal: SealInfo | None
    next_sequence: int


def object_key(prefix: str, incarnation: str, sequence: int) -> str:
    """Returns the key of one journal object; keys sort by sequence."""
    return f"{prefix}/{incarnation}/{sequence:0{SEQUENCE_DIGITS}d}"


def sequence_of(key: str) -> int:
    """Returns the sequence number in a key.

    Raises:
        CorruptObjectError: the key is not that of a journal object.
    """
    text = key.rpartition("/")[2]
    if len(text) != SEQUENCE_DIGITS or not text.isdigit():
        raise CorruptObjectError(key, "its name is no journal sequence number")
    return int(text)


def seal_info(seal: Seal | None) -> SealInfo | None:
    """Converts a seal from its stored form."""
    if seal is None:
        return None
    return SealInfo(tuple(seal.successors), seal.sealed_by, seal.reason)
