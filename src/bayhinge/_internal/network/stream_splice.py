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
        self._reader = EventReader()
        self._is_first_run = True
        self._rises_by_one = True
        self._is_numbered = True

    @property
    def may_go_on(self) -> bool:
        """Whether another run can be joined: every event so far bore a number."""
        return self._is_numbered

    @property
    def is_between_events(self) -> bool:
        """Whether the run's last piece ended with an event's end."""
        return self._reader.is_between_events

    @property
    def cut_bytes(self) -> int:
        """Bytes that the run has given of an event whose end has not come."""
        return self._reader.cut_bytes

    def start_run(self) -> None:
        """Begins the next run; the rest of an event that was cut is dropped."""
        self._reader = EventReader()
        self._is_first_run = False

    def feed(self, piece: bytes) -> Spliced:
        """Takes a piece of the run, cut anywhere; returns what goes on to the caller.

        Raises:
            SpliceError: events between the last one and this run's are missing.
        """
        events: list[StreamEvent] = []
        texts: list[bytes] = []
        for text, event in self._reader.feed_blocks(piece):
            if event is not None:
                if not self._takes(event):
                    continue
                events.append(event)
            texts.append(text)
        return Spliced(tuple(events), b"".join(texts))

    def _takes(self, event: StreamEvent) -> bool:
        """Tells whether an event goes on to the caller, and counts it."""
        number = event.number
        if number is None:
            self._is_numbered = False
            if not self._is_first_run:
                raise SpliceError("an event without a number behind a run that broke off")
            return True
        if self.last is not None:
            if number <= self.last:
                return False
            if number != self.last + 1:
                if not self._is_first_run and self._rises_by_one:
                    raise SpliceError(f"event {number} follows event {self.last}")
                self._rises_by_one = False
        self.last = number
        return True
