"""What one host remembers of the failed sends of one request. Pure.

All times are in seconds on the host's monotonic clock.
"""

import hashlib
import math
from collections.abc import Iterable
from enum import IntEnum

import attrs

from bayhinge._internal.models.endpoint_entries import EndpointIncarnation

KEEP_S = 600.0
"""How long a request is remembered after the last endpoint that ended under it, or may have."""

KEEP_CLEARED_S = 60.0
"""How long a clearance is remembered, so that hosts that missed it don't bring the end back."""

UNDECIDED_S = 6.0
"""How long an endpoint that has answered may yet be found to have ended under a request, as the
answer may be that of a later incarnation, of which the store tells late."""

ENDING_S = 1.0
"""How long a process may still answer after it has failed a request and before it has ended."""

SAME_SEND_S = 0.05
"""Two hosts' figures of the same send differ by less, as their messages take time."""

LATENCY_S = 0.01
"""Longest time that a message between hosts usually takes."""

SETTLE_S = 3 * LATENCY_S
"""How long a host that is about to send a request again listens for others that do the same. Of two
that begin within a latency of each other, each has then heard of the other."""

TRIAL_S = 10.0
"""How long another host's send is assumed to go on if its end is not heard of."""


class Fate(IntEnum):
    """What is known of an endpoint that broke off a request; later ones replace earlier ones.

    Attributes:
        BROKEN: the request was not served there, and nothing has shown that it goes on since.
        ANSWERED: it has answered what was sent after its run was over, so that it does not count.
            The answer may have been that of a later incarnation, so it may yet be found to have
            ended.
        ENDED: it has ended.
        CLEARED: it goes on, or the request was served since.
    """

    BROKEN = 1
    ANSWERED = 2
    ENDED = 3
    CLEARED = 4


@attrs.frozen
class RequestKey:
    """A request over all its attempts.

    Attributes:
        fingerprint: see :func:`fingerprint_of`.
        has_program: it names its program, so that equal requests are attempts of one caller. Other
            equal requests may come from many callers at once.
    """

    fingerprint: str
    has_program: bool


@attrs.define
class BrokenSend:
    """A send to one endpoint that did not serve the request, and what is known of the endpoint.

    Attributes:
        broken_s: when it failed, or was given up.
        over_s: when the endpoint can no longer be at work on it, nor be about to end under it. Only
            an answer to what was sent later shows that the endpoint goes on.
        is_own: it was this host's send, so this host tells the others what becomes of it.
    """

    sent_s: float
    broken_s: float
    fate: Fate = Fate.BROKEN
    over_s: float = attrs.field()
    is_own: bool = False

    @over_s.default
    def _over_s(self) -> float:
        return self.broken_s + ENDING_S

    def is_before(self, other: "BrokenSend") -> bool:
        """Whether another send to the same endpoint began after this one had broken off."""
        return other.sent_s > self.broken_s + SAME_SEND_S


@attrs.frozen
class SendUnderWay:
    """A send that has no outcome yet, or is about to begin.

    Attributes:
        endpoint: the id of its endpoint.
        number: orders sends that begin at the same time at several hosts; 0 for one that began
            before anything had failed.
        began_s: when it began, or was heard of.
        until_s: until when it is assumed to go on if its end is not heard of.
        is_own: it is a send of this host.
        is_trial: its endpoint should run no other such request.
        is_told: other hosts were told of it.
    """

    endpoint: str
    number: int = 0
    began_s: float = 0.0
    until_s: float = math.inf
    is_own: bool = True
    is_trial: bool = False
    is_told: bool = False

    def weight_before(self, claim: "SendUnderWay") -> int:
        """Returns for how many sends this one counts when another is about to begin.

        Sends of one host are in order. Of two that begin at two hosts at the same time, the one
        with the lesser number comes first; either host knows of both. It then counts for two, so
        that one of them is sent: their order might run in a circle otherwise.
        """
        if self is claim:
            return 0
        if self.is_own == claim.is_own:
            return int((self.began_s, self.number) < (claim.began_s, claim.number))
        if self.began_s < claim.began_s - LATENCY_S:
            # Its host may have decided without having heard of the claim.
            return 1
        return 2 if self.number < claim.number else 0


@attrs.define
class RequestHistory:
    """The broken sends of one request.

    Attributes:
        under_way: its sends without an outcome, by endpoint and number.
    """

    send_by_incarnation: dict[EndpointIncarnation, BrokenSend] = attrs.field(factory=dict)
    under_way: dict[tuple[str, int], SendUnderWay] = attrs.field(factory=dict)

    def ended(self) -> list[EndpointIncarnation]:
        """Returns the endpoints that ended under the request."""
        return [
            incarnation
            for incarnation, send in self.send_by_incarnation.items()
            if send.fate is Fate.ENDED
        ]

    def undecided(self) -> list[EndpointIncarnation]:
        """Returns the endpoints that did not serve it, and may have ended or be about to."""
        return [
            incarnation
            for incarnation, send in self.send_by_incarnation.items()
            if send.fate is Fate.BROKEN
        ]

    def counting(self) -> list[EndpointIncarnation]:
        """Returns the endpoints that ended under it, or may have."""
        return [*self.ended(), *self.undecided()]

    def may_have_ended(self, incarnation: EndpointIncarnation, now_s: float) -> bool:
        """Whether an endpoint may be found to have ended under the request."""
        send = self.send_by_incarnation.get(incarnation)
        if send is None:
            return False
        is_recent = send.over_s + UNDECIDED_S >= now_s
        return send.fate is Fate.BROKEN or (send.fate is Fate.ANSWERED and is_recent)

    def running(self, now_s: float, claim: SendUnderWay | None = None) -> int:
        """Returns how many sends are under way, or how many of them come before a claim."""
        return sum(
            1 if claim is None else send.weight_before(claim)
            for send in self.under_way.values()
            if send.until_s > now_s
        )

    def count(self, incarnations: Iterable[EndpointIncarnation], has_program: bool) -> int:
        """Returns how many of these sends count.

        One caller's sends all count. Of the equal requests of many callers, those that were under
        way at the same time count once: they tell of endpoints that failed together.
        """
        sends = [self.send_by_incarnation[incarnation] for incarnation in incarnations]
        if has_program:
            return len(sends)
        count, free_from_s = 0, -math.inf
        for send in sorted(sends, key=lambda each: each.broken_s):
            if send.sent_s >= free_from_s:
                count += 1
                free_from_s = send.broken_s
        return count

    def oldest(self) -> EndpointIncarnation:
        """Returns the send to forget first; the ends go last, and before them the doubts."""
        sends = self.send_by_incarnation

        def order(each: EndpointIncarnation) -> tuple[bool, bool, float]:
            send = sends[each]
            return send.fate is Fate.ENDED, send.fate is Fate.BROKEN, send.broken_s

        return min(sends, key=order)

    def is_over(self, now_s: float) -> bool:
        """Whether nothing of it matters any more."""
        if self.running(now_s):
            return False
        return all(_is_past(send, now_s) for send in self.send_by_incarnation.values())


def _is_past(send: BrokenSend, now_s: float) -> bool:
    if send.fate in {Fate.BROKEN, Fate.ENDED}:
        return send.broken_s < now_s - KEEP_S
    if send.fate is Fate.CLEARED:
        return send.broken_s < now_s - KEEP_CLEARED_S
    return send.over_s + UNDECIDED_S < now_s


@attrs.frozen
class Knowledge:
    """What a host knows of a request at one moment.

    Attributes:
        ended: the endpoints that ended under it.
        in_doubt: those that broke it off and may have ended.
        running: its sends under way, here and at other hosts.
        age_s: how long ago the newest of these sends broke off, in seconds.
    """

    ended: tuple[str, ...]
    in_doubt: tuple[str, ...]
    running: int
    age_s: float

    def to_fields(self) -> dict[str, object]:
        """Returns the fields of a log line."""
        return {
            "ended": list(self.ended),
            "in_doubt": list(self.in_doubt),
            "running": self.running,
            "age_s": round(self.age_s, 3),
        }


def digest_of(key: RequestKey, incarnation: EndpointIncarnation, fate: Fate) -> int:
    """Returns a number of 64 bits that stands for what is known of one send."""
    named = (
        f"{key.fingerprint} {key.has_program} {incarnation.endpoint} {incarnation.born_ms} {fate}"
    )
    digest = hashlib.blake2b(named.encode("utf-8", "surrogateescape"), digest_size=8)
    return int.from_bytes(digest.digest(), "big", signed=True)
