"""Placement of a program's replicas on the disks of the set. Pure.

A program is stored on ``2 * tolerated + 1`` disks, so that a majority is left after the tolerated
loss; a copy on every disk of a large site would cost too much.
"""

from collections.abc import Sequence
from typing import Protocol, TypeVar

from bayhinge.coordination.rendezvous import rank


class PlacedDisk(Protocol):
    """What placement needs of a disk."""

    @property
    def host(self) -> str:
        """The host's name."""
        ...

    @property
    def hall(self) -> str:
        """The hall it stands in."""
        ...


Disk = TypeVar("Disk", bound=PlacedDisk)


def replicas_of(program: str, members: Sequence[Disk], tolerated: int) -> list[Disk]:
    """Returns the disks that store a program, spread over the halls by rendezvous hashing.

    When a member joins or leaves, few programs move, and each of them by one disk.
    """
    count = 2 * tolerated + 1
    if len(members) <= count:
        return list(members)
    member_by_host = {member.host: member for member in members}
    taken_by_hall: dict[str, int] = {}
    ordered: list[tuple[int, int, str]] = []
    for position, host in enumerate(rank(program, member_by_host)):
        hall = member_by_host[host].hall
        taken = taken_by_hall.get(hall, 0)
        taken_by_hall[hall] = taken + 1
        ordered.append((taken, position, host))
    return [member_by_host[host] for _, _, host in sorted(ordered)[:count]]


def missing_members_allowed(members: int, tolerated: int) -> int:
    """Returns how many members may lack data while every program is stored safely.

    A program must be on ``tolerated + 1`` of its disks.
    """
    placed = min(members, 2 * tolerated + 1)
    return max(0, placed - (tolerated + 1))
