"""What a disk host keeps and knows: its entries, the set of disks, and which of them keeps what.

What it answers, how it joins and copies, and how it leaves each build on this.
"""

import asyncio
import time
from collections.abc import Iterable
from pathlib import Path

import eliot

from bayhinge._internal.decisions.disk_placement import places_of
from bayhinge._internal.exceptions import FrameError, PeerFailureError, PeerUnreachableError
from bayhinge._internal.models.site_settings import SiteSettings
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.network.peers import Peers
from bayhinge._internal.services.disks.commit_group import CommitGroup
from bayhinge._internal.services.disks.object_keeper import ObjectKeeper
from bayhinge._internal.services.disks.set_fence import SetFence
from bayhinge._internal.services.disks.turn_log import TurnLog
from bayhinge._internal.services.gossip import Gossip
from bayhinge._internal.utils.durable_files import replace_synced
from bayhinge._internal.utils.running_time import running_timeout
from bayhinge._internal.wire.hosts import ttypes as wire

DISK_SET_FILE = "disk-set"

CALL_S = 1.0
"""Time for another disk's answer."""


class DiskState:
    """One disk host's entries and its view of the set of disks.

    Attributes:
        is_retiring: it is to leave the set, and does not join again.
        is_retired: it has left the set, and takes no entries any more.
    """

    def __init__(self, settings: SiteSettings, peers: Peers) -> None:
        """Takes the settings and the way to other hosts; reads what is on the disk."""
        self.settings = settings
        self.peers = peers
        self.turns = TurnLog(Path(settings.data_folder), time.monotonic())
        self._commits = CommitGroup(self.turns)
        self.gossip = Gossip(settings, wire.HostRole.DISK)
        self.objects = ObjectKeeper(Path(settings.data_folder), peers)
        self._set_file = Path(settings.data_folder) / DISK_SET_FILE
        self.disk_set = _read_disk_set(self._set_file)
        self._position_by_generation: dict[int, int] = {}
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

    def keys_kept_by(self, member: wire.DiskMember, keys: Iterable[tuple[str, str]]) -> list[str]:
        """Returns the keys of the programs that a disk keeps, or will keep once it has joined."""
        if all(one.host != member.host for one in self.disk_set.members):
            members = [*self.disk_set.members, member]
            tolerated = self.settings.tolerated_disks
            return [
                key for key, program in keys if member in places_of(program, members, tolerated)
            ]
        return [key for key, program in keys if member.host in self._places(program)]

    def _places(self, program: str) -> set[str]:
        hosts = self._hosts_by_program.get(program)
        if hosts is None:
            tolerated = self.settings.tolerated_disks
            places = places_of(program, self.disk_set.members, tolerated)
            hosts = {member.host for member in places}
            self._hosts_by_program[program] = hosts
        return hosts

    def take_disk_set(self, disk_set: wire.DiskSet) -> None:
        """Takes a set in, unless a newer one is known."""
        if disk_set.version > self.disk_set.version:
            self.disk_set = disk_set
            self.fence.take(disk_set, self.me)
            self._set_changed.set()
            # What this disk keeps may have changed: the others' logs are read again.
            self._position_by_generation.clear()
            self._hosts_by_program.clear()
            self._keep_disk_set()
            self.gossip.me.disk_set_version = disk_set.version
            self.gossip.say_now()
            eliot.log_message(
                "disk_set.changed",
                version=disk_set.version,
                members=[member.host for member in disk_set.members],
            )

    def _keep_disk_set(self) -> None:
        """Keeps the set for a start while the store is down."""
        try:
            replace_synced(self._set_file, encode_message(self.disk_set))
        except OSError as error:
            eliot.log_message("disk.refused", what="disk set", why=str(error))

    async def write(self, entries: list[wire.TurnEntry]) -> None:
        """Appends and syncs.

        Raises:
            OSError: the disk refused.
        """
        self.turns.append(entries)
        await self._commits.sync()

    async def call(self, address: str, method: str, payload: bytes) -> bytes | None:
        """Returns another host's answer; None where there is none."""
        try:
            async with running_timeout(CALL_S):
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
