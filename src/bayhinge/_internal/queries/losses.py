"""Where requests lost their time, from the logs of many hosts alone.

A request lost what it took beyond the usual time of its service, which is the median over all
logs; one that was refused or ended without an answer counts by its reason. Ordinary successes may
have been thinned where a host served many, so counts of served requests are lower bounds.
"""

import statistics
from collections import Counter
from collections.abc import Iterable, Iterator

import attrs

from bayhinge._internal.queries.log_trace import LogLine

SLOW_TIMES = 3.0
"""Times the usual beyond which a request counts as slow: endpoints take up to twice as long when
their batch is full, so that alone stays below."""

MOST_CAUSES = 12
"""Causes that are told; the rest are summed."""

UNKNOWN_SERVICE = "?"

MARKS = (
    "host.started",
    "host.leaving",
    "endpoint.gone",
    "disk.silent",
    "disks.cut_off",
    "store.lost",
    "home.silent",
    "configuration.in_force",
)
"""Lines that tell of trouble or change; each window counts them."""

_ENDS = frozenset({"request.served", "request.ended", "request.refused"})


@attrs.frozen
class Cause:
    """Why requests got no answer, or a late one."""

    kind: str
    detail: str

    def __str__(self) -> str:
        """Returns the cause for a person."""
        return f"{self.kind}: {self.detail}" if self.detail else self.kind


@attrs.define
class Window:
    """What ended in one span of time.

    Attributes:
        lost_s: seconds that served requests took beyond the usual of their service.
        programs: those that lost time or an answer.
    """

    from_s: float
    served: int = 0
    slow: int = 0
    lost_s: float = 0.0
    unanswered: int = 0
    programs: set[str] = attrs.field(factory=set)
    count_by_mark: Counter[str] = attrs.field(factory=Counter)


@attrs.define
class Losses:
    """Windows in order, sums by cause, and what is usual by service, in seconds."""

    windows: list[Window]
    count_by_cause: Counter[Cause]
    usual_s_by_service: dict[str, float]


def losses_of(lines: Iterable[LogLine], window_s: float) -> Losses:
    """Sums the losses of all requests by window and by cause."""
    ordered = sorted(lines, key=lambda line: line.at_s)
    service_by_endpoint = _services(ordered)
    usual_s_by_service = _usual(ordered, service_by_endpoint)
    windows: list[Window] = []
    count_by_cause: Counter[Cause] = Counter()
    for line in ordered:
        window = _window_of(line, windows, window_s)
        if line.what in MARKS:
            window.count_by_mark[line.what] += 1
        if line.what not in _ENDS:
            continue
        service = service_by_endpoint.get(str(line.fields.get("endpoint")), UNKNOWN_SERVICE)
        cause = _count(line, window, service, usual_s_by_service.get(service))
        if cause is not None:
            count_by_cause[cause] += 1
            if line.fields.get("program"):
                window.programs.add(str(line.fields["program"]))
    return Losses(windows, count_by_cause, usual_s_by_service)


def _services(lines: Iterable[LogLine]) -> dict[str, str]:
    return {
        str(line.fields.get("endpoint")): str(line.fields.get("service"))
        for line in lines
        if line.what == "endpoint.known"
    }


def _usual(lines: Iterable[LogLine], service_by_endpoint: dict[str, str]) -> dict[str, float]:
    took_s_by_service: dict[str, list[float]] = {}
    for line in lines:
        if line.what == "request.served" and _took_s(line) is not None:
            service = service_by_endpoint.get(str(line.fields.get("endpoint")), UNKNOWN_SERVICE)
            took_s_by_service.setdefault(service, []).append(_took_s(line) or 0.0)
    return {name: statistics.median(took_s) for name, took_s in took_s_by_service.items()}


def _took_s(line: LogLine) -> float | None:
    took_ms = line.fields.get("took_ms")
    return took_ms / 1000 if isinstance(took_ms, int | float) else None


def _window_of(line: LogLine, windows: list[Window], window_s: float) -> Window:
    from_s = line.at_s // window_s * window_s
    if not windows or windows[-1].from_s < from_s:
        windows.append(Window(from_s))
    return windows[-1]


def _count(line: LogLine, window: Window, service: str, usual_s: float | None) -> Cause | None:
    """Counts the end of one request; returns what it lost by, or None."""
    if line.what != "request.served":
        window.unanswered += 1
        if line.what == "request.refused":
            return Cause("refused", str(line.fields.get("code", "")))
        return Cause(str(line.fields.get("outcome", "ended")), str(line.fields.get("why") or ""))
    window.served += 1
    took_s = _took_s(line)
    if took_s is None or usual_s is None:
        return None
    window.lost_s += max(0.0, took_s - usual_s)
    if took_s <= SLOW_TIMES * usual_s:
        return None
    window.slow += 1
    return Cause("slow", service)


def report(losses: Losses) -> Iterator[str]:
    """Yields the lines of a table for a person."""
    yield f"{'from':>10} {'served':>7} {'slow':>6} {'lost s':>8} {'no answer':>9} {'programs':>8}"
    for window in losses.windows:
        marks = ", ".join(f"{what} {count}" for what, count in sorted(window.count_by_mark.items()))
        yield (
            f"{window.from_s:10.1f} {window.served:7} {window.slow:6} {window.lost_s:8.2f}"
            f" {window.unanswered:9} {len(window.programs):8}  {marks}"
        )
    yield ""
    ranked = losses.count_by_cause.most_common()
    for cause, count in ranked[:MOST_CAUSES]:
        yield f"{count:7}  {cause}"
    rest = sum(count for _, count in ranked[MOST_CAUSES:])
    if rest:
        yield f"{rest:7}  other causes"
    yield ""
    for service, usual_s in sorted(losses.usual_s_by_service.items()):
        yield f"usual of {service}: {usual_s * 1000:.0f} ms"
