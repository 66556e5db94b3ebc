"""Frame format of the entries in a segment: length, checksum, thrift struct."""

import struct
from collections.abc import Iterator

import xxhash

from bayhinge._internal.exceptions import FrameError
from bayhinge._internal.network.frames import MessageReader
from bayhinge._internal.wire.hosts.ttypes import TurnEntry

_FRAME = struct.Struct(">IQ")

HEADER_BYTES = _FRAME.size


def encode_frame(data: bytes) -> bytes:
    """Prefixes an encoded entry with its length and checksum."""
    return _FRAME.pack(len(data), xxhash.xxh3_64_intdigest(data)) + data


def read_frames(data: bytes) -> Iterator[tuple[int, int, TurnEntry]]:
    """Yields offset, length and entry of each frame, up to the first invalid one."""
    view = memoryview(data)
    reader = MessageReader(data)
    position = 0
    while position + _FRAME.size <= len(data):
        length, checksum = _FRAME.unpack_from(data, position)
        offset = position + _FRAME.size
        end = offset + length
        if end > len(data) or xxhash.xxh3_64_intdigest(view[offset:end]) != checksum:
            return
        try:
            entry = reader.read(TurnEntry(), offset)
        except FrameError:
            return
        yield offset, length, entry
        position = end
