"""Parsers of untrusted input return a value or raise their own error, whatever the bytes."""

import itertools
import string

from hypothesis import given, settings
from hypothesis import strategies as st

from bayhinge._internal.commands.parse_call import parse_call
from bayhinge._internal.exceptions import FrameError
from bayhinge._internal.models.accounts import ConfigKind, check_config_text
from bayhinge._internal.models.calls import CallKind, IncomingCall, MessagesMode
from bayhinge._internal.models.ids import parse_program_id
from bayhinge._internal.models.refusals import RunState
from bayhinge._internal.models.settings import read_settings
from bayhinge._internal.network.frames import (
    FrameSplitter,
    decode_message,
    encode_frame,
    encode_message,
)
from bayhinge._internal.wire.frames.ttypes import Frame, FrameKind
from bayhinge._internal.wire.ttypes import CallRequest, Record
from bayhinge.coordination.codec import decode
from bayhinge.coordination.errors import CorruptObjectError
from bayhinge.coordination.wire.ttypes import Batch, HostStatus, Ledger

FUZZ = settings(max_examples=150, deadline=None, derandomize=True)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-10, 10**7) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
INI_LINES = st.lists(
    st.sampled_from(["[host]", "[store]", "[pool x]", "[pool]", "[service X]", "[account]"])
    | st.builds(
        "{} = {}".format,
        st.sampled_from(["name", "hall", "url", "priority", "template", "key_sha256", "[", "="]),
        st.text(string.printable, max_size=12),
    ),
    max_size=8,
)


def incoming(body: bytes, program: str = "a~0123456789ab.0") -> IncomingCall:
    return IncomingCall(
        account="desk",
        program=program,
        index=0,
        kind=CallKind.MODEL,
        target="m",
        http_method="POST",
        path="",
        body=body,
        content_type="application/json",
        patience_s=1.0,
        idempotency_key=None,
        repeatable=True,
        mode=MessagesMode.WHOLE,
        resume_offset=0,
    )


@FUZZ
@given(st.binary(max_size=200))
def test_any_body_is_read_or_refused_as_not_run(body: bytes) -> None:
    parsed = parse_call(incoming(body), 100)
    assert parsed.is_ok() or parsed.error.run_state is RunState.NOT_RUN


@FUZZ
@given(st.dictionaries(st.sampled_from(["model", "messages", "max_tokens", "n", "stop"]), JSON))
def test_any_json_object_is_read_or_refused_as_not_run(fields: dict[str, object]) -> None:
    import orjson

    parsed = parse_call(incoming(orjson.dumps(fields)), 100)
    assert parsed.is_ok() or parsed.error.run_state is RunState.NOT_RUN


@FUZZ
@given(st.text(max_size=60))
def test_any_text_is_a_programs_identifier_or_none(text: str) -> None:
    found = parse_program_id(text)
    assert found is None or parse_program_id(str(found)) == found


@FUZZ
@given(st.binary(max_size=300))
def test_any_bytes_are_a_frame_or_an_error(data: bytes) -> None:
    try:
        for frame in FrameSplitter().feed(data):
            assert isinstance(frame, Frame)
    except FrameError:
        return


@FUZZ
@given(st.lists(st.binary(max_size=40), max_size=6), st.lists(st.integers(0, 400), max_size=6))
def test_frames_are_the_same_however_their_bytes_are_cut(
    payloads: list[bytes], places: list[int]
) -> None:
    frames = [Frame(n, FrameKind.DATA, n, None, payload) for n, payload in enumerate(payloads)]
    data = b"".join(encode_frame(frame) for frame in frames)
    cuts = [0, *sorted(min(place, len(data)) for place in places), len(data)]
    splitter = FrameSplitter()
    found = [
        frame for start, end in itertools.pairwise(cuts) for frame in splitter.feed(data[start:end])
    ]
    assert found == frames


@FUZZ
@given(st.binary(max_size=80), st.integers(0, 79), st.integers(0, 255))
def test_a_damaged_message_is_an_error_or_a_message(payload: bytes, place: int, value: int) -> None:
    whole = bytearray(encode_message(Frame(7, FrameKind.DATA, 9, "call", payload)))
    whole[place % len(whole)] = value
    for empty in (Frame(), CallRequest(), Record()):
        try:
            decode_message(empty, bytes(whole))
        except FrameError:
            continue


@FUZZ
@given(st.binary(max_size=120))
def test_any_stored_bytes_are_an_object_or_reported_with_their_key(data: bytes) -> None:
    for empty in (Batch(), HostStatus(), Ledger()):
        try:
            decode(empty, data, "some/key")
        except CorruptObjectError as error:
            assert error.key == "some/key"


@FUZZ
@given(INI_LINES)
def test_any_settings_text_is_read_or_has_findings_with_a_place(lines: list[str]) -> None:
    text = "\n".join(lines)
    read = read_settings(text, "host.ini")
    assert read.is_ok() or all(item.place.file == "host.ini" for item in read.error)
    for kind in ConfigKind:
        for finding in check_config_text(kind, text, "x"):
            assert finding.problem
