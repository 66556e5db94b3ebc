"""Which disks count, and which of them answer, as one entry host sees it."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable

import eliot

from bayhinge._internal.decisions.disk_placement import places_of
from bayhinge._internal.decisions.disk_reach import DiskReach
from bayhinge._internal.exceptions import FrameError, PeerFailureError, PeerUnreachableError
from bayhinge._internal.models.site_settings import SiteSettings
from bayhinge._internal.network.frames import decode_message
from bayhinge._internal.network.peers import Peers
from bayhinge._internal.services import methods
from bayhinge._internal.services.disk_sets import read_disk_set
from bayhinge._internal.services.gateway.initial_sync import InitialSync
from bayhinge._internal.utils.running_time import running_timeout
from bayhinge._internal.wire.hosts.ttypes import DiskMember, DiskSet, Hello
from bayhinge.coordination.errors import StoreError
from bayhinge.coordination.store import ObjectStore

SUSPECT_S = 1.0
"""A disk that failed is asked last for so long; it is asked in the background all the same."""

PEER_WAIT_S = 0.25
"""Time for a hello to tell of the set before the store is asked; longer where the whole system
starts for the first time, since disks tell of the set as soon as there is one."""

FETCH_S = 0.5
RETRY_S = 0.5

REACH_PERIOD_S = 0.3
"""Between two tries of a host that is cut off to reach any disk: callers are no longer told of it,
so no request would show that the cut is over."""


class DiskDirectory:
    """The set of disks, and who is silent."""

    def __init__(
        self,
        settings: SiteSettings,
        store: ObjectStore,
        peers: Peers,
        live_disks: Callable[[], list[Hello]],
    ) -> None:
        """Takes the host's settings, the platform's store, and the way to other hosts.

        ``heard`` returns the hellos of disk hosts that were heard of lately.
        """
        self._live_disks = live_disks
        self._settings = settings
        self._store = store
        self._peers = peers
        self._suspect_until_by_host: dict[str, float] = {}
        self._is_fetching = False
        self.initial_store_delay_s = PEER_WAIT_S
        self._is_known = asyncio.Event()
        self.disk_set = DiskSet(0, [])
        self.reach = DiskReach(settings.tolerated_disks)
        self.initial_sync = InitialSync("disks")
        self.on_change: Callable[[DiskSet], None] = lambda disk_set: None

    async def load(self) -> None:
        """Reads the set from the store; goes on until there is one or a peer told of one."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.initial_store_delay_s):
                await self._is_known.wait()
        while not self.disk_set.members:
            try:
                disk_set = await read_disk_set(self._store)
            except StoreError as error:
                eliot.log_message("disk_set.not_read", why=str(error))
            else:
                if disk_set is not None:
                    self.accept(disk_set)
            await asyncio.sleep(RETRY_S)

    async def watch_reach(self) -> None:
        """While this host is cut off, tries one disk after the other."""
        was_cut_off = False
        while True:
            await asyncio.sleep(REACH_PERIOD_S)
            is_cut_off = self.reach.is_cut_off
            if is_cut_off != was_cut_off:
                eliot.log_message("disks.cut_off" if is_cut_off else "disks.reached")
            was_cut_off = is_cut_off
            if is_cut_off and self.disk_set.members:
                await self._probe(random.choice(self.disk_set.members))

    async def _probe(self, member: DiskMember) -> None:
        try:
            async with running_timeout(FETCH_S):
                await self._peers.call(member.address, methods.DISK_SET, b"")
        except (TimeoutError, PeerUnreachableError, PeerFailureError) as error:
            self.record_failure(member, str(error) or "no answer in time")
        else:
            self.record_success(member)

    def accept(self, disk_set: DiskSet) -> None:
        """Takes a set in, unless a newer one is known."""
        if disk_set.version <= self.disk_set.version:
            return
        self.disk_set = disk_set
        if disk_set.members:
            self._is_known.set()
            self.initial_sync.complete()
        self.on_change(disk_set)
        eliot.log_message(
            "disk_set.changed",
            version=disk_set.version,
            members=[member.host for member in disk_set.members],
        )

    def handle_heartbeat(self, heartbeat: Hello) -> None:
        """Learns from a hello that there is a newer set, and fetches it."""
        if heartbeat.disk_set_version > self.disk_set.version and not self._is_fetching:
            self._is_fetching = True
            self._fetching = asyncio.ensure_future(self._fetch_announced(heartbeat.peer_address))

    def places(self, program: str) -> list[DiskMember]:
        """Returns the disks that keep a program, nearest first."""
        members = self.disk_set.members
        return self.nearest_first(places_of(program, members, self._settings.tolerated_disks))

    def nearest_first(self, members: Iterable[DiskMember] | None = None) -> list[DiskMember]:
        """Returns disks, all members where none are given: well ones first, then near ones."""
        return sorted(
            self.disk_set.members if members is None else members,
            key=lambda member: (
                self.is_suspect(member),
                member.hall != self._settings.hall,
                member.host,
            ),
        )

    def writable(self) -> list[DiskMember]:
        """Returns all members, and disks outside the set that were heard of lately.

        A copy lasts wherever it is synced, also on a disk that is about to join.
        """
        hosts = {member.host for member in self.disk_set.members}
        return self.nearest_first() + [
            DiskMember(heartbeat.host, 0, heartbeat.peer_address, heartbeat.hall)
            for heartbeat in self._live_disks()
            if heartbeat.host not in hosts
        ]

    def is_suspect(self, member: DiskMember) -> bool:
        """Tells whether a disk failed lately."""
        until_s = self._suspect_until_by_host.get(member.host, 0.0)
        return until_s > asyncio.get_running_loop().time()

    def record_failure(self, member: DiskMember, why: str) -> None:
        """A disk did not answer, or not without a relay."""
        self.reach.note_silence(member.host)
        now = asyncio.get_running_loop().time()
        if self._suspect_until_by_host.get(member.host, 0.0) < now:
            eliot.log_message("disk.silent", disk=member.host, why=why)
        self._suspect_until_by_host[member.host] = now + SUSPECT_S

    def record_success(self, member: DiskMember) -> None:
        """A disk answered straight."""
        self.reach.note_answer()
        if self._suspect_until_by_host.pop(member.host, None) is not None:
            eliot.log_message("disk.answers", disk=member.host)

    async def _fetch_announced(self, address: str) -> None:
        try:
            await self.fetch(address)
        finally:
            self._is_fetching = False

    async def fetch(self, address: str) -> None:
        """Takes the set that another host knows; a failure is logged."""
        try:
            async with running_timeout(FETCH_S):
                answer = await self._peers.call(address, methods.DISK_SET, b"")
            self.accept(decode_message(DiskSet(), answer))
        except (TimeoutError, PeerUnreachableError, PeerFailureError, FrameError) as error:
            eliot.log_message("disk_set.not_fetched", address=address, why=str(error))
