"""Frames of the peer link: a 4-byte big-endian length, then a thrift struct."""

import struct
from collections.abc import Iterator
from typing import Any, TypeVar

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer, TTransportBase

from bayhinge._internal.exceptions import FrameError
from bayhinge._internal.wire.frames.ttypes import Frame

MAX_FRAME_BYTES = 64_000_000
"""Longest frame that is sent or read."""

_LENGTH = struct.Struct(">I")
Message = TypeVar("Message")


class _WriteBuffer(TTransportBase):  # type: ignore[misc]
    """A thrift transport that collects written bytes."""

    def __init__(self) -> None:
        self._pieces: list[bytes] = []

    def write(self, data: bytes) -> None:
        self._pieces.append(data)

    def drain(self) -> bytes:
        data = b"".join(self._pieces)
        self._pieces.clear()
        return data


# Shared by the whole process, since creating them takes longer than encoding a struct.
_write_buffer = _WriteBuffer()
_encoder = TBinaryProtocolAccelerated(_write_buffer)
# The library's own limit is below that of frames, and breaks the link of the frame that exceeds it.
_decoder = TBinaryProtocolAccelerated(None, string_length_limit=MAX_FRAME_BYTES)


def encode_message(message: Any) -> bytes:
    """Encodes a thrift struct."""
    try:
        message.write(_encoder)
    finally:
        data = _write_buffer.drain()
    return data


def decode_message(empty: Message, data: bytes) -> Message:
    """Decodes bytes into an empty thrift struct and returns it.

    Raises:
        FrameError: the bytes are not a valid struct of this type.
    """
    try:
        _decoder.trans = TMemoryBuffer(data)
        empty.read(_decoder)  # type: ignore[attr-defined]
        empty.validate()  # type: ignore[attr-defined]
    except (TException, EOFError, TypeError, ValueError, OverflowError, MemoryError) as error:
        raise FrameError(f"invalid {type(empty).__name__}: {error}") from error
    return empty


class MessageReader:
    """Decodes many thrift structs from one buffer, faster than :func:`decode_message` on each."""

    def __init__(self, data: bytes) -> None:
        self._buffer = TMemoryBuffer(data)
        self._protocol = TBinaryProtocolAccelerated(
            self._buffer, string_length_limit=MAX_FRAME_BYTES
        )

    def read(self, empty: Message, offset: int) -> Message:
        """Decodes the thrift struct at ``offset`` into an empty one and returns it.

        Raises:
            FrameError: the bytes are not a valid struct of this type.
        """
        self._buffer.cstringio_buf.seek(offset)
        try:
            empty.read(self._protocol)  # type: ignore[attr-defined]
            empty.validate()  # type: ignore[attr-defined]
        except (TException, EOFError, TypeError, ValueError, OverflowError, MemoryError) as error:
            raise FrameError(f"invalid {type(empty).__name__}: {error}") from error
        return empty


def encode_frame(frame: Frame) -> bytes:
    """Returns the wire form of a frame.

    Raises:
        FrameError: it is too long; the peer would break the link with all of its calls.
    """
    data = encode_message(frame)
    if len(data) > MAX_FRAME_BYTES:
        raise FrameError(f"length {len(data)} exceeds {MAX_FRAME_BYTES} bytes")
    return _LENGTH.pack(len(data)) + data


class FrameSplitter:
    """Splits the byte stream of a link into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def unfinished_bytes(self) -> int:
        """Bytes of the frame that has not arrived whole."""
        return len(self._buffer)

    def clear(self) -> None:
        """Drops the unfinished frame."""
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Adds received bytes and yields the frames that are now complete.

        Raises:
            FrameError: a frame is invalid or too long.
        """
        self._buffer += data
        position = 0
        try:
            while len(self._buffer) - position >= _LENGTH.size:
                (length,) = _LENGTH.unpack_from(self._buffer, position)
                if length > MAX_FRAME_BYTES:
                    raise FrameError(f"length {length} exceeds {MAX_FRAME_BYTES} bytes")
                end = position + _LENGTH.size + length
                if len(self._buffer) < end:
                    return
                body = bytes(self._buffer[position + _LENGTH.size : end])
                position = end
                yield decode_message(Frame(), body)
        finally:
            del self._buffer[:position]
