"""Incremental parser of server-sent events (``text/event-stream``)."""

import re

import attrs

MAX_EVENT_BYTES = 4_194_304
"""Longest event; the usual limit of a whole body."""

MAX_IDLE_BYTES = 65_536
"""Most bytes of blocks without an event in a row. A comment that keeps a connection open has some
ten bytes and comes every few seconds."""

_MAX_BLOCK_END_BYTES = 3
_BLOCK_END = re.compile(rb"\r?\n\r?\n")
_FIELD_DATA = b"data"
_FIELD_ID = b"id"
_MAX_DIGITS = 18


class EndlessStreamError(Exception):
    """A stream sends bytes that are no events, or an event without an end."""


@attrs.frozen
class StreamEvent:
    """One event: its id, or None, and its data without field names."""

    event_id: bytes | None
    data: bytes

    @property
    def number(self) -> int | None:
        """The id as a number, or None if it is not one."""
        event_id = self.event_id
        if event_id is None or not event_id.isdigit() or len(event_id) > _MAX_DIGITS:
            return None
        return int(event_id)


class EventReader:
    """Splits a stream into events, however it is split into pieces."""

    def __init__(self) -> None:
        self._buffer = b""
        self._idle_bytes = 0

    def feed(self, piece: bytes) -> list[StreamEvent]:
        """Returns the events that are completed by this piece."""
        return [event for _, event in self.feed_blocks(piece) if event is not None]

    def feed_blocks(self, piece: bytes) -> list[tuple[bytes, StreamEvent | None]]:
        """Returns the raw blocks that are completed by this piece, each with its event.

        The event is None for a block without data, such as a comment.

        Raises:
            EndlessStreamError: an event is too long, or too much came without any event.
        """
        # What was searched already can only hold the beginning of a block's end.
        searched = max(0, len(self._buffer) - _MAX_BLOCK_END_BYTES)
        text = self._buffer + piece
        blocks: list[tuple[bytes, StreamEvent | None]] = []
        start = 0
        for end in _BLOCK_END.finditer(text, searched):
            block = text[start : end.end()]
            event = _parse_block(block.replace(b"\r\n", b"\n").strip(b"\n"))
            self._count_idle(block, event)
            blocks.append((block, event))
            start = end.end()
        self._buffer = text[start:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EndlessStreamError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        return blocks

    def _count_idle(self, block: bytes, event: StreamEvent | None) -> None:
        self._idle_bytes = 0 if event is not None else self._idle_bytes + len(block)
        if self._idle_bytes > MAX_IDLE_BYTES:
            raise EndlessStreamError(f"no event in {MAX_IDLE_BYTES} bytes")

    @property
    def is_between_events(self) -> bool:
        """Whether the last piece ended at the end of an event."""
        return not self._buffer.strip()

    @property
    def cut_bytes(self) -> int:
        """Bytes received of an incomplete event."""
        return len(self._buffer)


def _parse_block(block: bytes) -> StreamEvent | None:
    data: list[bytes] = []
    event_id: bytes | None = None
    for line in block.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == _FIELD_DATA:
            data.append(value)
        elif name == _FIELD_ID:
            event_id = value
    return StreamEvent(event_id, b"\n".join(data)) if data else None
