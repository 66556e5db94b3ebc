"""From an id to its cause: a request's or a program's lines, and those that explain them.

Goes through the lines three times and keeps what it shows, the changes of belief of that time, and
the news by which clocks are compared. 200,000 lines (44 MB) of 60 hosts (``python -m
tests.lib.made_log 200000 FOLDER``) took 3.1 to 4.7 s beside other work on all cores, and no memory
beyond the 15 MB of the program.
"""

from collections.abc import Iterable, Iterator

import attrs

from bayhinge._internal.queries.clock_differences import ClockDifference, SharedNews
from bayhinge._internal.queries.log_trace import CONTEXT_S, LogLine
from bayhinge._internal.queries.refusal_causes import (
    EXPLANATION_BY_CODE,
    EXPLANATION_BY_OUTCOME,
    Explanation,
)

NAMING_FIELDS = ("disk", "home", "through", "endpoint", "prefix", "hall", "version")
"""Fields that say what a line is about."""

FIELD_BY_NAMING = {"disk.silent": "disk", "disk.relayed": "disk", "home.silent": "home"}
"""Lines that name a host in trouble, whose own lines may tell why."""

FIELD_BY_LATE_NEWS = {
    "endpoint.restarted": "since_s",
    "store.lost": "waited_s",
    "store.fails_again": "waited_s",
}
"""Lines that come after what they tell of, and the field that says by how much."""

MOST_EXPLAINING = 8
"""Lines that are told for one refusal, the latest first."""


@attrs.frozen
class Explained:
    """A refusal or a broken end, what it means, and the lines that may explain it."""

    end: LogLine
    explanation: Explanation
    lines: list[LogLine]


@attrs.frozen
class Trace:
    """All that is shown of one id.

    Attributes:
        lines: in order of time, by the clocks of their hosts.
        beliefs: changes of belief of all hosts at that time, shown or not.
    """

    identifier: str
    lines: list[LogLine]
    own: list[LogLine]
    beliefs: list[LogLine]
    clocks: list[ClockDifference]

    def explained(self) -> Iterator[Explained]:
        """Yields every end that is not a success."""
        for end in self.own:
            explanation = _explanation_of(end)
            if explanation is not None:
                yield Explained(end, explanation, list(self._explaining(end, explanation)))

    def _explaining(self, end: LogLine, explanation: Explanation) -> Iterator[LogLine]:
        """Yields the lines that may explain an end, the latest first; one for what many say."""
        asked = _endpoints(line for line in self.own if _is_of(line, end))
        seen: set[tuple[str, str]] = set()
        # What its own host wrote comes before what others did.
        ranked = sorted(self.lines, key=lambda line: (line.host == end.host, line.at_s))
        for line in reversed(ranked):
            about = (line.what, subject_of(line) or line.host)
            is_told = line is not end and line.what.startswith(explanation.lines or ("\0",))
            if is_told and about not in seen and _may_explain(line, end, asked):
                seen.add(about)
                yield line

    def also_said_by(self, line: LogLine) -> list[str]:
        """Returns the other hosts whose lines of that time say the same."""
        if not line.is_belief or not subject_of(line):
            return []
        hosts = {
            other.host
            for other in self.beliefs
            if other.what == line.what and subject_of(other) == subject_of(line)
        }
        return sorted(hosts - {line.host})


def trace(identifier: str, lines: Iterable[LogLine]) -> Trace:
    """Returns what the lines say of a request or a program; ``lines`` are gone through thrice."""
    names = _names(identifier, lines)
    own = sorted((line for line in lines if _is_own(line, names)), key=_when)
    if not own:
        return Trace(identifier, [], [], [], [])
    beliefs, news = _beliefs_around(own, lines)
    shown = sorted([*own, *_chosen(own, beliefs)], key=_when)
    hosts = {line.host for line in shown}
    return Trace(identifier, shown, own, beliefs, list(news.differences(hosts, own[-1].host)))


def _names(identifier: str, lines: Iterable[LogLine]) -> set[str]:
    """Returns the id, and where it is a program's, those of its requests as well."""
    attempts = {
        str(line.fields["attempt"])
        for line in lines
        if line.fields.get("program") == identifier and line.fields.get("attempt")
    }
    return {identifier, *attempts}


def _is_own(line: LogLine, names: set[str]) -> bool:
    return line.fields.get("attempt") in names or line.fields.get("program") in names


def _when(line: LogLine) -> float:
    return line.at_s


def _beliefs_around(
    own: list[LogLine], lines: Iterable[LogLine]
) -> tuple[list[LogLine], SharedNews]:
    first_s, last_s = own[0].at_s - CONTEXT_S, own[-1].at_s + CONTEXT_S
    beliefs: list[LogLine] = []
    news = SharedNews()
    for line in lines:
        if line.is_belief:
            news.note(line)
            if first_s <= line.at_s <= last_s:
                beliefs.append(line)
    return beliefs, news


def _chosen(own: list[LogLine], beliefs: list[LogLine]) -> Iterator[LogLine]:
    """Yields the beliefs that are shown.

    Of the hosts that had the requests: all that came before the end, and what came too late. Of
    other hosts: what is about the endpoints that were asked. Of hosts that are named as in trouble:
    all, also what they wrote on their return.
    """
    end = own[-1]
    hosts = {line.host for line in own}
    asked = _endpoints(own)
    near = [line for line in beliefs if line.host in hosts and line.at_s <= end.at_s]
    named = {
        line.fields.get(FIELD_BY_NAMING[line.what]) for line in near if line.what in FIELD_BY_NAMING
    }
    for line in beliefs:
        if line.host in hosts:
            is_shown = line.at_s <= end.at_s or _came_late(line, end, asked)
        else:
            is_about = line.at_s <= end.at_s and line.fields.get("endpoint") in asked
            is_shown = is_about or line.host in named
        if is_shown:
            yield line


def _endpoints(lines: Iterable[LogLine]) -> set[str]:
    return {str(line.fields["endpoint"]) for line in lines if line.fields.get("endpoint")}


def _is_of(line: LogLine, end: LogLine) -> bool:
    """Whether a line is about the same request, and not another one of its program."""
    return line.fields.get("attempt") == end.fields.get("attempt")


def _may_explain(line: LogLine, end: LogLine, asked: set[str]) -> bool:
    if line.fields.get("attempt") is not None:
        return _is_of(line, end) and line.at_s <= end.at_s
    endpoint = line.fields.get("endpoint")
    if endpoint and asked and endpoint not in asked:
        return False
    return end.at_s - CONTEXT_S <= line.at_s <= end.at_s or _came_late(line, end, asked)


def _came_late(line: LogLine, end: LogLine, asked: set[str]) -> bool:
    """Whether a host wrote after a request's end what was so before it."""
    if line.host != end.host or not end.at_s < line.at_s <= end.at_s + CONTEXT_S:
        return False
    late_s = line.fields.get(FIELD_BY_LATE_NEWS.get(line.what, ""))
    if not isinstance(late_s, int | float) or line.at_s - late_s > end.at_s:
        return False
    endpoint = line.fields.get("endpoint")
    return endpoint is None or endpoint in asked


def subject_of(line: LogLine) -> str:
    """Returns what a line is about, or nothing."""
    return ", ".join(
        f"{field}={line.fields[field]}" for field in NAMING_FIELDS if line.fields.get(field)
    )


def _explanation_of(end: LogLine) -> Explanation | None:
    if end.what == "request.refused":
        code = str(end.fields.get("code"))
        return EXPLANATION_BY_CODE.get(code, Explanation("A refusal that this tool doesn't know."))  # type: ignore[call-overload]
    if end.what == "request.ended":
        outcome = str(end.fields.get("outcome"))
        return EXPLANATION_BY_OUTCOME.get(outcome, Explanation("The request got no whole answer."))
    return None


def trace_lines(found: Trace) -> Iterator[str]:
    """Yields a trace for a person: lines in order, causes, and what is known of clocks."""
    own = {id(line) for line in found.own}
    for line in found.lines:
        yield f"{'>' if id(line) in own else ' '} {line}"
    for explained in found.explained():
        yield ""
        yield from _cause_lines(found, explained)
    yield ""
    if not found.clocks:
        yield "clocks: all lines are by one host's clock"
    for difference in found.clocks:
        yield f"clocks: {difference}"


def _cause_lines(found: Trace, explained: Explained) -> Iterator[str]:
    end = explained.end
    parts = (end.fields.get("code") or end.fields.get("outcome"), end.fields.get("run_state"))
    told = ", ".join(str(part) for part in parts if part)
    why = end.fields.get("why") or "no reason told"
    yield f"cause of {end.fields.get('attempt')}: {told}: {why}"
    if end.fields.get("figures"):
        yield f"  figures: {end.fields['figures']}"
    yield f"  {explained.explanation.meaning}"
    for line in explained.lines[:MOST_EXPLAINING]:
        yield _arrow(found, end, line)
    if len(explained.lines) > MOST_EXPLAINING:
        yield f"  and {len(explained.lines) - MOST_EXPLAINING} lines before"
    if explained.explanation.lines and not explained.lines:
        yield "  no line of these files explains it: are the logs of all hosts here?"


def _arrow(found: Trace, end: LogLine, line: LogLine) -> str:
    subject = subject_of(line)
    about = f" ({subject})" if subject else ""
    why = f": {line.fields['why']}" if line.fields.get("why") else ""
    others = found.also_said_by(line)
    also = f"; also said by {', '.join(others)}" if others else ""
    passed_s = end.at_s - line.at_s
    when = f"{passed_s:.2f} s before" if passed_s >= 0 else f"{-passed_s:.2f} s after"
    return f"  <- {line.what} on {line.host} {when}{about}{why}{also}"
