"""Thrift codec for the objects that the library stores."""

from typing import Any, TypeVar

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from bayhinge.coordination.errors import CorruptObjectError

FORMAT = 1
"""Version of every stored struct; a reader refuses one that it doesn't know."""

Struct = TypeVar("Struct")

_FACTORY = TBinaryProtocolAcceleratedFactory()


def encode(struct: Any) -> bytes:
    """Encodes a thrift struct."""
    data: bytes = serialize(struct, _FACTORY)
    return data


def decode(struct: Struct, data: bytes, key: str) -> Struct:
    """Fills an empty thrift struct from ``data``, which was read from ``key``.

    Raises:
        CorruptObjectError: the bytes are no such struct, or of an unknown format.
    """
    try:
        filled = deserialize(struct, data, _FACTORY)
        filled.validate()
    except (TException, EOFError, TypeError, ValueError, MemoryError, OverflowError) as error:
        raise CorruptObjectError(key, f"not a {type(struct).__name__} ({error})") from error
    found = getattr(filled, "format", FORMAT)
    if found != FORMAT:
        raise CorruptObjectError(key, f"format {found} is unknown, this version reads {FORMAT}")
    decoded: Struct = filled
    return decoded
