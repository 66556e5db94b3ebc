"""The gateway service of an entry host: builds its parts, starts them, and shuts them down."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping
from functools import partial

import eliot
from mode import Service

from bayhinge._internal.decisions.caller_addresses import (
    ReadyHost,
    addresses_for,
    hosts_to_advertise,
)
from bayhinge._internal.decisions.endpoint_table import EndpointTable
from bayhinge._internal.decisions.freshness_proofs import proof_bounds
from bayhinge._internal.decisions.quota_bucket import QuotaMargin
from bayhinge._internal.decisions.request_rate import RequestRate
from bayhinge._internal.models.routing import RequestLimits
from bayhinge._internal.models.site_settings import SiteSettings
from bayhinge._internal.network.connection_guard import DEFAULT_LIMITS, ConnectionGuard
from bayhinge._internal.network.endpoint_connections import EndpointConnectionPool
from bayhinge._internal.network.routed_front import RoutedFront
from bayhinge._internal.network.tcp_peers import TcpPeerNetwork
from bayhinge._internal.services.gateway.active_runs import ActiveRuns
from bayhinge._internal.services.gateway.admission import Admission
from bayhinge._internal.services.gateway.configuration_proofs import ConfigurationProofs
from bayhinge._internal.services.gateway.disk_directory import DiskDirectory
from bayhinge._internal.services.gateway.disk_link import DiskLink
from bayhinge._internal.services.gateway.endpoint_prober import EndpointProber
from bayhinge._internal.services.gateway.endpoint_restarts import EndpointRestarts
from bayhinge._internal.services.gateway.hall_coordinators import HallCoordinators
from bayhinge._internal.services.gateway.held_memory import HeldMemory
from bayhinge._internal.services.gateway.load_exchange import LoadExchange
from bayhinge._internal.services.gateway.load_sums import sum_loads
from bayhinge._internal.services.gateway.peer_requests import PeerRequestHandler
from bayhinge._internal.services.gateway.placement import CoordinatorPlacer
from bayhinge._internal.services.gateway.platform_interface import Platform
from bayhinge._internal.services.gateway.quotas import Quotas
from bayhinge._internal.services.gateway.request_sender import RequestSender
from bayhinge._internal.services.gateway.request_service import RequestService
from bayhinge._internal.services.gateway.send_tracking import SendTracking
from bayhinge._internal.services.gateway.speed_tracker import SpeedTracker
from bayhinge._internal.services.gateway.store_listeners import (
    ConfigurationState,
    EndpointTableUpdater,
)
from bayhinge._internal.services.gateway.store_watching import StoreWatching
from bayhinge._internal.services.gateway.turn_recorder import TurnRecorder
from bayhinge._internal.services.gossip import Gossip
from bayhinge._internal.services.host_registry import HostRegistry
from bayhinge._internal.services.keep_running import keep_running
from bayhinge._internal.services.latencies import Latencies
from bayhinge._internal.services.prefix_follower import PrefixFollower
from bayhinge._internal.utils.prebound_sockets import PreboundSockets
from bayhinge._internal.utils.process_memory import cgroup_limit_bytes, resident_bytes
from bayhinge._internal.wire.hosts import ttypes as wire
from bayhinge.coordination.clock import HybridClock, SystemClock

CONNECT_S = 0.5
"""Timeout for connecting to another host."""

ADDRESS_KEEP_S = 1.0
"""How long callers may cache resolved addresses; some cache them three times as long."""

STOP_MARGIN_S = 1.2
"""Part of the shutdown grace period reserved for closing, even if requests still run."""

SWEEP_S = 1.0


class Gateway(Service):
    """The gateway service of one entry host process."""

    _idle_bytes = 0

    def __init__(
        self, settings: SiteSettings, platform: Platform, sockets: PreboundSockets | None = None
    ) -> None:
        super().__init__()
        self.settings = settings
        self._platform = platform
        self._wall_clock = SystemClock()
        clock = HybridClock(self._wall_clock)
        self.guard = ConnectionGuard(self._request_limits)
        network = TcpPeerNetwork(CONNECT_S, self.guard)
        self.peers = network.connect(clock)
        self.gossip = Gossip(settings, wire.HostRole.ENTRY)
        self.connection_pool = EndpointConnectionPool()
        self.endpoint_table = EndpointTable(settings.hall)
        self.configuration = ConfigurationState(platform.objects, platform.configuration_key)
        runs = ActiveRuns()
        restarts = EndpointRestarts(
            self.endpoint_table, self.connection_pool, runs, self._wall_clock.wall_ms
        )
        self.endpoints = EndpointTableUpdater(
            platform.objects,
            self.endpoint_table,
            self.connection_pool,
            restarts,
        )
        listener_by_prefix = {
            platform.configuration_prefix: self.configuration,
            platform.endpoints_prefix: self.endpoints,
        }
        self._watching = StoreWatching(
            settings, self.gossip, self._wall_clock, len(listener_by_prefix), self._store_fails
        )
        self.followers_by_prefix = {
            prefix: PrefixFollower(
                platform.store,
                prefix,
                partial(self._watching.watch_timeout_s, index),
                listener,
                self.peers,
            )
            for index, (prefix, listener) in enumerate(listener_by_prefix.items())
        }
        for follower in self.followers_by_prefix.values():
            follower.should_watch = self._watching.is_watcher
            follower.first_list_delay_s = self._watching.first_list_delay_s()
            follower.on_change = self.gossip.send_now
        self.proofs = ConfigurationProofs(
            platform.store,
            platform.configuration_key,
            self.followers_by_prefix[platform.configuration_prefix],
            self.gossip,
            self.peers,
            None if settings.taken_away_s is None else proof_bounds(settings.taken_away_s),
        )
        self.proofs.has_accounts = lambda: self.configuration.has_accounts
        self.configuration.on_change = self.proofs.wake_waiters
        self.quotas = Quotas(
            self.gossip,
            self.peers,
            QuotaMargin(settings.quota_window_s, settings.quota_overage, settings.quota_slack),
        )
        self.quotas.version = lambda: self.configuration.version
        self.admission = Admission(self.configuration, self.proofs)
        self.disks = DiskDirectory(
            settings,
            platform.store,
            self.peers,
            lambda: self.gossip.recent_heartbeats(wire.HostRole.DISK),
        )
        self.disks.initial_store_delay_s += self._watching.first_list_delay_s()
        self.disk_link = DiskLink(self.disks, self.gossip, self.peers)
        self.turn_recorder = TurnRecorder(self.disks, self.disk_link, settings.tolerated_disks)
        self.coordinators = HallCoordinators(self.gossip, settings.region_by_hall)
        self.speeds = SpeedTracker(self.endpoint_table)
        self.exchange = LoadExchange(
            self.gossip.own_heartbeat, self.endpoint_table, self.coordinators, self.speeds
        )
        self.sends = SendTracking(
            self.endpoint_table,
            self.connection_pool,
            EndpointProber(self.connection_pool, platform.calls, self._health_path_of),
            self.exchange,
            self.gossip,
            lambda: self.disks.disk_set.members,
        )
        objects = self.followers_by_prefix[platform.endpoints_prefix]
        restarts.known_revision = lambda: objects.revision
        restarts.forget_loads = self.exchange.forget_endpoint
        self.exchange.endpoints_known_to = lambda: objects.known_revision
        self.placer = CoordinatorPlacer(
            self.endpoint_table, self.coordinators, self.exchange, self.peers, settings.hall
        )
        self.endpoints.on_change = self.placer.wake
        self.latencies = Latencies()
        self.memory = HeldMemory(on_refusal=self.guard.close_stalled_body)
        self.requests = RequestService(
            self.configuration,
            platform.calls,
            RequestSender(
                self.endpoint_table,
                self.connection_pool,
                platform.calls,
                self.placer,
                runs,
                self.admission.check,
                self.speeds,
                self.sends.guard,
                self.sends.silent_endpoints,
            ),
            self.turn_recorder,
            self.admission,
            self.quotas,
            self.latencies,
            self.endpoints.initial_sync,
            self.disks.initial_sync,
            self.memory,
        )
        self.front = RoutedFront(settings.front_address, self.requests, sockets, self.guard)
        self._listener = network.listen(
            settings.peer_address,
            PeerRequestHandler(
                self.followers_by_prefix,
                self.placer,
                self.proofs,
                self.quotas,
                self.disks,
                self.peers,
            ),
            clock,
        )
        self._rate = RequestRate()
        self._random = random.Random()
        self.is_leaving = False
        self._is_advertised = False

    async def on_start(self) -> None:
        """Opens the listeners and starts gossip, load exchange, and the background tasks."""
        await self._listener.start()
        await self.front.start()
        self.gossip.fill_heartbeat = self._fill_heartbeat
        self.gossip.on_heartbeat = self._handle_heartbeat
        self.gossip.on_round = self._handle_gossip_round
        self.disks.on_change = self._disks_changed
        # Other hosts answer the first heartbeat with what this one has to know.
        await self.exchange.start()
        await self.gossip.start()
        registry = HostRegistry(self._platform.store, self.settings)
        duty_by_name: Mapping[str, Callable[[], Awaitable[None]]] = {
            f"follow {prefix}": follower.run
            for prefix, follower in self.followers_by_prefix.items()
        } | {
            "announce": lambda: registry.announce(self.gossip, self._watching.is_watcher),
            "disk set": self.disks.load,
            "reach of disks": self.disks.watch_reachability,
            "sweep": self._sweep,
            "proof of the configuration": self.proofs.run,
        }
        for name, duty in duty_by_name.items():
            self.add_future(keep_running(name, duty))
        self._idle_bytes = resident_bytes()
        self.apply_limits(self.settings)
        eliot.log_message("host.started", host=self.settings.host, hall=self.settings.hall)

    async def on_stop(self) -> None:
        """Shuts down gracefully: stops being advertised, drains running requests, then closes."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        self.is_leaving = True
        self.front.closes_connections = True
        self.gossip.send_now()
        eliot.log_message("host.leaving", host=self.settings.host, running=self.front.running)
        # Some callers cache addresses for up to three times their TTL.
        await asyncio.sleep(3 * self.address_keep_s)
        self.front.close_idle()
        limit_s = began_s + self.settings.grace_s - STOP_MARGIN_S
        await self.front.wait_until_idle(limit_s - loop.time())
        await self.turn_recorder.drain(max(0.0, min(0.3, limit_s - loop.time())))
        await self.exchange.stop()
        await self.gossip.stop()
        await self.front.stop()
        await self._listener.stop()
        await self.peers.close()
        self.connection_pool.close()
        for follower in self.followers_by_prefix.values():
            follower.stop()
        await self._platform.store.close()
        eliot.log_message("host.stopped", host=self.settings.host, running=self.front.running)

    def apply_limits(self, settings: SiteSettings) -> None:
        """Applies the limits on memory and descriptors, which may change while it runs."""
        limit_bytes = settings.memory_bytes or cgroup_limit_bytes()
        self.memory.start(limit_bytes, self._idle_bytes)
        free_bytes = None if limit_bytes is None else limit_bytes - self._idle_bytes
        self.guard.set_room(free_bytes, settings.max_descriptors)

    def _request_limits(self) -> RequestLimits:
        table = self.configuration.table
        return DEFAULT_LIMITS if table is None else table.limits

    # ---- address resolution ----

    @property
    def address_keep_s(self) -> float:
        """How long callers may cache resolved addresses, in seconds."""
        return min(ADDRESS_KEEP_S, self.settings.address_keep_s)

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent to this host."""
        return (
            not self.is_leaving
            and self.configuration.table is not None
            and bool(self.disks.disk_set.members)
        )

    def addresses(self, hall: str, region: str) -> list[str]:
        """Returns the public addresses of ready hosts, those nearest to the caller first."""
        return addresses_for(self._ready_hosts(), hall, region, self._random)

    def _ready_hosts(self) -> list[ReadyHost]:
        ready = self.gossip.ready_entry_hosts()
        if self.is_ready:
            ready.append(self.gossip.own_heartbeat)
        regions = self.settings.region_by_hall
        return [
            ReadyHost(
                heartbeat.public_address,
                heartbeat.hall,
                regions.get(heartbeat.hall, ""),
                heartbeat.requests_per_s,
                heartbeat.is_cut_off,
                heartbeat.is_told,
                heartbeat.memory_used or 0,
            )
            for heartbeat in ready
        ]

    # ---- heartbeats ----

    def _health_path_of(self, service: str) -> str | None:
        table = self.configuration.table
        spec = None if table is None else table.services_by_name.get(service)
        return None if spec is None else spec.health_path

    def _store_fails(self) -> bool:
        return self.proofs.has_failed or any(
            follower.is_failing for follower in self.followers_by_prefix.values()
        )

    def _fill_heartbeat(self, heartbeat: wire.Hello) -> None:
        heartbeat.store_fails = self._store_fails()
        # Without a proof, requests with a key are refused, so callers should use other hosts.
        is_without_proof = self.proofs.is_required and not self.proofs.may_admit
        heartbeat.is_cut_off = self.disks.reachability.is_partitioned or is_without_proof
        heartbeat.proof_age_ms = self.proofs.hint_ms()
        heartbeat.requests_per_s = round(self._rate.per_s)
        heartbeat.phase = wire.HostPhase.READY if self.is_ready else wire.HostPhase.STARTING
        if self.is_leaving:
            heartbeat.phase = wire.HostPhase.LEAVING
        heartbeat.memory_used = self.memory.used_thousandths
        heartbeat.is_told = self._is_advertised and self.is_ready
        heartbeat.running_by_endpoint = self.endpoint_table.running_here()
        heartbeat.endpoints_known_to = self.exchange.endpoints_known_to()
        heartbeat.disk_set_version = self.disks.disk_set.version
        heartbeat.revision_by_prefix = {
            prefix: follower.revision for prefix, follower in self.followers_by_prefix.items()
        }

    def _handle_heartbeat(self, heartbeat: wire.Hello) -> None:
        self.disks.handle_heartbeat(heartbeat)
        self.sends.recorder.handle_heartbeat(heartbeat)
        for prefix, revision in heartbeat.revision_by_prefix.items():
            follower = self.followers_by_prefix.get(prefix)
            if follower is not None:
                follower.observe_revision(revision, heartbeat.peer_address)

    def _refresh_advertised(self) -> None:
        """Recomputes whether this host is advertised to callers of its own hall.

        Once per gossip round, since doing it for each heartbeat is expensive on large sites.
        """
        me = self.gossip.own_heartbeat
        near = [host for host in self._ready_hosts() if host.hall == me.hall]
        self._is_advertised = me.public_address in hosts_to_advertise(near, me.hall)

    def _handle_gossip_round(self) -> None:
        self._refresh_advertised()
        heartbeats = self.gossip.recent_heartbeats(wire.HostRole.ENTRY)
        self.endpoint_table.apply_peer_loads(
            sum_loads(heartbeats, self.endpoint_table.incarnation_revisions)
        )
        self.exchange.handle_heartbeats(heartbeats)
        self.coordinators.refresh()
        self.quotas.refresh()
        if self.coordinators.coordinated_hall:
            # Reported loads are newer than heartbeats, which still count for silent halls.
            self.exchange.refresh_endpoint_table()
        self.placer.handle_peer_loads()

    def _disks_changed(self, disk_set: wire.DiskSet) -> None:
        self.gossip.own_heartbeat.disk_set_version = disk_set.version

    async def _sweep(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(SWEEP_S)
            self.connection_pool.sweep()
            self.sends.sweep()
            self._rate.observe(self.requests.counts.received, SWEEP_S)
