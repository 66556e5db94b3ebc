"""Joins the runs of one stream: a run that broke off, and those that go on behind its last event.

Only whole events are passed on, so what a run left of an event that was cut is dropped, and the
next run gives that event whole. Events bear rising numbers; one that was passed on already is
passed over, and where events between the last one and a run's first are missing, nothing of that
run goes on.
"""

import attrs

from bayhinge._internal.network.event_stream import EventReader, StreamEvent


@attrs.frozen
class Spliced:
    """What one piece of a run adds to the stream: its events, and their bytes as they came.

    Attributes:
        gap: why nothing behind these events can go on, or None.
    """

    events: tuple[StreamEvent, ...] = ()
    text: bytes = b""
    gap: str | None = None


class StreamSplice:
    """One stream, made of one or more runs.

    Attributes:
        last: the number of the newest event that was passed on or that the caller has, or None.
        first_forwarded_by: the run that passed the answer's first event on, or None.
        last_forwarded_by: the run whose event was the newest that was passed on, or None.
        is_consecutive: whether each event's number is one more than the previous one's; None until
            two events have been seen.
        all_numbered: every event so far bore a number.
    """

    def __init__(self, resume_after: int | None = None) -> None:
        """Takes the newest event that the caller has already."""
        self.last = resume_after
        self.first_forwarded_by: StreamRun | None = None
        self.last_forwarded_by: StreamRun | None = None
        self.is_consecutive: bool | None = None
        self.all_numbered = True

    @property
    def may_go_on(self) -> bool:
        """Whether another run can be joined: every event so far bore a number."""
        return self.all_numbered

    def begin_run(self) -> "StreamRun":
        """Returns the next run, which knows nothing of the bytes of those before it."""
        return StreamRun(self)


class StreamRun:
    """One run of a stream.

    A run's bytes are read by a reader of its own, and its end ends the reader, whether or not
    anything has gone out. Bytes that stay behind in a shared reader would stand in front of the
    next run's first event.
    """

    def __init__(self, splice: StreamSplice) -> None:
        """Takes the stream that it is a run of."""
        self._splice = splice
        self._reader = EventReader()
        self._deferred: list[tuple[bytes, StreamEvent | None]] = []

    @property
    def is_between_events(self) -> bool:
        """Whether the last piece ended with an event's end."""
        return self._reader.is_between_events

    @property
    def cut_bytes(self) -> int:
        """Bytes of an event whose end has not come."""
        return self._reader.cut_bytes

    def feed(self, piece: bytes) -> Spliced:
        """Takes a piece of the run, cut anywhere; returns what goes on to the caller."""
        forwarded: list[tuple[bytes, StreamEvent | None]] = []
        gap = None
        for text, event in self._reader.feed_blocks(piece):
            gap = self._process_block(text, event, forwarded)
            if gap is not None:
                break
        # What came in front of a gap counts as passed on, so it does go on.
        return Spliced(
            tuple(event for _, event in forwarded if event is not None),
            b"".join(text for text, _ in forwarded),
            gap,
        )

    def end(self) -> Spliced:
        """Takes the run's whole end; an event that is still held back may have missing ones."""
        deferred = self._deferred_event()
        if deferred is None:
            return Spliced()
        return Spliced(gap=f"event {deferred.number} alone follows event {self._splice.last}")

    def _process_block(
        self,
        text: bytes,
        event: StreamEvent | None,
        forwarded: list[tuple[bytes, StreamEvent | None]],
    ) -> str | None:
        """Adds to ``forwarded`` what goes on; returns why nothing more does, or None."""
        if event is None:
            (self._deferred or forwarded).append((text, None))
            return None
        number = event.number
        if number is None:
            return self._process_unnumbered(text, event, forwarded)
        deferred = self._deferred_event()
        if deferred is not None:
            return self._resolve(deferred, text, event, forwarded)
        return self._process_numbered(text, event, number, forwarded)

    def _process_unnumbered(
        self, text: bytes, event: StreamEvent, forwarded: list[tuple[bytes, StreamEvent | None]]
    ) -> str | None:
        splice = self._splice
        if self._is_joined or self._deferred:
            return "an event without a number behind a run that broke off"
        splice.all_numbered = False
        self._record_forwarded()
        forwarded.append((text, event))
        return None

    def _process_numbered(
        self,
        text: bytes,
        event: StreamEvent,
        number: int,
        forwarded: list[tuple[bytes, StreamEvent | None]],
    ) -> str | None:
        splice = self._splice
        if self._is_joined and not splice.all_numbered:
            return f"event {number} behind one without a number"
        if splice.last is not None and number <= splice.last:
            return None
        if splice.last is not None and number != splice.last + 1:
            if splice.first_forwarded_by is self:
                # An endpoint that leaves numbers out by itself counts in another way.
                splice.is_consecutive = False
            elif splice.is_consecutive:
                return f"event {number} follows event {splice.last}"
            elif splice.is_consecutive is None:
                self._deferred.append((text, event))
                return None
        elif splice.last is not None and splice.is_consecutive is None:
            splice.is_consecutive = True
        self._forward(text, event, number, forwarded)
        return None

    def _resolve(
        self,
        deferred: StreamEvent,
        text: bytes,
        event: StreamEvent,
        forwarded: list[tuple[bytes, StreamEvent | None]],
    ) -> str | None:
        """Decides on an event that was held back, by how the next one's number differs."""
        splice = self._splice
        assert deferred.number is not None
        assert event.number is not None
        if event.number <= deferred.number:
            return None
        if event.number == deferred.number + 1:
            return f"event {deferred.number} follows event {splice.last}"
        splice.is_consecutive = False
        blocks, self._deferred = [*self._deferred, (text, event)], []
        for block, one in blocks:
            self._forward(block, one, None if one is None else one.number, forwarded)
        return None

    def _forward(
        self,
        text: bytes,
        event: StreamEvent | None,
        number: int | None,
        forwarded: list[tuple[bytes, StreamEvent | None]],
    ) -> None:
        forwarded.append((text, event))
        if number is not None:
            self._splice.last = number
            self._record_forwarded()

    def _record_forwarded(self) -> None:
        splice = self._splice
        splice.first_forwarded_by = splice.first_forwarded_by or self
        splice.last_forwarded_by = self

    @property
    def _is_joined(self) -> bool:
        """Whether events of another run of this answer went on before this one's."""
        return self._splice.last_forwarded_by not in {None, self}

    def _deferred_event(self) -> StreamEvent | None:
        return self._deferred[0][1] if self._deferred else None
