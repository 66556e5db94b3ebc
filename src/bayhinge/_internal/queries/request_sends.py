"""Sums up what became of one request's sends, over all its attempts and hosts."""

from collections.abc import Iterable, Iterator

import attrs

from bayhinge._internal.queries.log_trace import LogLine

ABANDONED = "send.abandoned"
ENDED_UNDER = "endpoint.ended_under"
INFORMED = "send.informed"
IN_DOUBT = "send.in_doubt"
WITHHELD = "send.withheld"


@attrs.define
class RequestSends:
    """The sends of one request that got no whole answer.

    Attributes:
        told: sends of which other hosts were told before their bytes left; also those of hosts that
            died since.
        ran_by_attempt: sends of each attempt that may have run and failed.
        untaken_by_attempt: sends of each attempt that were rejected or never reached an endpoint.
        abandoned: sends that were given up with the attempt.
        withheld: attempts that were refused because of the endpoints that had ended.
        ended: the endpoints that ended under it, in order.
        doubted: those that broke off or fell silent, whether or not they were found to have ended.
    """

    request: str
    hosts: set[str] = attrs.field(factory=set)
    ran_by_attempt: dict[str, int] = attrs.field(factory=dict)
    untaken_by_attempt: dict[str, int] = attrs.field(factory=dict)
    told: int = 0
    abandoned: int = 0
    withheld: int = 0
    ended: list[str] = attrs.field(factory=list)
    doubted: list[str] = attrs.field(factory=list)

    def add(self, line: LogLine) -> None:
        """Adds a line with the fingerprint of this request."""
        endpoint = str(line.fields.get("endpoint"))
        # Each host that learns of an end writes a line.
        if line.message_type == ENDED_UNDER and endpoint not in self.ended:
            self.ended.append(endpoint)
        if line.message_type == IN_DOUBT and endpoint not in self.doubted:
            self.doubted.append(endpoint)
        attempt = line.fields.get("attempt")
        if attempt is None:
            return
        self.hosts.add(line.host)
        _raise_to(self.ran_by_attempt, attempt, line.fields.get("sends_ran", 0))
        _raise_to(self.untaken_by_attempt, attempt, line.fields.get("sends_untaken", 0))
        self.told += line.message_type == INFORMED
        self.abandoned += line.message_type == ABANDONED
        self.withheld += line.message_type == WITHHELD

    def __str__(self) -> str:
        """Returns the sums in one line."""
        ended = ", ".join(self.ended) or "none"
        doubted = ", ".join(name for name in self.doubted if name not in self.ended) or "none"
        return (
            f"request {self.request}: "
            f"{len(self.ran_by_attempt)} attempts at {len(self.hosts)} hosts, "
            f"{self.told} sends told to other hosts; "
            f"sends that may have run and failed: {sum(self.ran_by_attempt.values())}, "
            f"not taken: {sum(self.untaken_by_attempt.values())}, "
            f"abandoned: {self.abandoned}; endpoints that ended under it: {ended}; "
            f"that broke off or fell silent, and were not found to have ended: {doubted}; "
            f"attempts withheld for that: {self.withheld}"
        )


def _raise_to(count_by_attempt: dict[str, int], attempt: str, count: int) -> None:
    """Raises a count to that of a later line; each line has the count so far."""
    count_by_attempt[attempt] = max(count_by_attempt.get(attempt, 0), count)


def request_sends(lines: Iterable[LogLine]) -> Iterator[RequestSends]:
    """Yields the sums of each request that has lines with its fingerprint."""
    sends_by_request: dict[str, RequestSends] = {}
    for line in lines:
        request = line.fields.get("request")
        if request:
            sends_by_request.setdefault(request, RequestSends(request)).add(line)
    yield from sends_by_request.values()
