"""Incremental parser of server-sent events (``text/event-stream``)."""

import re

import attrs

_BLOCK_END = re.compile(rb"\r?\n\r?\n")
_FIELD_DATA = b"data"
_FIELD_ID = b"id"
_MAX_DIGITS = 18


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

    def feed(self, piece: bytes) -> list[StreamEvent]:
        """Returns the events that are completed by this piece."""
        return [event for _, event in self.feed_blocks(piece) if event is not None]

    def feed_blocks(self, piece: bytes) -> list[tuple[bytes, StreamEvent | None]]:
        """Returns the raw blocks that are completed by this piece, each with its event.

        The event is None for a block without data, such as a comment.
        """
        text = self._buffer + piece
        blocks: list[tuple[bytes, StreamEvent | None]] = []
        start = 0
        for end in _BLOCK_END.finditer(text):
            block = text[start : end.end()]
            blocks.append((block, _parse_block(block.replace(b"\r\n", b"\n").strip(b"\n"))))
            start = end.end()
        self._buffer = text[start:]
        return blocks

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
