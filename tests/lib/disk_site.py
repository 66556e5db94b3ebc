"""Disk hosts and one entry host's turn recorder in one process, without sockets, in virtual time.

The disk hosts are the real ones: they write files, copy from each other, join, retire and expire.
Only the network, the heartbeats and the platform's store are replaced.
"""

import asyncio
import contextlib
import itertools
import os
import shutil
from collections.abc import AsyncGenerator, Iterator
from pathlib import Path

import attrs

from bayhinge._internal.decisions.disk_placement import replicas_of
from bayhinge._internal.decisions.turn_retention import TurnTimes
from bayhinge._internal.exceptions import PeerFailureError, PeerUnreachableError
from bayhinge._internal.models.endpoint_entries import EndpointIncarnation
from bayhinge._internal.models.refusals import RefusedError
from bayhinge._internal.models.routed_requests import TurnContext
from bayhinge._internal.models.site_settings import SiteSettings
from bayhinge._internal.network.peers import Peers
from bayhinge._internal.services.disks.disk_host import DiskHost
from bayhinge._internal.services.disks.disk_request_handler import DiskRequestHandler
from bayhinge._internal.services.gateway.disk_directory import DiskDirectory
from bayhinge._internal.services.gateway.disk_link import DiskLink
from bayhinge._internal.services.gateway.open_turn import OpenTurn
from bayhinge._internal.services.gateway.turn_recorder import TurnRecorder
from bayhinge._internal.services.gossip import Gossip
from bayhinge._internal.wire.hosts.ttypes import DiskMember, HostRole
from bayhinge_standins.object_store import MemoryObjects, MemoryObjectStore

RETENTION_S = 60.0
LINK_DELAY_S = 0.002
HEARTBEAT_S = 0.3
PEER_PORT = 7
TOKENS = 5
BUDGET = 1_000_000
ENGINE = EndpointIncarnation("i-llm-1", 1)
SHORT_TURN = TurnTimes(5.0, RETENTION_S)


@attrs.define(eq=False)
class DiskMachine:
    """One disk host: its address outlives its process, and its folder unless that is lost.

    Attributes:
        host: the running process, None while it is down.
        runs: cleared while the process stands still.
        is_cut: no message reaches it or leaves it.
    """

    name: str
    settings: SiteSettings
    runs: asyncio.Event
    host: DiskHost | None = None
    is_cut: bool = False
    tasks: list[asyncio.Task[None]] = attrs.field(factory=list)


class SitePeers(Peers):
    """The links of one host of the site; ``machine`` is None for the entry host."""

    def __init__(self, site: "DiskSite", machine: DiskMachine | None) -> None:
        self._site = site
        self._machine = machine

    async def stream(
        self, address: str, method: str, payload: bytes
    ) -> AsyncGenerator[bytes, None]:
        """See :class:`Peers`."""
        if self._machine is not None:
            await self._machine.runs.wait()
        await asyncio.sleep(LINK_DELAY_S)
        peer = self._site.machine_by_address[address]
        if peer.is_cut or (self._machine is not None and self._machine.is_cut):
            await asyncio.Event().wait()
        if peer.host is None:
            raise PeerUnreachableError(address, "connection refused", sent=False)
        await peer.runs.wait()
        host = peer.host
        if host is None:
            raise PeerUnreachableError(address, "the connection broke", sent=True)
        try:
            answer = await DiskRequestHandler(host).answer(method, payload)
        except RefusedError as error:
            raise PeerFailureError(error.refusal.to_json()) from error
        longest = self._site.longest_bytes_by_method
        longest[method] = max(longest.get(method, 0), len(payload), len(answer))
        await asyncio.sleep(LINK_DELAY_S)
        yield answer

    async def close(self) -> None:
        """See :class:`Peers`."""


class DiskSite:
    """Several disk hosts, and a recorder of turns that uses them.

    Attributes:
        longest_bytes_by_method: the longest message that was sent between hosts.
    """

    def __init__(self, folder: Path, disks: int, tolerated: int) -> None:
        self._folder = folder
        self._tolerated = tolerated
        self.machine_by_address: dict[str, DiskMachine] = {}
        self.machine_by_name: dict[str, DiskMachine] = {}
        self._numbers = itertools.count()
        self._store = MemoryObjectStore(MemoryObjects())
        self._attempts = itertools.count(1)
        self.longest_bytes_by_method: dict[str, int] = {}
        for _ in range(disks):
            self._add_machine(is_first_start=True)
        settings = self._settings("entry-0", 250, is_first_start=False)
        self.peers = SitePeers(self, None)
        self.directory = DiskDirectory(settings, self._store, self.peers, lambda: [])
        gossip = Gossip(settings, HostRole.ENTRY)
        link = DiskLink(self.directory, gossip, self.peers)
        self.recorder = TurnRecorder(self.directory, link, tolerated)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts all hosts; returns when they are members and have caught up."""
        for machine in self.machine_by_name.values():
            self.start_machine(machine)
        self._tasks.append(asyncio.create_task(self._spread_sets()))
        await self.until_settled()

    async def stop(self) -> None:
        """Ends all hosts, and closes their files."""
        for machine in self.machine_by_name.values():
            await self.kill(machine)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # ---- hosts ----

    def _settings(self, name: str, number: int, is_first_start: bool) -> SiteSettings:
        return SiteSettings(
            host=name,
            hall="north" if number % 2 else "south",
            region="land",
            ip=f"127.0.0.{number + 1}",
            region_by_hall={"north": "land", "south": "land"},
            front_address="",
            ready_address="",
            directory_address="",
            gossip_port=6,
            peer_port=PEER_PORT,
            seeds=(),
            data_folder=str(self._folder / name),
            is_first_start=is_first_start,
            tolerated_disks=self._tolerated,
            store_address="127.0.0.1:1",
            address_keep_s=1.0,
            grace_s=5.0,
        )

    def _add_machine(self, is_first_start: bool) -> DiskMachine:
        number = next(self._numbers)
        settings = self._settings(f"disk-{number}", number, is_first_start)
        runs = asyncio.Event()
        runs.set()
        machine = DiskMachine(settings.host, settings, runs)
        self.machine_by_name[machine.name] = machine
        self.machine_by_address[settings.peer_address] = machine
        return machine

    def add(self) -> DiskMachine:
        """Starts a new disk host with an empty folder."""
        machine = self._add_machine(is_first_start=False)
        self.start_machine(machine)
        return machine

    def start_machine(self, machine: DiskMachine) -> None:
        """Starts a disk host's process."""
        host = DiskHost(machine.settings, self._store)
        host.peers = SitePeers(self, machine)
        host.gossip.send_now = lambda: None  # type: ignore[method-assign]
        pause = host._pause

        async def pause_and_run() -> None:
            await pause()
            await machine.runs.wait()

        host._pause = pause_and_run  # type: ignore[method-assign]
        machine.host = host
        machine.settings = attrs.evolve(machine.settings, is_first_start=False)
        if host.disk_set.version:
            host.fence.apply(host.disk_set, host.me)
        machine.tasks = [asyncio.create_task(host._maintain_membership())]

    async def kill(self, machine: DiskMachine) -> None:
        """Ends a process without its last steps; its files stay as they are."""
        host, machine.host = machine.host, None
        if host is None:
            return
        for task in machine.tasks:
            task.cancel()
        await asyncio.gather(*machine.tasks, return_exceptions=True)
        for file in host.turns._files_by_segment.values():
            with contextlib.suppress(OSError):
                os.close(file)

    async def restart(self, *machines: DiskMachine, down_s: float = 0.5) -> None:
        """Kills processes at one moment, and starts them again."""
        for machine in machines:
            await self.kill(machine)
        await asyncio.sleep(down_s)
        for machine in machines:
            self.start_machine(machine)

    async def wipe(self, machine: DiskMachine) -> None:
        """A host loses its disk, and starts again with an empty folder."""
        await self.kill(machine)
        shutil.rmtree(machine.settings.data_folder)
        await asyncio.sleep(1.0)
        self.start_machine(machine)

    async def retire(self, machine: DiskMachine) -> None:
        """A host leaves for good; another one must have joined before."""
        assert machine.host is not None
        await machine.host.retire(5.0)
        await self.kill(machine)
        del self.machine_by_name[machine.name]

    def hosts(self) -> Iterator[DiskHost]:
        """Yields the running disk hosts."""
        for machine in self.machine_by_name.values():
            if machine.host is not None:
                yield machine.host

    async def until_settled(self, limit_s: float = 20.0) -> None:
        """Waits until all hosts are members of one set and have caught up with it."""
        async with asyncio.timeout(limit_s):
            while not self._is_settled():  # noqa: ASYNC110 - the disks' states have no event
                await asyncio.sleep(0.1)

    def _is_settled(self) -> bool:
        version = self.directory.disk_set.version
        members = {member.generation for member in self.directory.disk_set.members}
        hosts = list(self.hosts())
        return len(members) == len(hosts) == len(self.machine_by_name) and all(
            host.disk_set.version == version
            and host.turns.generation in members
            and host.fence.has_settled
            for host in hosts
        )

    async def _spread_sets(self) -> None:
        """Tells hosts of newer sets, as heartbeats do."""
        while True:
            for source, target in itertools.permutations(list(self.hosts()), 2):
                if source.disk_set.version > target.disk_set.version:
                    await target._fetch_disk_set(source.settings.peer_address)
            for source in list(self.hosts()):
                if source.disk_set.version > self.directory.disk_set.version:
                    await self.directory.fetch(source.settings.peer_address)
            await asyncio.sleep(HEARTBEAT_S)

    # ---- turns ----

    def replica_names(self, program: str) -> set[str]:
        """Returns the names of the hosts that keep a program."""
        members: list[DiskMember] = self.directory.disk_set.members
        return {one.host for one in replicas_of(program, members, self._tolerated)}

    def programs_apart(self, count: int) -> list[str]:
        """Returns programs of which no two share a disk."""
        found: list[str] = []
        taken: set[str] = set()
        for number in range(100_000):
            name = f"program-{number}"
            if len(found) < count and not self.replica_names(name) & taken:
                found.append(name)
                taken |= self.replica_names(name)
        assert len(found) == count, "there are too few disks"
        return found

    def program_on_same_disks(self, program: str, number: int) -> str:
        """Returns another program of the same disks; a different one for each number."""
        names = (f"{program}-{number}-{count}" for count in itertools.count())
        return next(n for n in names if self.replica_names(n) == self.replica_names(program))

    async def open(
        self, program: str, previous: str | None, times: TurnTimes = SHORT_TURN
    ) -> OpenTurn:
        """Opens a turn, whose history is then read.

        Raises:
            RefusedError: as a caller would get it.
        """
        context = TurnContext(program, BUDGET, TOKENS, previous)
        attempt = f"a{next(self._attempts):06x}"
        return await self.recorder.open(attempt, context, times=times)

    async def turn(
        self,
        program: str,
        previous: str | None,
        run_s: float = 0.1,
        keep_s: float = RETENTION_S,
        text: bytes | None = None,
    ) -> OpenTurn:
        """Plays a whole turn; its text is its own name in angle brackets by default.

        Raises:
            RefusedError: as a caller would get it.
        """
        turn = await self.open(program, previous, TurnTimes(run_s, keep_s))
        await asyncio.sleep(run_s)
        text = text_of(turn.attempt) if text is None else text
        await self.recorder.close(turn, text, TOKENS, ENGINE, keep_s)
        return turn

    async def history(self, previous: str) -> bytes:
        """Returns what a new program that goes on from a turn would get.

        Raises:
            RefusedError: as a caller would get it.
        """
        turn = await self.open(f"reader-of-{previous}", previous)
        self.recorder.settle(turn, 0)
        return turn.history


def text_of(attempt: str) -> bytes:
    """Returns the text of a turn of :meth:`DiskSite.turn`."""
    return f"<{attempt}>".encode()
