"""The first look at the lines: what must be known before a request's end can be judged."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator

import attrs

from bayhinge._internal import status_codes
from bayhinge._internal.queries.log_trace import LogLine
from bayhinge._internal.queries.losses.models import Absence

ENDS = frozenset({"request.served", "request.ended", "request.refused"})
STARTS = frozenset({"host.started", "disk.started"})
FAILED_SENDS = frozenset({"send.failed", "send.not_taken"})

DOUBT = "not heard for "
"""So begins the ``why`` of a ``send.failed`` that ends no try: the request goes on waiting."""

DIGITS = 3
"""Digits that are kept of a time: a median is right to half a percent, and a service needs at most
900 counters for each power of ten whatever the length of the logs."""

UNKNOWN_SERVICE = "?"


class Times:
    """Times by how often they came, so that a median needs no list of them."""

    def __init__(self) -> None:
        """Begins without any."""
        self._count_by_ms: Counter[float] = Counter()

    def add(self, took_ms: float) -> None:
        """Counts one."""
        digits = DIGITS - 1 - math.floor(math.log10(took_ms)) if took_ms > 0 else 0
        self._count_by_ms[round(took_ms, digits)] += 1

    def add_all(self, others: "Times") -> None:
        """Counts what others have counted."""
        self._count_by_ms.update(others._count_by_ms)

    def median_ms(self) -> float:
        """Returns the lower median; there must be a time."""
        half = (self._count_by_ms.total() + 1) // 2
        for took_ms in sorted(self._count_by_ms):
            half -= self._count_by_ms[took_ms]
            if half <= 0:
                return took_ms
        raise ValueError("no times")


@attrs.define
class Troubles:
    """What lines before a request's end say of it."""

    first_failure_s: float | None = None
    last_failure_s: float | None = None
    held_since_s: float | None = None
    news_s: float = 0.0

    def note(self, line: LogLine) -> None:
        """Takes one of them."""
        if line.what in FAILED_SENDS and not str(line.fields.get("why")).startswith(DOUBT):
            if self.first_failure_s is None:
                self.first_failure_s = line.at_s
            self.last_failure_s = line.at_s
        elif line.what == "turn.not_durable_yet":
            self.held_since_s = line.at_s
        elif line.what == "request.waited_for_news":
            self.news_s += _number(line.fields.get("waited_ms")) / 1000


TROUBLES = FAILED_SENDS | {"turn.not_durable_yet", "request.waited_for_news"}


@attrs.define
class Facts:
    """What the first look found. Holds nothing for a request that was served as usual."""

    service_by_endpoint: dict[str, str] = attrs.field(factory=dict)
    times_by_endpoint: defaultdict[str, Times] = attrs.field(factory=lambda: defaultdict(Times))
    troubles_by_attempt: dict[str, Troubles] = attrs.field(factory=dict)
    troubled_programs: set[str] = attrs.field(factory=set)
    absences: list[Absence] = attrs.field(factory=list)
    _last_s_by_host: dict[str, float] = attrs.field(factory=dict)

    def service_of(self, line: LogLine) -> str:
        """Returns the service whose endpoint gave an answer."""
        return self.service_by_endpoint.get(str(line.fields.get("endpoint")), UNKNOWN_SERVICE)

    def usual_s_by_service(self) -> dict[str, float]:
        """Returns the medians."""
        times_by_service: dict[str, Times] = {}
        for endpoint, times in self.times_by_endpoint.items():
            service = self.service_by_endpoint.get(endpoint, UNKNOWN_SERVICE)
            times_by_service.setdefault(service, Times()).add_all(times)
        return {
            service: times_by_service[service].median_ms() / 1000
            for service in sorted(times_by_service)
        }

    def note(self, line: LogLine) -> None:
        """Takes a line."""
        self._note_presence(line)
        attempt = str(line.fields.get("attempt"))
        if line.what == "endpoint.known":
            endpoint = str(line.fields.get("endpoint"))
            self.service_by_endpoint[endpoint] = str(line.fields.get("service"))
        elif line.what in TROUBLES:
            self.troubles_by_attempt.setdefault(attempt, Troubles()).note(line)
        elif line.what == "request.served":
            took = took_s(line)
            if took is not None and attempt not in self.troubles_by_attempt:
                self.times_by_endpoint[str(line.fields.get("endpoint"))].add(took * 1000)
        elif line.what in ENDS and not is_declined(line):
            self.troubled_programs.add(name_of(line))

    def _note_presence(self, line: LogLine) -> None:
        last_s = self._last_s_by_host.get(line.host)
        if line.what in STARTS and last_s is not None and line.at_s > last_s:
            self.absences.append(Absence(line.host, last_s, line.at_s))
        self._last_s_by_host[line.host] = max(line.at_s, last_s or line.at_s)


def facts_of(lines: Iterable[LogLine]) -> Facts:
    """Takes all lines; those of one host must come in the order of its writing."""
    facts = Facts()
    for line in lines:
        facts.note(line)
    facts.absences.sort(key=lambda absence: (absence.from_s, absence.host))
    return facts


def ends_of(lines: Iterable[LogLine]) -> Iterator[LogLine]:
    """Yields the lines that end a request."""
    return (line for line in lines if line.what in ENDS)


def took_s(line: LogLine) -> float | None:
    """Returns what a request took, where its line says so."""
    took_ms = line.fields.get("took_ms")
    return took_ms / 1000 if isinstance(took_ms, int | float) else None


def is_declined(line: LogLine) -> bool:
    """Whether a refusal is the caller's own doing; one that asks it to come back is not."""
    status = _number(line.fields.get("status"))
    is_callers = status_codes.HTTP_BAD_REQUEST <= status < status_codes.HTTP_SERVER_ERROR
    return is_callers and status != status_codes.HTTP_TOO_MANY_REQUESTS


def name_of(line: LogLine) -> str:
    """Returns the program of a request, or the request where it has none."""
    return str(line.fields.get("program") or f"request {line.fields.get('attempt')}")


def _number(value: object) -> float:
    return float(value) if isinstance(value, int | float) else 0.0
