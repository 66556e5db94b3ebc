"""Reads a stream of events (``text/event-stream``) as it passes by."""

import re

import attrs

_BLOCK_END = re.compile(rb"\r?\n\r?\n")
_FIELD_DATA = b"data"
_FIELD_ID = b"id"
_MAX_DIGITS = 18


@attrs.frozen
class StreamEvent:
    """One event: its id where it has one, and its data without the field's name."""

    event_id: bytes | None
    data: bytes

    @property
    def number(self) -> int | None:
        """The id as a number, where it is one."""
        event_id = self.event_id
        if event_id is None or not event_id.isdigit() or len(event_id) > _MAX_DIGITS:
            return None
        return int(event_id)


class EventReader:
    """Cuts pieces of a stream into events, wherever the pieces are cut."""

    def __init__(self) -> None:
        """Starts before the first byte."""
        self._buffer = b""

    def feed(self, piece: bytes) -> list[StreamEvent]:
        """Returns the events that end in this piece."""
        return [event for _, event in self.feed_blocks(piece) if event is not None]

    def feed_blocks(self, piece: bytes) -> list[tuple[bytes, StreamEvent | None]]:
        """Returns the blocks that end in this piece, as they came, each with its event.

        A block without data, such as a comment, has no event.
        """
        text = self._buffer + piece
        blocks: list[tuple[bytes, StreamEvent | None]] = []
        start = 0
        for end in _BLOCK_END.finditer(text):
            block = text[start : end.end()]
            blocks.append((block, _read(block.replace(b"\r\n", b"\n").strip(b"\n"))))
            start = end.end()
        self._buffer = text[start:]
        return blocks

    @property
    def is_between_events(self) -> bool:
        """Whether the last piece ended with an event's end."""
        return not self._buffer.strip()

    @property
    def cut_bytes(self) -> int:
        """Bytes of an event whose end has not come."""
        return len(self._buffer)


def _read(block: bytes) -> StreamEvent | None:
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
