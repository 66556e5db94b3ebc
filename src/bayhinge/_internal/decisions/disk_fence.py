"""Fencing of reservations during changes of the disk set. Pure.

Of two concurrent turns of a program at least one must see the other. Any two quorums of one disk
set intersect; a quorum of the old set and one of the new set need not. So each version of the set
fences the previous one:

* A reservation carries the version its quorum is counted under; a disk that knows a newer version
  rejects it.
* A disk has *caught up* with a version once it has read all but :func:`unread_members_allowed`
  members of the previous version, each of which knew the new one by then. It has then read
  whatever an old quorum accepted, and no further old quorum can form.
* A disk to which a program is newly assigned accepts its reservations only once it has caught up.
* A version may be replaced only when it has settled: enough members have caught up. Otherwise too
  few members may know what was accepted two versions ago.

For availability after a loss beyond the tolerated one, a disk that can't catch up accepts
reservations again after :data:`CATCH_UP_LIMIT_S`.
"""

from collections.abc import Collection, Sequence
from enum import Enum
from typing import Protocol, TypeVar

import attrs

from bayhinge._internal.decisions.disk_placement import replicas_of
from bayhinge._internal.decisions.disk_quorum import reservations_needed

CATCH_UP_LIMIT_S = 0.6
"""A disk counts as caught up this long after it learned of a version: six read periods. Where a
member of a set that has shrunk is gone for good, no disk can catch up, and reservations are
rejected until then. Trades away safety against a host and members that all missed the change for
so long."""


class Member(Protocol):
    """What the fence needs of a disk."""

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
        """Random identifier, drawn when the disk's folder was empty."""
        ...


Disk = TypeVar("Disk", bound=Member)


class Verdict(Enum):
    """A disk's response to a reservation."""

    TAKEN = "taken"
    HOST_IS_BEHIND = "host is behind"
    DISK_IS_BEHIND = "disk is behind"
    NOT_YET = "not yet"


def unread_members_allowed(members: int, tolerated: int) -> int:
    """Returns how many members a disk may leave unread and still be caught up.

    A program has at most ``2 * tolerated + 1`` replicas; the members that were read must intersect
    each of its quorums.
    """
    placed = min(members, 2 * tolerated + 1)
    return max(0, placed - reservations_needed(placed, tolerated))


@attrs.frozen
class KnownSet:
    """A version of the disk set: its members, and those of the previous version."""

    version: int
    members: Sequence[Member]
    previous: Sequence[Member]
    tolerated: int

    def is_caught_up_by(self, own: Member, read_generations: Collection[int]) -> bool:
        """Whether a disk that has read these other disks under this version has caught up."""
        missing = [
            member
            for member in self.previous
            if member.generation != own.generation and member.generation not in read_generations
        ]
        return len(missing) <= unread_members_allowed(len(self.previous), self.tolerated)

    def has_settled(self, caught_up_generations: Collection[int]) -> bool:
        """Whether the set may change: enough members have caught up with it."""
        behind = [one for one in self.members if one.generation not in caught_up_generations]
        return len(behind) <= unread_members_allowed(len(self.members), self.tolerated)

    def verdict(
        self, own: Member, program: str, asked_version: int, has_caught_up: bool
    ) -> Verdict:
        """Returns the response to a program's reservation under the requesting host's version."""
        if asked_version < self.version:
            return Verdict.HOST_IS_BEHIND
        if asked_version > self.version:
            return Verdict.DISK_IS_BEHIND
        if not _contains(self.members, own):
            # A disk that lost its folder: it has the old address, but none of the data.
            return Verdict.NOT_YET
        if has_caught_up or _contains(replicas_of(program, self.previous, self.tolerated), own):
            return Verdict.TAKEN
        return Verdict.NOT_YET


def _contains(members: Sequence[Member], own: Member) -> bool:
    return any(member.generation == own.generation for member in members)
