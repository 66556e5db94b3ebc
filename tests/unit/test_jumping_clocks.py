"""The time of day jumps at each reading, and each duration is what it was."""

import asyncio
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bayhinge._internal.bench.world.virtual_time import run_virtual
from bayhinge._internal.decisions.endpoint_book import EndpointTable
from bayhinge._internal.decisions.watchers import (
    MIN_WATCH_S,
    WatchSlot,
    wait_until_slot,
)
from bayhinge._internal.models.site_settings import SiteSettings
from bayhinge._internal.network.frames import encode_message
from bayhinge._internal.network.peers import Peers
from bayhinge._internal.platform.settings_file import read_settings
from bayhinge._internal.services import prefix_follower
from bayhinge._internal.services.gateway.disk_directory import SUSPECT_S, DiskDirectory
from bayhinge._internal.services.gateway.hall_homes import HallCoordinators
from bayhinge._internal.services.gateway.load_exchange import LoadExchange
from bayhinge._internal.services.gateway.suspect_hosts import SUSPECT_S as COORDINATOR_SUSPECT_S
from bayhinge._internal.services.gossip import MIN_SILENCE_S, Gossip
from bayhinge._internal.services.prefix_follower import PrefixFollower
from bayhinge._internal.wire.hosts.ttypes import DiskMember, Hello, HostLoads, HostPhase, HostRole
from bayhinge.coordination.clock import SystemClock
from bayhinge.coordination.config_feed import ConfigFeed, FeedTimes
from bayhinge.coordination.lease import Lease
from bayhinge.coordination.store import PollingStore
from bayhinge.coordination.store_contact import StoreAvailability
from bayhinge_standins.object_store import MemoryObjects, MemoryObjectStore
from tests.lib.jumping_clock import JUMPS_S, jump
from tests.lib.platform_data import settings_text

pytestmark = pytest.mark.usefixtures("odd_clock")

ENDPOINT = "i-1"


@pytest.fixture
def odd_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    jump(monkeypatch)


@pytest.fixture
def site(tmp_path: Path) -> SiteSettings:
    path = tmp_path / "local.toml"
    path.write_text(settings_text("edge-1", "10.1.0.38"))
    settings: SiteSettings = read_settings(path).ok
    return settings


def always(expected: bool, ask: Callable[[], bool]) -> None:
    """Asks so often that each jump comes twice."""
    assert [ask() for _ in range(2 * len(JUMPS_S))] == [expected] * (2 * len(JUMPS_S))


def heard(gossip: Gossip, host: str, beat: int = 1) -> None:
    address = f"10.1.0.{40 + len(host)}:7380"
    heartbeat = Hello(
        host,
        1,
        beat,
        HostRole.ENTRY,
        HostPhase.READY,
        "north",
        address,
        address,
        address,
        {},
        {},
        0,
        [],
        False,
    )
    gossip._receive(encode_message(heartbeat))


def test_a_lease_is_held_for_its_time() -> None:
    async def scenario() -> None:
        store = MemoryObjectStore(MemoryObjects())
        lease = Lease(store, "lease", "a~1", random.Random(1).random, 6.0)
        other = Lease(store, "lease", "b~1", random.Random(2).random, 6.0)
        for _ in range(5):
            await lease.step()
            always(True, lease.is_held)
            await other.step()
            always(False, other.is_held)
            await asyncio.sleep(1.0)
        await asyncio.sleep(6.0)
        always(False, lease.is_held)

    run_virtual(scenario())


def test_a_configuration_is_confirmed_for_its_time() -> None:
    async def scenario() -> None:
        store = MemoryObjectStore(MemoryObjects())
        feed = ConfigFeed(store, "c", SystemClock(), random.Random(1).random, FeedTimes())
        await feed.step()
        await asyncio.sleep(29.0)
        always(True, feed.is_current)
        await asyncio.sleep(2.0)
        always(False, feed.is_current)

    run_virtual(scenario())


def test_a_disk_that_failed_is_suspected_for_its_time(site: SiteSettings) -> None:
    async def scenario() -> None:
        store = MemoryObjectStore(MemoryObjects())
        directory = DiskDirectory(site, store, cast(Peers, None), list)
        member = DiskMember("disk-1", 1, "10.1.0.50:7381", "north")
        directory.record_failure(member, "silent")
        await asyncio.sleep(SUSPECT_S * 0.9)
        always(True, lambda: directory.is_suspected(member))
        await asyncio.sleep(SUSPECT_S * 0.2)
        always(False, lambda: directory.is_suspected(member))

    run_virtual(scenario())


def test_a_host_counts_as_heard_for_its_time(site: SiteSettings) -> None:
    async def scenario() -> None:
        gossip = Gossip(site, HostRole.ENTRY)
        heard(gossip, "edge-2")
        await asyncio.sleep(MIN_SILENCE_S * 0.9)
        always(True, lambda: bool(gossip.recent_heartbeats(HostRole.ENTRY)))
        always(True, lambda: bool(gossip.ready_entry_hosts()))
        gossip._forget_silent()
        assert gossip._observed_addresses()
        await asyncio.sleep(2.5)
        always(False, lambda: bool(gossip.recent_heartbeats(HostRole.ENTRY)))
        always(False, lambda: bool(gossip.ready_entry_hosts()))

    run_virtual(scenario())


def test_a_silent_coordinator_is_skipped_for_its_time(site: SiteSettings) -> None:
    async def scenario() -> None:
        gossip = Gossip(site, HostRole.ENTRY)
        coordinators = HallCoordinators(gossip)
        heard(gossip, "edge-2")
        coordinators.refresh()
        coordinator = coordinators.coordinator_of("north")
        assert coordinator is not None
        coordinators.mark_suspected(coordinator, "no answer")
        await asyncio.sleep(COORDINATOR_SUSPECT_S * 0.9)
        heard(gossip, "edge-2", beat=2)
        always(True, lambda: coordinators._suspected.has(coordinator.host))
        await asyncio.sleep(COORDINATOR_SUSPECT_S * 0.2)
        heard(gossip, "edge-2", beat=3)
        always(False, lambda: coordinators._suspected.has(coordinator.host))

    run_virtual(scenario())


def test_loads_of_a_host_count_for_their_time(site: SiteSettings) -> None:
    async def scenario() -> None:
        gossip = Gossip(site, HostRole.ENTRY)
        endpoint_table = EndpointTable("north")
        exchange = LoadExchange(gossip.own_heartbeat, endpoint_table, HallCoordinators(gossip))
        loads = HostLoads("edge-2", 1, 1, 0, {ENDPOINT: 3}, [])

        def counted() -> bool:
            exchange.refresh_endpoint_table()
            return bool(exchange._load_table.running_by_endpoint().get(ENDPOINT))

        exchange.receive_loads(loads)
        await asyncio.sleep(1.8)
        always(True, counted)
        await asyncio.sleep(0.4)
        always(False, counted)

    run_virtual(scenario())


class SilentStore:
    """What a follower needs of a store that it never asks."""

    def __init__(self) -> None:
        self.availability = StoreAvailability()


def test_an_outage_is_over_for_its_time() -> None:
    async def scenario() -> None:
        store = SilentStore()
        follower = PrefixFollower(
            cast(PollingStore, store), "servers/", lambda: 5.0, cast(Any, None), cast(Peers, None)
        )
        always(False, follower._is_after_outage)
        store.availability.record_failure(timed_out=True)
        await asyncio.sleep(5.0)
        store.availability.record_answer()
        assert store.availability.recovered_s == asyncio.get_running_loop().time()
        await asyncio.sleep(prefix_follower.AFTER_OUTAGE_S * 0.9)
        always(True, follower._is_after_outage)
        await asyncio.sleep(prefix_follower.AFTER_OUTAGE_S * 0.2)
        always(False, follower._is_after_outage)

    run_virtual(scenario())


@given(
    st.integers(0, 7),
    st.integers(1, 8),
    st.integers(0, 3),
    st.integers(0, 1),
    st.floats(-1e12, 1e12, allow_nan=False),
)
def test_a_watch_waits_no_longer_whatever_the_time_of_day(
    hall: int, halls: int, watcher: int, prefix: int, now_s: float
) -> None:
    turn = WatchSlot(hall % halls, halls, watcher, prefix, 2)
    wait_s = wait_until_slot(turn, now_s)
    assert MIN_WATCH_S <= wait_s <= turn.period_s + MIN_WATCH_S
