"""Timeouts keep their length while the wall clock jumps at each reading."""

import asyncio
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bayhinge._internal.bench.world.virtual_time import run_virtual
from bayhinge._internal.decisions.endpoint_table import EndpointTable
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
from bayhinge._internal.services.gateway.hall_coordinators import HallCoordinators
from bayhinge._internal.services.gateway.load_exchange import LoadExchange
from bayhinge._internal.services.gateway.suspect_hosts import SUSPECT_S as COORDINATOR_SUSPECT_S
from bayhinge._internal.services.gossip import MIN_SILENCE_S, Gossip
from bayhinge._internal.services.prefix_follower import PrefixFollower
from bayhinge._internal.wire.hosts.ttypes import DiskMember, Hello, HostLoads, HostPhase, HostRole
from bayhinge.coordination.clock import SystemClock
from bayhinge.coordination.config_feed import ConfigFeed, FeedTimes
from bayhinge.coordination.lease import Lease
from bayhinge.coordination.store import PollingStore
from bayhinge.coordination.store_availability import StoreAvailability
from bayhinge_standins.object_store import MemoryObjects, MemoryObjectStore
from tests.lib.jumping_clock import JUMPS_S, jump
from tests.lib.platform_data import settings_text

pytestmark = pytest.mark.usefixtures("jumping_clock")

ENDPOINT = "i-1"


@pytest.fixture
def jumping_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    jump(monkeypatch)


@pytest.fixture
def site(tmp_path: Path) -> SiteSettings:
    path = tmp_path / "local.toml"
    path.write_text(settings_text("edge-1", "10.1.0.38"))
    settings: SiteSettings = read_settings(path).ok
    return settings


def assert_always(expected: bool, check: Callable[[], bool]) -> None:
    """Checks often enough for each jump of the clock to occur twice."""
    assert [check() for _ in range(2 * len(JUMPS_S))] == [expected] * (2 * len(JUMPS_S))


def receive_heartbeat(gossip: Gossip, host: str, beat: int = 1) -> None:
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


def test_a_lease_is_held_for_its_duration() -> None:
    async def scenario() -> None:
        store = MemoryObjectStore(MemoryObjects())
        lease = Lease(store, "lease", "a~1", random.Random(1).random, 6.0)
        other = Lease(store, "lease", "b~1", random.Random(2).random, 6.0)
        for _ in range(5):
            await lease.step()
            assert_always(True, lease.is_held)
            await other.step()
            assert_always(False, other.is_held)
            await asyncio.sleep(1.0)
        await asyncio.sleep(6.0)
        assert_always(False, lease.is_held)

    run_virtual(scenario())


def test_a_configuration_is_current_for_its_duration() -> None:
    async def scenario() -> None:
        store = MemoryObjectStore(MemoryObjects())
        feed = ConfigFeed(store, "c", SystemClock(), random.Random(1).random, FeedTimes())
        await feed.step()
        await asyncio.sleep(29.0)
        assert_always(True, feed.is_current)
        await asyncio.sleep(2.0)
        assert_always(False, feed.is_current)

    run_virtual(scenario())


def test_a_failed_disk_is_suspected_for_its_duration(site: SiteSettings) -> None:
    async def scenario() -> None:
        store = MemoryObjectStore(MemoryObjects())
        directory = DiskDirectory(site, store, cast(Peers, None), list)
        member = DiskMember("disk-1", 1, "10.1.0.50:7381", "north")
        directory.record_failure(member, "silent")
        await asyncio.sleep(SUSPECT_S * 0.9)
        assert_always(True, lambda: directory.is_suspected(member))
        await asyncio.sleep(SUSPECT_S * 0.2)
        assert_always(False, lambda: directory.is_suspected(member))

    run_virtual(scenario())


def test_a_host_is_listed_for_the_silence_timeout(site: SiteSettings) -> None:
    async def scenario() -> None:
        gossip = Gossip(site, HostRole.ENTRY)
        receive_heartbeat(gossip, "edge-2")
        await asyncio.sleep(MIN_SILENCE_S * 0.9)
        assert_always(True, lambda: bool(gossip.recent_heartbeats(HostRole.ENTRY)))
        assert_always(True, lambda: bool(gossip.ready_entry_hosts()))
        gossip._forget_silent()
        assert gossip._observed_addresses()
        await asyncio.sleep(2.5)
        assert_always(False, lambda: bool(gossip.recent_heartbeats(HostRole.ENTRY)))
        assert_always(False, lambda: bool(gossip.ready_entry_hosts()))

    run_virtual(scenario())


def test_a_suspected_coordinator_is_skipped_for_its_duration(site: SiteSettings) -> None:
    async def scenario() -> None:
        gossip = Gossip(site, HostRole.ENTRY)
        coordinators = HallCoordinators(gossip)
        receive_heartbeat(gossip, "edge-2")
        coordinators.refresh()
        coordinator = coordinators.coordinator_of("north")
        assert coordinator is not None
        coordinators.mark_suspected(coordinator, "no answer")
        await asyncio.sleep(COORDINATOR_SUSPECT_S * 0.9)
        receive_heartbeat(gossip, "edge-2", beat=2)
        assert_always(True, lambda: coordinators._suspected.has(coordinator.host))
        await asyncio.sleep(COORDINATOR_SUSPECT_S * 0.2)
        receive_heartbeat(gossip, "edge-2", beat=3)
        assert_always(False, lambda: coordinators._suspected.has(coordinator.host))

    run_virtual(scenario())


def test_loads_of_a_host_count_until_their_timeout(site: SiteSettings) -> None:
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
        assert_always(True, counted)
        await asyncio.sleep(0.4)
        assert_always(False, counted)

    run_virtual(scenario())


class SilentStore:
    """The part of a store that a follower needs if it never reads objects."""

    def __init__(self) -> None:
        self.availability = StoreAvailability()


def test_the_time_after_an_outage_lasts_for_its_duration() -> None:
    async def scenario() -> None:
        store = SilentStore()
        follower = PrefixFollower(
            cast(PollingStore, store), "servers/", lambda: 5.0, cast(Any, None), cast(Peers, None)
        )
        assert_always(False, follower._is_after_outage)
        store.availability.record_failure(timed_out=True)
        await asyncio.sleep(5.0)
        store.availability.record_answer()
        assert store.availability.recovered_s == asyncio.get_running_loop().time()
        await asyncio.sleep(prefix_follower.AFTER_OUTAGE_S * 0.9)
        assert_always(True, follower._is_after_outage)
        await asyncio.sleep(prefix_follower.AFTER_OUTAGE_S * 0.2)
        assert_always(False, follower._is_after_outage)

    run_virtual(scenario())


@given(
    st.integers(0, 7),
    st.integers(1, 8),
    st.integers(0, 3),
    st.integers(0, 1),
    st.floats(-1e12, 1e12, allow_nan=False),
)
def test_a_watch_waits_at_most_one_period_at_any_wall_clock_time(
    hall: int, halls: int, watcher: int, prefix: int, now_s: float
) -> None:
    slot = WatchSlot(hall % halls, halls, watcher, prefix, 2)
    wait_s = wait_until_slot(slot, now_s)
    assert MIN_WATCH_S <= wait_s <= slot.period_s + MIN_WATCH_S
