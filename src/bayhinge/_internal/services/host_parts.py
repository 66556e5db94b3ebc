"""Builds the parts of one host and keeps them together."""

import random
from collections.abc import Callable

import attrs

from bayhinge._internal.models.ids import new_incarnation
from bayhinge._internal.models.settings import Settings
from bayhinge._internal.network.connection_guard import ConnectionGuard
from bayhinge._internal.network.endpoint_client import (
    EndpointClient,
    EndpointTimeouts,
    HttpEndpointClient,
)
from bayhinge._internal.network.endpoint_list import EndpointList, HttpEndpointList
from bayhinge._internal.network.http_store import HttpObjectStore
from bayhinge._internal.network.peers import PeerNetwork, Peers
from bayhinge._internal.network.tcp_peers import TcpPeerNetwork
from bayhinge._internal.services.account_directory import AccountDirectory
from bayhinge._internal.services.adoption import Adopter, OwnerLocator
from bayhinge._internal.services.call_runner import CallRunner
from bayhinge._internal.services.history_cache import HistoryCache
from bayhinge._internal.services.latencies import Latencies
from bayhinge._internal.services.owner import ProgramOwner
from bayhinge._internal.services.owner_parts import OwnerParts
from bayhinge._internal.services.program_registry import ProgramRegistry
from bayhinge._internal.services.queue_dispatcher import QueueDispatcher
from bayhinge._internal.services.remote_grants import RemoteGrants
from bayhinge._internal.services.router import CallRouter
from bayhinge._internal.services.timeline import Timeline
from bayhinge.coordination.clock import Clock, HybridClock
from bayhinge.coordination.config_feed import ConfigFeed, FeedTimes
from bayhinge.coordination.escrow import Escrow
from bayhinge.coordination.journal import Journal
from bayhinge.coordination.journal_reader import JournalReader
from bayhinge.coordination.membership import HostInfo, HostState, Membership, MembershipTimes
from bayhinge.coordination.pacing import WritePacer
from bayhinge.coordination.store import ObjectStore

JOURNAL_PREFIX = "journal"
HOST_PREFIX = "hosts"
LEDGER_PREFIX = "ledgers"
CONFIG_PREFIX = "config"


@attrs.define
class ExternalDependencies:
    """The store, network, clients and clock of a host; tests replace them."""

    store: ObjectStore
    endpoint_list: EndpointList
    endpoints: EndpointClient
    clock: Clock
    random_unit: Callable[[], float]
    network: PeerNetwork
    serves_http: bool = True


def external_from_settings(
    settings: Settings, clock: Clock, guard: ConnectionGuard
) -> ExternalDependencies:
    """Builds the clients that the settings name; ``guard`` is that of all connections."""
    limits = settings.limits
    times = EndpointTimeouts(
        limits.connect_seconds, limits.first_byte_seconds, limits.between_bytes_seconds
    )
    return ExternalDependencies(
        HttpObjectStore(settings.store.url, settings.store.timeout_seconds),
        HttpEndpointList(settings.endpoints.list_url, settings.store.timeout_seconds),
        HttpEndpointClient(times),
        clock,
        # Never seeded: two starts with the same seed would get the same incarnation name.
        random.SystemRandom().random,
        TcpPeerNetwork(limits.connect_seconds, guard),
    )


@attrs.define
class HostParts:
    """Every part of one host."""

    settings: Settings
    external: ExternalDependencies
    hybrid_clock: HybridClock
    timeline: Timeline
    latencies: Latencies
    pacer: WritePacer
    journal: Journal
    escrow: Escrow
    feed: ConfigFeed
    accounts: AccountDirectory
    membership: Membership
    peers: Peers
    dispatcher: QueueDispatcher
    owner_parts: OwnerParts
    registry: ProgramRegistry
    owner: ProgramOwner
    locator: OwnerLocator
    adopter: Adopter
    router: CallRouter


def build_host_parts(settings: Settings, external: ExternalDependencies) -> HostParts:
    """Builds the parts of a host for one incarnation of its daemon."""
    store = external.store
    prefix = settings.store.prefix
    journals = f"{prefix}/{JOURNAL_PREFIX}"
    incarnation = new_incarnation(settings.host.name, external.random_unit)
    hybrid_clock = HybridClock(external.clock)
    timeline = Timeline(settings.host.name, hybrid_clock)
    pacer = WritePacer(settings.store.writes_per_second, settings.store.write_burst)
    journal = Journal(
        store, journals, incarnation, pacer, external.random_unit, settings.store.spool_bytes
    )
    reader = JournalReader(store, journals)
    escrow = Escrow(store, f"{prefix}/{LEDGER_PREFIX}", incarnation, external.random_unit)
    times = FeedTimes(settings.config.poll_seconds, settings.config.stale_after_seconds)
    feed = ConfigFeed(
        store, f"{prefix}/{CONFIG_PREFIX}", external.clock, external.random_unit, times
    )
    accounts = AccountDirectory(feed)
    membership = _build_membership(settings, external, incarnation)
    peers = external.network.connect(hybrid_clock)
    dispatcher = QueueDispatcher(settings, external.endpoints, timeline)
    grants = RemoteGrants(membership, dispatcher, peers)
    runner = CallRunner(
        incarnation, settings, grants, external.endpoints, timeline, external.random_unit
    )
    owner_parts = OwnerParts(
        settings=settings,
        journal=journal,
        reader=reader,
        escrow=escrow,
        accounts=accounts,
        runner=runner,
        grants=grants,
        histories=HistoryCache(reader, settings.limits.history_bytes),
        timeline=timeline,
        clock=external.clock,
        random_unit=external.random_unit,
    )
    registry = ProgramRegistry(owner_parts)
    owner = ProgramOwner(owner_parts, registry)
    locator = OwnerLocator(store, journals, membership)
    adopter = Adopter(owner_parts, registry, store, journals, membership, locator)
    router = CallRouter(
        registry,
        owner,
        adopter,
        locator,
        membership,
        peers,
        settings.limits.default_max_tokens,
    )
    return HostParts(
        settings=settings,
        external=external,
        hybrid_clock=hybrid_clock,
        timeline=timeline,
        latencies=Latencies(),
        pacer=pacer,
        journal=journal,
        escrow=escrow,
        feed=feed,
        accounts=accounts,
        membership=membership,
        peers=peers,
        dispatcher=dispatcher,
        owner_parts=owner_parts,
        registry=registry,
        owner=owner,
        locator=locator,
        adopter=adopter,
        router=router,
    )


def _build_membership(
    settings: Settings, external: ExternalDependencies, incarnation: str
) -> Membership:
    me = HostInfo(
        incarnation=incarnation,
        host=settings.host.name,
        hall=settings.host.hall,
        peer_address=settings.host.peer_address,
        public_address=settings.host.public_address,
        state=HostState.SERVING,
        applied_revision=0,
        load=0.0,
    )
    times = MembershipTimes(
        settings.membership.beat_seconds, settings.membership.dead_after_seconds
    )
    return Membership(external.store, f"{settings.store.prefix}/{HOST_PREFIX}", me, times)
