"""A program's state at its owner.

The state holds one small entry per call, with the position of its record in a journal.
Message bytes are cached separately and rebuilt from the journal after eviction.
"""

from collections import deque

import attrs

from bayhinge._internal.models.ids import ProgramId
from bayhinge.coordination.journal_objects import RecordPosition

EMPTY_DIGEST = ""

MAX_LOST_ENDPOINTS = 8
"""Lost endpoints remembered of a program's next call; more than may end under it."""


@attrs.define
class CallEntry:
    """One recorded call of a program.

    ``history_digest`` and ``message_count`` describe the history including this call.
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
    """A non-repeatable call whose start is recorded but whose end is not."""

    index: int
    digest: str
    idempotency_key: str | None
    endpoint: str


@attrs.frozen
class LostEndpoint:
    """An endpoint that broke off a program's next call.

    Attributes:
        digest: of the call.
        has_ended: it has ended; otherwise it answered nothing.
        lost_s: when, on this host's monotonic clock; if a former owner lost it, when this host
            adopted the program.
    """

    digest: str
    endpoint: str
    address: str
    has_ended: bool
    lost_s: float


@attrs.define
class ProgramState:
    """The state of a program at its owner, except for message bytes.

    Attributes:
        lost_endpoints: those that broke off the next call, so that a successor knows of them.
    """

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
    lost_endpoints: deque[LostEndpoint] = attrs.field(
        factory=lambda: deque(maxlen=MAX_LOST_ENDPOINTS)
    )
    recent_digests: deque[str] = attrs.field(factory=lambda: deque(maxlen=64))

    @property
    def next_index(self) -> int:
        """The index of the next call."""
        return len(self.calls)

    @property
    def history_digest(self) -> str:
        """The digest of the whole recorded history."""
        return self.calls[-1].history_digest if self.calls else EMPTY_DIGEST

    @property
    def message_count(self) -> int:
        """The number of messages in the recorded history."""
        return self.calls[-1].message_count if self.calls else 0

    def count_repeats(self, digest: str) -> int:
        """Returns how many of the most recent calls in a row have this digest."""
        count = 0
        for seen in reversed(self.recent_digests):
            if seen != digest:
                break
            count += 1
        return count

    def find_by_idempotency_key(self, idempotency_key: str) -> CallEntry | None:
        """Returns the recorded call with this idempotency key, or None."""
        return next((call for call in self.calls if call.idempotency_key == idempotency_key), None)
