"""Late, reordered or outdated updates: entries, lists, and loads reported by other hosts."""

import asyncio
from collections.abc import AsyncGenerator

import orjson

from bayhinge._internal.bench.world.virtual_time import run_virtual
from bayhinge._internal.decisions.endpoint_incarnations import NewIncarnation
from bayhinge._internal.decisions.endpoint_state import EndpointState
from bayhinge._internal.decisions.endpoint_table import EndpointTable
from bayhinge._internal.decisions.incarnation_revisions import IncarnationRevisions
from bayhinge._internal.models.endpoint_entries import EndpointEntry
from bayhinge._internal.network.endpoint_connections import EndpointConnectionPool
from bayhinge._internal.network.frames import encode_message
from bayhinge._internal.network.peers import Peers
from bayhinge._internal.platform.object_reader import PlatformObjectReader
from bayhinge._internal.services.gateway.active_runs import ActiveRuns
from bayhinge._internal.services.gateway.endpoint_restarts import EndpointRestarts
from bayhinge._internal.services.gateway.hall_coordinators import HallCoordinators
from bayhinge._internal.services.gateway.load_exchange import LoadExchange
from bayhinge._internal.services.gateway.load_sums import sum_loads
from bayhinge._internal.services.gateway.placement import CoordinatorPlacer
from bayhinge._internal.services.gateway.store_listeners import (
    MISSING_AFTER_OUTAGE_GRACE_S,
    MISSING_ENTRY_GRACE_S,
    REMOVED_ENTRY_KEEP_S,
    EndpointTableUpdater,
)
from bayhinge._internal.services.prefix_follower import ObjectListener, PrefixFollower
from bayhinge._internal.wire.hosts import ttypes as wire
from bayhinge.coordination.store import Change, Listing, StoredObject
from tests.lib.silent_store import SilentStore, StoreState

BORN_MS = 1_700_000_000_000
KEY = "servers/a"


def entry_value(born_ms: int | None, port: int = 80, state: str = "ready") -> bytes:
    spec: dict[str, object] = {
        "service": "app",
        "address": f"10.0.0.1:{port}",
        "zone": "north",
        "version": "v1",
        "slots": 4,
        "cold_left_ms": 0,
        "seq": 1,
    }
    born = {} if born_ms is None else {"born": born_ms}
    return orjson.dumps(spec | {"state": state} | born)


class Host:
    """A host's state of the endpoints."""

    def __init__(self) -> None:
        self.endpoint_table = EndpointTable("north")
        self.connection_pool = EndpointConnectionPool()
        self.runs = ActiveRuns()
        self.restarts = EndpointRestarts(
            self.endpoint_table, self.connection_pool, self.runs, lambda: BORN_MS + 9_000
        )
        self.listener = EndpointTableUpdater(
            PlatformObjectReader(), self.endpoint_table, self.connection_pool, self.restarts
        )

    def apply_entry(self, value: bytes | None, key: str = KEY, revision: int = 5) -> None:
        self.listener.apply(Change(key, value, revision, revision), False)

    def list(self, value_by_key: dict[str, bytes], is_after_outage: bool = False) -> None:
        self.listener.replace_all(value_by_key, is_after_outage)

    def state(self) -> EndpointState:
        state = self.endpoint_table.find("a")
        assert state is not None
        return state


# ---- entries ----


def test_a_removal_of_the_former_incarnation_does_not_affect_the_next() -> None:
    async def scenario() -> None:
        host = Host()
        host.apply_entry(entry_value(BORN_MS))
        host.apply_entry(None)
        await asyncio.sleep(MISSING_ENTRY_GRACE_S / 2)
        host.apply_entry(entry_value(BORN_MS + 1))
        await asyncio.sleep(MISSING_ENTRY_GRACE_S)
        assert not host.state().is_suspected

    run_virtual(scenario())


def test_a_late_entry_does_not_keep_a_removed_incarnation() -> None:
    async def scenario() -> None:
        host = Host()
        host.apply_entry(entry_value(BORN_MS + 1))
        host.apply_entry(None)
        host.apply_entry(entry_value(BORN_MS))
        await asyncio.sleep(MISSING_ENTRY_GRACE_S + 0.1)
        assert host.endpoint_table.find("a") is None
        host.apply_entry(entry_value(BORN_MS))
        assert host.endpoint_table.find("a") is None
        await asyncio.sleep(REMOVED_ENTRY_KEEP_S)
        host.apply_entry(entry_value(BORN_MS))
        assert host.endpoint_table.find("a") is not None

    run_virtual(scenario())


def test_reordered_lists_after_an_outage_lead_to_the_latest_incarnation() -> None:
    async def scenario() -> None:
        first, second = Host(), Host()
        old, new = {KEY: entry_value(BORN_MS)}, {KEY: entry_value(BORN_MS + 1, 81)}
        for host in (first, second):
            host.list(old)
            # The first list after the outage lacks the entry, as if it had lapsed.
            host.list({}, is_after_outage=True)
        first.list(new, is_after_outage=True)
        first.list(old, is_after_outage=True)
        second.list(old, is_after_outage=True)
        second.list(new, is_after_outage=True)
        await asyncio.sleep(MISSING_AFTER_OUTAGE_GRACE_S + 0.1)
        for host in (first, second):
            assert host.state().entry.address == "10.0.0.1:81"
            assert host.state().entry.born_ms == BORN_MS + 1

    run_virtual(scenario())


def test_an_endpoint_without_a_start_time_keeps_its_state_over_all_entries() -> None:
    async def scenario() -> None:
        host = Host()
        host.apply_entry(entry_value(None))
        state = host.state()
        state.failures = 2.0
        host.apply_entry(entry_value(None, 81))
        host.list({KEY: entry_value(None, 82)})
        assert host.state() is state
        assert state.failures == 2.0

    run_virtual(scenario())


def test_runs_are_counted_at_the_incarnation_that_they_reach() -> None:
    async def scenario() -> None:
        host = Host()
        host.apply_entry(entry_value(BORN_MS))
        former = host.state()
        # Its connection is still being opened, so it reaches the new incarnation.
        run = host.runs.begin(former)
        host.apply_entry(entry_value(BORN_MS + 1))
        assert (former.running_here, host.state().running_here) == (0, 1)
        host.apply_entry(entry_value(BORN_MS + 2, 81))
        assert run.is_ended, "its connection leads to the former address"
        assert host.state().running_here == 0
        host.runs.end(run)
        assert host.state().running_here == 0

    run_virtual(scenario())


def test_an_endpoint_that_returns_after_an_outage_counts_its_runs_again() -> None:
    async def scenario() -> None:
        host = Host()
        host.apply_entry(entry_value(BORN_MS))
        run = host.runs.begin(host.state())
        host.apply_entry(None)
        await asyncio.sleep(MISSING_ENTRY_GRACE_S + 0.1)
        assert host.endpoint_table.find("a") is None
        host.apply_entry(entry_value(BORN_MS))
        assert host.state().running_here == 1
        host.runs.end(run)
        assert host.state().running_here == 0

    run_virtual(scenario())


def test_data_received_from_a_former_incarnation_does_not_count_for_the_next() -> None:
    connection_pool = EndpointConnectionPool()
    connection_pool._last_received_s_by_key["a"] = 10.0
    connection_pool.close_previous_incarnations("a", NewIncarnation("x", 9.0))
    assert connection_pool.has_received_since("a", 9.5), "received from the new incarnation"
    connection_pool.close_previous_incarnations("a", NewIncarnation("x", 11.0))
    assert not connection_pool.has_received_since("a", 9.5)


# ---- loads ----


def exchange_of(host: Host) -> LoadExchange:
    me = wire.Hello(host="me", hall="north", incarnation=1)
    exchange = LoadExchange(me, host.endpoint_table, HallCoordinators.__new__(HallCoordinators))
    host.restarts.forget_loads = exchange.forget_endpoint
    host.restarts.known_revision = lambda: 50
    return exchange


def load_report(beat: int, known_to: int | None) -> wire.HostLoads:
    return wire.HostLoads("other", 1, beat, 0, {"a": 3}, ["a"], known_to)


def test_loads_of_an_outdated_host_do_not_count_for_the_next_incarnation() -> None:
    async def scenario() -> None:
        host = Host()
        exchange = exchange_of(host)
        host.apply_entry(entry_value(BORN_MS))
        exchange.receive_loads(load_report(1, 40))
        exchange.refresh_endpoint_table()
        assert (host.state().running_at_peers, host.state().failure_reports) == (3, 1)
        host.apply_entry(entry_value(BORN_MS + 1))
        for beat, known_to, counts in ((2, 49, 0), (3, 50, 1), (4, None, 1)):
            exchange.refresh_endpoint_table()
            exchange.receive_loads(load_report(beat, known_to))
            exchange.refresh_endpoint_table()
            state = host.state()
            assert (state.running_at_peers, state.failure_reports) == (3 * counts, counts)

    run_virtual(scenario())


def test_tables_and_grants_of_another_hall_end_with_their_incarnation() -> None:
    async def scenario() -> None:
        host = Host()
        exchange = exchange_of(host)
        host.endpoint_table.put(
            EndpointEntry("a", "app", "10.0.0.1:80", "south", 4, False, BORN_MS)
        )
        exchange._receive_hall_table(wire.HallLoads("south", "home", 1, 1, {"a": 6}, 40))
        exchange.record_remote_grant(host.state())
        exchange.refresh_endpoint_table()
        assert host.state().running_at_peers == 7
        host.endpoint_table.put(
            EndpointEntry("a", "app", "10.0.0.1:80", "south", 4, False, BORN_MS + 1)
        )
        host.restarts.handle_restart(
            host.state(), EndpointEntry("a", "app", "10.0.0.1:80", "south", 4, False, BORN_MS)
        )
        exchange.refresh_endpoint_table()
        assert host.state().running_at_peers == 0
        exchange._receive_hall_table(wire.HallLoads("south", "home", 1, 2, {"a": 6}, 49))
        exchange.refresh_endpoint_table()
        assert host.state().running_at_peers == 0
        exchange._receive_hall_table(wire.HallLoads("south", "home", 1, 3, {"a": 2}, 50))
        exchange.refresh_endpoint_table()
        assert host.state().running_at_peers == 2

    run_virtual(scenario())


def test_heartbeats_of_outdated_hosts_are_left_out_of_the_sum() -> None:
    revisions = IncarnationRevisions()
    revisions.record("a", 50)
    heartbeats = [
        wire.Hello(host=str(known_to), running_by_endpoint={"a": 2, "b": 1})
        for known_to in (49, 50, None)
    ]
    for heartbeat, known_to in zip(heartbeats, (49, 50, None), strict=True):
        heartbeat.endpoints_known_to = known_to
    assert sum_loads(heartbeats, revisions) == {"a": 4, "b": 3}


class OwnHallCoordinator(HallCoordinators):
    """This host is the coordinator of its hall."""

    def __init__(self) -> None:
        return

    @property
    def coordinated_hall(self) -> str:
        return "north"


def placer_of(host: Host) -> CoordinatorPlacer:
    return CoordinatorPlacer(
        host.endpoint_table, OwnHallCoordinator(), exchange_of(host), UpToDatePeer(), "north"
    )


def place_call(known_to: int | None, preferred: str, born_ms: int | None) -> wire.PlaceCall:
    own = wire.HostLoads("other", 1, 1, 0, {}, [], known_to)
    return wire.PlaceCall(own, "app", preferred, "", [], 20_000, 0, born_ms)


def test_an_outdated_host_is_not_sent_to_an_incarnation_that_it_does_not_know() -> None:
    async def scenario() -> None:
        host = Host()
        placer = placer_of(host)
        host.apply_entry(entry_value(BORN_MS))
        host.apply_entry(entry_value(BORN_MS, 90), "servers/b")
        host.apply_entry(entry_value(BORN_MS + 1, 81))
        state = host.endpoint_table.find("b")
        assert state is not None
        state.running_here = 3
        assert (await placer.answer(place_call(49, "", None))).endpoint == "b"
        assert (await placer.answer(place_call(50, "", None))).endpoint == "a"

    run_virtual(scenario())


def test_a_coordinator_ignores_a_preference_for_a_former_incarnation() -> None:
    async def scenario() -> None:
        host = Host()
        placer = placer_of(host)
        host.apply_entry(entry_value(BORN_MS + 1))
        host.apply_entry(entry_value(BORN_MS, 90), "servers/b")
        state = host.endpoint_table.find("a")
        assert state is not None
        state.running_here = 2
        assert (await placer.answer(place_call(50, "a", BORN_MS))).endpoint == "b"
        assert (await placer.answer(place_call(50, "a", BORN_MS + 1))).endpoint == "a"

    run_virtual(scenario())


# ---- lists that are overtaken ----


class LastListListener(ObjectListener):
    """Records the last full list of objects."""

    def __init__(self) -> None:
        self.value_by_key: dict[str, bytes] = {}

    def replace_all(self, value_by_key: dict[str, bytes], is_after_outage: bool) -> None:
        self.value_by_key = dict(value_by_key)

    def apply(self, change: Change, is_after_outage: bool) -> None:
        return


class UpToDatePeer(Peers):
    """A peer that knows the newest objects."""

    async def stream(
        self, address: str, method: str, payload: bytes
    ) -> AsyncGenerator[bytes, None]:
        yield encode_message(wire.KnownObjects(60, {KEY: b"new"}, 60))

    async def close(self) -> None:
        return


class SlowListStore(SilentStore):
    """A list takes long enough for an update from a peer to overtake it."""

    async def list(self, prefix: str, after: str = "", limit: int = 500) -> Listing:
        await asyncio.sleep(1.0)
        return Listing((StoredObject(KEY, b"old", 50),), 50, more=False)


def test_a_list_that_an_update_from_a_peer_overtook_is_dropped() -> None:
    async def scenario() -> None:
        listener = LastListListener()
        store = SlowListStore(StoreState("config/main"))
        follower = PrefixFollower(store, "servers/", lambda: 5.0, listener, UpToDatePeer())
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.5)
        follower.observe_revision(60, "peer")
        await asyncio.sleep(1.0)
        task.cancel()
        assert listener.value_by_key == {KEY: b"new"}
        assert follower.value_by_key == {KEY: b"new"}

    run_virtual(scenario())
