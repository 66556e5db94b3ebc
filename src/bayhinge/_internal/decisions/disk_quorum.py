"""How many disks must answer, as pure rules.

A whole turn must outlive the loss of ``tolerated`` disks, so it needs one copy more. Two
reservations of one program must meet at some disk, also when ``tolerated`` of the disks
that took the first one are lost meanwhile.
"""

from collections.abc import Iterable, Mapping


def copies_needed(tolerated: int) -> int:
    """Returns the number of disks that must have synced a turn before its answer ends."""
    return tolerated + 1


def reservations_needed(members: int, tolerated: int) -> int:
    """Returns the number of disks of the set that must take a reservation.

    In a set that has shrunk below ``2 * tolerated + 1`` a majority alone could be lost whole.
    """
    return max(members - tolerated, members // 2 + 1, min(members, tolerated + 1))


def committed_tokens(
    own: str, replies: Iterable[tuple[Mapping[str, int], Mapping[str, int]]]
) -> int:
    """Sums a program's turns over the replies of several disks, without the turn ``own``.

    Each reply holds open turns at their most and settled ones at what they used. A turn
    that any disk knows as settled counts as settled.
    """
    open_by_attempt: dict[str, int] = {}
    settled_by_attempt: dict[str, int] = {}
    for still_open, settled in replies:
        open_by_attempt.update(still_open)
        settled_by_attempt.update(settled)
    merged = open_by_attempt | settled_by_attempt
    merged.pop(own, None)
    return sum(merged.values())
