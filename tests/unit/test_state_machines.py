"""Hypothesis state machines: journal, escrow and configuration against a failing store."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any, TypeVar

import looptime
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bayhinge._internal.bench.world.virtual_time import LoopClock
from bayhinge.coordination.config_feed import ConfigFeed, FeedTimes
from bayhinge.coordination.errors import (
    BudgetExceededError,
    ConfigConflictError,
    FencedError,
    StoreError,
)
from bayhinge.coordination.escrow import Escrow, Reservation
from bayhinge.coordination.journal import Journal
from bayhinge.coordination.journal_objects import RecordPosition
from bayhinge.coordination.journal_reader import JournalReader
from bayhinge.coordination.journal_seal import seal_journal
from bayhinge.coordination.pacing import WritePacer
from bayhinge_standins.faults import StoreFaults
from bayhinge_standins.object_store import MemoryObjects, MemoryObjectStore

Result = TypeVar("Result")
FAULTS = st.sampled_from(["well", "down", "lose answers", "lose writes", "slow"])
MACHINE_SETTINGS = settings(
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


class StoreMachine(RuleBasedStateMachine):
    """A loop in virtual time, a store, and faults that come and go."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = looptime.new_event_loop(start=0.0, idle_step=None, noop_cycles=0)
        asyncio.set_event_loop(self.loop)
        self.objects = self.run(self._make_objects())
        self.faults = StoreFaults(delay_s=0.01)
        self.store = MemoryObjectStore(self.objects, self.faults)
        self.clear = MemoryObjectStore(self.objects)

    async def _make_objects(self) -> MemoryObjects:
        return MemoryObjects()

    def run(self, work: Coroutine[Any, Any, Result]) -> Result:
        return self.loop.run_until_complete(work)

    @rule(fault=FAULTS, count=st.integers(1, 3))
    def change_faults(self, fault: str, count: int) -> None:
        self.faults.down = fault == "down"
        self.faults.delay_s = 2.0 if fault == "slow" else 0.01
        self.faults.lose_answers = count if fault == "lose answers" else 0
        self.faults.lose_writes = count if fault == "lose writes" else 0

    def heal(self) -> None:
        self.faults.down = False
        self.faults.delay_s = 0.01
        self.faults.lose_answers = self.faults.lose_writes = 0

    def teardown(self) -> None:
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.run(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        self.loop.close()


class JournalMachine(StoreMachine):
    """One writer, paused and woken, against successors that seal."""

    def __init__(self) -> None:
        super().__init__()
        source = random.Random(1)
        self.journal = Journal(self.store, "j", "a~1", WritePacer(50, 4), source.random)
        self.writer: asyncio.Task[None] | None = None
        self.appended: list[bytes] = []
        self.futures: list[asyncio.Future[RecordPosition]] = []
        self.seals: list[tuple[str, ...]] = []

    @rule()
    def pause(self) -> None:
        if self.writer is not None:
            self.writer.cancel()
            self.run(asyncio.sleep(0))
            self.writer = None

    @rule(size=st.sampled_from([10, 2_000, 900_000]))
    def append(self, size: int) -> None:
        data = f"{len(self.appended)}:".encode().ljust(size, b"x")

        async def append() -> None:
            self.futures.append(self.journal.append(data))
            self.appended.append(data)

        try:
            self.run(append())
        except FencedError:
            assert self.seals

    @rule(seconds=st.floats(0.01, 20))
    def write(self, seconds: float) -> None:
        if self.writer is None and not self.journal.fenced:
            self.writer = self.loop.create_task(self.journal.run())
        self.run(asyncio.sleep(seconds))

    @rule(name=st.sampled_from(["b~1", "c~1"]))
    def seal(self, name: str) -> None:
        try:
            seal = self.run(seal_journal(self.store, "j", "a~1", [name], name, "test"))
        except StoreError:
            return
        self.seals.append(seal.successors)

    @invariant()
    def what_was_acknowledged_is_there_in_order_and_once(self) -> None:
        contents = self.run(JournalReader(self.clear, "j").read_all("a~1"))
        stored = [record.data for record in contents.records]
        assert stored == self.appended[: len(stored)]
        acknowledged = [
            number
            for number, future in enumerate(self.futures)
            if future.done() and future.exception() is None
        ]
        assert all(number < len(stored) for number in acknowledged)

    @invariant()
    def there_is_one_seal(self) -> None:
        assert len(set(self.seals)) <= 1


class EscrowMachine(StoreMachine):
    """Three hosts that spend one budget, die with grants, and see it cut."""

    BUDGET = 1000

    def __init__(self) -> None:
        super().__init__()
        self.budget = self.BUDGET
        self.spent = 0
        self.starts = 0
        self.hosts = {name: self.start(name) for name in ("a", "b", "c")}
        self.open: dict[str, list[Reservation]] = {name: [] for name in self.hosts}

    def start(self, name: str) -> Escrow:
        self.starts += 1
        source = random.Random(f"{name}{self.starts}")
        return Escrow(self.store, "l", f"{name}~{self.starts}", source.random, grant_units=200)

    @rule(name=st.sampled_from("abc"), units=st.integers(1, 300))
    def reserve(self, name: str, units: int) -> None:
        try:
            reservation = self.run(self.hosts[name].reserve("desk", units, self.budget))
        except (BudgetExceededError, StoreError):
            return
        self.open[name].append(reservation)

    @rule(name=st.sampled_from("abc"), share=st.floats(0, 1))
    def settle(self, name: str, share: float) -> None:
        if self.open[name]:
            reservation = self.open[name].pop(0)
            used = int(reservation.units * share)
            self.hosts[name].settle(reservation, used)
            self.spent += used

    @rule(name=st.sampled_from("abc"))
    def write_back(self, name: str) -> None:
        try:
            self.run(self.hosts[name].write_back())
        except StoreError:
            return

    @rule(name=st.sampled_from("abc"))
    def die(self, name: str) -> None:
        """The host's running calls may all have been spent by then."""
        self.spent += sum(reservation.units for reservation in self.open[name])
        self.open[name].clear()
        dead = self.hosts[name]
        self.hosts[name] = self.start(name)
        try:
            self.run(self.hosts[name].settle_dead("desk", dead.incarnation))
        except StoreError:
            return

    @invariant()
    def the_budget_holds(self) -> None:
        reserved = sum(item.units for items in self.open.values() for item in items)
        assert self.spent + reserved <= self.BUDGET

    @invariant()
    def the_ledger_adds_up(self) -> None:
        view = self.run(Escrow(self.clear, "l", "view~1", random.random).view("desk"))
        if view is not None:
            assert view.spent + view.outstanding <= self.BUDGET


class ConfigMachine(StoreMachine):
    """Two operators edit one object through two hosts; a third host follows."""

    def __init__(self) -> None:
        super().__init__()
        self.starts = 0
        self.feeds = [self.make_feed() for _ in range(3)]
        self.accepted: dict[int, str] = {}
        self.highest = [0, 0, 0]

    def make_feed(self) -> ConfigFeed:
        # No two starts of a process may share their source of nonces.
        self.starts += 1
        source = random.Random(self.starts)
        return ConfigFeed(self.store, "c", LoopClock(), source.random, FeedTimes())

    @rule(editor=st.integers(0, 1), stale=st.booleans(), delete=st.booleans())
    def edit(self, editor: int, stale: bool, delete: bool) -> None:
        feed = self.feeds[editor]
        known = max((item.revision for item in feed.history("template", "t")), default=0)
        base = max(0, known - 1) if stale else known
        text = None if delete else f"text {len(self.accepted)} by {editor}"
        try:
            changed = self.run(feed.propose("template", "t", text, f"op{editor}", base))
        except (ConfigConflictError, StoreError):
            return
        assert changed.revision not in self.accepted
        self.accepted[changed.revision] = text or ""

    @rule(host=st.integers(0, 2))
    def follow(self, host: int) -> None:
        try:
            self.run(self.feeds[host].step())
        except StoreError:
            return

    @rule(host=st.integers(0, 2), peer=st.integers(0, 2))
    def exchange_news(self, host: int, peer: int) -> None:
        mine, other = self.feeds[host], self.feeds[peer]
        mine.observe_revision(other.revision)
        changes = other.changes_after(mine.revision)
        self.run(self._take(mine, changes))

    async def _take(self, feed: ConfigFeed, changes: list[bytes]) -> None:
        feed.apply_from_peer(feed.revision + 1, changes)

    @rule(host=st.integers(0, 2))
    def restart(self, host: int) -> None:
        self.feeds[host] = self.make_feed()
        self.highest[host] = 0

    @invariant()
    def no_host_reverts(self) -> None:
        for host, feed in enumerate(self.feeds):
            assert feed.revision >= self.highest[host]
            self.highest[host] = feed.revision

    @invariant()
    def an_accepted_text_stands_at_its_revision_for_ever(self) -> None:
        self.heal()
        reader = self.make_feed()
        self.run(reader.step())
        texts = {item.revision: item.text or "" for item in reader.history("template", "t")}
        assert all(texts[revision] == text for revision, text in self.accepted.items())


JournalMachine.TestCase.settings = MACHINE_SETTINGS
EscrowMachine.TestCase.settings = MACHINE_SETTINGS
ConfigMachine.TestCase.settings = MACHINE_SETTINGS
TestJournal = JournalMachine.TestCase
TestEscrow = EscrowMachine.TestCase
TestConfig = ConfigMachine.TestCase
