"""Which disks of the set keep a program's turns. Pure.

On a large site a copy on every disk costs more bytes than it is worth. A program lives on
``2 * tolerated + 1`` disks: enough that a majority is left after the tolerated loss.
"""

from collections.abc import Sequence
from typing import Protocol, TypeVar

from bayhinge.coordination.rendezvous import rank


class PlacedLike(Protocol):
    """What placement needs to know of a disk."""

    @property
    def host(self) -> str:
        """The host's name."""
        ...

    @property
    def hall(self) -> str:
        """The hall it stands in."""
        ...


Disk = TypeVar("Disk", bound=PlacedLike)


def places_of(program: str, members: Sequence[Disk], tolerated: int) -> list[Disk]:
    """Returns a program's disks: spread over halls first, so that a near one is among them.

    When a member comes or goes, few programs move, and each by one disk.
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


def missing_allowed(members: int, tolerated: int) -> int:
    """Returns how many members may lack their share while every program is safe.

    A program must stand on ``tolerated + 1`` of its disks.
    """
    placed = min(members, 2 * tolerated + 1)
    return max(0, placed - (tolerated + 1))
