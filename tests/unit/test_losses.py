"""Time that programs lost, and its causes, computed from the log lines of hosts."""

import xml.etree.ElementTree as ET
from pathlib import Path

import orjson
import pytest

from bayhinge._internal import status_codes
from bayhinge._internal.cli.tool.losses import losses
from bayhinge._internal.queries.log_files import LogFiles
from bayhinge._internal.queries.log_trace import LogLine, read_lines
from bayhinge._internal.queries.losses import (
    Cause,
    Kind,
    Losses,
    Phase,
    ProgramLoss,
    loss_page,
    losses_of,
    report,
)

DATA = Path(__file__).parents[1] / "data" / "losses"
FILES = sorted(DATA.glob("*.log"))


def line(at_s: float, message_type: str, **fields: object) -> bytes:
    return orjson.dumps(
        {"timestamp": at_s, "host": "entry-1", "message_type": message_type, **fields}
    )


def served(at_s: float, took_ms: float, endpoint: str = "e-1", program: str | None = None) -> bytes:
    return line(at_s, "request.served", endpoint=endpoint, took_ms=took_ms, program=program)


LOGS = [
    line(0.5, "endpoint.known", endpoint="e-1", service="llm"),
    line(0.5, "endpoint.known", endpoint="e-2", service="app"),
    *(served(1.0 + number / 10, 200.0) for number in range(8)),
    served(1.5, 50.0, "e-2"),
    line(2.1, "disk.silent", disk="d-1"),
    served(2.5, 900.0, program="p-1"),
    line(2.6, "request.refused", code="store_unavailable", program="p-1", attempt="a"),
    line(2.7, "request.ended", outcome="broken_off", why="reset", program="p-2"),
    line(3.9, "host.leaving", running=0),
    served(5.0, 250.0),
]


def lines(texts: list[bytes] = LOGS) -> list[LogLine]:
    return list(read_lines(texts))


@pytest.fixture(scope="module")
def found() -> Losses:
    return losses_of(LogFiles(FILES), 2.0)


def program(found: Losses, name: str) -> ProgramLoss:
    return next(each for each in found.programs if each.name == name)


def test_windows_count_the_requests_and_failures_that_ended_in_them() -> None:
    first, second, third = losses_of(lines(), 2.0).windows
    assert (first.from_s, first.served, first.late, first.unanswered) == (0.0, 9, 0, 0)
    assert (second.served, second.late, second.unanswered) == (1, 1, 2)
    assert second.lost_s == pytest.approx(0.7)
    assert second.programs == {"p-1", "p-2"}
    assert second.count_by_mark == {"disk.silent": 1, "host.leaving": 1}
    assert (third.from_s, third.served, third.late) == (4.0, 1, 0)


def test_causes_are_summed_over_all_hosts() -> None:
    found = losses_of(lines(), 2.0)
    assert found.count_by_cause == {
        Cause("late", "llm"): 1,
        Cause("refused", "store_unavailable"): 1,
        Cause("broken_off", "reset"): 1,
    }
    assert found.usual_s_by_service == {"llm": 0.2, "app": 0.05}


def test_reasons_that_differ_only_in_numbers_are_one_cause() -> None:
    whys = ("no answer for\n 0.312 s", "no answer for 0.4 s")
    ends = [line(1.0, "request.ended", outcome="broken_off", why=why) for why in whys]
    found = losses_of(lines(ends), 2.0)
    assert found.count_by_cause == {Cause("broken_off", "no answer for # s"): 2}


def test_the_order_of_lines_makes_no_difference() -> None:
    assert losses_of(lines(), 2.0) == losses_of(lines(LOGS[::-1]), 2.0)


def test_the_report_lists_windows_causes_and_usual_durations() -> None:
    text = "\n".join(report(losses_of(lines(), 2.0)))
    assert "disk.silent 1, host.leaving 1" in text
    assert "late: llm" in text
    assert "usual of llm: 200 ms" in text


def test_a_program_is_compared_with_the_usual_duration_of_its_turns(found: Losses) -> None:
    assert program(found, "late-1").usual_s == pytest.approx(0.2)
    assert "against 0.20 s usual" in "\n".join(report(found))
    # The service of an attempt without an answer is unknown.
    assert program(found, "lost-1").usual_s == 0.0


def test_a_late_turn_is_split_into_failed_sends_and_unattributed_time(found: Losses) -> None:
    late = program(found, "late-1")
    assert late.kind is Kind.LATE
    assert late.lost_s == pytest.approx(1.0)
    # A suspicion ("not heard for") ends no attempt: its time runs to the line that ended it.
    assert late.s_by_phase == pytest.approx({Phase.FAILED_SENDS: 0.5, Phase.NOT_SPLIT: 0.7})


def test_an_end_that_waits_for_disks_counts_as_disk_time(found: Losses) -> None:
    late = program(found, "late-2")
    assert late.lost_s == pytest.approx(0.7)
    assert late.s_by_phase == pytest.approx({Phase.DISKS: 0.5, Phase.NOT_SPLIT: 0.4})


def test_a_refused_program_lost_the_time_until_its_next_attempt(found: Losses) -> None:
    refused = program(found, "refused-1")
    assert refused.kind is Kind.REFUSED
    assert refused.s_by_phase == pytest.approx({Phase.BETWEEN_REQUESTS: 0.6, Phase.NOT_SPLIT: 0.2})
    assert refused.lost_s == pytest.approx(0.6)
    assert refused.untimed == 1


def test_downtime_of_the_host_is_a_phase_of_its_own(found: Losses) -> None:
    interrupted = program(found, "away-1")
    assert interrupted.kind is Kind.REFUSED
    assert interrupted.s_by_phase == pytest.approx(
        {
            Phase.HOST_DOWN: 2.0,
            Phase.BETWEEN_REQUESTS: 0.6,
            Phase.INITIAL_SYNC: 0.3,
            Phase.NOT_SPLIT: 0.7 + 0.4,
        }
    )
    # The failed attempt, the time between, and the second attempt's excess over the usual.
    assert interrupted.lost_s == pytest.approx(0.7 + 2.6 + 0.5)


def test_a_program_that_was_never_answered_counts_as_failed(found: Losses) -> None:
    lost = program(found, "lost-1")
    assert lost.kind is Kind.FAILED
    assert lost.untimed == 2
    # The second attempt was refused, and no line says when it began.
    assert lost.s_by_phase == pytest.approx({Phase.FAILED_SENDS: 0.5, Phase.NOT_SPLIT: 2.0})
    assert lost.causes == {
        Cause("refused", "outcome_unknown"): 1,
        Cause("refused", "no_endpoint"): 1,
    }


def test_a_request_declined_by_fault_of_its_caller_is_no_loss(found: Losses) -> None:
    declined = program(found, "declined-1")
    assert declined.kind is Kind.DECLINED
    assert declined.lost_s == 0.0
    assert sum(window.declined for window in found.windows) == 1
    assert sum(window.unanswered for window in found.windows) == 4


def test_programs_are_listed_worst_first_without_unaffected_ones(found: Losses) -> None:
    assert [each.name for each in found.programs] == [
        "lost-1",
        "away-1",
        "late-1",
        "late-2",
        "refused-1",
        "declined-1",
    ]


def test_crashed_hosts_are_found_by_their_next_start(found: Losses) -> None:
    downtimes = [(each.host, each.from_s, each.to_s) for each in found.downtimes]
    assert downtimes == [("disk-1", 1004.8, 1006.9), ("entry-1", 1007.0, 1009.0)]


def test_sums_by_phase_and_kind(found: Losses) -> None:
    assert found.s_by_phase[Phase.HOST_DOWN] == pytest.approx(2.0)
    assert found.count_by_kind == {
        Kind.FAILED: 1,
        Kind.REFUSED: 2,
        Kind.LATE: 2,
        Kind.DECLINED: 1,
    }


def test_the_report_names_time_that_the_logs_can_not_attribute(found: Losses) -> None:
    text = "\n".join(report(found))
    assert "not split" in text
    assert "choosing, connecting" in text
    assert "2 requests of unknown duration" in text


def test_logs_of_one_host_in_many_files_are_read_from_the_oldest(tmp_path: Path) -> None:
    texts = (DATA / "entry-1.log").read_bytes().splitlines(keepends=True)
    (tmp_path / "a.log").write_bytes(b"".join(texts[20:]))
    (tmp_path / "b.log").write_bytes(b"".join(texts[:20]))
    found = losses_of(LogFiles(sorted(tmp_path.iterdir())), 2.0)
    assert [(each.from_s, each.to_s) for each in found.downtimes] == [(1007.0, 1009.0)]


def test_the_page_shows_the_chart_and_every_program(found: Losses) -> None:
    page = loss_page(found)
    for name in ("lost-1", "away-1", "late-1", "late-2", "refused-1"):
        assert name in page
    chart = page[page.index("<svg") : page.index("</svg>") + 6]
    texts = " ".join(each.text or "" for each in ET.fromstring(chart).iter())
    for label in ("served", "late", "lost", "hosts", "disks", "store", "endpoints"):
        assert label in texts


def test_the_page_is_the_same_each_time(found: Losses) -> None:
    assert loss_page(found) == loss_page(found)


@pytest.mark.parametrize(("suffix", "begins"), [("html", "<!doctype html>"), ("svg", "<?xml")])
def test_the_tool_writes_a_page(tmp_path: Path, suffix: str, begins: str) -> None:
    page = tmp_path / f"losses.{suffix}"
    losses(*FILES, page=page)
    assert page.read_text().startswith(begins)


def test_the_tool_rejects_an_unsupported_page_format(tmp_path: Path) -> None:
    with pytest.raises(SystemExit) as ended:
        losses(*FILES, page=tmp_path / "losses.png")
    assert ended.value.code == status_codes.EXIT_USAGE


def test_the_tool_reads_files_and_exits_with_not_found_without_log_lines(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "host.log"
    path.write_bytes(b"\n".join(LOGS))
    losses(path)
    assert "broken_off: reset" in capsys.readouterr().out
    path.write_text("nothing of ours")
    with pytest.raises(SystemExit) as ended:
        losses(path)
    assert ended.value.code == status_codes.EXIT_NOT_FOUND
