"""Which reservations a disk may take while the set of disks changes. Pure.

Of two racing turns of a program at least one must see the other. Under one set any two of their
quorums meet; a quorum of the set before a change and one of the set after it need not. So each
version of the set fences the one before:

* A reservation bears the version under which its quorum is counted, and a disk that knows a newer
  one does not take it.
* A disk that knows a version has *caught up* once it has read all but the spare members of the
  version before, each of which knew the new one by then. What an old quorum took until then it
  has read, and after that no old quorum comes about any more.
* Where a program is new to a disk, the disk takes its reservations only when it has caught up.
* A version is followed by the next one only when it has settled: all but the spare members have
  caught up. Else what was taken two versions ago might be known to too few.

What is lost beyond the tolerated must not stop a site for good: a disk that can't catch up takes
reservations again after :data:`CATCH_UP_LIMIT_S`.
"""

from collections.abc import Collection, Sequence
from enum import Enum
from typing import Protocol, TypeVar

import attrs

from bayhinge._internal.decisions.disk_placement import places_of
from bayhinge._internal.decisions.disk_quorum import reservations_needed

CATCH_UP_LIMIT_S = 0.6
"""A disk that knows a version for so long counts as caught up: six readings of the others. Where a
member of a set that has shrunk is gone for good nobody can catch up: with 3 s a played day of a
retirement and a replacement behind it was served 0.80 of its requests, 0.985 with 0.6 s. What is
given up: a host that has not heard of a change for so long, with members that have not either."""


class Member(Protocol):
    """What the fence needs to know of a disk."""

    @property
    def host(self) -> str:
        """The host's name."""
        ...

    @property
    def hall(self) -> str:
        """The hall it stands in."""
        ...

    @property
    def generation(self) -> int:
        """Drawn when the disk's folder was empty."""
        ...


Disk = TypeVar("Disk", bound=Member)


class Verdict(Enum):
    """What a disk says to a reservation."""

    TAKEN = "taken"
    HOST_IS_BEHIND = "host is behind"
    DISK_IS_BEHIND = "disk is behind"
    NOT_YET = "not yet"


def spare_members(members: int, tolerated: int) -> int:
    """Returns how many members a catching up may leave unread.

    A program has ``2 * tolerated + 1`` of them at most; those that were read must meet every
    quorum of it.
    """
    placed = min(members, 2 * tolerated + 1)
    return max(0, placed - reservations_needed(placed, tolerated))


@attrs.frozen
class KnownSet:
    """A version of the set as a disk knows it: its members, and those of the version before."""

    version: int
    members: Sequence[Member]
    previous: Sequence[Member]
    tolerated: int

    def is_caught_up_by(self, own: Member, read_generations: Collection[int]) -> bool:
        """Tells whether a disk that has read these others under this version has caught up."""
        unread = [
            member
            for member in self.previous
            if member.generation != own.generation and member.generation not in read_generations
        ]
        return len(unread) <= spare_members(len(self.previous), self.tolerated)

    def has_settled(self, caught_up_generations: Collection[int]) -> bool:
        """Tells whether the set may change: enough members have caught up with it."""
        behind = [one for one in self.members if one.generation not in caught_up_generations]
        return len(behind) <= spare_members(len(self.members), self.tolerated)

    def verdict(
        self, own: Member, program: str, asked_version: int, has_caught_up: bool
    ) -> Verdict:
        """Says whether a disk takes a reservation of a program under the asking host's version."""
        if asked_version < self.version:
            return Verdict.HOST_IS_BEHIND
        if asked_version > self.version:
            return Verdict.DISK_IS_BEHIND
        if not _holds(self.members, own):
            # A disk that lost its folder answers under its old address, and knows nothing.
            return Verdict.NOT_YET
        if has_caught_up or _holds(places_of(program, self.previous, self.tolerated), own):
            return Verdict.TAKEN
        return Verdict.NOT_YET


def _holds(members: Sequence[Member], own: Member) -> bool:
    return any(member.generation == own.generation for member in members)
