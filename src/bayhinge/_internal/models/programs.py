"""A program's state at its owner.

The state of an evicted program is small: one entry a call, with the place of its
record in a journal. Message bytes live in a cache of their own and are rebuilt.
"""

from collections import deque

import attrs

from bayhinge._internal.models.ids import ProgramId
from bayhinge.coordination.journal_objects import RecordPosition

EMPTY_DIGEST = ""


@attrs.define
class CallEntry:
    """One recorded call of a program.

    ``history_digest`` and ``message_count`` describe the history after it.
    """

    index: int
    position: RecordPosition
    digest: str
    idempotency_key: str | None
    message_count: int
    history_digest: str
    has_messages: bool


@attrs.frozen
class UnfinishedCall:
    """A call that may not be repeated and whose start, but no end, is recorded."""

    index: int
    digest: str
    idempotency_key: str | None
    endpoint: str


@attrs.define
class ProgramState:
    """All that an owner knows of a program without its message bytes."""

    program_id: ProgramId
    account: str
    parent: str | None
    opened_at_ms: int
    idempotency_key: str | None = None
    calls: list[CallEntry] = attrs.field(factory=list)
    history_base: int = 0
    spend: int = 0
    attained_s: float = 0.0
    ended: str | None = None
    unfinished: UnfinishedCall | None = None
    recent_digests: deque[str] = attrs.field(factory=lambda: deque(maxlen=64))

    @property
    def next_index(self) -> int:
        """The index that the next call must bear."""
        return len(self.calls)

    @property
    def history_digest(self) -> str:
        """The digest of the whole recorded history."""
        return self.calls[-1].history_digest if self.calls else EMPTY_DIGEST

    @property
    def message_count(self) -> int:
        """How many messages the recorded history has."""
        return self.calls[-1].message_count if self.calls else 0

    def count_repeats(self, digest: str) -> int:
        """Returns how many calls at the end of the program equal ``digest``."""
        count = 0
        for seen in reversed(self.recent_digests):
            if seen != digest:
                break
            count += 1
        return count

    def find_by_idempotency_key(self, idempotency_key: str) -> CallEntry | None:
        """Returns the recorded call that bore an idempotency key."""
        return next((call for call in self.calls if call.idempotency_key == idempotency_key), None)
