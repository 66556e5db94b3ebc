"""The members of the disk set, and which of them answer, as seen by one entry host."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable

import eliot

from bayhinge._internal.decisions.disk_placement import replicas_of
from bayhinge._internal.decisions.disk_reachability import DiskReachability
from bayhinge._internal.exceptions import FrameError, PeerFailureError, PeerUnreachableError
from bayhinge._internal.models.site_settings import SiteSettings
from bayhinge._internal.network.frames import decode_message
from bayhinge._internal.network.peers import Peers
from bayhinge._internal.services import methods
from bayhinge._internal.services.disk_sets import read_disk_set
from bayhinge._internal.services.gateway.initial_sync import InitialSync
from bayhinge._internal.utils.stall_tolerant_timeouts import stall_tolerant_timeout
from bayhinge._internal.wire.hosts.ttypes import DiskMember, DiskSet, Hello
from bayhinge.coordination.errors import StoreError
from bayhinge.coordination.store import ObjectStore

SUSPECT_S = 1.0
"""How long a disk that failed is sorted last; it is still called in the background."""

PEER_WAIT_S = 0.25
"""How long to wait for a heartbeat that announces the disk set before reading the store. Longer at
the first start of a whole system, as disks announce the set once it exists."""

FETCH_S = 0.5
RETRY_S = 0.5

REACH_PERIOD_S = 0.3
"""Interval at which a host partitioned from the disks probes them. It is not advertised to callers,
so no request would show that the partition has healed."""


class DiskDirectory:
    """The disk set and the suspected disks, as known to one host.

    ``live_disks`` returns the latest heartbeats of live disk hosts.
    """

    def __init__(
        self,
        settings: SiteSettings,
        store: ObjectStore,
        peers: Peers,
        live_disks: Callable[[], list[Hello]],
    ) -> None:
        self._live_disks = live_disks
        self._settings = settings
        self._store = store
        self._peers = peers
        self._suspected_until_by_host: dict[str, float] = {}
        self._is_fetching = False
        self.initial_store_delay_s = PEER_WAIT_S
        self._is_known = asyncio.Event()
        self.disk_set = DiskSet(0, [])
        self.reachability = DiskReachability(settings.tolerated_disks)
        self.initial_sync = InitialSync("disks")
        self.on_change: Callable[[DiskSet], None] = lambda disk_set: None

    async def load(self) -> None:
        """Reads the set from the store, until there is one or a peer has announced one."""
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

    async def watch_reachability(self) -> None:
        """Probes disks while this host is partitioned from them."""
        was_partitioned = False
        while True:
            await asyncio.sleep(REACH_PERIOD_S)
            is_partitioned = self.reachability.is_partitioned
            if is_partitioned != was_partitioned:
                eliot.log_message("disks.cut_off" if is_partitioned else "disks.reached")
            was_partitioned = is_partitioned
            if is_partitioned and self.disk_set.members:
                await self._probe(random.choice(self.disk_set.members))

    async def _probe(self, member: DiskMember) -> None:
        try:
            async with stall_tolerant_timeout(FETCH_S):
                await self._peers.call(member.address, methods.DISK_SET, b"")
        except (TimeoutError, PeerUnreachableError, PeerFailureError) as error:
            self.record_failure(member, str(error) or "no answer in time")
        else:
            self.record_success(member)

    def accept(self, disk_set: DiskSet) -> None:
        """Adopts a set if it is newer than the known one."""
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
        """Fetches the disk set from a host whose heartbeat announces a newer one."""
        if heartbeat.disk_set_version > self.disk_set.version and not self._is_fetching:
            self._is_fetching = True
            self._fetching = asyncio.ensure_future(self._fetch_announced(heartbeat.peer_address))

    def replicas(self, program: str) -> list[DiskMember]:
        """Returns the disks that store a program, nearest first."""
        members = self.disk_set.members
        return self.nearest_first(replicas_of(program, members, self._settings.tolerated_disks))

    def nearest_first(self, members: Iterable[DiskMember] | None = None) -> list[DiskMember]:
        """Sorts disks, by default all members: suspected ones last, then own hall first."""
        return sorted(
            self.disk_set.members if members is None else members,
            key=lambda member: (
                self.is_suspected(member),
                member.hall != self._settings.hall,
                member.host,
            ),
        )

    def writable(self) -> list[DiskMember]:
        """Returns all members, and live disks outside the set.

        A synced copy is durable on any disk, including one that is about to join.
        """
        hosts = {member.host for member in self.disk_set.members}
        return self.nearest_first() + [
            DiskMember(heartbeat.host, 0, heartbeat.peer_address, heartbeat.hall)
            for heartbeat in self._live_disks()
            if heartbeat.host not in hosts
        ]

    def is_suspected(self, member: DiskMember) -> bool:
        """Returns whether a disk failed recently."""
        until_s = self._suspected_until_by_host.get(member.host, 0.0)
        return until_s > asyncio.get_running_loop().time()

    def record_failure(self, member: DiskMember, why: str) -> None:
        """Suspects a disk that failed a direct call or sent an invalid reply."""
        self.reachability.record_silence(member.host)
        now = asyncio.get_running_loop().time()
        if self._suspected_until_by_host.get(member.host, 0.0) < now:
            eliot.log_message("disk.silent", disk=member.host, why=why)
        self._suspected_until_by_host[member.host] = now + SUSPECT_S

    def record_success(self, member: DiskMember) -> None:
        """Records a direct answer of a disk."""
        self.reachability.record_answer()
        if self._suspected_until_by_host.pop(member.host, None) is not None:
            eliot.log_message("disk.answers", disk=member.host)

    async def _fetch_announced(self, address: str) -> None:
        try:
            await self.fetch(address)
        finally:
            self._is_fetching = False

    async def fetch(self, address: str) -> None:
        """Fetches another host's disk set and adopts it if newer; failures are logged."""
        try:
            async with stall_tolerant_timeout(FETCH_S):
                answer = await self._peers.call(address, methods.DISK_SET, b"")
            self.accept(decode_message(DiskSet(), answer))
        except (TimeoutError, PeerUnreachableError, PeerFailureError, FrameError) as error:
            eliot.log_message("disk_set.not_fetched", address=address, why=str(error))
