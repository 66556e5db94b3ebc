"""The second pass over the lines: judges each request's end, and sums by program and window.

Both passes take linear time, and keep only windows, programs with losses, and delayed requests.
"""

import re
from collections import Counter
from collections.abc import Iterable

import attrs

from bayhinge._internal.queries.log_trace import LogLine
from bayhinge._internal.queries.losses.first_pass import (
    END_TYPES,
    FirstPass,
    is_declined,
    name_of,
    run_first_pass,
    took_s,
)
from bayhinge._internal.queries.losses.marks import MARKS, subject_of
from bayhinge._internal.queries.losses.models import (
    LATE_FACTOR,
    Cause,
    Downtime,
    Losses,
    Mark,
    Window,
)
from bayhinge._internal.queries.losses.programs import (
    ProgramRequests,
    RequestEnd,
    worst_first,
)

_NUMBER = re.compile(r"\d+(\.\d+)?")


def losses_of(lines: Iterable[LogLine], window_s: float) -> Losses:
    """Sums the losses of all requests; iterates over ``lines`` twice."""
    first_pass = run_first_pass(lines)
    summary = _Summary(first_pass, window_s, first_pass.usual_s_by_service())
    for line in lines:
        summary.record(line)
    return summary.finish()


@attrs.define
class _Summary:
    """Sums by window, program, cause and mark."""

    first_pass: FirstPass
    window_s: float
    usual_s_by_service: dict[str, float]
    windows_by_from_s: dict[float, Window] = attrs.field(factory=dict)
    requests_by_program: dict[str, ProgramRequests] = attrs.field(factory=dict)
    count_by_cause: Counter[Cause] = attrs.field(factory=Counter)
    marks_by_key: dict[tuple[float, str, str], Mark] = attrs.field(factory=dict)

    def record(self, line: LogLine) -> None:
        """Adds a line."""
        window = self._window_of(line)
        if line.message_type in MARKS:
            window.count_by_mark[line.message_type] += 1
            self._add_mark(line, window)
        if line.message_type in END_TYPES:
            self._add_end(line, window)

    def finish(self) -> Losses:
        """Returns the result, sorted."""
        downtimes_by_host: dict[str, list[Downtime]] = {}
        for downtime in self.first_pass.downtimes:
            downtimes_by_host.setdefault(downtime.host, []).append(downtime)
        programs = [
            requests.sum_up(name, downtimes_by_host)
            for name, requests in self.requests_by_program.items()
        ]
        return Losses(
            self.window_s,
            [self.windows_by_from_s[from_s] for from_s in sorted(self.windows_by_from_s)],
            worst_first(programs),
            self.first_pass.downtimes,
            sorted(
                self.marks_by_key.values(),
                key=lambda mark: (mark.at_s, mark.message_type, mark.subject),
            ),
            self.count_by_cause,
            self.usual_s_by_service,
        )

    def _window_of(self, line: LogLine) -> Window:
        from_s = line.at_s // self.window_s * self.window_s
        window = self.windows_by_from_s.get(from_s)
        if window is None:
            window = self.windows_by_from_s[from_s] = Window(from_s)
        return window

    def _add_mark(self, line: LogLine, window: Window) -> None:
        key = (window.from_s, line.message_type, subject_of(line))
        mark = self.marks_by_key.get(key)
        at_s = line.at_s if mark is None else min(mark.at_s, line.at_s)
        self.marks_by_key[key] = Mark(
            at_s, line.message_type, key[2], 1 if mark is None else mark.count + 1
        )

    def _add_end(self, line: LogLine, window: Window) -> None:
        took = took_s(line)
        usual_s = None
        if line.message_type == "request.served":
            usual_s = self.usual_s_by_service.get(self.first_pass.service_of(line))
        cause = self._count_end(line, window, took, usual_s)
        name = name_of(line)
        if cause is not None:
            self.count_by_cause[cause] += 1
            window.programs.add(name)
        if cause is None and name not in self.first_pass.affected_programs:
            return
        delays = self.first_pass.delays_by_attempt.get(str(line.fields.get("attempt")))
        self.requests_by_program.setdefault(name, ProgramRequests()).requests.append(
            RequestEnd(
                line.at_s,
                line.host,
                line.message_type,
                took,
                usual_s,
                cause,
                is_declined(line),
                delays,
            )
        )

    def _count_end(
        self, line: LogLine, window: Window, took: float | None, usual_s: float | None
    ) -> Cause | None:
        """Counts the end of one request; returns the cause of its loss, or None."""
        if line.message_type == "request.refused":
            declined = is_declined(line)
            window.declined += declined
            window.unanswered += not declined
            return Cause("declined" if declined else "refused", str(line.fields.get("code", "")))
        if line.message_type == "request.ended":
            window.unanswered += 1
            outcome = str(line.fields.get("outcome", "ended"))
            return Cause(outcome, _without_numbers(str(line.fields.get("why") or "")))
        window.served += 1
        if took is None or usual_s is None:
            return None
        window.lost_s += max(0.0, took - usual_s)
        if took <= LATE_FACTOR * usual_s:
            return None
        window.late += 1
        return Cause("late", self.first_pass.service_of(line))


def _without_numbers(why: str) -> str:
    """Returns a reason on one line, with numbers replaced so that equal reasons compare equal."""
    return _NUMBER.sub("#", " ".join(why.split()))
