"""Decides whether a request under which endpoints ended may be sent to one more. Pure."""

from enum import StrEnum

from bayhinge._internal.decisions.ended_send_history import (
    RequestHistory,
    RequestKey,
    SendUnderWay,
)

MAX_ENDED = 3
"""Endpoints that may end under one request; the users' limit."""


class Permission(StrEnum):
    """Whether a request may be sent.

    Attributes:
        EXAMINE: the endpoints that broke it off have to be examined first.
        ALONE: to an endpoint that runs no other request of this kind, as its end would be blamed on
            both.
        WAIT: another one is under way, and its outcome should be awaited for a moment.
        BUSY: other attempts are under way, and the endpoints that run them may be the last ones.
        WITHHELD: too many endpoints have ended under it.
    """

    FREE = "free"
    EXAMINE = "examine"
    ALONE = "alone"
    WAIT = "wait"
    BUSY = "busy"
    WITHHELD = "withheld"


def permission_of(
    key: RequestKey,
    history: RequestHistory,
    now_s: float,
    claim: SendUnderWay | None,
) -> Permission:
    """Decides whether a request with this history may be sent to one more endpoint now.

    The arguments are those of :meth:`EndedSends.permission`.
    """
    if history.count(history.ended(), key.has_program) >= MAX_ENDED:
        return Permission.WITHHELD
    lost = history.count(history.counting(), key.has_program)
    if lost >= MAX_ENDED:
        return Permission.EXAMINE
    return _permission_beside(key, lost, history.running(now_s, claim))


def _permission_beside(key: RequestKey, lost: int, running: int) -> Permission:
    """Decides about a request that may be sent, but for its other sends that are under way.

    Args:
        key: the request.
        lost: how many endpoints ended under it, or may have; less than may end.
        running: how many of its sends are under way.
    """
    if not lost:
        return Permission.FREE
    is_last = lost == MAX_ENDED - 1
    if (is_last or key.has_program) and lost + running >= MAX_ENDED:
        return Permission.BUSY
    if running and not key.has_program:
        return Permission.WAIT
    return Permission.ALONE if is_last else Permission.FREE
