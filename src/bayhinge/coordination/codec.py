"""Thrift codec for the objects that the library stores."""

from typing import Any, TypeVar

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from bayhinge.coordination.errors import CorruptObjectError

FORMAT = 1
"""Format version of every stored struct; readers reject any other."""

Struct = TypeVar("Struct")

_FACTORY = TBinaryProtocolAcceleratedFactory()


def encode(struct: Any) -> bytes:
    """Encodes a thrift struct."""
    data: bytes = serialize(struct, _FACTORY)
    return data


def decode(struct: Struct, data: bytes, key: str) -> Struct:
    """Decodes ``data``, which was read from ``key``, into an empty thrift struct.

    Raises:
        CorruptObjectError: the data is not such a struct, or its format is unknown.
    """
    try:
        filled = deserialize(struct, data, _FACTORY)
        filled.validate()
    except (TException, EOFError, TypeError, ValueError, MemoryError, OverflowError) as error:
        raise CorruptObjectError(key, f"not a {type(struct).__name__} ({error})") from error
    found = getattr(filled, "format", FORMAT)
    if found != FORMAT:
        raise CorruptObjectError(key, f"unsupported format {found}, expected {FORMAT}")
    decoded: Struct = filled
    return decoded
