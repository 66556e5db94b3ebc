"""One host: the service that a daemon runs; tests run several of them."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine

import attrs
from mode import Service

from bayhinge._internal.exceptions import PeerFailureError, PeerUnreachableError
from bayhinge._internal.models.events import Mechanism
from bayhinge._internal.models.routing import RequestLimits
from bayhinge._internal.models.settings import LimitSettings, Settings
from bayhinge._internal.network.connection_guard import ConnectionGuard
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.network.front import CallerFront
from bayhinge._internal.services.cache_sweep import CacheSweep
from bayhinge._internal.services.front_service import FrontService
from bayhinge._internal.services.gateway.held_memory import HeldMemory
from bayhinge._internal.services.host_parts import (
    ExternalDependencies,
    HostParts,
    build_host_parts,
    external_from_settings,
)
from bayhinge._internal.services.local_queries import LocalQueries
from bayhinge._internal.services.peer_service import PeerService
from bayhinge._internal.services.planned_stop import PlannedStop
from bayhinge._internal.services.program_opener import ProgramOpener
from bayhinge._internal.utils.process_memory import cgroup_limit_bytes, resident_bytes
from bayhinge._internal.wire import ttypes as wire
from bayhinge.coordination.clock import SystemClock
from bayhinge.coordination.errors import CoordinationError, FencedError, StoreError
from bayhinge.coordination.membership import HostInfo, HostState

logger = logging.getLogger(__name__)

WRITE_BACK_INTERVAL_S = 5.0
"""Between two writes of spent budgets to the ledgers."""
LOAD_POLL_INTERVAL_S = 1.0
FAULT_RETRY_S = 0.5
CANCEL_CHECK_S = 0.5


def _request_limits(limits: LimitSettings) -> RequestLimits:
    """Returns the limits on what callers send."""
    return RequestLimits(
        limits.head_bytes, limits.head_seconds, limits.idle_seconds, limits.body_bytes
    )


class Host(Service):
    """One incarnation of a host's daemon."""

    def __init__(self, settings: Settings, external: ExternalDependencies | None = None) -> None:
        """Builds the host.

        Args:
            settings: the host's settings.
            external: replaces the clients built from the settings, in tests.
        """
        super().__init__()
        self.settings = settings
        limits = _request_limits(settings.limits)
        self._guard = ConnectionGuard(lambda: limits, settings.limits.connections)
        self._memory = HeldMemory(on_refusal=self._guard.close_stalled_body)
        self.parts: HostParts = build_host_parts(
            settings, external or external_from_settings(settings, SystemClock(), self._guard)
        )
        opener = ProgramOpener(self.parts)
        queries = LocalQueries(self.parts)
        self._listener = self.parts.external.network.listen(
            settings.host.peer_address,
            PeerService(self.parts, opener, queries),
            self.parts.hybrid_clock,
        )
        self._sweep = CacheSweep(
            self.parts.dispatcher,
            self.parts.router,
            self.parts.external.endpoints,
            self.parts.timeline,
        )
        self.service = FrontService(self.parts, opener, queries, self._guard.gauges)
        self._front = CallerFront(settings, self.service, self._guard, self._memory)
        self._tasks: set[asyncio.Task[None]] = set()
        self._has_crashed = False
        self.parts.membership.on_death = self._take_over
        self.parts.membership.on_departed = self._take_over
        self.parts.membership.on_self_removed = self._check_own_seal
        self.parts.journal.on_fenced = self._on_fenced
        self.fenced = asyncio.Event()

    @property
    def name(self) -> str:
        """The host's name."""
        return self.settings.host.name

    @property
    def base_url(self) -> str:
        """The URL at which callers reach this host."""
        return f"http://{self.parts.membership.me.public_address}"

    async def on_start(self) -> None:
        """Listens, announces the host, and starts the background tasks."""
        parts = self.parts
        peer_address = await self._listener.start()
        await self._poll_endpoints_once()
        await self._load_initial_config()
        public_address = self.settings.host.public_address
        if parts.external.serves_http:
            limit_bytes = self.settings.limits.memory_bytes or cgroup_limit_bytes()
            self._memory.start(limit_bytes, resident_bytes())
            public_address = await self._front.start()
        parts.membership.describe(
            attrs.evolve(
                parts.membership.me, peer_address=peer_address, public_address=public_address
            )
        )
        parts.timeline.record(
            Mechanism.MEMBERSHIP, "started", f"incarnation {parts.journal.incarnation}"
        )
        await parts.membership.step()
        for work in (
            parts.membership.run,
            parts.journal.run,
            parts.feed.run,
            parts.dispatcher.run,
            self._poll_endpoints,
            self._poll_loads,
            self._write_back,
            self._exchange_revisions,
            self._describe,
            self._sweep.run,
        ):
            self._spawn(self._keep_running(work))

    async def on_stop(self) -> None:
        """Performs a planned stop, unless :meth:`crash` was called."""
        if self._has_crashed:
            return
        parts = self.parts
        loop = asyncio.get_running_loop()
        began = loop.time()
        stop = PlannedStop(
            parts.owner_parts,
            parts.owner,
            parts.registry,
            parts.membership,
            parts.locator,
            parts.peers,
        )
        # A fenced host owns no programs to hand over.
        complete = parts.journal.fenced or await stop.run(self.settings.membership.drain_seconds)
        # Callers cache addresses: serve them until the cached ones have expired.
        remaining_s = began + self.settings.membership.address_keep_seconds - loop.time()
        if complete and remaining_s > 0:
            await asyncio.sleep(remaining_s)
        try:
            await parts.escrow.write_back(keep_units=0)
        except CoordinationError as error:
            logger.warning("could not return unspent budget to the ledger: %s", error)
        parts.timeline.close()
        await self._front.stop()
        await parts.owner.drain()
        await parts.membership.leave()
        await self._listener.stop()
        await self._cancel_tasks()
        await self._close_clients()

    async def crash(self) -> None:
        """Simulates a killed process: nothing is handed over or written."""
        self._has_crashed = True
        for task in list(self._tasks):
            task.cancel()
        self._front.abort()
        await self._listener.stop()
        await self.parts.peers.close()
        # Before tasks are cancelled, because a killed process cancels nothing at its engines.
        await self.parts.external.endpoints.close()
        self.parts.owner.abandon()
        await self._cancel_tasks()
        await self._close_clients()
        await self.stop()

    # ---- background tasks ----

    async def _keep_running(self, work: Callable[[], Awaitable[None]]) -> None:
        """Runs a background task, and restarts it after an unexpected error."""
        while True:
            try:
                await work()
                return
            except asyncio.CancelledError:
                raise
            except Exception:
                logger.exception("%s of host %s failed; restarting it", work, self.name)
                await asyncio.sleep(FAULT_RETRY_S)

    async def _poll_endpoints(self) -> None:
        while True:
            await asyncio.sleep(self.settings.endpoints.poll_seconds)
            await self._poll_endpoints_once()

    async def _poll_endpoints_once(self) -> None:
        listed = await self.parts.external.endpoint_list.fetch()
        if listed is not None:
            self.parts.dispatcher.set_endpoints(listed)

    async def _load_initial_config(self) -> None:
        try:
            await self.parts.feed.step()
        except StoreError as error:
            logger.warning("could not load the initial configuration: %s", error)

    async def _poll_loads(self) -> None:
        while True:
            await asyncio.sleep(LOAD_POLL_INTERVAL_S)
            await self.parts.dispatcher.poll_loads()

    async def _write_back(self) -> None:
        while True:
            await asyncio.sleep(WRITE_BACK_INTERVAL_S)
            try:
                await self.parts.escrow.write_back()
            except StoreError as error:
                logger.info("could not write budgets back, retrying later: %s", error)

    async def _describe(self) -> None:
        """Updates what heartbeats report, and the journal's share of the write rate."""
        while True:
            membership = self.parts.membership
            membership.describe(
                attrs.evolve(
                    membership.me,
                    applied_revision=self.parts.feed.revision,
                    load=float(self.parts.owner.running_count),
                )
            )
            store = self.settings.store
            share = store.total_writes_per_second / len(membership.alive())
            self.parts.pacer.set_rate(min(store.writes_per_second, share))
            await asyncio.sleep(self.settings.membership.beat_seconds)

    async def _exchange_revisions(self) -> None:
        """Exchanges configuration revisions with one peer after another."""
        round_number = 0
        while True:
            await asyncio.sleep(self.settings.membership.beat_seconds)
            me = self.parts.membership.me.incarnation
            peers = [info for info in self.parts.membership.alive() if info.incarnation != me]
            if peers:
                round_number += 1
                await self._exchange_with(peers[round_number % len(peers)])

    async def _exchange_with(self, peer: HostInfo) -> None:
        feed = self.parts.feed
        query = wire.News(self.parts.journal.incarnation, feed.revision)
        try:
            answer = await self.parts.peers.call(peer.peer_address, "news", encode_message(query))
        except (PeerUnreachableError, PeerFailureError):
            return
        reply = decode_message(wire.NewsReply(), answer)
        feed.observe_revision(reply.revision)
        feed.apply_from_peer(reply.first_revision, reply.changes)

    def _take_over(self, dead: HostInfo) -> None:
        if self.parts.membership.me.state is not HostState.SERVING:
            return
        self.parts.dispatcher.owner_died(dead.incarnation)
        self._spawn(self.parts.adopter.take_over(dead))

    def _check_own_seal(self) -> None:
        """Checks for a seal, since the removed heartbeat object may mean a takeover."""
        self._spawn(self._read_own_seal())

    async def _read_own_seal(self) -> None:
        while not self.parts.journal.fenced:
            try:
                seal = await self.parts.journal.check_seal()
            except StoreError:
                await asyncio.sleep(FAULT_RETRY_S)
                continue
            if seal is not None:
                self.parts.locator.record_seal(self.parts.journal.incarnation, seal)
            return

    def _on_fenced(self, error: FencedError) -> None:
        """Stops owning programs after the journal was taken over, and asks for a restart.

        Otherwise a host that was paused during its takeover would still claim its programs
        and refuse their calls.
        """
        parts = self.parts
        parts.timeline.record(Mechanism.MEMBERSHIP, "fenced", str(error))
        parts.membership.describe(attrs.evolve(parts.membership.me, state=HostState.FENCED))
        self._spawn(self._drop_programs())

    async def _drop_programs(self) -> None:
        parts = self.parts
        while True:
            try:
                seal = await parts.journal.check_seal()
                break
            except StoreError:
                await asyncio.sleep(FAULT_RETRY_S)
        if seal is not None:
            parts.locator.record_seal(parts.journal.incarnation, seal)
        parts.registry.remove_all()
        self.fenced.set()

    # ---- tasks ----

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _cancel_tasks(self) -> None:
        # Repeated, because a task that is cancelled just as its wait ends may miss it.
        while tasks := list(self._tasks):
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks, timeout=CANCEL_CHECK_S)

    async def _close_clients(self) -> None:
        await self.parts.peers.close()
        await self.parts.external.endpoints.close()
        await self.parts.external.endpoint_list.close()
        await self.parts.external.store.close()
