"""What one caller's connection may send, and the phases of its requests. Pure.

A connection's bytes are counted from its first to its last: the head of each request with empty
lines before it, and what frames a chunked body (the lines before its chunks, and its trailers). The
parser of HTTP says where heads and bodies end; nothing else of HTTP is known here.
"""

from enum import StrEnum

import attrs

from bayhinge._internal.models.routing import RequestLimits

FRAMING_BYTES_PER_BODY_BYTE = 16
"""Framing that each byte of a chunked body allows, beside the bound on a head. A caller that sends
every byte as a chunk of its own uses five."""

MIN_PROGRESS_BYTES = 1024
"""A body comes further by so many bytes. A caller that sends a byte now and then to keep its place
counts as one that has stopped."""


class ConnectionPhase(StrEnum):
    """What a connection does.

    Attributes:
        IDLE: it rests between requests, or has sent nothing yet.
        HEAD: part of a head has arrived.
        BODY: a request is in progress, and its body has not arrived whole.
        BUSY: a request that has arrived whole is in progress.
        DRAINING: the answer was sent before the body had arrived; the rest is dropped.
        REFUSED: it has broken a limit, and nothing of it is read any more.
    """

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    BUSY = "busy"
    DRAINING = "draining"
    REFUSED = "refused"

    # Enum's own is a Python function; phases are keys that are looked up for each request.
    __hash__ = str.__hash__


# Looking up a member of an enumeration takes about as long as a call.
_IDLE, _HEAD, _BODY = ConnectionPhase.IDLE, ConnectionPhase.HEAD, ConnectionPhase.BODY
_BUSY, _DRAINING = ConnectionPhase.BUSY, ConnectionPhase.DRAINING


class ClosingCause(StrEnum):
    """Why a host closes a connection.

    Attributes:
        HEAD_BYTES: a head, with the empty lines before it, is too long.
        HEAD_TIME: a head has taken too long.
        IDLE_TIME: the connection has rested for too long.
        FRAMING_BYTES: the lines around the chunks of a body, or its trailers, are too long.
        DRAINED_BYTES: the body of a request that was refused goes on beyond the longest body.
        FRAME_BYTES: the unfinished frames of other hosts are too long together.
        MALFORMED: the parser could not read the request.
        NO_ROOM: the host has no room for the connection.
        STALLED_BODY: a body has stopped, and others wait for the memory that it holds.
    """

    HEAD_BYTES = "head_bytes"
    HEAD_TIME = "head_time"
    IDLE_TIME = "idle_time"
    FRAMING_BYTES = "framing_bytes"
    DRAINED_BYTES = "drained_bytes"
    FRAME_BYTES = "frame_bytes"
    MALFORMED = "malformed"
    NO_ROOM = "no_room"
    STALLED_BODY = "stalled_body"


@attrs.define(eq=False)
class ConnectionProgress:
    """How far a connection has come.

    Attributes:
        phase: what it does now.
        progress_s: when it last came further, on the loop's clock; for an idle connection, since
            when it rests.
        head_began_s: when the first byte of the present head arrived.
        head_bytes: bytes of the present head.
        body_bytes: bytes of the present body, without its framing.
        uncounted_bytes: size of the piece in which the last request ended. It may also hold the
            start of the present head, which is not among ``head_bytes``.
    """

    progress_s: float
    phase: ConnectionPhase = _IDLE
    head_began_s: float = 0.0
    head_bytes: int = 0
    body_bytes: int = 0
    uncounted_bytes: int = 0
    _framing_bytes: int = 0
    _noted_body_bytes: int = 0

    def feed(
        self, size: int, heads: int, body_bytes: int | None, limits: RequestLimits, now_s: float
    ) -> ClosingCause | None:
        """Counts received bytes; returns the limit that they break, if any.

        Args:
            size: how many bytes were received.
            heads: how many heads ended in them.
            body_bytes: the length of the last request's body so far, or None if it is whole.
            limits: the limits in force.
            now_s: the time on the loop's clock.
        """
        if body_bytes is not None:
            return self._feed_body(size, heads > 0, body_bytes, limits, now_s)
        if heads or self.phase is _BODY:
            self._begin_phase(_BUSY, now_s)
            # Without new bytes, the parser has gone on with what it had kept of them.
            self.uncounted_bytes = size or self.uncounted_bytes
            return None
        if self.phase is _DRAINING:
            self._begin_phase(_IDLE, now_s)
            return None
        return self._feed_head(size, limits, now_s)

    def _feed_head(self, size: int, limits: RequestLimits, now_s: float) -> ClosingCause | None:
        if not size:
            return None
        if not self.head_bytes:
            self.head_began_s = now_s
        self.head_bytes += size
        self.progress_s = now_s
        if self.phase is _IDLE:
            self.phase = _HEAD
        if self.head_bytes > limits.head_bytes:
            return ClosingCause.HEAD_BYTES
        return None

    def _feed_body(
        self, size: int, is_new: bool, body_bytes: int, limits: RequestLimits, now_s: float
    ) -> ClosingCause | None:
        if is_new:
            # How much of the piece was the head is unknown; framing counts from the next one on.
            self._begin_phase(_BODY, now_s)
            self.body_bytes = self._noted_body_bytes = body_bytes
            return None
        grown = body_bytes - self.body_bytes
        self._framing_bytes += size - grown
        self.body_bytes = body_bytes
        if body_bytes - self._noted_body_bytes >= MIN_PROGRESS_BYTES:
            self._noted_body_bytes = body_bytes
            self.progress_s = now_s
        if self.phase is _DRAINING and body_bytes > limits.body_bytes:
            return ClosingCause.DRAINED_BYTES
        allowed = limits.head_bytes + FRAMING_BYTES_PER_BODY_BYTE * body_bytes
        if self._framing_bytes > allowed:
            return ClosingCause.FRAMING_BYTES
        return None

    def end_answer(self, has_more: bool, now_s: float) -> None:
        """Notes that an answer was sent.

        Args:
            has_more: whether a request behind it has arrived.
            now_s: the time on the loop's clock.
        """
        if self.phase is _BODY and not has_more:
            self.phase = _DRAINING
        elif self.phase is _BUSY and not has_more:
            self.phase = _HEAD if self.head_bytes else _IDLE
            # Its reading may have been paused so far.
            self.progress_s = self.head_began_s = now_s

    def refuse(self) -> None:
        """Notes that nothing more is read."""
        self.phase = ConnectionPhase.REFUSED

    def overdue(self, limits: RequestLimits, now_s: float) -> ClosingCause | None:
        """Returns the time limit that the connection has passed, if any."""
        if self.phase is _HEAD and now_s - self.head_began_s > limits.head_s:
            return ClosingCause.HEAD_TIME
        if self.phase is _IDLE and now_s - self.progress_s > limits.idle_s:
            return ClosingCause.IDLE_TIME
        return None

    def _begin_phase(self, phase: ConnectionPhase, now_s: float) -> None:
        self.phase = phase
        self.progress_s = now_s
        self.head_bytes = self.body_bytes = self._framing_bytes = 0
