"""Decides whether a request may be sent to one more endpoint. Pure.

A request is sent only while fewer than three of its sends are not known to have been outlived by
their endpoints.
"""

import math
from collections.abc import Iterable, Mapping, Set
from enum import StrEnum

import attrs

from bayhinge._internal.decisions.known_sends import KnownSend, RequestKey, SendStage

MAX_ENDED = 3
"""Endpoints that may end under one request; the users' limit."""


class Permission(StrEnum):
    """Whether a request may be sent.

    Attributes:
        ALONE: to an endpoint that runs no other request of this kind, as its end would be blamed on
            both.
        WAIT: others are under way, and the outcome of one should be awaited for a moment.
        IN_DOUBT: too many endpoints have ended under it, or may have.
        WITHHELD: too many endpoints have ended under it.
    """

    FREE = "free"
    ALONE = "alone"
    WAIT = "wait"
    IN_DOUBT = "in_doubt"
    WITHHELD = "withheld"


@attrs.frozen
class Tally:
    """The sends of a request that count at one moment.

    Attributes:
        ended: those whose endpoints have ended.
        in_doubt: those that failed, or whose hosts have died, and whose endpoints may have ended.
        under_way: those without an outcome.
        unconfirmed: those of them whose processes may have died. They count as under way where the
            request names its program; else only those of living processes do.
    """

    has_program: bool
    ended: tuple[KnownSend, ...] = ()
    in_doubt: tuple[KnownSend, ...] = ()
    under_way: tuple[KnownSend, ...] = ()
    unconfirmed: tuple[KnownSend, ...] = ()

    @property
    def has_failures(self) -> bool:
        """Whether any send is known to have failed."""
        return any(not send.is_under_way for send in (*self.ended, *self.in_doubt))

    @property
    def counting(self) -> tuple[KnownSend, ...]:
        """All of them."""
        return (*self.ended, *self.in_doubt, *self.under_way)

    @property
    def failed_endpoints(self) -> frozenset[str]:
        """The endpoints at which sends have failed."""
        sends = (*self.ended, *self.in_doubt)
        return frozenset(send.endpoint.endpoint for send in sends if not send.is_under_way)

    @property
    def ended_count(self) -> int:
        """How many endpoints are taken to have ended."""
        return self._count(self.ended)

    @property
    def lost_count(self) -> int:
        """How many are taken to have ended, or may have."""
        return self._count((*self.ended, *self.in_doubt))

    @property
    def running_count(self) -> int:
        """How many further endpoints run the request, or are about to."""
        lost = {send.endpoint for send in (*self.ended, *self.in_doubt)}
        claimed = sum(send.stage is SendStage.CLAIMED for send in self.under_way)
        sent = {send.endpoint for send in self.under_way if send.stage is SendStage.SENT}
        return claimed + len(sent - lost)

    def _count(self, sends: tuple[KnownSend, ...]) -> int:
        """Returns how many endpoints these sends count for.

        Those of one caller's sends all count. Of the equal requests of many callers, those that
        were under way at the same time count once: they tell of endpoints that failed together.
        """
        send_by_endpoint = {send.endpoint: send for send in sends}
        if self.has_program:
            return len(send_by_endpoint)
        count, free_from_s = 0, -math.inf
        for send in sorted(send_by_endpoint.values(), key=_end_s):
            if send.sent_s > free_from_s:
                count += 1
                free_from_s = _end_s(send)
        return count

    def to_fields(self) -> dict[str, object]:
        """Returns the fields of a log line."""
        return {
            "ended": [send.endpoint.endpoint for send in self.ended],
            "in_doubt": [send.endpoint.endpoint for send in self.in_doubt],
            "under_way": [send.endpoint.endpoint for send in self.under_way],
        }


def tally_of(
    key: RequestKey,
    sends: Iterable[KnownSend],
    numbers_by_process: Mapping[int, Set[int]] | None = None,
) -> Tally:
    """Sorts the known sends of a request by what they count for.

    Args:
        key: the request.
        sends: its sends that were known before the one in question.
        numbers_by_process: the sends that living processes know. One of theirs that is not among
            them is over, and they have told its outcome to others.
    """
    known_by = numbers_by_process or {}
    counting = [
        send
        for send in sends
        if send.counts
        and not (send.is_under_way and send.number not in known_by.get(send.process, {send.number}))
    ]
    ended = tuple(send for send in counting if send.stage is SendStage.ENDED)
    failed = tuple(send for send in counting if send.stage is SendStage.UNSERVED)
    under_way = tuple(send for send in counting if send.is_under_way)
    unconfirmed = tuple(send for send in under_way if send.process not in known_by)
    if key.has_program:
        return Tally(True, ended, failed, under_way, unconfirmed)
    # Requests of others that are under way must not hold this one up; those of dead hosts count.
    lost = [_as_broken(send, unconfirmed) for send in unconfirmed]
    living = tuple(send for send in under_way if send.process in known_by)
    return Tally(False, ended, (*failed, *lost), living, unconfirmed)


def _end_s(send: KnownSend) -> float:
    """Returns when a send was over; where its host died, only its beginning is known."""
    return send.sent_s if math.isinf(send.broken_s) else send.broken_s


def _as_broken(send: KnownSend, unconfirmed: tuple[KnownSend, ...]) -> KnownSend:
    """Returns a send of a dead process as broken off when that was last known to send."""
    last_s = max(each.sent_s for each in unconfirmed if each.process == send.process)
    return attrs.evolve(send, broken_s=last_s)


def permission_of(tally: Tally) -> Permission:
    """Decides whether a request may be sent beside these sends."""
    if tally.ended_count >= MAX_ENDED:
        return Permission.WITHHELD
    lost = tally.lost_count
    if lost >= MAX_ENDED:
        return Permission.IN_DOUBT
    running = tally.running_count
    if tally.has_program and lost + running >= MAX_ENDED:
        return Permission.WAIT
    if lost and running and not tally.has_program:
        return Permission.WAIT
    is_last = lost == MAX_ENDED - 1 and tally.has_failures
    return Permission.ALONE if is_last else Permission.FREE
