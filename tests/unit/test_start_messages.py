"""Endpoint incarnations in messages between hosts: compact, and compatible with older releases."""

from typing import Any

import pytest

from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.wire.hosts import ttypes as wire

FIELD_BYTES = 11
"""A field's type, its number and 64 bits."""

LOADS = wire.HostLoads("h", 1, 2, 3, {"a": 4}, ["b"])
HEARTBEAT = wire.Hello(
    "h", 1, 2, wire.HostRole.ENTRY, wire.HostPhase.READY, "n", "g", "p", "f", {}, {}, 0, [], False
)
MESSAGES = [
    (LOADS, "endpoints_known_to"),
    (wire.HallLoads("n", "h", 1, 2, {"a": 4}), "endpoints_known_to"),
    (HEARTBEAT, "endpoints_known_to"),
    (wire.PlaceCall(LOADS, "app", "a", "", []), "wished_born_ms"),
    (wire.TurnEntry(wire.EntryKind.TURN, "t", "p", 1, None, b"x", "a", 1.0), "endpoint_born_ms"),
    (wire.ReserveReply(1, {}, {}, b"x", None, "a"), "endpoint_born_ms"),
]


class OlderHost:
    """Reads and writes a message as an older release does, without one of its fields."""

    def __init__(self, message: Any, field: str) -> None:
        kind = type(message)
        spec = tuple(None if one and one[2] == field else one for one in kind.thrift_spec)
        assert spec != kind.thrift_spec
        self.kind = type(f"Old{kind.__name__}", (kind,), {"thrift_spec": spec})

    def read(self, data: bytes) -> Any:
        return decode_message(self.kind(), data)


@pytest.mark.parametrize(("message", "field"), MESSAGES)
def test_an_older_host_reads_a_message_with_the_field(message: Any, field: str) -> None:
    bare = encode_message(message)
    setattr(message, field, 1_700_000_000_000)
    data = encode_message(message)
    setattr(message, field, None)
    assert len(data) == len(bare) + FIELD_BYTES
    assert getattr(OlderHost(message, field).read(data), field) is None
    assert encode_message(OlderHost(message, field).read(data)) == bare


@pytest.mark.parametrize(("message", "field"), MESSAGES)
def test_a_message_of_an_older_host_leaves_the_incarnation_unknown(
    message: Any, field: str
) -> None:
    assert getattr(decode_message(type(message)(), encode_message(message)), field) is None
