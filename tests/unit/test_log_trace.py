"""A request's lines are found in the logs of many hosts, with what was believed before."""

import orjson

from bayhinge._internal.queries.log_trace import read_lines, trace


def line(at_s: float, host: str, what: str, **fields: object) -> bytes:
    return orjson.dumps({"timestamp": at_s, "host": host, "message_type": what, **fields})


LOGS = [
    b"  12.3 entry-1 " + line(100.0, "entry-1", "disk.silent", disk="d-1"),
    line(90.0, "entry-1", "store.lost", prefix="config/"),
    line(101.0, "entry-2", "disk.silent", disk="d-1"),
    b"no line of ours",
    b'{"broken": ',
    line(102.0, "entry-1", "request.refused", attempt="a1", program="p", status=503),
    line(102.5, "entry-1", "request.refused", attempt="a2", program="p", status=503),
    line(103.0, "entry-1", "disk.answers", disk="d-1"),
]


def test_a_request_comes_with_its_hosts_beliefs_before_it() -> None:
    found = trace("a1", read_lines(LOGS))
    assert [(each.host, each.what) for each in found] == [
        ("entry-1", "disk.silent"),
        ("entry-1", "request.refused"),
    ]
    assert "status=503" in str(found[-1])


def test_a_program_comes_with_all_its_requests() -> None:
    attempts = [each.fields.get("attempt") for each in trace("p", read_lines(LOGS))]
    assert attempts == [None, "a1", "a2"]


def test_an_unknown_id_finds_nothing() -> None:
    assert trace("a9", read_lines(LOGS)) == []
