"""What a disk host has caught up with, kept over the versions of the set of disks."""

import asyncio

import eliot

from bayhinge._internal.decisions.disk_fence import CATCH_UP_LIMIT_S, KnownSet, Verdict
from bayhinge._internal.wire.hosts.ttypes import DiskMember, DiskSet


class SetFence:
    """One disk host's view of the newest version that it knows.

    Attributes:
        has_caught_up: what quorums of the version before have taken is here.
    """

    def __init__(self, tolerated: int) -> None:
        """Takes how many disks may be lost at once."""
        self._tolerated = tolerated
        self._own: DiskMember | None = None
        self._known = KnownSet(0, (), (), tolerated)
        self._since_s = 0.0
        self._read_generations: set[int] = set()
        self._caught_up_generations: set[int] = set()
        self.has_caught_up = False

    def take(self, disk_set: DiskSet, own: DiskMember) -> None:
        """A newer version is known; what was read under the one before counts no more."""
        self._own = own
        previous = tuple(disk_set.previous or ())
        self._known = KnownSet(disk_set.version, tuple(disk_set.members), previous, self._tolerated)
        self._since_s = asyncio.get_running_loop().time()
        self._read_generations.clear()
        self._caught_up_generations.clear()
        self.has_caught_up = False
        self._look()

    def note_read(self, member: DiskMember, version: int, source_has_caught_up: bool) -> None:
        """Another disk's log was read to its end, while it and this one knew a version."""
        if version != self._known.version:
            return
        self._read_generations.add(member.generation)
        if source_has_caught_up:
            self._caught_up_generations.add(member.generation)
        self._look()

    def verdict(self, program: str, asked_version: int) -> Verdict:
        """See :meth:`KnownSet.verdict`."""
        if self._own is None:
            return Verdict.DISK_IS_BEHIND
        self._look()
        return self._known.verdict(self._own, program, asked_version, self.has_caught_up)

    @property
    def has_settled(self) -> bool:
        """Whether the set may change again."""
        caught_up = set(self._caught_up_generations)
        if self.has_caught_up and self._own is not None:
            caught_up.add(self._own.generation)
        return self._is_overdue() or self._known.has_settled(caught_up)

    def _look(self) -> None:
        if self.has_caught_up or self._own is None:
            return
        is_sure = self._known.is_caught_up_by(self._own, self._read_generations)
        if is_sure or self._is_overdue():
            self.has_caught_up = True
            eliot.log_message(
                "disk_set.caught_up",
                version=self._known.version,
                read=len(self._read_generations),
                previous=len(self._known.previous),
                is_sure=is_sure,
            )

    def _is_overdue(self) -> bool:
        return asyncio.get_running_loop().time() - self._since_s > CATCH_UP_LIMIT_S
