"""The disk host's service: joins the disk set, copies entries, and drops silent members."""

import asyncio
import contextlib
import random
import time
from collections.abc import Coroutine
from typing import Any

import eliot
from mode import Service

from bayhinge._internal.decisions.disk_set_rules import (
    has_read_enough,
    may_make_first_set,
    may_remove_entries,
    with_member_added,
    without_silent,
)
from bayhinge._internal.exceptions import FrameError
from bayhinge._internal.models.site_settings import SiteSettings
from bayhinge._internal.network.connection_guard import ConnectionGuard
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.network.tcp_peers import TcpPeerNetwork
from bayhinge._internal.services import methods
from bayhinge._internal.services.disk_sets import change_disk_set
from bayhinge._internal.services.disks.copy_limits import COPY_PERIOD_S, ENTRIES_PER_CALL
from bayhinge._internal.services.disks.disk_request_handler import DiskRequestHandler
from bayhinge._internal.services.disks.disk_retirement import DiskRetirement
from bayhinge._internal.services.disks.disk_state import DiskState, LogPosition
from bayhinge._internal.services.disks.send_keeper import SendKeeper
from bayhinge._internal.services.host_registry import HostRegistry
from bayhinge._internal.services.keep_running import keep_running
from bayhinge._internal.utils.process_memory import cgroup_limit_bytes, resident_bytes
from bayhinge._internal.wire.hosts import ttypes as wire
from bayhinge.coordination.clock import HybridClock, SystemClock
from bayhinge.coordination.store import ObjectStore

JOIN_PERIOD_S = 0.3
"""Time between two reads of the other disks' logs by a disk that waits to join the set."""

SET_LOST_REASON = "the store has lost the set that this disk was in; restore the object"
NO_FOUNDER_REASON = (
    "the store has no set, and this disk was never started for a new system; if the system is new, "
    "restart one disk with bootstrap = true"
)

CATCH_UP_PERIOD_S = 0.1
"""The same for a disk that has not caught up with a change of the set, which does not serve newly
assigned programs until then."""

CONNECT_TIMEOUT_S = 0.5


class DiskHost(DiskState, Service):
    """The service of a disk host."""

    def __init__(self, settings: SiteSettings, store: ObjectStore) -> None:
        Service.__init__(self)
        clock = HybridClock(SystemClock())
        self._guard = ConnectionGuard()
        self._idle_bytes = 0
        network = TcpPeerNetwork(CONNECT_TIMEOUT_S, self._guard)
        DiskState.__init__(self, settings, network.connect(clock))
        self._store = store
        self._listener = network.listen(settings.peer_address, DiskRequestHandler(self), clock)
        self._send_keeper = SendKeeper(self.gossip, lambda: self.disk_set.members)
        self._read_hosts: set[str] = set()
        self._silent_since_by_host: dict[str, float] = {}
        self._has_logged_missing = False

    def apply_limits(self, settings: SiteSettings) -> None:
        """Applies the limits on memory and descriptors, which may change while it runs."""
        limit_bytes = settings.memory_bytes or cgroup_limit_bytes()
        free_bytes = None if limit_bytes is None else limit_bytes - self._idle_bytes
        self._guard.set_room(free_bytes, settings.max_descriptors)

    async def on_start(self) -> None:
        """Starts the listener and the heartbeats; joins the disk set in the background."""
        if self.disk_set.version:
            self.fence.apply(self.disk_set, self.me)
        self._idle_bytes = resident_bytes()
        self.apply_limits(self.settings)
        await self._listener.start()
        await self._send_keeper.start()
        await self.gossip.start()
        self.gossip.own_heartbeat.phase = wire.HostPhase.READY
        self.gossip.own_heartbeat.disk_set_version = self.disk_set.version
        self.gossip.on_heartbeat = self._on_heartbeat
        self.gossip.fill_heartbeat = self._fill_heartbeat
        eliot.log_message(
            "disk.started",
            host=self.settings.host,
            generation=self.turns.generation,
            is_fresh=self.turns.is_fresh,
            entries=self.turns.position,
            cut_bytes=self.turns.cut_bytes,
        )
        registry = HostRegistry(self._store, self.settings)
        self.add_future(
            keep_running("announce", lambda: registry.announce(self.gossip, lambda: True))
        )
        self.add_future(keep_running("keep place", self._maintain_membership))

    async def on_stop(self) -> None:
        """Stops the network services, then syncs and closes the log."""
        await self.gossip.stop()
        await self._send_keeper.stop()
        await self._listener.stop()
        await self.peers.close()
        self.turns.close()
        eliot.log_message("disk.stopped", host=self.settings.host)

    # ---- membership ----

    async def _maintain_membership(self) -> None:
        """Joins the set, copies missing entries, and drops lost members until retirement."""
        await self._take_first_place()
        while not self.should_stop and not self.is_retired:
            if not self.disk_set.members:
                self.apply_disk_set(await change_disk_set(self._store, self._first_members))
            if self._is_member() and not self.turns.is_joined:
                self.turns.mark_joined()
            await self._copy_from_all()
            self._expire()
            if not self._is_member():
                if not self.is_retiring:
                    await self._join_if_copied()
            else:
                await self._drop_silent()
            await self._pause()

    async def _take_first_place(self) -> None:
        """Joins the set of a new system, where there is nothing to copy yet."""
        if not self.settings.is_first_start or self.turns.is_joined:
            return
        self.turns.mark_founder()
        if self.turns.is_fresh:
            self.apply_disk_set(
                await change_disk_set(self._store, lambda found: with_member_added(found, self.me))
            )

    def _first_members(self, found: list[wire.DiskMember]) -> list[wire.DiskMember] | None:
        """Returns the first set with this disk alone, if this disk may make it."""
        may_found = may_make_first_set(
            found, is_founder=self.turns.is_founder, is_joined=self.turns.is_joined
        )
        if not found and not may_found and not self._has_logged_missing:
            self._has_logged_missing = True
            eliot.log_message(
                "disk_set.missing",
                host=self.settings.host,
                is_joined=self.turns.is_joined,
                why=SET_LOST_REASON if self.turns.is_joined else NO_FOUNDER_REASON,
            )
        return [self.me] if may_found else None

    async def _pause(self) -> None:
        """Waits until the next read of the other disks, or a change of the set."""
        pause_s = COPY_PERIOD_S if self._is_member() else JOIN_PERIOD_S
        if not self.fence.has_caught_up:
            pause_s = CATCH_UP_PERIOD_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s * random.uniform(0.8, 1.2)):
                await self._set_changed.wait()
                # Several disks often join at once; waits so that one read covers all changes.
                await asyncio.sleep(random.uniform(0, CATCH_UP_PERIOD_S))
        self._set_changed.clear()

    def _expire(self) -> None:
        """Removes what nobody needs, unless a use of it may be known to other disks alone."""
        members, tolerated = self.disk_set.members, self.settings.tolerated_disks
        if not may_remove_entries(members, self.settings.host, self._read_hosts, tolerated):
            return
        removed = self.turns.expire(time.monotonic())
        if removed:
            eliot.log_message("disk.expired", segments=removed, entries_left=self.turns.entry_count)

    async def _join_if_copied(self) -> None:
        members = self.disk_set.members
        tolerated = self.settings.tolerated_disks
        if not has_read_enough(members, self.settings.host, self._read_hosts, tolerated):
            return
        if not self.fence.has_settled:
            return
        version = self.disk_set.version
        self.apply_disk_set(
            await change_disk_set(
                self._store, lambda found: with_member_added(found, self.me), version
            )
        )
        if not self._is_member():
            return
        eliot.log_message(
            "disk.joined", host=self.settings.host, disk_set_version=self.disk_set.version
        )

    async def _drop_silent(self) -> None:
        now = asyncio.get_running_loop().time()
        silent_s = {host: now - since for host, since in self._silent_since_by_host.items()}
        tolerated = self.settings.tolerated_disks
        if without_silent(self.disk_set.members, silent_s, tolerated) is None:
            return
        if not self.fence.has_settled:
            return
        eliot.log_message("disk_set.dropping", silent_s=silent_s, version=self.disk_set.version)
        self.apply_disk_set(
            await change_disk_set(
                self._store,
                lambda found: without_silent(found, silent_s, tolerated),
                self.disk_set.version,
            )
        )

    def _is_member(self) -> bool:
        return any(member.generation == self.turns.generation for member in self.disk_set.members)

    def _fill_heartbeat(self, heartbeat: wire.Hello) -> None:
        heartbeat.revision_by_prefix = self.objects.revision_by_prefix

    def _on_heartbeat(self, heartbeat: wire.Hello) -> None:
        self._send_keeper.handle_heartbeat(heartbeat)
        if heartbeat.role == wire.HostRole.ENTRY:
            for fetch in self.objects.fetches_for(heartbeat):
                self._spawn(fetch)
        if heartbeat.disk_set_version > self.disk_set.version:
            self._spawn(self._fetch_disk_set(heartbeat.peer_address))

    async def _fetch_disk_set(self, address: str) -> None:
        answer = await self.call(address, methods.DISK_SET, b"")
        if answer is None:
            return
        try:
            self.apply_disk_set(decode_message(wire.DiskSet(), answer))
        except FrameError as error:
            eliot.log_message("disk_set.unreadable", address=address, why=str(error))

    # ---- copying ----

    async def _copy_from_all(self) -> None:
        """Copies entries from the other members; records which were read and which are silent."""
        now = asyncio.get_running_loop().time()
        others = [m for m in self.disk_set.members if m.host != self.settings.host]
        results = await asyncio.gather(*(self._copy_from(member) for member in others))
        self._read_hosts = {
            member.host for member, was_read in zip(others, results, strict=True) if was_read
        }
        silent = {member.host for member in others} - self._read_hosts
        self._silent_since_by_host = {
            host: self._silent_since_by_host.get(host, now) for host in silent
        }

    async def _copy_from(self, member: wire.DiskMember) -> bool:
        version = self.disk_set.version
        while True:
            after = self._position_by_generation.get(member.generation, LogPosition())
            query = wire.KeysQuery(member.generation, after.entries, self.me, after.opening)
            answer = await self.call(member.address, methods.ENTRY_KEYS, encode_message(query))
            if answer is None:
                return False
            reply = decode_message(wire.KeysReply(), answer)
            # A disk with an older set may leave out programs that are placed here now.
            if reply.generation != member.generation or reply.disk_set_version < version:
                return False
            lacking = [key for key in reply.keys if not self.turns.has(key)]
            if not await self._copy_entries(member, lacking):
                return False
            if self.disk_set.version != version:
                # The answer left out programs placed here only since the change; storing its
                # position would skip their entries for good.
                return False
            position = LogPosition(reply.position, reply.opening)
            self._position_by_generation[member.generation] = position
            if not reply.more:
                if reply.disk_set_version == version:
                    self.fence.record_read(member, version, bool(reply.has_caught_up))
                return True

    async def _copy_entries(self, member: wire.DiskMember, keys: list[str]) -> bool:
        # Each source is asked for another part first, as others are asked for the same keys.
        start = random.randrange(len(keys)) if keys else 0
        waiting = keys[start:] + keys[:start]
        while waiting := [key for key in waiting if not self.turns.has(key)]:
            asked = waiting[:ENTRIES_PER_CALL]
            message = encode_message(wire.EntriesQuery(asked))
            answer = await self.call(member.address, methods.ENTRIES, message)
            if answer is None:
                return False
            reply = decode_message(wire.EntriesReply(), answer)
            try:
                await self.write(reply.entries)
            except OSError as error:
                eliot.log_message("disk.refused", why=str(error))
                return False
            answered = len(asked) if reply.answered is None else reply.answered
            waiting = waiting[max(1, answered) :]
        return True

    async def retire(self, allowed_s: float = 0.0) -> None:
        """See :meth:`DiskRetirement.run`."""
        await DiskRetirement(self, self._store).run(allowed_s)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self.add_future(work)
