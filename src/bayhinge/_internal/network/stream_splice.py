"""Splices an interrupted event stream with the runs that resume it into one stream.

Only complete events are forwarded: a partial event at the end of a run is dropped, and the next
run sends it again. Event numbers increase. Events that were already forwarded are skipped, and if
a run starts after a gap, none of it is forwarded.
"""

import attrs

from bayhinge._internal.network.event_stream import EventReader, StreamEvent


@attrs.frozen(eq=False, repr=False)
class SplicedEvents:
    """The events to forward for one piece of a run, and their raw bytes.

    Attributes:
        gap: the reason why no later event of the run can be forwarded, or None.
    """

    events: tuple[StreamEvent, ...] = ()
    text: bytes = b""
    gap: str | None = None


class StreamSplice:
    """One stream, spliced from one or more runs.

    Attributes:
        last: the number of the last event that was forwarded or that the caller has, or None.
        first_forwarded_by: the run that forwarded the first event of the answer, or None.
        last_forwarded_by: the run that forwarded the last event, or None.
        is_consecutive: whether each event's number is one more than the previous one's; None until
            two events have been seen.
        all_numbered: whether every event so far had a number.
    """

    def __init__(self, resume_after: int | None = None) -> None:
        self.last = resume_after
        self.first_forwarded_by: StreamRun | None = None
        self.last_forwarded_by: StreamRun | None = None
        self.is_consecutive: bool | None = None
        self.all_numbered = True

    @property
    def can_resume(self) -> bool:
        """Whether another run can resume the stream."""
        return self.all_numbered

    def begin_run(self) -> "StreamRun":
        """Returns the next run."""
        return StreamRun(self)


class StreamRun:
    """One run of a stream.

    Each run has its own event reader, so that a partial event of one run is not prepended to the
    first event of the next.
    """

    def __init__(self, splice: StreamSplice) -> None:
        self._splice = splice
        self._reader = EventReader()
        self._deferred: list[tuple[bytes, StreamEvent | None]] = []

    @property
    def is_between_events(self) -> bool:
        """Whether the last piece ended at the end of an event."""
        return self._reader.is_between_events

    @property
    def cut_bytes(self) -> int:
        """Bytes received of an incomplete event."""
        return self._reader.cut_bytes

    def feed(self, piece: bytes) -> SplicedEvents:
        """Processes a piece of the run, split anywhere; returns what to forward to the caller."""
        forwarded: list[tuple[bytes, StreamEvent | None]] = []
        gap = None
        for text, event in self._reader.feed_blocks(piece):
            gap = self._process_block(text, event, forwarded)
            if gap is not None:
                break
        # Events before a gap are recorded as forwarded, so they must be returned.
        return SplicedEvents(
            tuple(event for _, event in forwarded if event is not None),
            b"".join(text for text, _ in forwarded),
            gap,
        )

    def end(self) -> SplicedEvents:
        """Processes the complete end of the run; a deferred event then counts as a gap."""
        deferred = self._deferred_event()
        if deferred is None:
            return SplicedEvents()
        return SplicedEvents(gap=f"event {deferred.number} alone follows event {self._splice.last}")

    def _process_block(
        self,
        text: bytes,
        event: StreamEvent | None,
        forwarded: list[tuple[bytes, StreamEvent | None]],
    ) -> str | None:
        """Adds a block to ``forwarded`` if it is due; returns the reason for a gap, or None."""
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
            return "an event without a number after an interrupted run"
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
            return f"event {number} follows one without a number"
        if splice.last is not None and number <= splice.last:
            return None
        if splice.last is not None and number != splice.last + 1:
            if splice.first_forwarded_by is self:
                # A gap within one run shows that this endpoint does not number consecutively.
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
        """Decides whether a deferred event follows a gap, by the number of the next event."""
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
        """Whether the last forwarded event came from another run."""
        return self._splice.last_forwarded_by not in {None, self}

    def _deferred_event(self) -> StreamEvent | None:
        return self._deferred[0][1] if self._deferred else None
