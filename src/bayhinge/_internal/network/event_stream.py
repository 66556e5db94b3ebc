"""Reads a stream of events (``text/event-stream``) as it passes by."""

import attrs

_FIELD_DATA = b"data"
_FIELD_ID = b"id"


@attrs.frozen
class StreamEvent:
    """One event: its id where it has one, and its data without the field's name."""

    event_id: bytes | None
    data: bytes


class EventReader:
    """Cuts pieces of a stream into events, wherever the pieces are cut."""

    def __init__(self) -> None:
        """Starts before the first byte."""
        self._rest = b""

    def feed(self, piece: bytes) -> list[StreamEvent]:
        """Returns the events that end in this piece."""
        text = self._rest + piece
        *blocks, self._rest = text.replace(b"\r\n", b"\n").split(b"\n\n")
        return [event for block in blocks if (event := _read(block)) is not None]

    @property
    def is_between_events(self) -> bool:
        """Whether the last piece ended with an event's end."""
        return not self._rest.strip()


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
