"""Tracing a request through the logs of several hosts, with the state changes before it."""

from pathlib import Path

import orjson
import pytest

from bayhinge._internal import status_codes
from bayhinge._internal.cli.tool.main import app
from bayhinge._internal.models.refusals import RefusalCode
from bayhinge._internal.queries.log_files import LogFiles
from bayhinge._internal.queries.log_trace import read_lines
from bayhinge._internal.queries.refusal_causes import EXPLANATION_BY_CODE
from bayhinge._internal.queries.tracing import Trace, trace, trace_lines

FILES = sorted((Path(__file__).parents[1] / "data" / "losses").glob("*.log"))


def line(at_s: float, host: str, message_type: str, **fields: object) -> bytes:
    return orjson.dumps({"timestamp": at_s, "host": host, "message_type": message_type, **fields})


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


def traced(identifier: str, texts: list[bytes] = LOGS) -> Trace:
    return trace(identifier, list(read_lines(texts)))


def trace_text(found: Trace) -> str:
    return "\n".join(trace_lines(found))


def test_a_request_s_trace_includes_earlier_state_changes_of_its_host() -> None:
    found = traced("a1").lines
    assert [(each.host, each.message_type) for each in found] == [
        ("entry-1", "disk.silent"),
        ("entry-1", "request.refused"),
    ]
    assert "status=503" in str(found[-1])


def test_a_program_s_trace_includes_all_its_requests() -> None:
    attempts = [each.fields.get("attempt") for each in traced("p").lines]
    assert attempts == [None, "a1", "a2"]


def test_an_unknown_id_finds_nothing() -> None:
    assert traced("a9").lines == []


def test_a_trace_shows_a_host_that_is_partitioned_from_the_disks() -> None:
    cut = line(101.5, "entry-1", "disks.cut_off")
    assert "disks.cut_off" in [each.message_type for each in traced("a1", [cut, *LOGS]).lines]


def test_a_program_s_trace_includes_the_sends_of_its_requests() -> None:
    sent = line(101.5, "entry-1", "send.failed", attempt="a1", endpoint="e-1", why="reset")
    assert "send.failed" in [each.message_type for each in traced("p", [sent, *LOGS]).lines]


def sent(at_s: float, host: str, attempt: str, ran: int, untaken: int) -> bytes:
    """Returns the line of a failed send of request ``f``."""
    fields = {"endpoint": "e-1", "why": "reset", "sends_ran": ran, "sends_untaken": untaken}
    return line(at_s, host, "send.failed", attempt=attempt, request="f", **fields)


def test_all_attempts_of_a_request_are_found_from_the_id_of_one() -> None:
    logs = [
        sent(1.0, "entry-1", "a", ran=1, untaken=0),
        line(1.1, "entry-1", "request.refused", attempt="a", code="outcome_unknown"),
        sent(1.2, "entry-2", "b", ran=0, untaken=1),
        sent(1.3, "entry-2", "b", ran=1, untaken=1),
        line(1.4, "entry-1", "endpoint.ended_under", request="f", endpoint="e-2", evidence="gone"),
        line(1.5, "entry-2", "send.failed", attempt="c", request="g", endpoint="e-2", why="reset"),
    ]
    for identifier in ("a", "b", "f"):
        found = traced(identifier, logs)
        assert [each.at_s for each in found.own] == [1.0, 1.1, 1.2, 1.3, 1.4]
        assert "2 attempts at 2 hosts" in trace_text(found)
        assert "may have run and failed: 2, not taken: 1" in trace_text(found)
        assert "endpoints that ended under it: e-2" in trace_text(found)


def test_what_hosts_heard_and_examined_is_found_from_a_request_s_id() -> None:
    logs = [
        sent(1.0, "entry-1", "a", ran=1, untaken=0),
        line(1.1, "entry-1", "send.in_doubt", request="f", endpoint="e-1", why="it was silent"),
        line(1.2, "entry-2", "endpoint.ends_heard", requests=["f", "g"], endpoints=["e-1"]),
        line(1.3, "entry-1", "endpoint.probed", endpoint="e-1", result="open", requests=["f"]),
        line(1.4, "entry-1", "endpoint.probed", endpoint="e-9", result="open", requests=["g"]),
    ]
    found = traced("a", logs)
    assert [each.at_s for each in found.own] == [1.0, 1.1, 1.2, 1.3]
    assert "fell silent, and were not found to have ended: e-1;" in trace_text(found)


def test_a_refusal_is_traced_to_the_disk_that_could_not_write() -> None:
    found = trace("a-30", LogFiles(FILES))
    assert [(each.host, each.message_type) for each in found.lines] == [
        ("disk-1", "disk.refused"),
        ("entry-1", "disk.silent"),
        ("entry-1", "turn.too_few_disks"),
        ("entry-1", "request.refused"),
        ("disk-1", "disk.started"),
    ]
    text = trace_text(found)
    assert "cause of a-30: store_unavailable, not_run: too few disks answered" in text
    assert "<- disk.silent on entry-1 0.20 s before (disk=disk-1): no answer in time" in text
    assert "<- disk.refused on disk-1 0.40 s before: no space left" in text


def test_lines_are_sorted_by_time_whatever_the_order_of_files() -> None:
    times = [each.at_s for each in trace("lost-1", LogFiles(FILES[::-1])).lines]
    assert times == sorted(times)


def test_other_hosts_that_report_the_same_are_named() -> None:
    assert "also reported by entry-2" in trace_text(
        traced("a1", [*LOGS, refusal_line("store_unavailable")])
    )


def refusal_line(code: str) -> bytes:
    return line(102.1, "entry-1", "request.refused", attempt="a1", program="p", code=code)


def test_a_refusal_that_no_line_explains_is_reported_as_such() -> None:
    text = trace_text(traced("a1", [refusal_line("no_endpoint")]))
    assert "no line in these files explains it" in text


def test_an_answer_that_broke_off_is_traced_to_the_endpoint_that_failed() -> None:
    logs = [
        line(1.0, "entry-1", "send.failed", attempt="b", endpoint="e-1", why="reset"),
        line(1.1, "entry-2", "endpoint.gone", endpoint="e-1", why="its entry vanished"),
        line(1.2, "entry-1", "request.ended", attempt="b", outcome="broken_off", why="reset"),
    ]
    found = traced("b", logs)
    assert [each.host for each in found.lines] == ["entry-1", "entry-2", "entry-1"]
    text = trace_text(found)
    assert "cause of b: broken_off: reset" in text
    assert "<- send.failed on entry-1 0.20 s before (endpoint=e-1): reset" in text
    assert "<- endpoint.gone on entry-2 0.10 s before (endpoint=e-1): its entry vanished" in text


def test_a_late_update_about_a_tried_endpoint_explains_a_refusal() -> None:
    logs = [
        line(1.0, "entry-1", "send.not_taken", attempt="b", endpoint="e-1", why="status 421"),
        line(1.1, "entry-1", "request.refused", attempt="b", code="no_endpoint", why="none took"),
        line(2.0, "entry-1", "store.lost", prefix="servers/", waited_s=1.5, why="no answer"),
        line(3.0, "entry-1", "store.lost", prefix="config/", waited_s=0.5, why="no answer"),
        line(3.5, "entry-1", "endpoint.restarted", endpoint="e-1", since_s=3.0),
        line(3.6, "entry-1", "endpoint.restarted", endpoint="e-2", since_s=3.0),
        line(4.0, "entry-1", "endpoint.restarted", endpoint="e-1", since_s=0.5),
    ]
    text = trace_text(traced("b", logs))
    assert "<- endpoint.restarted on entry-1 2.40 s after (endpoint=e-1)" in text
    assert "<- store.lost on entry-1 0.90 s after (prefix=servers/): no answer" in text
    # Events that began after the refusal can't explain it.
    assert "config/" not in text
    assert "2.90 s after" not in text
    assert "e-2" not in text


def test_a_regular_change_of_coordinator_adds_no_lines_of_the_coordinator() -> None:
    logs = [
        line(0.9, "entry-1", "home.changed", hall="north", home="entry-2"),
        line(0.9, "entry-2", "home.changed", hall="north", home="entry-2"),
        line(1.1, "entry-1", "request.refused", attempt="b", code="no_endpoint", why="none took"),
    ]
    assert [each.host for each in traced("b", logs).lines] == ["entry-1", "entry-1"]


@pytest.mark.parametrize("code", list(RefusalCode))
def test_every_refusal_code_is_explained(code: RefusalCode) -> None:
    explanation = EXPLANATION_BY_CODE[code]
    assert explanation.meaning
    found = traced("a1", [refusal_line(code.value)])
    assert f"cause of a1: {code.value}" in trace_text(found)
    assert explanation.meaning in trace_text(found)


def clock_skew_text(*texts: bytes) -> str:
    own = line(50.0, "entry-1", "request.refused", attempt="c", code="no_endpoint")
    sent = line(49.9, "entry-1", "send.failed", attempt="c", endpoint="e-1", why="reset")
    other = line(49.95, "entry-2", "endpoint.gone", endpoint="e-1", why="its entry vanished")
    return trace_text(traced("c", [sent, other, own, *texts]))


def configuration_line(at_s: float, host: str, version: int) -> bytes:
    return line(at_s, host, "configuration.in_force", version=version)


def test_clock_skew_is_estimated_from_events_that_both_hosts_logged() -> None:
    text = clock_skew_text(
        *(configuration_line(10.0 + number, "entry-1", number) for number in range(3)),
        *(
            configuration_line(12.0 + number + number / 100, "entry-2", number)
            for number in range(3)
        ),
    )
    assert (
        "entry-2 seems ahead of entry-1, the same events are logged 2.000 to 2.020 s later" in text
    )
    assert "(3 common events" in text


def test_events_logged_first_by_either_host_show_no_clock_skew() -> None:
    text = clock_skew_text(
        *(configuration_line(10.0 + number, "entry-1", number) for number in range(2)),
        configuration_line(9.9, "entry-2", 0),
        configuration_line(11.2, "entry-2", 1),
    )
    assert "no skew detected, the same events are logged -0.100 to 0.200 s later" in text


def test_events_of_an_initial_sync_are_not_used_for_clock_skew() -> None:
    start = line(60.0, "entry-2", "host.started", hall="north")
    text = clock_skew_text(
        configuration_line(10.0, "entry-1", 1), start, configuration_line(60.1, "entry-2", 1)
    )
    assert "entry-2 against entry-1: unknown" in text


def test_without_common_events_clock_skew_is_unknown() -> None:
    assert "entry-2 against entry-1: unknown, both logged no common event" in clock_skew_text()


def test_the_lines_of_one_host_share_one_clock() -> None:
    assert "one host's clock" in trace_text(traced("a1"))


@pytest.mark.parametrize("words", [["logs"], ["logs", "trace"]])
def test_the_tool_traces_an_id_and_exits_with_not_found_for_an_unknown_one(
    words: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    files = [str(file) for file in FILES]
    app([*words, "a-30", *files], result_action="return_value")
    assert "> 1005.200 entry-1 request.refused" in capsys.readouterr().out
    with pytest.raises(SystemExit) as ended:
        app([*words, "a-99", *files], result_action="return_value")
    assert ended.value.code == status_codes.EXIT_NOT_FOUND
