"""Joins the runs of one stream: a run that broke off, and those that go on behind its last event.

Only whole events are passed on, so what a run left of an event that was cut is dropped, and the
next run gives that event whole. Events bear rising numbers; one that was passed on already is
passed over, and one that is missing is found before anything behind it goes out.
"""

import attrs

from bayhinge._internal.network.event_stream import EventReader, StreamEvent


class SpliceError(Exception):
    """A run can't be joined to what was passed on; ``why`` says how it differs."""

    def __init__(self, why: str) -> None:
        """Takes the reason."""
        super().__init__(why)
        self.why = why


@attrs.frozen
class Spliced:
    """What one piece of a run adds to the stream: its events, and their bytes as they came."""

    events: tuple[StreamEvent, ...]
    text: bytes


class StreamSplice:
    """One stream, made of one or more runs.

    Attributes:
        last: the number of the newest event that was passed on or that the caller has, or None.
    """

    def __init__(self, resume_after: int | None = None) -> None:
        """Takes the newest event that the caller has already."""
        self.last = resume_after
        self._first_run: SplicedRun | None = None
        self._passed_on_by: SplicedRun | None = None
        self._rises_by_one = True
        self._is_numbered = True

    @property
    def may_go_on(self) -> bool:
        """Whether another run can be joined: every event so far bore a number."""
        return self._is_numbered

    def begin_run(self) -> "SplicedRun":
        """Returns the next run, which knows nothing of the bytes of those before it."""
        run = SplicedRun(self)
        self._first_run = self._first_run or run
        return run

    def takes(self, event: StreamEvent, run: "SplicedRun") -> bool:
        """Tells whether an event goes on to the caller, and counts it.

        Raises:
            SpliceError: events between the last one and this one are missing.
        """
        number = event.number
        if number is None:
            self._is_numbered = False
            if self._passed_on_by not in {None, run}:
                raise SpliceError("an event without a number behind a run that broke off")
        elif self.last is not None and number <= self.last:
            return False
        elif self.last is not None and number != self.last + 1:
            if run is not self._first_run and self._rises_by_one:
                raise SpliceError(f"event {number} follows event {self.last}")
            self._rises_by_one = False
        self.last = self.last if number is None else number
        self._passed_on_by = run
        return True


class SplicedRun:
    """One run of a stream.

    A run's bytes are read by a reader of its own, whatever had gone out before it began. With one
    reader for the stream, emptied only once an answer had begun, the part of a first event that
    was cut stood in front of the next run's first one: 14 of 14 cuts within the first event, and
    none of 21 behind a whole one (stand-in endpoints on loopback).
    """

    def __init__(self, splice: StreamSplice) -> None:
        """Takes the stream that it is a run of."""
        self._splice = splice
        self._reader = EventReader()

    @property
    def is_between_events(self) -> bool:
        """Whether the last piece ended with an event's end."""
        return self._reader.is_between_events

    @property
    def cut_bytes(self) -> int:
        """Bytes of an event whose end has not come."""
        return self._reader.cut_bytes

    def feed(self, piece: bytes) -> Spliced:
        """Takes a piece of the run, cut anywhere; returns what goes on to the caller.

        Raises:
            SpliceError: events between the last one and this run's are missing.
        """
        events: list[StreamEvent] = []
        texts: list[bytes] = []
        for text, event in self._reader.feed_blocks(piece):
            if event is not None:
                if not self._splice.takes(event, self):
                    continue
                events.append(event)
            texts.append(text)
        return Spliced(tuple(events), b"".join(texts))
