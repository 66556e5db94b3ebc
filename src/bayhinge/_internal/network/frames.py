"""Frames of the peer link: a length, then a thrift struct."""

import asyncio
import struct
from typing import Any, TypeVar

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from bayhinge._internal.exceptions import FrameError
from bayhinge._internal.wire.frames.ttypes import Frame

MAX_FRAME_BYTES = 64_000_000
_LENGTH = struct.Struct(">I")
_FACTORY = TBinaryProtocolAcceleratedFactory()

Message = TypeVar("Message")


def encode_message(message: Any) -> bytes:
    """Encodes a thrift struct."""
    data: bytes = serialize(message, _FACTORY)
    return data


def decode_message(empty: Message, data: bytes) -> Message:
    """Fills an empty thrift struct.

    Raises:
        FrameError: the bytes are no such struct.
    """
    try:
        filled: Message = deserialize(empty, data, _FACTORY)
        filled.validate()  # type: ignore[attr-defined]
    except (TException, EOFError, TypeError, ValueError, OverflowError, MemoryError) as error:
        raise FrameError(f"no {type(empty).__name__}: {error}") from error
    return filled


def encode_frame(frame: Frame) -> bytes:
    """Returns a frame as it goes over the link."""
    data = encode_message(frame)
    return _LENGTH.pack(len(data)) + data


async def read_frame(reader: asyncio.StreamReader) -> Frame | None:
    """Reads the next frame, or returns None at the end of the connection.

    Raises:
        FrameError: the bytes are no frame, or it is too long.
    """
    try:
        head = await reader.readexactly(_LENGTH.size)
        (length,) = _LENGTH.unpack(head)
        if length > MAX_FRAME_BYTES:
            raise FrameError(f"it claims {length} bytes, the limit is {MAX_FRAME_BYTES}")
        data = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return decode_message(Frame(), data)
