"""Quorum sizes of the disk set. Pure.

A whole turn must survive the loss of ``tolerated`` disks, so it needs one more copy. The quorums of
two reservations of one program must intersect, even if ``tolerated`` disks of the first quorum are
lost in between.
"""

from collections.abc import Iterable, Mapping


def copies_needed(tolerated: int) -> int:
    """Returns the number of disks that must sync a turn before its answer ends."""
    return tolerated + 1


def reservations_needed(members: int, tolerated: int) -> int:
    """Returns the number of disks that must accept a reservation.

    In a set smaller than ``2 * tolerated + 1``, a bare majority could be lost entirely.
    """
    return max(members - tolerated, members // 2 + 1, min(members, tolerated + 1))


def committed_tokens(
    own: str, replies: Iterable[tuple[Mapping[str, int], Mapping[str, int]]]
) -> int:
    """Sums the tokens of a program's turns over the replies of several disks, except ``own``.

    Each reply holds the reserved tokens of open turns and the used tokens of settled ones. A turn
    that is settled on any disk counts as settled.
    """
    open_by_attempt: dict[str, int] = {}
    settled_by_attempt: dict[str, int] = {}
    for still_open, settled in replies:
        open_by_attempt.update(still_open)
        settled_by_attempt.update(settled)
    merged = open_by_attempt | settled_by_attempt
    merged.pop(own, None)
    return sum(merged.values())
