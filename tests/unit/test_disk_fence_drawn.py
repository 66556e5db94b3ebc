"""Budgets hold and acknowledged turns are found while the set of disks changes, in drawn orders.

What is drawn leads to odd states in few steps: a cut of any hosts, two turns under way, one step of
a disk towards another set; and rules by which all heals, so that the next odd state is near.
"""

import itertools
from collections.abc import Collection

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    initialize,
    invariant,
    multiple,
    rule,
    run_state_machine_as_test,
)
from hypothesis.stateful import MultipleResults as Several

from tests.lib.fence_model import BUDGET, ENTRIES, HOSTS, NAMES, Disk, Site, Turn

SUBSETS = [
    frozenset(itertools.compress(HOSTS, bits)) for bits in itertools.product((0, 1), repeat=6)
]
SOME_HOSTS = st.sampled_from(SUBSETS + [frozenset(HOSTS)] * 32)
CUTS = st.sampled_from(
    [frozenset(cut) for size in range(4) for cut in itertools.combinations(NAMES, size)]
    + [frozenset()] * 20
)
PICK = st.sampled_from(range(60))
SOME_ENTRIES = st.sampled_from([(), ENTRIES[:1], ENTRIES[1:], ENTRIES])
ORDER = st.permutations(HOSTS)
ENTRY = st.sampled_from(ENTRIES)
PACE = st.sampled_from(["heard", "heard", "heard", "answer is late", "write is slow"])
ACTS = ["joins", "joins", "starts again", "comes"]
ASKS_OF_A_TURN = 3
CHANGE_TRIES = 2
"""A change that met another one takes that one in first."""

Start = tuple[int, int, int]
STARTS: list[Start] = [(1, 3, 1), (1, 4, 0), (1, 5, 0), (2, 3, 0), (2, 5, 0), (2, 4, 0)]
"""Disks that may be lost at once, members of the set, and disks beside it. Some have shrunk."""

SETTINGS = settings(
    max_examples=50,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


class Drawn(RuleBasedStateMachine):
    """One site; no more disks are lost at once than is tolerated."""

    turns = Bundle("turns")

    start = STARTS[0]

    def __init__(self) -> None:
        super().__init__()
        self.lost: set[str] = set()

    @initialize(order=ORDER)
    def begin(self, order: list[str]) -> None:
        self.site = Site(*self.start)
        self._spend(ENTRIES[0], order)

    @rule(entry=ENTRY, order=ORDER)
    def another_program_spends_its_budget(self, entry: str, order: list[str]) -> None:
        """What was known of the former one matters no more."""
        self._spend(entry, order)

    def _spend(self, entry: str, order: list[str]) -> None:
        """Just as many disks as are needed know of it, those that come first."""
        self.site.forget_turns()
        turn = self.site.begin(entry)
        for host in order:
            if not turn.is_granted:
                self._ask(turn, [host])
        self.site.end(turn, list(turn.replies))

    def teardown(self) -> None:
        self.site.close()

    # ---- turns ----

    @rule(entry=ENTRY, hosts=SOME_HOSTS)
    def a_turn_is_played(self, entry: str, hosts: frozenset[str]) -> None:
        """Whoever is behind is told, and the turn asks again; without a decision it gives up."""
        turn = self.site.begin(entry)
        for _ in range(ASKS_OF_A_TURN):
            self._ask(turn, hosts)
        if turn.is_granted:
            self.site.end(turn, hosts)
        elif not turn.is_over:
            self.site.settle(turn, HOSTS)

    def _ask(self, turn: Turn, hosts: Collection[str]) -> None:
        self.site.ask(turn, hosts)
        self.site.answer(turn)
        self.site.hear(turn)

    @rule(target=turns, entry=ENTRY, hosts=SOME_HOSTS, pace=PACE)
    def a_slow_turn_begins(self, entry: str, hosts: frozenset[str], pace: str) -> Several[Turn]:
        return self._go_on(self.site.begin(entry), hosts, pace)

    @rule(target=turns, turn=consumes(turns), hosts=SOME_HOSTS, pace=PACE)
    def a_slow_turn_goes_on(self, turn: Turn, hosts: frozenset[str], pace: str) -> Several[Turn]:
        return self._go_on(turn, hosts, pace)

    def _go_on(self, turn: Turn, hosts: frozenset[str], pace: str) -> Several[Turn]:
        if turn.is_over:
            return multiple()
        if turn.is_granted:
            self.site.end(turn, hosts)
            return multiple() if turn.is_over else multiple(turn)
        # What was under way from the step before arrives first.
        self.site.hear(turn)
        self.site.answer(turn)
        if turn.is_granted:
            return multiple(turn)
        self.site.ask(turn, hosts)
        if pace != "write is slow":
            self.site.answer(turn)
        if pace == "heard":
            self.site.hear(turn)
        return multiple() if turn.is_over else multiple(turn)

    @rule(turn=consumes(turns), hosts=SOME_HOSTS)
    def a_slow_turn_uses_nothing(self, turn: Turn, hosts: frozenset[str]) -> None:
        if not turn.copies and not turn.is_over:
            self.site.settle(turn, hosts)

    # ---- cuts and news ----

    @rule(away=CUTS)
    def hosts_are_cut_off(self, away: frozenset[str]) -> None:
        self.site.away = away

    @rule(hosts=SOME_HOSTS, entries=SOME_ENTRIES)
    def news_spreads(self, hosts: frozenset[str], entries: tuple[str, ...]) -> None:
        for name in (*sorted(hosts), *entries):
            self.site.tell(name)

    @rule(hosts=SOME_HOSTS)
    def disks_copy(self, hosts: frozenset[str]) -> None:
        for disk in self.site.at(sorted(hosts)):
            self.site.copy_from_all(disk)
            if disk.is_retired:
                self.site.hand_over(disk)
        self._count_lost()

    @rule(rounds=st.integers(1, 2))
    def all_is_well_for_a_while(self, rounds: int) -> None:
        self.all_pass_a_while(rounds)

    def all_pass_a_while(self, rounds: int) -> None:
        """Long enough for disks that can't catch up to serve all the same."""
        self.site.away = ()
        for _ in range(rounds):
            self._pass_a_while()
        self._pass_a_while()

    def _pass_a_while(self) -> None:
        for disk in self.site.disks:
            self.site.join(disk)
        for name in NAMES:
            self.site.tell(name)
        for disk in self.site.disks:
            self.site.copy_from_all(disk)
        for disk in self.site.disks:
            disk.fence.wait()
            if disk.is_retired:
                self.site.hand_over(disk)
        self._count_lost()

    # ---- changes of the set ----

    @rule(pick=PICK, may_wait=st.booleans())
    def a_disk_leaves(self, pick: int, may_wait: bool) -> None:
        disk = self._picked(pick)
        for _ in range(CHANGE_TRIES):
            self.site.retire(disk, may_wait)

    @rule(pick=PICK, act=st.sampled_from(ACTS))
    def a_disk_acts(self, pick: int, act: str) -> None:
        if act == "comes":
            self._a_new_disk_comes()
        for disk in [self._picked(pick)]:
            if act == "starts again":
                self.site.restart(disk)
            else:
                for _ in range(CHANGE_TRIES):
                    self.site.copy_from_all(disk)
                    self.site.join(disk)

    @rule(pick=PICK, entries=SOME_ENTRIES, hosts=SOME_HOSTS, order=ORDER, spends=st.booleans())
    def a_silent_disk_is_dropped(
        self,
        pick: int,
        entries: tuple[str, ...],
        hosts: frozenset[str],
        order: list[str],
        spends: bool,
    ) -> None:
        """It stays cut off, maybe with a host beside it; some of the others hear of the change."""
        host = self._picked(pick).me.host
        self.site.away = (host, *entries)
        before = self.site.newest
        for disk in self.site.disks:
            if disk.me.host != host and self.site.newest is before:
                self.site.drop_silent(disk)
        if self.site.newest is not before:
            self.lost.add(host)
        for name in sorted(hosts):
            self.site.tell(name)
        if spends:
            self._spend(ENTRIES[1], order)

    def _picked(self, pick: int) -> Disk:
        """Returns one of the disks, more often one that knows of the last turn."""
        knowing = self.site.knowing_last()
        pool = [*self.site.disks, *knowing, *knowing]
        return pool[pick % len(pool)]

    def _a_new_disk_comes(self) -> None:
        new = [host for host in HOSTS if host not in self.site.disk_by_host]
        if new:
            self.site.add_disk(new[0])

    # ---- losses ----

    @rule(picks=st.tuples(PICK, PICK), is_told=st.booleans(), passes=st.booleans())
    def disks_are_lost(self, picks: tuple[int, ...], is_told: bool, passes: bool) -> None:
        """They come back empty under their names, and may have time to join again."""
        for host in sorted({self._picked(pick).me.host for pick in picks}):
            if len(self.lost | {host}) <= self.site.tolerated:
                self.lost.add(host)
                self.site.add_disk(host)
                if is_told:
                    self.site.tell(host)
        if passes:
            self.all_pass_a_while(2)

    def _count_lost(self) -> None:
        """A disk is lost no more once no member stands for it that all others have made up for."""
        newest = self.site.newest
        members = self.site.at(member.host for member in newest.members)
        generations = {disk.me.generation for disk in members}
        if all(member.generation in generations for member in newest.members) and all(
            disk.disk_set == newest and disk.fence.has_caught_up for disk in members
        ):
            self.lost.clear()

    # ---- what must hold ----

    @invariant()
    def the_budget_holds(self) -> None:
        granted = [turn.attempt for turn in self.site.turns if turn.is_granted and turn.tokens]
        assert self.site.committed() <= BUDGET, granted

    @invariant()
    def no_quorum_misses_what_was_granted(self) -> None:
        for version, hosts in self.site.overspending():
            raise AssertionError(f"under version {version} {hosts} would overspend")

    @invariant()
    def what_was_acknowledged_is_found(self) -> None:
        for turn in self.site.turns:
            if turn.is_acknowledged:
                assert self.site.holders(turn), turn.attempt
                unknown_at = [one for one in ENTRIES if self.site.is_called_unknown(turn, one)]
                assert not unknown_at, turn.attempt


def machine_at(start: Start) -> type[Drawn]:
    return type("DrawnAt", (Drawn,), {"start": start})


@pytest.mark.parametrize("start", STARTS)
def test_budgets_hold_while_the_set_changes(start: Start) -> None:
    run_state_machine_as_test(machine_at(start), settings=SETTINGS)
