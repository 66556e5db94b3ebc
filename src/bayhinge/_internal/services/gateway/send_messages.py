"""Messages between hosts about sends, to and from what :mod:`known_sends` defines."""

import math

from bayhinge._internal.decisions.known_sends import (
    KnownSend,
    RequestKey,
    SendChange,
    SendStage,
)
from bayhinge._internal.exceptions import FrameError
from bayhinge._internal.models.endpoint_entries import EndpointIncarnation
from bayhinge._internal.wire.hosts import ttypes as wire

MICROSECONDS = 1_000_000
"""Microseconds in a second."""

MAX_TOLD_S = 1000.0
"""Longer times are told as this one; it fits the message, and nothing is remembered for so long."""


def encode_claim(key: RequestKey, number: int, over_in_s: float) -> wire.LoadNews:
    """Returns the message that tells a claim and asks for earlier sends."""
    claim = wire.SendClaim(bytes.fromhex(key.fingerprint), number, _ms(over_in_s))
    claim.has_program = None if key.has_program else False
    return wire.LoadNews(claim=claim)


def decode_claim(claim: wire.SendClaim, host: str, now_s: float) -> tuple[RequestKey, KnownSend]:
    """Returns the request and the claimed send of a host, given by its peer address."""
    over_s = now_s + claim.over_in_ms / 1000
    key = _key(claim.request, claim.has_program)
    return key, KnownSend(claim.number, SendStage.CLAIMED, now_s, over_s, host)


def encode_sends(key: RequestKey, sends: list[KnownSend], now_s: float) -> wire.LoadNews:
    """Returns the message that tells sends of a request to a host that lacks them."""
    records = [encode_send(send, now_s) for send in sends]
    told = wire.RequestSends(bytes.fromhex(key.fingerprint), records)
    told.has_program = None if key.has_program else False
    return wire.LoadNews(sends=told)


def decode_sends(
    told: wire.RequestSends, teller: str, now_s: float
) -> tuple[RequestKey, list[KnownSend]]:
    """Returns a request and its sends, as a host has told them, given by its peer address.

    Raises:
        FrameError: a field is out of range.
    """
    return _key(told.request, told.has_program), [
        decode_send(each, teller, now_s) for each in told.sends
    ]


def encode_send(send: KnownSend, now_s: float) -> wire.SendRecord:
    """Returns all that is known of a send."""
    record = wire.SendRecord(send.number, send.stage)
    _set_endpoint(record, send.endpoint)
    record.over_in_ms = _ms(send.over_s - now_s)
    record.sent_us_ago = _us(now_s - send.sent_s)
    record.broken_us_ago = None if math.isinf(send.broken_s) else _us(now_s - send.broken_s)
    record.host = send.host or None
    return record


def decode_send(record: wire.SendRecord, teller: str, now_s: float) -> KnownSend:
    """Returns what another host knows of a send; one without a host is its own.

    Raises:
        FrameError: its stage is none.
    """
    change = decode_change(record, now_s)
    return KnownSend(
        record.number,
        change.stage,
        now_s - (record.sent_us_ago or 0) / MICROSECONDS,
        now_s if change.over_s is None else change.over_s,
        record.host or teller,
        change.endpoint or EndpointIncarnation(),
        math.inf if change.broken_s is None else change.broken_s,
    )


def encode_change(change: SendChange, now_s: float) -> wire.SendRecord:
    """Returns what has become known of a send."""
    record = wire.SendRecord(change.number, change.stage)
    if change.endpoint is not None:
        _set_endpoint(record, change.endpoint)
    if change.over_s is not None:
        record.over_in_ms = _ms(change.over_s - now_s)
    if change.broken_s is not None:
        record.broken_us_ago = _us(now_s - change.broken_s)
    return record


def decode_change(record: wire.SendRecord, now_s: float) -> SendChange:
    """Returns what has become known of a send.

    Raises:
        FrameError: its stage is none.
    """
    stage = _stage(record)
    return SendChange(
        record.number,
        stage,
        EndpointIncarnation(record.endpoint, record.endpoint_born_ms) if record.endpoint else None,
        now_s if stage is SendStage.SENT else None,
        None if record.over_in_ms is None else now_s + record.over_in_ms / 1000,
        None if record.broken_us_ago is None else now_s - record.broken_us_ago / MICROSECONDS,
    )


def _stage(record: wire.SendRecord) -> SendStage:
    try:
        return SendStage(record.stage)
    except ValueError as error:
        raise FrameError(f"invalid SendRecord: stage {record.stage}") from error


def _key(request: bytes, has_program: bool | None) -> RequestKey:
    return RequestKey(request.hex(), has_program is not False)


def _set_endpoint(record: wire.SendRecord, endpoint: EndpointIncarnation) -> None:
    record.endpoint = endpoint.endpoint or None
    record.endpoint_born_ms = endpoint.born_ms


def _ms(time_s: float) -> int:
    return round(_told_s(time_s) * 1000)


def _us(time_s: float) -> int:
    return round(_told_s(time_s) * MICROSECONDS)


def _told_s(time_s: float) -> float:
    return min(MAX_TOLD_S, max(-MAX_TOLD_S, time_s))
