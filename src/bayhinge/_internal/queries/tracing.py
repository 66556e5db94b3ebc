"""Traces a request or a program through logs: its lines, and those that may explain its outcome.

Makes three passes over the lines, and keeps only those that it shows, the state changes of the same
time, and the events by which clocks are compared.
"""

from collections.abc import Iterable, Iterator

import attrs

from bayhinge._internal.queries.clock_skew import ClockSkew, SharedEvents
from bayhinge._internal.queries.log_trace import CONTEXT_S, LogLine
from bayhinge._internal.queries.refusal_causes import (
    EXPLANATION_BY_CODE,
    EXPLANATION_BY_OUTCOME,
    Explanation,
)
from bayhinge._internal.queries.request_sends import request_sends

SUBJECT_FIELDS = ("disk", "home", "through", "endpoint", "prefix", "hall", "version")
"""Fields that identify the subject of a line."""

HOST_FIELD_BY_TYPE = {"disk.silent": "disk", "disk.relayed": "disk", "home.silent": "home"}
"""Message types that report trouble with another host, and the field that names it."""

DELAY_FIELD_BY_TYPE = {
    "endpoint.restarted": "since_s",
    "store.lost": "waited_s",
    "store.fails_again": "waited_s",
}
"""Message types that are logged late, and the field with the delay in seconds."""

MAX_EXPLAINING_LINES = 8
"""Maximum lines printed as explanation of one outcome, the latest first."""


@attrs.frozen
class ExplainedEnd:
    """The end of a request that was not served, its meaning, and lines that may explain it."""

    end: LogLine
    explanation: Explanation
    lines: list[LogLine]


@attrs.frozen
class Trace:
    """The result of a trace.

    Attributes:
        lines: all lines to show, sorted by the timestamps of their hosts.
        own: the lines with the id itself.
        state_changes: those of all hosts at that time, whether shown or not.
    """

    identifier: str
    lines: list[LogLine]
    own: list[LogLine]
    state_changes: list[LogLine]
    clocks: list[ClockSkew]

    def explained(self) -> Iterator[ExplainedEnd]:
        """Yields the ends of the requests that were not served."""
        for end in self.own:
            explanation = _explanation_of(end)
            if explanation is not None:
                yield ExplainedEnd(end, explanation, list(self._explaining(end, explanation)))

    def _explaining(self, end: LogLine, explanation: Explanation) -> Iterator[LogLine]:
        """Yields the lines that may explain an end, the latest first, without duplicates."""
        called_endpoints = _endpoints(line for line in self.own if _is_of(line, end))
        seen: set[tuple[str, str]] = set()
        # Prefer the lines of the host that ended the request.
        ranked = sorted(self.lines, key=lambda line: (line.host == end.host, line.at_s))
        for line in reversed(ranked):
            about = (line.message_type, subject_of(line) or line.host)
            is_candidate = line is not end and line.message_type.startswith(
                explanation.lines or ("\0",)
            )
            if is_candidate and about not in seen and _may_explain(line, end, called_endpoints):
                seen.add(about)
                yield line

    def also_reported_by(self, line: LogLine) -> list[str]:
        """Returns the other hosts that logged the same state change at that time."""
        if not line.is_state_change or not subject_of(line):
            return []
        hosts = {
            other.host
            for other in self.state_changes
            if other.message_type == line.message_type and subject_of(other) == subject_of(line)
        }
        return sorted(hosts - {line.host})


def trace(identifier: str, lines: Iterable[LogLine]) -> Trace:
    """Traces a request or a program; iterates over ``lines`` three times."""
    names = _names(identifier, lines)
    own = sorted((line for line in lines if _is_own(line, names)), key=_time_of)
    if not own:
        return Trace(identifier, [], [], [], [])
    state_changes, shared_events = _state_changes_around(own, lines)
    shown = sorted([*own, *_related_state_changes(own, state_changes)], key=_time_of)
    hosts = {line.host for line in shown}
    return Trace(
        identifier, shown, own, state_changes, list(shared_events.skews(hosts, own[-1].host))
    )


def _names(identifier: str, lines: Iterable[LogLine]) -> set[str]:
    """Returns the id, and the attempts and fingerprints that belong to it.

    These are the attempts of a program, and all attempts of a request whose sends have failed.
    """
    names = {identifier}
    requests_by_attempt: dict[str, set[str]] = {}
    for line in lines:
        attempt, request = line.fields.get("attempt"), line.fields.get("request")
        if attempt and line.fields.get("program") == identifier:
            names.add(attempt)
        if attempt and request:
            requests_by_attempt.setdefault(attempt, set()).add(request)
    for attempt in [*names]:
        names |= requests_by_attempt.get(attempt, set())
    names |= {attempt for attempt, requests in requests_by_attempt.items() if requests & names}
    return names


def _is_own(line: LogLine, names: set[str]) -> bool:
    fields = line.fields
    if any(fields.get(field) in names for field in ("attempt", "program", "request")):
        return True
    # What hosts hear or examine concerns several requests at once.
    requests = fields.get("requests")
    return isinstance(requests, list) and not names.isdisjoint(requests)


def _time_of(line: LogLine) -> float:
    return line.at_s


def _state_changes_around(
    own: list[LogLine], lines: Iterable[LogLine]
) -> tuple[list[LogLine], SharedEvents]:
    first_s, last_s = own[0].at_s - CONTEXT_S, own[-1].at_s + CONTEXT_S
    state_changes: list[LogLine] = []
    shared_events = SharedEvents()
    for line in lines:
        if line.is_state_change:
            shared_events.record(line)
            if first_s <= line.at_s <= last_s:
                state_changes.append(line)
    return state_changes, shared_events


def _related_state_changes(own: list[LogLine], state_changes: list[LogLine]) -> Iterator[LogLine]:
    """Yields the state changes to show.

    From hosts that handled the requests: all before the end, and those logged late. From hosts
    that these report as in trouble: all, including those after their return. From other hosts:
    those about the endpoints that were called.
    """
    end = own[-1]
    hosts = {line.host for line in own}
    called_endpoints = _endpoints(own)
    near = [line for line in state_changes if line.host in hosts and line.at_s <= end.at_s]
    named = {
        line.fields.get(HOST_FIELD_BY_TYPE[line.message_type])
        for line in near
        if line.message_type in HOST_FIELD_BY_TYPE
    }
    for line in state_changes:
        if line.host in hosts:
            is_shown = line.at_s <= end.at_s or _was_logged_late(line, end, called_endpoints)
        else:
            is_about = line.at_s <= end.at_s and line.fields.get("endpoint") in called_endpoints
            is_shown = is_about or line.host in named
        if is_shown:
            yield line


def _endpoints(lines: Iterable[LogLine]) -> set[str]:
    return {str(line.fields["endpoint"]) for line in lines if line.fields.get("endpoint")}


def _is_of(line: LogLine, end: LogLine) -> bool:
    """Returns whether a line is about the same request, not another one of its program."""
    return line.fields.get("attempt") == end.fields.get("attempt")


def _may_explain(line: LogLine, end: LogLine, called_endpoints: set[str]) -> bool:
    if line.fields.get("attempt") is not None:
        return _is_of(line, end) and line.at_s <= end.at_s
    endpoint = line.fields.get("endpoint")
    if endpoint and called_endpoints and endpoint not in called_endpoints:
        return False
    return end.at_s - CONTEXT_S <= line.at_s <= end.at_s or _was_logged_late(
        line, end, called_endpoints
    )


def _was_logged_late(line: LogLine, end: LogLine, called_endpoints: set[str]) -> bool:
    """Returns whether a host logged after a request's end what had happened before it."""
    if line.host != end.host or not end.at_s < line.at_s <= end.at_s + CONTEXT_S:
        return False
    late_s = line.fields.get(DELAY_FIELD_BY_TYPE.get(line.message_type, ""))
    if not isinstance(late_s, int | float) or line.at_s - late_s > end.at_s:
        return False
    endpoint = line.fields.get("endpoint")
    return endpoint is None or endpoint in called_endpoints


def subject_of(line: LogLine) -> str:
    """Returns the subject of a line, or an empty string."""
    return ", ".join(
        f"{field}={line.fields[field]}" for field in SUBJECT_FIELDS if line.fields.get(field)
    )


def _explanation_of(end: LogLine) -> Explanation | None:
    if end.message_type == "request.refused":
        code = str(end.fields.get("code"))
        return EXPLANATION_BY_CODE.get(code, Explanation("This version doesn't know the refusal."))  # type: ignore[call-overload]
    if end.message_type == "request.ended":
        outcome = str(end.fields.get("outcome"))
        return EXPLANATION_BY_OUTCOME.get(
            outcome, Explanation("The request got no complete answer.")
        )
    return None


def trace_lines(found: Trace) -> Iterator[str]:
    """Yields a trace as text: the lines, the causes, and the clock skews."""
    own = {id(line) for line in found.own}
    for line in found.lines:
        yield f"{'>' if id(line) in own else ' '} {line}"
    sends = list(request_sends(found.own))
    if sends:
        yield ""
    for each in sends:
        yield str(each)
    for explained in found.explained():
        yield ""
        yield from _cause_lines(found, explained)
    yield ""
    if not found.clocks:
        yield "clocks: all lines are from one host's clock"
    for skew in found.clocks:
        yield f"clocks: {skew}"


def _cause_lines(found: Trace, explained: ExplainedEnd) -> Iterator[str]:
    end = explained.end
    parts = (end.fields.get("code") or end.fields.get("outcome"), end.fields.get("run_state"))
    outcome = ", ".join(str(part) for part in parts if part)
    why = end.fields.get("why") or "no reason given"
    yield f"cause of {end.fields.get('attempt')}: {outcome}: {why}"
    if end.fields.get("figures"):
        yield f"  figures: {end.fields['figures']}"
    yield f"  {explained.explanation.meaning}"
    for line in explained.lines[:MAX_EXPLAINING_LINES]:
        yield _explanation_line(found, end, line)
    if len(explained.lines) > MAX_EXPLAINING_LINES:
        yield f"  and {len(explained.lines) - MAX_EXPLAINING_LINES} earlier lines"
    if explained.explanation.lines and not explained.lines:
        yield "  no line in these files explains it; the logs of some hosts may be missing"


def _explanation_line(found: Trace, end: LogLine, line: LogLine) -> str:
    subject = subject_of(line)
    about = f" ({subject})" if subject else ""
    why = f": {line.fields['why']}" if line.fields.get("why") else ""
    others = found.also_reported_by(line)
    also = f"; also reported by {', '.join(others)}" if others else ""
    elapsed_s = end.at_s - line.at_s
    when = f"{elapsed_s:.2f} s before" if elapsed_s >= 0 else f"{-elapsed_s:.2f} s after"
    return f"  <- {line.message_type} on {line.host} {when}{about}{why}{also}"
