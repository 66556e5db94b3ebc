"""Tracks whether a disk host has caught up with the newest version of the disk set."""

import asyncio
from pathlib import Path

import eliot

from bayhinge._internal.decisions.disk_fence import CATCH_UP_LIMIT_S, KnownSet, Verdict
from bayhinge._internal.utils.durable_files import replace_synced
from bayhinge._internal.wire.hosts.ttypes import DiskMember, DiskSet

CAUGHT_UP_FILE = "caught-up"


class SetFence:
    """One disk host's fence for the newest version of the disk set that it knows.

    ``tolerated`` is the number of disks that may be lost at once, ``folder`` where this disk stores
    its files.

    Attributes:
        has_caught_up: this disk has everything that quorums of the previous version accepted, or
            :data:`CATCH_UP_LIMIT_S` has passed.
    """

    def __init__(self, tolerated: int, folder: Path) -> None:
        self._tolerated = tolerated
        self._file = folder / CAUGHT_UP_FILE
        self._own: DiskMember | None = None
        self._known = KnownSet(0, (), (), tolerated)
        self._since_s = 0.0
        self._read_generations: set[int] = set()
        self._caught_up_generations: set[int] = set()
        self.has_caught_up = False

    def apply(self, disk_set: DiskSet, own: DiskMember) -> None:
        """Switches to a newer version; reads under the previous one no longer count."""
        self._own = own
        previous = tuple(disk_set.previous or ())
        self._known = KnownSet(disk_set.version, tuple(disk_set.members), previous, self._tolerated)
        self._since_s = asyncio.get_running_loop().time()
        self._read_generations.clear()
        self._caught_up_generations.clear()
        # What was read is on the disk, so the state survives a restart.
        self.has_caught_up = self._stored_version() == disk_set.version
        self._update_caught_up()

    def record_read(self, member: DiskMember, version: int, source_has_caught_up: bool) -> None:
        """Records that another disk's log was read to its end while both knew ``version``."""
        if version != self._known.version:
            return
        self._read_generations.add(member.generation)
        if source_has_caught_up:
            self._caught_up_generations.add(member.generation)
        self._update_caught_up()

    def verdict(self, program: str, asked_version: int) -> Verdict:
        """See :meth:`KnownSet.verdict`."""
        if self._own is None:
            return Verdict.DISK_IS_BEHIND
        self._update_caught_up()
        return self._known.verdict(self._own, program, asked_version, self.has_caught_up)

    @property
    def has_settled(self) -> bool:
        """Whether the set may change again."""
        caught_up = set(self._caught_up_generations)
        if self.has_caught_up and self._own is not None:
            caught_up.add(self._own.generation)
        return self._is_overdue() or self._known.has_settled(caught_up)

    def _update_caught_up(self) -> None:
        if self.has_caught_up or self._own is None:
            return
        is_sure = self._known.is_caught_up_by(self._own, self._read_generations)
        if is_sure or self._is_overdue():
            self.has_caught_up = True
            if is_sure:
                self._store_version()
            eliot.log_message(
                "disk_set.caught_up",
                version=self._known.version,
                read=len(self._read_generations),
                previous=len(self._known.previous),
                is_sure=is_sure,
            )

    def _stored_version(self) -> int:
        try:
            text = self._file.read_text()
        except FileNotFoundError:
            return 0
        except (OSError, UnicodeDecodeError) as error:
            eliot.log_message("disk_set.unreadable", file=self._file.name, why=str(error))
            return 0
        return int(text) if text.strip().isdecimal() else 0

    def _store_version(self) -> None:
        try:
            replace_synced(self._file, f"{self._known.version}\n".encode())
        except OSError as error:
            # After a restart this disk reads the other disks again.
            eliot.log_message("disk.refused", what=self._file.name, why=str(error))

    def _is_overdue(self) -> bool:
        return asyncio.get_running_loop().time() - self._since_s > CATCH_UP_LIMIT_S
