"""Events are parsed completely, however a stream is split into chunks."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from bayhinge._internal.network.event_stream import EventReader, StreamEvent

STREAM = (
    b"id: 1\ndata: one\n\n"
    b"bayhinge-weight-versions: 3\nid: 2\ndata: two\ndata: more\n\n"
    b": a comment\n\n"
    b"id: 3\r\ndata:three\r\n\r\n"
)
EVENTS = [StreamEvent(b"1", b"one"), StreamEvent(b"2", b"two\nmore"), StreamEvent(b"3", b"three")]


@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_events_do_not_depend_on_chunk_boundaries(split_positions: list[int]) -> None:
    reader = EventReader()
    events: list[StreamEvent] = []
    boundaries = [0, *sorted(split_positions), len(STREAM)]
    for start, end in itertools.pairwise(boundaries):
        events += reader.feed(STREAM[start:end])
    assert events == EVENTS
    assert reader.is_between_events


def test_a_stream_that_ends_within_an_event_is_detected() -> None:
    reader = EventReader()
    reader.feed(b"id: 1\ndata: one\n\nid: 2\nda")
    assert not reader.is_between_events
