"""The journal: group commit, fencing, lost answers, split records, damaged objects."""

import asyncio
import random

import pytest

from bayhinge._internal.bench.world.virtual_time import run_virtual
from bayhinge.coordination.errors import (
    CorruptObjectError,
    FencedError,
    JournalFullError,
    StoreUnavailableError,
)
from bayhinge.coordination.journal import PART_BYTES, Journal
from bayhinge.coordination.journal_objects import object_key
from bayhinge.coordination.journal_reader import JournalReader
from bayhinge.coordination.journal_seal import find_seal, seal_journal
from bayhinge.coordination.pacing import WritePacer
from bayhinge_standins.faults import StoreFaults
from bayhinge_standins.object_store import MemoryObjects, MemoryObjectStore, Operation

PREFIX = "test/journal"


def make_journal(
    store: MemoryObjectStore, name: str = "a~1", rate: float = 10.0, spool: int = 16_000_000
) -> Journal:
    source = random.Random(name)
    return Journal(store, PREFIX, name, WritePacer(rate, 4), source.random, spool)


def test_records_are_read_in_order() -> None:
    async def scenario() -> None:
        store = MemoryObjectStore(MemoryObjects())
        journal = make_journal(store)
        task = asyncio.create_task(journal.run())
        futures = [journal.append(b"record %d" % number) for number in range(50)]
        positions = await asyncio.gather(*futures)
        task.cancel()
        reader = JournalReader(store, PREFIX)
        contents = await reader.read_all("a~1")
        assert [record.data for record in contents.records] == [
            b"record %d" % number for number in range(50)
        ]
        assert [record.position for record in contents.records] == positions
        assert (await reader.read_record(positions[37])).data == b"record 37"

    run_virtual(scenario())


def test_group_commit_shares_writes_under_load() -> None:
    async def scenario() -> int:
        objects = MemoryObjects()
        journal = make_journal(MemoryObjectStore(objects), rate=8.0)
        task = asyncio.create_task(journal.run())
        futures = []
        for number in range(500):
            futures.append(journal.append(b"record %d" % number))
            await asyncio.sleep(0.02)
        await asyncio.gather(*futures)
        task.cancel()
        return objects.calls[Operation.CREATE]

    # 10 seconds at 8 writes a second, and a burst of 4.
    assert run_virtual(scenario()) <= 85


def test_a_lone_record_is_written_at_once() -> None:
    async def scenario() -> float:
        journal = make_journal(MemoryObjectStore(MemoryObjects()))
        task = asyncio.create_task(journal.run())
        await asyncio.sleep(5)
        began_s = asyncio.get_running_loop().time()
        await journal.append(b"lone")
        task.cancel()
        return asyncio.get_running_loop().time() - began_s

    assert run_virtual(scenario()) == 0.0


@pytest.mark.parametrize("fault", ["lose_answers", "lose_writes"])
def test_a_lost_answer_does_not_duplicate_records(fault: str) -> None:
    async def scenario() -> list[bytes]:
        objects = MemoryObjects()
        faults = StoreFaults()
        setattr(faults, fault, 3)
        journal = make_journal(MemoryObjectStore(objects, faults))
        task = asyncio.create_task(journal.run())
        await journal.append(b"first")
        await journal.append(b"second")
        task.cancel()
        reader = JournalReader(MemoryObjectStore(objects), PREFIX)
        return [record.data for record in (await reader.read_all("a~1")).records]

    assert run_virtual(scenario()) == [b"first", b"second"]


def test_a_paused_owner_is_fenced_when_it_resumes() -> None:
    async def scenario() -> None:
        objects = MemoryObjects()
        journal = make_journal(MemoryObjectStore(objects))
        task = asyncio.create_task(journal.run())
        await journal.append(b"before")
        task.cancel()
        # The owner is paused for any length of time.
        await asyncio.sleep(100_000)
        await seal_journal(MemoryObjectStore(objects), PREFIX, "a~1", ["b~1"], "b~1", "silent")
        task = asyncio.create_task(journal.run())
        with pytest.raises(FencedError):
            await journal.append(b"after")
        with pytest.raises(FencedError):
            journal.append(b"much later")
        contents = await JournalReader(MemoryObjectStore(objects), PREFIX).read_all("a~1")
        assert [record.data for record in contents.records] == [b"before"]
        task.cancel()

    run_virtual(scenario())


def test_two_successors_agree_on_one_seal() -> None:
    async def scenario() -> None:
        objects = MemoryObjects()
        slow = MemoryObjectStore(objects, StoreFaults(delay_s=0.1))
        journal = make_journal(MemoryObjectStore(objects))
        task = asyncio.create_task(journal.run())
        await journal.append(b"x")
        task.cancel()
        seals = await asyncio.gather(
            seal_journal(slow, PREFIX, "a~1", ["b~1"], "b~1", "silent"),
            seal_journal(slow, PREFIX, "a~1", ["c~1"], "c~1", "silent"),
        )
        assert seals[0] == seals[1]
        assert await find_seal(slow, PREFIX, "a~1") == seals[0]

    run_virtual(scenario())


def test_a_seal_names_the_announced_successors() -> None:
    async def scenario() -> None:
        store = MemoryObjectStore(MemoryObjects())
        journal = make_journal(store)
        task = asyncio.create_task(journal.run())
        await journal.append(b"x")
        await journal.announce(["c~1", "d~1"])
        task.cancel()
        seal = await seal_journal(store, PREFIX, "a~1", ["b~1"], "b~1", "silent")
        assert seal.successors == ("c~1", "d~1")

    run_virtual(scenario())


def test_a_record_larger_than_an_object_is_split_and_joined() -> None:
    large = bytes(range(256)) * (PART_BYTES * 3 // 256)

    async def scenario() -> None:
        store = MemoryObjectStore(MemoryObjects())
        journal = make_journal(store)
        task = asyncio.create_task(journal.run())
        await journal.append(b"small")
        position = await journal.append(large)
        await journal.append(b"last")
        task.cancel()
        reader = JournalReader(store, PREFIX)
        assert (await reader.read_record(position)).data == large
        records = (await reader.read_all("a~1")).records
        assert [len(record.data) for record in records] == [5, len(large), 4]

    run_virtual(scenario())


def test_many_small_records_fit_the_objects_of_the_store() -> None:
    """Guards against a batch, as after an outage, that the store rejects forever."""
    count = 40_000

    async def scenario() -> None:
        store = MemoryObjectStore(MemoryObjects())
        journal = make_journal(store)
        durable = [journal.append(b"%020d" % number) for number in range(count)]
        task = asyncio.create_task(journal.run())
        await asyncio.wait_for(asyncio.gather(*durable), 60.0)
        task.cancel()
        records = (await JournalReader(store, PREFIX).read_all("a~1")).records
        assert len(records) == count

    run_virtual(scenario())


def test_a_full_spool_refuses_records_and_keeps_pending_ones() -> None:
    async def scenario() -> list[bytes]:
        objects = MemoryObjects()
        faults = StoreFaults(down=True)
        journal = make_journal(MemoryObjectStore(objects, faults), spool=100)
        task = asyncio.create_task(journal.run())
        pending = journal.append(b"k" * 90)
        with pytest.raises(JournalFullError):
            journal.append(b"n" * 20)
        await asyncio.sleep(3600)
        assert not pending.done()
        assert not journal.store_ok
        faults.down = False
        await pending
        task.cancel()
        reader = JournalReader(MemoryObjectStore(objects), PREFIX)
        return [record.data for record in (await reader.read_all("a~1")).records]

    assert run_virtual(scenario()) == [b"k" * 90]


@pytest.mark.parametrize(
    ("key", "value", "why"),
    [
        (object_key(PREFIX, "a~1", 0), b"\x0b\x00", "not a Batch"),
        (f"{PREFIX}/a~1/notes.txt", b"hello", "no journal sequence"),
    ],
)
def test_damaged_and_foreign_objects_are_reported_with_their_key(
    key: str, value: bytes, why: str
) -> None:
    async def scenario() -> None:
        store = MemoryObjectStore(MemoryObjects())
        await store.create(key, value)
        with pytest.raises(CorruptObjectError, match=why) as raised:
            await JournalReader(store, PREFIX).read_all("a~1")
        assert raised.value.key == key
        stored = await store.get(key)
        assert stored is not None
        assert stored.value == value

    run_virtual(scenario())


def test_a_missing_sequence_is_reported() -> None:
    async def scenario() -> None:
        store = MemoryObjectStore(MemoryObjects())
        journal = make_journal(store)
        task = asyncio.create_task(journal.run())
        for number in range(3):
            await journal.append(b"%d" % number)
        task.cancel()
        middle = await store.get(object_key(PREFIX, "a~1", 1))
        assert middle is not None
        await store.delete(middle.key, middle.version)
        with pytest.raises(CorruptObjectError, match="sequence 1 is missing"):
            await JournalReader(store, PREFIX).read_all("a~1")

    run_virtual(scenario())


def test_a_stale_listing_is_not_accepted_as_a_sealed_journal() -> None:
    async def scenario() -> None:
        objects = MemoryObjects()
        store = MemoryObjectStore(objects)
        journal = make_journal(store)
        task = asyncio.create_task(journal.run())
        await journal.append(b"first")
        await journal.append(b"last")
        task.cancel()
        await seal_journal(store, PREFIX, "a~1", ["b~1"], "b~1", "silent")
        stale_store = MemoryObjectStore(objects, StoreFaults(stale_reads=2))
        with pytest.raises(StoreUnavailableError, match="too old"):
            await JournalReader(stale_store, PREFIX).read_sealed("a~1")
        stale_store.faults.stale_reads = 0
        contents = await JournalReader(stale_store, PREFIX).read_sealed("a~1")
        assert [record.data for record in contents.records] == [b"first", b"last"]

    run_virtual(scenario())
