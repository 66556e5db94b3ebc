"""What is known of the sends of a request to endpoints. Pure.

All times are in seconds on the host's monotonic clock.
"""

import math
from enum import IntEnum

import attrs

from bayhinge._internal.models.endpoint_entries import EndpointIncarnation

KEEP_S = 600.0
"""How long a send is remembered that its endpoint is not known to have outlived."""

KEEP_SETTLED_S = 60.0
"""How long one is remembered that counts no longer, so that hosts that missed it hear of it."""

ENDING_S = 1.0
"""How long a process may still answer after it has failed a request and before it has ended."""

COUNTER_BITS = 23
PROCESS_BITS = 40
"""Of the number of a send: a random number of its process, and a count. Together they fit into the
signed 64 bits that messages have for them."""


class SendStage(IntEnum):
    """What is known of a send; later ones replace earlier ones.

    Attributes:
        CLAIMED: its host is about to send it; to which endpoint is not known yet.
        SENT: its bytes may have left.
        UNSERVED: it did not serve the request.
        OUTLIVED: its endpoint has answered something that was sent after the run was over. A later
            incarnation may have answered, so the endpoint may yet be found to have ended.
        ENDED: its endpoint has ended, or its entry has gone and it answers nothing.
        CLEARED: the request was served since, or the endpoint goes on after all.
    """

    CLAIMED = 1
    SENT = 2
    UNSERVED = 3
    OUTLIVED = 4
    ENDED = 5
    CLEARED = 6


@attrs.frozen
class RequestKey:
    """A request over all its attempts.

    Attributes:
        fingerprint: see :func:`fingerprint_of`.
        has_program: it names its program, so that equal requests are attempts of one caller. Other
            equal requests may come from many callers at once.
    """

    fingerprint: str
    has_program: bool


@attrs.frozen
class SendChange:
    """What has become known of a send.

    Attributes:
        sent_s: when its bytes were about to leave; None if that has not changed, as the other
            fields.
        over_s: see :class:`KnownSend`.
    """

    number: int
    stage: SendStage
    endpoint: EndpointIncarnation | None = None
    sent_s: float | None = None
    over_s: float | None = None
    broken_s: float | None = None


@attrs.frozen
class KnownSend:
    """One send of a request.

    Attributes:
        number: chosen by its host; the upper bits stand for the process.
        sent_s: when it was claimed, and then, when its bytes were about to leave.
        over_s: when its endpoint can no longer be at work on it, nor be about to end under it. Only
            an answer to what was sent later shows that the endpoint has outlived it.
        host: the peer address of its host.
        broken_s: when it failed or was given up; infinity while it is under way.
    """

    number: int
    stage: SendStage
    sent_s: float
    over_s: float
    host: str = ""
    endpoint: EndpointIncarnation = EndpointIncarnation()
    broken_s: float = math.inf

    @property
    def process(self) -> int:
        """The process that sent it."""
        return self.number >> COUNTER_BITS

    @property
    def is_under_way(self) -> bool:
        """Whether its host has told no outcome."""
        return self.stage in {SendStage.CLAIMED, SendStage.SENT}

    @property
    def counts(self) -> bool:
        """Whether its endpoint is not known to have outlived it."""
        return self.stage not in {SendStage.OUTLIVED, SendStage.CLEARED}

    def is_past(self, now_s: float) -> bool:
        """Whether it matters no more."""
        since_s = self.sent_s if math.isinf(self.broken_s) else self.broken_s
        return since_s < now_s - (KEEP_S if self.counts else KEEP_SETTLED_S)

    def changed(self, change: SendChange) -> "KnownSend":
        """Returns the send with what has become known of it, unless more was known before."""
        if change.stage <= self.stage:
            return self
        return attrs.evolve(
            self,
            stage=change.stage,
            endpoint=change.endpoint or self.endpoint,
            sent_s=self.sent_s if change.sent_s is None else change.sent_s,
            over_s=self.over_s if change.over_s is None else change.over_s,
            broken_s=self.broken_s if change.broken_s is None else change.broken_s,
        )
