"""The lease: at most one holder trusts it at a time, and its fencing number grows."""

import asyncio
import random

from bayhinge._internal.bench.world.virtual_time import run_virtual
from bayhinge.coordination.lease import Lease, LeaseRole
from bayhinge_standins.faults import StoreFaults
from bayhinge_standins.object_store import MemoryObjects, MemoryObjectStore

DURATION_S = 6.0


def make_lease(objects: MemoryObjects, holder: str, faults: StoreFaults | None = None) -> Lease:
    source = random.Random(holder)
    store = MemoryObjectStore(objects, faults)
    return Lease(store, "lease", holder, source.random, DURATION_S)


def test_a_paused_holder_loses_the_lease_before_another_acquires_it() -> None:
    async def scenario() -> None:
        objects = MemoryObjects()
        first, second = make_lease(objects, "a~1"), make_lease(objects, "b~1")
        assert (await first.step()).role is LeaseRole.HELD
        assert first.is_held()
        trusted_until: float | None = None
        loop = asyncio.get_running_loop()
        # The first holder is paused and no longer renews.
        while (await second.step()).role is LeaseRole.OTHER:
            assert not second.is_held()
            if not first.is_held() and trusted_until is None:
                trusted_until = loop.time()
            await asyncio.sleep(0.5)
        assert trusted_until is not None
        assert loop.time() > trusted_until
        assert second.fencing > first.fencing
        # The first holder resumes, and learns of the new holder.
        view = await first.step()
        assert (view.role, view.holder) == (LeaseRole.OTHER, "b~1")
        assert not first.is_held()

    run_virtual(scenario())


def test_a_holder_that_renews_keeps_the_lease_and_its_fencing_number() -> None:
    async def scenario() -> None:
        objects = MemoryObjects()
        first, second = make_lease(objects, "a~1"), make_lease(objects, "b~1")
        await first.step()
        number = first.fencing
        for _ in range(30):
            await asyncio.sleep(1.0)
            await first.step()
            assert (await second.step()).role is LeaseRole.OTHER
            assert first.is_held()
        assert first.fencing == number

    run_virtual(scenario())


def test_of_concurrent_claims_exactly_one_succeeds() -> None:
    async def scenario() -> None:
        objects = MemoryObjects()
        slow = StoreFaults(delay_s=0.1)
        leases = [make_lease(objects, f"{name}~1", slow) for name in "abc"]
        views = await asyncio.gather(*(lease.step() for lease in leases))
        assert [view.role for view in views].count(LeaseRole.HELD) == 1
        assert sum(lease.is_held() for lease in leases) == 1

    run_virtual(scenario())


def test_a_released_lease_is_free_at_once_with_a_new_fencing_number() -> None:
    async def scenario() -> None:
        objects = MemoryObjects()
        first, second = make_lease(objects, "a~1"), make_lease(objects, "b~1")
        await first.step()
        await first.release()
        assert not first.is_held()
        assert (await second.step()).role is LeaseRole.HELD
        assert second.fencing == first.fencing + 1

    run_virtual(scenario())
