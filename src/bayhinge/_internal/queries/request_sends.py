"""Sums up what became of one request's sends, over all its attempts and hosts."""

from collections.abc import Iterable, Iterator

import attrs

from bayhinge._internal.queries.log_trace import LogLine

FAILED = "send.failed"
REJECTED = "send.not_taken"
ABANDONED = "send.abandoned"
ENDED_UNDER = "endpoint.ended_under"
WITHHELD = "send.withheld"

SUSPICION_PREFIX = "not heard for "
"""Prefix of the ``why`` of a ``send.failed`` after which the request keeps waiting."""


@attrs.define
class RequestSends:
    """The sends of one request that got no whole answer.

    Attributes:
        failed: sends that may have run.
        rejected: sends that certainly did not run.
        abandoned: sends that were given up with the attempt.
        withheld: attempts that were refused because of the endpoints that had ended.
        ended: the endpoints that ended under it, in order.
    """

    request: str
    attempts: set[str] = attrs.field(factory=set)
    hosts: set[str] = attrs.field(factory=set)
    failed: int = 0
    rejected: int = 0
    abandoned: int = 0
    withheld: int = 0
    ended: list[str] = attrs.field(factory=list)

    def add(self, line: LogLine) -> None:
        """Adds a line with the fingerprint of this request."""
        if line.message_type == ENDED_UNDER:
            self._add_ended(str(line.fields.get("endpoint")))
        if line.fields.get("attempt") is None:
            return
        self.attempts.add(str(line.fields.get("attempt")))
        self.hosts.add(line.host)
        is_waiting = str(line.fields.get("why")).startswith(SUSPICION_PREFIX)
        self.failed += line.message_type == FAILED and not is_waiting
        self.rejected += line.message_type == REJECTED
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
            f"request {self.request}: {len(self.attempts)} attempts at {len(self.hosts)} hosts; "
            f"sends that may have run and failed: {self.failed}, rejected: {self.rejected}, "
            f"abandoned: {self.abandoned}; endpoints that ended under it: {ended}; "
            f"attempts withheld for that: {self.withheld}"
        )


def request_sends(lines: Iterable[LogLine]) -> Iterator[RequestSends]:
    """Yields the sums of each request that has lines with its fingerprint."""
    sends_by_request: dict[str, RequestSends] = {}
    for line in lines:
        request = line.fields.get("request")
        if request:
            sends_by_request.setdefault(request, RequestSends(request)).add(line)
    yield from sends_by_request.values()
