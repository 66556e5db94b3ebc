"""Where time was lost, from the lines of hosts."""

from pathlib import Path

import orjson
import pytest

from bayhinge._internal import status_codes
from bayhinge._internal.cli.tool.losses import losses
from bayhinge._internal.queries.log_trace import read_lines
from bayhinge._internal.queries.losses import Cause, losses_of, report


def line(at_s: float, what: str, **fields: object) -> bytes:
    return orjson.dumps({"timestamp": at_s, "host": "entry-1", "message_type": what, **fields})


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


def test_windows_count_what_ended_in_them_and_what_went_wrong_meanwhile() -> None:
    first, second, third = losses_of(read_lines(LOGS), 2.0).windows
    assert (first.from_s, first.served, first.slow, first.unanswered) == (0.0, 9, 0, 0)
    assert (second.served, second.slow, second.unanswered) == (1, 1, 2)
    assert second.lost_s == pytest.approx(0.7)
    assert second.programs == {"p-1", "p-2"}
    assert second.count_by_mark == {"disk.silent": 1, "host.leaving": 1}
    assert (third.from_s, third.served, third.slow) == (4.0, 1, 0)


def test_causes_are_summed_over_all_hosts() -> None:
    found = losses_of(read_lines(LOGS), 2.0)
    assert found.count_by_cause == {
        Cause("slow", "llm"): 1,
        Cause("refused", "store_unavailable"): 1,
        Cause("broken_off", "reset"): 1,
    }
    assert found.usual_s_by_service == {"llm": 0.2, "app": 0.05}


def test_the_report_tells_windows_causes_and_what_is_usual() -> None:
    text = "\n".join(report(losses_of(read_lines(LOGS), 2.0)))
    assert "disk.silent 1, host.leaving 1" in text
    assert "slow: llm" in text
    assert "usual of llm: 200 ms" in text


def test_the_tool_reads_files_and_says_where_they_hold_no_log(
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
