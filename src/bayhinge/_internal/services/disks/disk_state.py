"""State of a disk host: its entries, the disk set, and the placement of programs on it.

The request handler, the disk host's service and the retirement are built on it.
"""

import asyncio
import time
from collections.abc import Iterable
from pathlib import Path

import attrs
import eliot

from bayhinge._internal.decisions.disk_placement import replicas_of
from bayhinge._internal.exceptions import FrameError, PeerFailureError, PeerUnreachableError
from bayhinge._internal.models.site_settings import SiteSettings
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.network.peers import Peers
from bayhinge._internal.services.disks.group_commit import GroupCommit
from bayhinge._internal.services.disks.object_backup import ObjectBackup
from bayhinge._internal.services.disks.set_fence import SetFence
from bayhinge._internal.services.disks.turn_log import TurnLog
from bayhinge._internal.services.gossip import Gossip
from bayhinge._internal.utils.durable_files import replace_synced
from bayhinge._internal.utils.stall_tolerant_timeouts import stall_tolerant_timeout
from bayhinge._internal.wire.hosts import ttypes as wire

DISK_SET_FILE = "disk-set"

CALL_TIMEOUT_S = 1.0
"""Timeout of a call to another disk."""


@attrs.frozen
class LogPosition:
    """How far another disk's log was read; ``opening`` is that of the log, None if unknown."""

    entries: int = 0
    opening: int | None = None


class DiskState:
    """One disk host's entries and its view of the set of disks.

    Attributes:
        is_retiring: the disk is to leave the set, and does not join again.
        is_retired: the disk has left the set, and accepts no more entries.
    """

    def __init__(self, settings: SiteSettings, peers: Peers) -> None:
        """Loads the state that is stored in the data folder."""
        self.settings = settings
        self.peers = peers
        self.turns = TurnLog(Path(settings.data_folder), time.monotonic())
        self._commits = GroupCommit(self.turns)
        self.gossip = Gossip(settings, wire.HostRole.DISK)
        self.objects = ObjectBackup(Path(settings.data_folder), peers)
        self._disk_set_file = Path(settings.data_folder) / DISK_SET_FILE
        self.disk_set = _read_disk_set(self._disk_set_file)
        self._position_by_generation: dict[int, LogPosition] = {}
        self._hosts_by_program: dict[str, set[str]] = {}
        self._set_changed = asyncio.Event()
        self.fence = SetFence(settings.tolerated_disks, Path(settings.data_folder))
        self.is_retiring = False
        self.is_retired = False

    @property
    def me(self) -> wire.DiskMember:
        """This disk as a member of the set."""
        settings = self.settings
        return wire.DiskMember(
            settings.host, self.turns.generation, settings.peer_address, settings.hall
        )

    def keys_placed_on(self, member: wire.DiskMember, keys: Iterable[tuple[str, str]]) -> list[str]:
        """Returns the keys of programs placed on a disk, or that will be once it has joined."""
        if all(one.host != member.host for one in self.disk_set.members):
            members = [*self.disk_set.members, member]
            tolerated = self.settings.tolerated_disks
            return [
                key for key, program in keys if member in replicas_of(program, members, tolerated)
            ]
        return [key for key, program in keys if member.host in self._replica_hosts(program)]

    def _replica_hosts(self, program: str) -> set[str]:
        hosts = self._hosts_by_program.get(program)
        if hosts is None:
            tolerated = self.settings.tolerated_disks
            replicas = replicas_of(program, self.disk_set.members, tolerated)
            hosts = {member.host for member in replicas}
            self._hosts_by_program[program] = hosts
        return hosts

    def apply_disk_set(self, disk_set: wire.DiskSet) -> None:
        """Applies a disk set, unless a newer one is known."""
        if disk_set.version > self.disk_set.version:
            self.disk_set = disk_set
            self.fence.apply(disk_set, self.me)
            self._set_changed.set()
            # Other programs may be placed here now, so the other logs are read from the start.
            self._position_by_generation.clear()
            self._hosts_by_program.clear()
            self._store_disk_set()
            self.gossip.own_heartbeat.disk_set_version = disk_set.version
            self.gossip.send_now()
            eliot.log_message(
                "disk_set.changed",
                version=disk_set.version,
                members=[member.host for member in disk_set.members],
            )

    def _store_disk_set(self) -> None:
        """Stores the set, for a restart during an outage of the store."""
        try:
            replace_synced(self._disk_set_file, encode_message(self.disk_set))
        except OSError as error:
            eliot.log_message("disk.refused", what="disk set", why=str(error))

    def append(self, entries: list[wire.TurnEntry]) -> None:
        """Appends entries, which are durable after the next sync.

        Raises:
            OSError: the write failed.
        """
        # Not the time of the last expiry: the process may have stood still since.
        self.turns.append(entries, time.monotonic())

    async def write(self, entries: list[wire.TurnEntry]) -> None:
        """Appends entries and syncs them.

        Raises:
            OSError: the write or the sync failed.
        """
        self.append(entries)
        await self._commits.sync()

    async def call(self, address: str, method: str, payload: bytes) -> bytes | None:
        """Calls another host; returns its answer, or None where the call failed."""
        try:
            async with stall_tolerant_timeout(CALL_TIMEOUT_S):
                return await self.peers.call(address, method, payload)
        except (TimeoutError, PeerUnreachableError, PeerFailureError) as error:
            eliot.log_message(
                "disk.peer_missed", address=address, method=method, why=str(error) or "time-out"
            )
            return None


def _read_disk_set(path: Path) -> wire.DiskSet:
    try:
        return decode_message(wire.DiskSet(), path.read_bytes())
    except FileNotFoundError:
        return wire.DiskSet(0, [])
    except (FrameError, OSError) as error:
        eliot.log_message("disk_set.unreadable", file=path.name, why=str(error))
        return wire.DiskSet(0, [])
