"""Sums up what became of one request's sends, over all its attempts and hosts."""

from collections.abc import Iterable, Iterator

import attrs

from bayhinge._internal.queries.log_trace import LogLine

ABANDONED = "send.abandoned"
ENDED_UNDER = "endpoint.ended_under"
WITHHELD = "send.withheld"


@attrs.define
class RequestSends:
    """The sends of one request that got no whole answer.

    Attributes:
        ran_by_attempt: sends of each attempt that may have run and failed.
        untaken_by_attempt: sends of each attempt that were rejected or never reached an endpoint.
        abandoned: sends that were given up with the attempt.
        withheld: attempts that were refused because of the endpoints that had ended.
        ended: the endpoints that ended under it, in order.
    """

    request: str
    hosts: set[str] = attrs.field(factory=set)
    ran_by_attempt: dict[str, int] = attrs.field(factory=dict)
    untaken_by_attempt: dict[str, int] = attrs.field(factory=dict)
    abandoned: int = 0
    withheld: int = 0
    ended: list[str] = attrs.field(factory=list)

    def add(self, line: LogLine) -> None:
        """Adds a line with the fingerprint of this request."""
        if line.message_type == ENDED_UNDER:
            self._add_ended(str(line.fields.get("endpoint")))
        attempt = line.fields.get("attempt")
        if attempt is None:
            return
        self.hosts.add(line.host)
        _raise_to(self.ran_by_attempt, attempt, line.fields.get("sends_ran", 0))
        _raise_to(self.untaken_by_attempt, attempt, line.fields.get("sends_untaken", 0))
        self.abandoned += line.message_type == ABANDONED
        self.withheld += line.message_type == WITHHELD

    def _add_ended(self, endpoint: str) -> None:
        # Each host that learns of an end writes a line.
        if endpoint not in self.ended:
            self.ended.append(endpoint)

    def __str__(self) -> str:
        """Returns the sums in one line."""
        ended = ", ".join(self.ended) or "none"
        return (
            f"request {self.request}: "
            f"{len(self.ran_by_attempt)} attempts at {len(self.hosts)} hosts; "
            f"sends that may have run and failed: {sum(self.ran_by_attempt.values())}, "
            f"not taken: {sum(self.untaken_by_attempt.values())}, "
            f"abandoned: {self.abandoned}; endpoints that ended under it: {ended}; "
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
