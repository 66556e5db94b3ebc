"""The first pass over the lines: collects what is needed to judge the end of a request."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator

import attrs

from bayhinge._internal import status_codes
from bayhinge._internal.queries.log_trace import LogLine
from bayhinge._internal.queries.losses.models import Downtime

END_TYPES = frozenset({"request.served", "request.ended", "request.refused"})
START_TYPES = frozenset({"host.started", "disk.started"})
FAILED_SEND_TYPES = frozenset({"send.failed", "send.not_taken"})

SUSPICION_PREFIX = "not heard for "
"""Prefix of the ``why`` of a ``send.failed`` after which the request keeps waiting."""

SIGNIFICANT_DIGITS = 3
"""Durations are rounded to these digits, which bounds the counters to 900 per power of ten and
the error of a median to half a percent."""

UNKNOWN_SERVICE = "?"


class DurationCounts:
    """A histogram of durations, to compute a median without keeping all of them."""

    def __init__(self) -> None:
        self._count_by_ms: Counter[float] = Counter()

    def add(self, took_ms: float) -> None:
        """Adds one duration."""
        digits = SIGNIFICANT_DIGITS - 1 - math.floor(math.log10(took_ms)) if took_ms > 0 else 0
        self._count_by_ms[round(took_ms, digits)] += 1

    def merge(self, other: "DurationCounts") -> None:
        """Adds the durations of another histogram."""
        self._count_by_ms.update(other._count_by_ms)

    def median_ms(self) -> float:
        """Returns the lower median.

        Raises:
            ValueError: there are no durations.
        """
        half = (self._count_by_ms.total() + 1) // 2
        for took_ms in sorted(self._count_by_ms):
            half -= self._count_by_ms[took_ms]
            if half <= 0:
                return took_ms
        raise ValueError("no durations to take the median of")


@attrs.define
class RequestDelays:
    """Delays of one request, from the lines before its end."""

    first_failure_s: float | None = None
    last_failure_s: float | None = None
    durable_wait_since_s: float | None = None
    sync_wait_s: float = 0.0

    def record(self, line: LogLine) -> None:
        """Adds a line of one of the ``DELAY_TYPES``."""
        if line.message_type in FAILED_SEND_TYPES and not str(line.fields.get("why")).startswith(
            SUSPICION_PREFIX
        ):
            if self.first_failure_s is None:
                self.first_failure_s = line.at_s
            self.last_failure_s = line.at_s
        elif line.message_type == "turn.not_durable_yet":
            self.durable_wait_since_s = line.at_s
        elif line.message_type == "request.waited_for_news":
            self.sync_wait_s += _number(line.fields.get("waited_ms")) / 1000


DELAY_TYPES = FAILED_SEND_TYPES | {"turn.not_durable_yet", "request.waited_for_news"}


@attrs.define
class FirstPass:
    """The result of the first pass. Holds nothing per request that was served without delay."""

    service_by_endpoint: dict[str, str] = attrs.field(factory=dict)
    durations_by_endpoint: defaultdict[str, DurationCounts] = attrs.field(
        factory=lambda: defaultdict(DurationCounts)
    )
    delays_by_attempt: dict[str, RequestDelays] = attrs.field(factory=dict)
    affected_programs: set[str] = attrs.field(factory=set)
    downtimes: list[Downtime] = attrs.field(factory=list)
    _last_s_by_host: dict[str, float] = attrs.field(factory=dict)

    def service_of(self, line: LogLine) -> str:
        """Returns the service of the endpoint that a line names."""
        return self.service_by_endpoint.get(str(line.fields.get("endpoint")), UNKNOWN_SERVICE)

    def usual_s_by_service(self) -> dict[str, float]:
        """Returns the median duration of undelayed requests, in seconds."""
        durations_by_service: dict[str, DurationCounts] = {}
        for endpoint, durations in self.durations_by_endpoint.items():
            service = self.service_by_endpoint.get(endpoint, UNKNOWN_SERVICE)
            durations_by_service.setdefault(service, DurationCounts()).merge(durations)
        return {
            service: durations_by_service[service].median_ms() / 1000
            for service in sorted(durations_by_service)
        }

    def record(self, line: LogLine) -> None:
        """Adds a line."""
        self._record_presence(line)
        attempt = str(line.fields.get("attempt"))
        if line.message_type == "endpoint.known":
            endpoint = str(line.fields.get("endpoint"))
            self.service_by_endpoint[endpoint] = str(line.fields.get("service"))
        elif line.message_type in DELAY_TYPES:
            self.delays_by_attempt.setdefault(attempt, RequestDelays()).record(line)
        elif line.message_type == "request.served":
            took = took_s(line)
            if took is not None and attempt not in self.delays_by_attempt:
                self.durations_by_endpoint[str(line.fields.get("endpoint"))].add(took * 1000)
        elif line.message_type in END_TYPES and not is_declined(line):
            self.affected_programs.add(name_of(line))

    def _record_presence(self, line: LogLine) -> None:
        last_s = self._last_s_by_host.get(line.host)
        if line.message_type in START_TYPES and last_s is not None and line.at_s > last_s:
            self.downtimes.append(Downtime(line.host, last_s, line.at_s))
        self._last_s_by_host[line.host] = max(line.at_s, last_s or line.at_s)


def run_first_pass(lines: Iterable[LogLine]) -> FirstPass:
    """Processes all lines; those of one host must come in the order in which it wrote them."""
    first_pass = FirstPass()
    for line in lines:
        first_pass.record(line)
    first_pass.downtimes.sort(key=lambda downtime: (downtime.from_s, downtime.host))
    return first_pass


def ends_of(lines: Iterable[LogLine]) -> Iterator[LogLine]:
    """Yields the lines that end a request."""
    return (line for line in lines if line.message_type in END_TYPES)


def took_s(line: LogLine) -> float | None:
    """Returns the duration of a request, or None where its line has none."""
    took_ms = line.fields.get("took_ms")
    return took_ms / 1000 if isinstance(took_ms, int | float) else None


def is_declined(line: LogLine) -> bool:
    """Returns whether a refusal was caused by the caller: a 4xx status other than 429."""
    status = _number(line.fields.get("status"))
    is_callers = status_codes.HTTP_BAD_REQUEST <= status < status_codes.HTTP_SERVER_ERROR
    return is_callers and status != status_codes.HTTP_TOO_MANY_REQUESTS


def name_of(line: LogLine) -> str:
    """Returns the program of a request, or a name for the request where it has none."""
    return str(line.fields.get("program") or f"request {line.fields.get('attempt')}")


def _number(value: object) -> float:
    return float(value) if isinstance(value, int | float) else 0.0
