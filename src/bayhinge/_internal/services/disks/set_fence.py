"""What a disk host has caught up with, kept over the versions of the set of disks."""

import asyncio
from pathlib import Path

import eliot

from bayhinge._internal.decisions.disk_fence import CATCH_UP_LIMIT_S, KnownSet, Verdict
from bayhinge._internal.utils.durable_files import replace_synced
from bayhinge._internal.wire.hosts.ttypes import DiskMember, DiskSet

CAUGHT_UP_FILE = "caught-up"


class SetFence:
    """One disk host's view of the newest version that it knows.

    Attributes:
        has_caught_up: what quorums of the version before have taken is here.
    """

    def __init__(self, tolerated: int, folder: Path) -> None:
        """Takes how many disks may be lost at once, and where this disk keeps its files."""
        self._tolerated = tolerated
        self._file = folder / CAUGHT_UP_FILE
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
        # What was read is on the disk, so it outlives a start.
        self.has_caught_up = self._kept_version() == disk_set.version
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
            if is_sure:
                self._keep_version()
            eliot.log_message(
                "disk_set.caught_up",
                version=self._known.version,
                read=len(self._read_generations),
                previous=len(self._known.previous),
                is_sure=is_sure,
            )

    def _kept_version(self) -> int:
        try:
            text = self._file.read_text()
        except FileNotFoundError:
            return 0
        except (OSError, UnicodeDecodeError) as error:
            eliot.log_message("disk_set.unreadable", file=self._file.name, why=str(error))
            return 0
        return int(text) if text.strip().isdecimal() else 0

    def _keep_version(self) -> None:
        try:
            replace_synced(self._file, f"{self._known.version}\n".encode())
        except OSError as error:
            # After a start it reads the others again.
            eliot.log_message("disk.refused", what=self._file.name, why=str(error))

    def _is_overdue(self) -> bool:
        return asyncio.get_running_loop().time() - self._since_s > CATCH_UP_LIMIT_S
