"""The disk host's service: answers entry hosts, copies from other disks, joins and leaves."""

import asyncio
import contextlib
import random
import time
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from functools import partial
from pathlib import Path
from typing import Any

import eliot
from mode import Service

from bayhinge._internal.decisions.disk_placement import missing_allowed, places_of
from bayhinge._internal.decisions.disk_set_rules import (
    has_copied_enough,
    stay_s,
    with_newcomer,
    without_retired,
    without_silent,
)
from bayhinge._internal.exceptions import FrameError, PeerFailureError, PeerUnreachableError
from bayhinge._internal.models.site_settings import SiteSettings
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.network.tcp_peers import TcpPeerNetwork
from bayhinge._internal.services import methods
from bayhinge._internal.services.disk_sets import change_disk_set
from bayhinge._internal.services.disks.commit_group import CommitGroup
from bayhinge._internal.services.disks.disk_answers import KEYS_AT_ONCE, DiskAnswers
from bayhinge._internal.services.disks.object_keeper import ObjectKeeper
from bayhinge._internal.services.disks.set_fence import SetFence
from bayhinge._internal.services.disks.turn_log import TurnLog
from bayhinge._internal.services.gossip import Gossip
from bayhinge._internal.services.host_registry import HostRegistry
from bayhinge._internal.services.keep_running import keep_running
from bayhinge._internal.utils.durable_files import replace_synced
from bayhinge._internal.utils.running_time import running_timeout
from bayhinge._internal.wire.hosts import ttypes as wire
from bayhinge.coordination.clock import HybridClock, SystemClock
from bayhinge.coordination.store import ObjectStore

COPY_PERIOD_S = 0.8
"""Between two looks at what the other disks have written."""

JOIN_PERIOD_S = 0.3
"""The same for a disk that waits to join the set."""

CATCH_UP_PERIOD_S = 0.1
"""The same for a disk that has not caught up with a change of the set: until then programs that are
new to it are not served here."""

LEAVE_PERIOD_S = 0.8
"""Between two tries of a disk to leave a set that can't do without it; each is a call of the
store, and another disk needs about as long to join."""

DISK_SET_FILE = "disk-set"

ENTRIES_AT_ONCE = 60
"""Entries of one copying call: some 400 KB, so that turns are not kept waiting."""

CALL_S = 1.0
"""Time for another disk's answer."""

CONNECT_S = 0.5


class DiskHost(Service):
    """One start of a disk host."""

    def __init__(self, settings: SiteSettings, store: ObjectStore) -> None:
        """Takes the settings and the platform's store."""
        super().__init__()
        self.settings = settings
        self._store = store
        self.turns = TurnLog(Path(settings.data_folder), time.monotonic())
        self._commits = CommitGroup(self.turns)
        clock = HybridClock(SystemClock())
        network = TcpPeerNetwork(CONNECT_S)
        self.peers = network.connect(clock)
        self._listener = network.listen(settings.peer_address, DiskAnswers(self), clock)
        self.gossip = Gossip(settings, wire.HostRole.DISK)
        self.objects = ObjectKeeper(Path(settings.data_folder), self.peers)
        self._set_file = Path(settings.data_folder) / DISK_SET_FILE
        self.disk_set = _read_disk_set(self._set_file)
        self._position_by_generation: dict[int, int] = {}
        self._read_hosts: set[str] = set()
        self._hosts_by_program: dict[str, set[str]] = {}
        self._silent_since_by_host: dict[str, float] = {}
        self._set_changed = asyncio.Event()
        self.fence = SetFence(settings.tolerated_disks, Path(settings.data_folder))
        self.is_retiring = False
        self.is_retired = False

    async def on_start(self) -> None:
        """Listens, greets, and joins the set of disks in the background."""
        if self.disk_set.version:
            self.fence.take(self.disk_set, self.me)
        await self._listener.start()
        await self.gossip.start()
        self.gossip.me.phase = wire.HostPhase.READY
        self.gossip.me.disk_set_version = self.disk_set.version
        self.gossip.on_hello = self._hear
        self.gossip.describe = self._describe
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
        self.add_future(keep_running("keep place", self._keep_place))

    async def on_stop(self) -> None:
        """Syncs and closes everything."""
        await self.gossip.stop()
        await self._listener.stop()
        await self.peers.close()
        self.turns.close()
        eliot.log_message("disk.stopped", host=self.settings.host)

    # ---- the set ----

    @property
    def me(self) -> wire.DiskMember:
        """This disk as a member of the set."""
        settings = self.settings
        return wire.DiskMember(
            settings.host, self.turns.generation, settings.peer_address, settings.hall
        )

    async def _keep_place(self) -> None:
        """Keeps this disk in the set: joins, copies what it lacks, drops who is lost."""
        if self.settings.is_first_start and self.turns.is_fresh:
            self.turns.mark_joined()
            self.take_disk_set(
                await change_disk_set(self._store, lambda found: with_newcomer(found, self.me))
            )
        while not self.should_stop and not self.is_retired:
            if not self.disk_set.members:
                self.take_disk_set(await change_disk_set(self._store, lambda members: None))
            await self._copy_from_all()
            self._expire()
            if not self._is_member():
                if not self.is_retiring:
                    await self._join_if_copied()
            else:
                await self._drop_silent()
            await self._pause()

    async def _pause(self) -> None:
        """Waits for the next look at the others; a change of the set ends it."""
        pause_s = COPY_PERIOD_S if self._is_member() else JOIN_PERIOD_S
        if not self.fence.has_caught_up:
            pause_s = CATCH_UP_PERIOD_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s * random.uniform(0.8, 1.2)):
                await self._set_changed.wait()
                # Disks that join together change the set together: one look for all of it.
                await asyncio.sleep(random.uniform(0, CATCH_UP_PERIOD_S))
        self._set_changed.clear()

    def _expire(self) -> None:
        removed = self.turns.expire(time.monotonic())
        if removed:
            eliot.log_message("disk.expired", segments=removed, entries_left=self.turns.entry_count)

    async def _join_if_copied(self) -> None:
        members = self.disk_set.members
        tolerated = self.settings.tolerated_disks
        if not has_copied_enough(members, self.settings.host, self._read_hosts, tolerated):
            return
        if not self.fence.has_settled:
            return
        self.take_disk_set(
            await change_disk_set(self._store, lambda found: with_newcomer(found, self.me))
        )
        self.turns.mark_joined()
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
        self.take_disk_set(
            await change_disk_set(
                self._store, lambda found: without_silent(found, silent_s, tolerated)
            )
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

    def _is_member(self) -> bool:
        return any(member.generation == self.turns.generation for member in self.disk_set.members)

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

    def _describe(self, me: wire.Hello) -> None:
        me.revision_by_prefix = self.objects.revision_by_prefix

    def _hear(self, hello: wire.Hello) -> None:
        if hello.role == wire.HostRole.ENTRY:
            for fetch in self.objects.news(hello):
                self._spawn(fetch)
        if hello.disk_set_version > self.disk_set.version:
            self._spawn(self._fetch_disk_set(hello.peer_address))

    async def _fetch_disk_set(self, address: str) -> None:
        answer = await self._call(address, methods.DISK_SET, b"")
        if answer is None:
            return
        try:
            self.take_disk_set(decode_message(wire.DiskSet(), answer))
        except FrameError as error:
            eliot.log_message("disk_set.unreadable", address=address, why=str(error))

    # ---- copying ----

    async def _copy_from_all(self) -> None:
        """Copies what the other members have, and notes who was read and who is silent."""
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
            after = self._position_by_generation.get(member.generation, 0)
            query = wire.KeysQuery(member.generation, after, self.me)
            answer = await self._call(member.address, methods.KEYS, encode_message(query))
            if answer is None:
                return False
            reply = decode_message(wire.KeysReply(), answer)
            # A disk that has an older set in mind may leave out what this one keeps now.
            if reply.generation != member.generation or reply.disk_set_version < version:
                return False
            lacking = [key for key in reply.keys if not self.turns.has(key)]
            if not await self._copy_entries(member, lacking):
                return False
            if self.disk_set.version != version:
                # The answer left out what this disk keeps only since the change: a position that
                # came back now would put the reading behind it for good.
                return False
            self._position_by_generation[member.generation] = reply.position
            if not reply.more:
                if reply.disk_set_version == version:
                    self.fence.note_read(member, version, bool(reply.has_caught_up))
                return True

    async def _copy_entries(self, member: wire.DiskMember, keys: list[str]) -> bool:
        for start in range(0, len(keys), ENTRIES_AT_ONCE):
            query = wire.EntriesQuery(keys[start : start + ENTRIES_AT_ONCE])
            answer = await self._call(member.address, methods.ENTRIES, encode_message(query))
            if answer is None:
                return False
            reply = decode_message(wire.EntriesReply(), answer)
            try:
                await self.write(reply.entries)
            except OSError as error:
                eliot.log_message("disk.refused", why=str(error))
                return False
        return True

    async def write(self, entries: list[wire.TurnEntry]) -> None:
        """Appends and syncs.

        Raises:
            OSError: the disk refused.
        """
        self.turns.append(entries)
        await self._commits.sync()

    # ---- leaving ----

    async def retire(self, allowed_s: float = 0.0) -> None:
        """Leaves the set and hands everything to the disks that stay.

        ``allowed_s`` is the time that may pass until it is empty, in seconds.
        """
        eliot.log_message("disk.retiring", host=self.settings.host, allowed_s=allowed_s)
        self.is_retiring = True
        await self._leave_set(asyncio.get_running_loop().time() + stay_s(allowed_s))
        self.is_retired = True
        await _repeat_until_done(self._hand_over)
        eliot.log_message("disk.retired", host=self.settings.host, entries=self.turns.position)

    async def _leave_set(self, stay_until_s: float) -> None:
        """Goes on until the set can do without this disk; it serves as a member until then."""
        loop = asyncio.get_running_loop()
        host, tolerated = self.settings.host, self.settings.tolerated_disks
        has_said_so = False
        while True:
            may_wait = loop.time() < stay_until_s
            if self.fence.has_settled:
                change = partial(without_retired, host=host, tolerated=tolerated, may_wait=may_wait)
                self.take_disk_set(await change_disk_set(self._store, change))
            if not any(member.host == host for member in self.disk_set.members):
                return
            if not has_said_so:
                eliot.log_message(
                    "disk.retirement_waits", host=host, members=len(self.disk_set.members)
                )
            has_said_so = True
            await asyncio.sleep(LEAVE_PERIOD_S)

    async def _hand_over(self) -> bool:
        others = [m for m in self.disk_set.members if m.host != self.settings.host]
        whole = [member.host for member in others if await self._push_all(member)]
        allowed = missing_allowed(len(others), self.settings.tolerated_disks)
        return bool(whole) and len(others) - len(whole) <= allowed

    async def _push_all(self, member: wire.DiskMember) -> bool:
        keys = self.keys_kept_by(member, self.turns.keys_after(0, self.turns.position))
        for start in range(0, len(keys), KEYS_AT_ONCE):
            query = wire.EntriesQuery(keys[start : start + KEYS_AT_ONCE])
            answer = await self._call(member.address, methods.LACKING, encode_message(query))
            if answer is None:
                return False
            lacking = decode_message(wire.LackingReply(), answer).keys
            if not await self._push(member, lacking):
                return False
        return True

    async def _push(self, member: wire.DiskMember, keys: list[str]) -> bool:
        for start in range(0, len(keys), ENTRIES_AT_ONCE):
            entries = list(self.turns.read_entries(keys[start : start + ENTRIES_AT_ONCE]))
            message = encode_message(wire.AppendEntries(entries))
            if await self._call(member.address, methods.APPEND, message) is None:
                return False
        return True

    # ---- calls ----

    async def _call(self, address: str, method: str, payload: bytes) -> bytes | None:
        try:
            async with running_timeout(CALL_S):
                return await self.peers.call(address, method, payload)
        except (TimeoutError, PeerUnreachableError, PeerFailureError) as error:
            eliot.log_message(
                "disk.peer_missed", address=address, method=method, why=str(error) or "time-out"
            )
            return None

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self.add_future(work)


def _read_disk_set(path: Path) -> wire.DiskSet:
    try:
        return decode_message(wire.DiskSet(), path.read_bytes())
    except FileNotFoundError:
        return wire.DiskSet(0, [])
    except (FrameError, OSError) as error:
        eliot.log_message("disk_set.unreadable", file=path.name, why=str(error))
        return wire.DiskSet(0, [])


async def _repeat_until_done(step: Callable[[], Awaitable[bool]]) -> None:
    while True:
        if await step():
            return
        await asyncio.sleep(COPY_PERIOD_S / 2)
