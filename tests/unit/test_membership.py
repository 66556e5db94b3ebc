"""Membership: failure detection, store outages, and the heartbeat rate of a large fleet."""

import asyncio
from collections.abc import Callable
from typing import Any

from bayhinge._internal.bench.world.virtual_time import run_virtual
from bayhinge._internal.services.adoption import Adopter
from bayhinge.coordination.journal_objects import SealInfo
from bayhinge.coordination.membership import HostInfo, HostState, Membership, MembershipTimes
from bayhinge.coordination.pacing import WritePacer
from bayhinge.coordination.store import StoredObject
from bayhinge_standins.faults import StoreFaults
from bayhinge_standins.object_store import MemoryObjects, MemoryObjectStore

TIMES = MembershipTimes(heartbeat_s=1.0, dead_after_s=3.7)


def make_member(objects: MemoryObjects, name: str, faults: StoreFaults) -> Membership:
    info = HostInfo(f"{name}~1", name, "hall", "p:1", "c:1", HostState.SERVING, 0, 0.0)
    return Membership(MemoryObjectStore(objects, faults), "hosts", info, TIMES)


class SealedAdopter(Adopter):
    """Takes over hosts whose journal has been sealed in favour of other hosts."""

    def __init__(self, membership: Membership) -> None:
        unused: Any = None
        super().__init__(unused, unused, unused, "journal", membership, unused)

    async def _seal(self, dead: HostInfo) -> SealInfo:
        return SealInfo(("other~1",), "other~1", "its heartbeat stopped")


class Fleet:
    """Members that send heartbeats, and the deaths that each of them declared."""

    def __init__(self, count: int) -> None:
        objects = MemoryObjects()
        self.objects = objects
        self.faults = [StoreFaults() for _ in range(count)]
        self.members = [
            make_member(objects, f"h{number:03d}", faults)
            for number, faults in enumerate(self.faults)
        ]
        self.deaths: list[tuple[str, str, float]] = []
        for member in self.members:
            member.on_death = self._death_recorder(member)
        self.tasks = [asyncio.create_task(member.run()) for member in self.members]

    def _death_recorder(self, member: Membership) -> Callable[[HostInfo], None]:
        def record_death(info: HostInfo) -> None:
            now = asyncio.get_running_loop().time()
            self.deaths.append((member.me.host, info.host, now))

        return record_death

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()


def test_a_host_that_stops_is_declared_dead_by_all_others_in_time() -> None:
    async def scenario() -> None:
        fleet = Fleet(5)
        await asyncio.sleep(10)
        fleet.tasks[0].cancel()
        died = asyncio.get_running_loop().time()
        await asyncio.sleep(10)
        assert {who for who, dead, _ in fleet.deaths} == {"h001", "h002", "h003", "h004"}
        assert {dead for _, dead, _ in fleet.deaths} == {"h000"}
        assert all(3.0 <= at - died <= 6.0 for _, _, at in fleet.deaths)
        fleet.stop()

    run_virtual(scenario())


def test_an_outage_and_a_slow_store_cause_no_deaths() -> None:
    async def scenario() -> None:
        fleet = Fleet(5)
        await asyncio.sleep(10)
        for faults in fleet.faults:
            faults.down = True
        await asyncio.sleep(3600)
        for number, faults in enumerate(fleet.faults):
            # They reconnect one after the other, each with stale heartbeats of all others.
            faults.down = False
            await asyncio.sleep(0.5 * number)
        for faults in fleet.faults:
            faults.delay_s = 0.4
        await asyncio.sleep(60)
        assert fleet.deaths == []
        fleet.stop()

    run_virtual(scenario())


def test_a_host_partitioned_from_the_store_is_declared_dead_and_declares_none() -> None:
    async def scenario() -> None:
        fleet = Fleet(4)
        await asyncio.sleep(10)
        fleet.faults[0].down = True
        await asyncio.sleep(30)
        assert {dead for _, dead, _ in fleet.deaths} == {"h000"}
        assert "h000" not in {who for who, _, _ in fleet.deaths}
        fleet.stop()

    run_virtual(scenario())


def test_a_large_fleet_sends_fewer_heartbeats_and_declares_no_deaths() -> None:
    async def scenario() -> None:
        fleet = Fleet(150)
        await asyncio.sleep(30)
        before = fleet.objects.revision
        await asyncio.sleep(30)
        heartbeats_per_s = (fleet.objects.revision - before) / 30
        assert heartbeats_per_s <= 61
        assert fleet.members[0].heartbeat_s > 2 * TIMES.heartbeat_s
        assert fleet.deaths == []
        fleet.stop()

    run_virtual(scenario())


def test_a_dead_hosts_object_goes_once_the_store_answers_again() -> None:
    """Otherwise each host that starts later takes the dead one for alive until it times out."""

    async def scenario() -> None:
        fleet = Fleet(3)
        await asyncio.sleep(10)
        fleet.tasks[0].cancel()
        await asyncio.sleep(10)
        key = "hosts/h000~1"
        assert key in fleet.objects.objects_by_key
        fleet.faults[1].down = True
        takeover = asyncio.create_task(
            SealedAdopter(fleet.members[1]).take_over(fleet.members[0].me)
        )
        await asyncio.sleep(10)
        fleet.faults[1].down = False
        await asyncio.wait_for(takeover, 60)
        assert key not in fleet.objects.objects_by_key
        fleet.stop()

    run_virtual(scenario())


def test_a_host_that_is_alive_again_keeps_its_object() -> None:
    async def scenario() -> None:
        objects = MemoryObjects()
        member, other = (make_member(objects, name, StoreFaults()) for name in ("a", "b"))
        await member._write()
        stored = objects.objects_by_key["hosts/a~1"]
        get = other._store.get

        async def outdated_get(key: str) -> StoredObject | None:
            await member._write()
            return stored

        other._store.get = outdated_get  # type: ignore[method-assign]
        await other.forget("a~1")
        other._store.get = get  # type: ignore[method-assign]
        assert "hosts/a~1" in objects.objects_by_key

    run_virtual(scenario())


def test_a_write_pacer_keeps_its_rate() -> None:
    pacer = WritePacer(10.0, 1)

    async def seconds_for(writes: int) -> float:
        began = asyncio.get_running_loop().time()
        for _ in range(writes):
            await pacer.wait()
        return asyncio.get_running_loop().time() - began

    async def scenario() -> None:
        assert round(await seconds_for(11), 6) == 1.0
        pacer.set_rate(1.0)
        assert await seconds_for(10) >= 9.0

    run_virtual(scenario())
