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
        first_run: the run that passed the answer's first event on, or None.
        passed_on_by: the run whose event was the newest that was passed on, or None.
        rises_by_one: whether each event's number is one more than the one before, or None where no
            two events have shown it yet.
        is_numbered: every event so far bore a number.
    """

    def __init__(self, resume_after: int | None = None) -> None:
        """Takes the newest event that the caller has already."""
        self.last = resume_after
        self.first_run: SplicedRun | None = None
        self.passed_on_by: SplicedRun | None = None
        self.rises_by_one: bool | None = None
        self.is_numbered = True

    @property
    def may_go_on(self) -> bool:
        """Whether another run can be joined: every event so far bore a number."""
        return self.is_numbered

    def begin_run(self) -> "SplicedRun":
        """Returns the next run, which knows nothing of the bytes of those before it."""
        return SplicedRun(self)


class SplicedRun:
    """One run of a stream.

    A run's bytes are read by a reader of its own, and its end ends the reader, whether or not
    anything has gone out. Bytes that stay behind in a shared reader would stand in front of the
    next run's first event.
    """

    def __init__(self, splice: StreamSplice) -> None:
        """Takes the stream that it is a run of."""
        self._splice = splice
        self._reader = EventReader()
        self._held: list[tuple[bytes, StreamEvent | None]] = []

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
        passed: list[tuple[bytes, StreamEvent | None]] = []
        gap = None
        for text, event in self._reader.feed_blocks(piece):
            gap = self._take(text, event, passed)
            if gap is not None:
                break
        # What came in front of a gap counts as passed on, so it does go on.
        return Spliced(
            tuple(event for _, event in passed if event is not None),
            b"".join(text for text, _ in passed),
            gap,
        )

    def end(self) -> Spliced:
        """Takes the run's whole end; an event that is still held back may have missing ones."""
        held = self._held_event()
        if held is None:
            return Spliced()
        return Spliced(gap=f"event {held.number} alone follows event {self._splice.last}")

    def _take(
        self,
        text: bytes,
        event: StreamEvent | None,
        passed: list[tuple[bytes, StreamEvent | None]],
    ) -> str | None:
        """Adds to ``passed`` what goes on; returns why nothing more does, or None."""
        if event is None:
            (self._held or passed).append((text, None))
            return None
        number = event.number
        if number is None:
            return self._take_unnumbered(text, event, passed)
        held = self._held_event()
        if held is not None:
            return self._resolve(held, text, event, passed)
        return self._take_numbered(text, event, number, passed)

    def _take_unnumbered(
        self, text: bytes, event: StreamEvent, passed: list[tuple[bytes, StreamEvent | None]]
    ) -> str | None:
        splice = self._splice
        if self._is_joined or self._held:
            return "an event without a number behind a run that broke off"
        splice.is_numbered = False
        self._note_passed()
        passed.append((text, event))
        return None

    def _take_numbered(
        self,
        text: bytes,
        event: StreamEvent,
        number: int,
        passed: list[tuple[bytes, StreamEvent | None]],
    ) -> str | None:
        splice = self._splice
        if self._is_joined and not splice.is_numbered:
            return f"event {number} behind one without a number"
        if splice.last is not None and number <= splice.last:
            return None
        if splice.last is not None and number != splice.last + 1:
            if splice.first_run is self:
                # An endpoint that leaves numbers out by itself counts in another way.
                splice.rises_by_one = False
            elif splice.rises_by_one:
                return f"event {number} follows event {splice.last}"
            elif splice.rises_by_one is None:
                self._held.append((text, event))
                return None
        elif splice.last is not None and splice.rises_by_one is None:
            splice.rises_by_one = True
        self._pass_on(text, event, number, passed)
        return None

    def _resolve(
        self,
        held: StreamEvent,
        text: bytes,
        event: StreamEvent,
        passed: list[tuple[bytes, StreamEvent | None]],
    ) -> str | None:
        """Decides on an event that was held back, by how the next one's number differs."""
        splice = self._splice
        assert held.number is not None
        assert event.number is not None
        if event.number <= held.number:
            return None
        if event.number == held.number + 1:
            return f"event {held.number} follows event {splice.last}"
        splice.rises_by_one = False
        blocks, self._held = [*self._held, (text, event)], []
        for block, one in blocks:
            self._pass_on(block, one, None if one is None else one.number, passed)
        return None

    def _pass_on(
        self,
        text: bytes,
        event: StreamEvent | None,
        number: int | None,
        passed: list[tuple[bytes, StreamEvent | None]],
    ) -> None:
        passed.append((text, event))
        if number is not None:
            self._splice.last = number
            self._note_passed()

    def _note_passed(self) -> None:
        splice = self._splice
        splice.first_run = splice.first_run or self
        splice.passed_on_by = self

    @property
    def _is_joined(self) -> bool:
        """Whether events of another run of this answer went on before this one's."""
        return self._splice.passed_on_by not in {None, self}

    def _held_event(self) -> StreamEvent | None:
        return self._held[0][1] if self._held else None
