"""Drawn chains over programs, with kills, lost disks, freezes and changed disk sets."""

import asyncio
import contextlib
import itertools
import os
import shutil
import tempfile
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, TypeVar
from unittest.mock import patch

import attrs
import looptime
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bayhinge._internal.models.refusals import RefusedError
from bayhinge._internal.services.disks import disk_host, turn_log
from tests.lib.disk_site import RETENTION_S, DiskMachine, DiskSite, text_of

Result = TypeVar("Result")

DISKS = 5
TOLERATED = 1
SEGMENT_BYTES = 150
PROGRAMS = 40
CALM_S = 8.0
"""Time after a trouble until hosts count as back."""

TRAFFIC_PERIOD_S = 4.0

COPY_PERIOD_S = 3.0
"""Longer than in the product, as the rounds of copying take most of the time."""

EXAMPLES = int(os.environ.get("KEPT_TURNS_EXAMPLES", "8"))
"""Drawn histories; more by hand."""

DISK = st.integers(0, DISKS - 1)
PROGRAM = st.integers(0, PROGRAMS - 1)


@attrs.frozen
class KeptTurn:
    """A turn that got a whole answer, and the turns of its chain, the oldest first."""

    ended_s: float
    chain: tuple[str, ...]

    @property
    def history(self) -> bytes:
        """What a turn that goes on from this one begins with."""
        return b"".join(map(text_of, self.chain))


class KeptTurns(RuleBasedStateMachine):
    """Whoever goes on from a turn within its retention gets its whole chain."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = looptime.new_event_loop(start=0.0, idle_step=None, noop_cycles=0)
        asyncio.set_event_loop(self.loop)
        self.folder = Path(tempfile.mkdtemp())
        self.patches = contextlib.ExitStack()
        self.patches.enter_context(patch.object(time, "monotonic", self.loop.time))
        self.patches.enter_context(patch.object(turn_log, "SEGMENT_BYTES", SEGMENT_BYTES))
        self.patches.enter_context(patch.object(disk_host, "COPY_PERIOD_S", COPY_PERIOD_S))
        for name in ("fsync", "fdatasync"):
            # Nothing loses power here, and syncs would take most of the time.
            self.patches.enter_context(patch.object(os, name, lambda file: None))
        self.site = self.run(self._start())
        self.kept_by_attempt: dict[str, KeptTurn] = {}

    async def _start(self) -> DiskSite:
        site = DiskSite(self.folder, DISKS, TOLERATED)
        await site.start()
        self.traffic = asyncio.create_task(self._other_callers(site))
        return site

    async def _other_callers(self, site: DiskSite) -> None:
        """Plays first turns of other programs, which fill the segments."""
        for number in itertools.count():
            with contextlib.suppress(RefusedError):
                await site.turn(f"other-{number}", None)
            await asyncio.sleep(TRAFFIC_PERIOD_S)

    async def _cancel_rest(self) -> None:
        while rest := asyncio.all_tasks() - {asyncio.current_task()}:
            for task in rest:
                task.cancel()
            await asyncio.gather(*rest, return_exceptions=True)

    def run(self, work: Coroutine[Any, Any, Result]) -> Result:
        return self.loop.run_until_complete(work)

    def teardown(self) -> None:
        self.run(self.site.stop())
        self.loop.run_until_complete(self._cancel_rest())
        self.loop.close()
        asyncio.set_event_loop(None)
        self.patches.close()
        shutil.rmtree(self.folder)

    def machine(self, number: int) -> DiskMachine:
        machines = list(self.site.machine_by_name.values())
        return machines[number % len(machines)]

    def owed(self) -> list[str]:
        now_s = self.loop.time()
        return [
            attempt
            for attempt, kept in self.kept_by_attempt.items()
            if now_s - kept.ended_s < RETENTION_S
        ]

    async def _turn(self, program: int, previous: str | None, run_s: float) -> None:
        turn = await self.site.turn(f"program-{program}", previous, run_s)
        chain = self.kept_by_attempt[previous].chain if previous else ()
        kept = KeptTurn(self.loop.time(), (*chain, turn.attempt))
        assert turn.history + text_of(turn.attempt) == kept.history
        self.kept_by_attempt[turn.attempt] = kept

    # ---- what callers do ----

    @rule(program=PROGRAM, run_s=st.sampled_from([0.1, 4.0]))
    def begin(self, program: int, run_s: float) -> None:
        self.run(self._turn(program, None, run_s))

    @rule(program=PROGRAM, which=st.integers(0, 50), run_s=st.sampled_from([0.1, 4.0, 50.0]))
    def go_on(self, program: int, which: int, run_s: float) -> None:
        owed = self.owed()
        if owed:
            self.run(self._turn(program, owed[which % len(owed)], run_s))

    @rule(wait_s=st.sampled_from([20.0, 45.0, 55.0]))
    def wait(self, wait_s: float) -> None:
        self.run(asyncio.sleep(wait_s))

    # ---- trouble, of one machine at a time beside the kill of all ----

    async def _calm(self) -> None:
        await asyncio.sleep(CALM_S)
        await self.site.until_settled()

    async def _try_turn(self, program: int, which: int) -> None:
        """Plays a turn in the middle of trouble, which may be refused."""
        owed = self.owed()
        with contextlib.suppress(RefusedError):
            await self._turn(program, owed[which % len(owed)] if owed else None, 0.1)

    @rule(number=DISK, program=PROGRAM, which=st.integers(0, 50))
    def kill(self, number: int, program: int, which: int) -> None:
        async def trouble() -> None:
            machine = self.machine(number)
            await self.site.kill(machine)
            await self._try_turn(program, which)
            self.site.start_machine(machine)
            await self._calm()

        self.run(trouble())

    @rule()
    def kill_all(self) -> None:
        async def trouble() -> None:
            await self.site.restart(*self.site.machine_by_name.values())
            await self._calm()

        self.run(trouble())

    @rule(number=DISK)
    def lose_disk(self, number: int) -> None:
        async def trouble() -> None:
            await self.site.wipe(self.machine(number))
            await self._calm()

        self.run(trouble())

    @rule(
        number=DISK,
        program=PROGRAM,
        which=st.integers(0, 50),
        for_s=st.sampled_from([0.5, 5.0, 40.0, 120.0]),
    )
    def freeze(self, number: int, program: int, which: int, for_s: float) -> None:
        async def trouble() -> None:
            machine = self.machine(number)
            machine.runs.clear()
            await self._try_turn(program, which)
            await asyncio.sleep(for_s)
            await self._try_turn(program, which)
            machine.runs.set()
            await self._calm()

        self.run(trouble())

    @rule(number=DISK)
    def replace(self, number: int) -> None:
        async def change() -> None:
            leaving = self.machine(number)
            self.site.add()
            await self.site.until_settled()
            await self.site.retire(leaving)
            await self._calm()

        self.run(change())

    # ---- what holds ----

    @invariant()
    def whoever_needs_a_kept_turn_gets_it(self) -> None:
        owed = self.owed()
        for attempt in {*owed[:2], *owed[-2:]}:
            history = self.run(self.site.history(attempt))
            assert history == self.kept_by_attempt[attempt].history

    @invariant()
    def each_needed_turn_bears_the_next_loss(self) -> None:
        hosts = list(self.site.hosts())
        needed = {one for attempt in self.owed() for one in self.kept_by_attempt[attempt].chain}
        for attempt in needed:
            holders = [host.settings.host for host in hosts if host.turns.has(f"3{attempt}")]
            assert len(holders) > TOLERATED, (attempt, holders)


KeptTurns.TestCase.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=16,
    deadline=None,
    derandomize="KEPT_TURNS_EXAMPLES" not in os.environ,
    # Shrinking plays hundreds of histories, each for seconds.
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)
TestKeptTurns = KeptTurns.TestCase
