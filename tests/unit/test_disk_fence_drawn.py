"""Guards against exceeded budgets and lost turns while the set of disks changes at random."""
# Rules that heal the site make the next rare state reachable; few steps lead to each.

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
HOST_SUBSETS = st.sampled_from(SUBSETS + [frozenset(HOSTS)] * 32)
PARTITIONS = st.sampled_from(
    [frozenset(cut) for size in range(4) for cut in itertools.combinations(NAMES, size)]
    + [frozenset()] * 20
)
PICK = st.sampled_from(range(60))
ENTRY_SUBSETS = st.sampled_from([(), ENTRIES[:1], ENTRIES[1:], ENTRIES])
ORDER = st.permutations(HOSTS)
ENTRY = st.sampled_from(ENTRIES)
PACE = st.sampled_from(["heard", "heard", "heard", "answer is late", "write is slow"])
DISK_ACTIONS = ["joins", "joins", "starts again", "comes"]
TURN_TRIES = 3
CHANGE_TRIES = 2
"""A change that conflicts with another one applies that one first, then retries."""

Start = tuple[int, int, int]
STARTS: list[Start] = [(1, 3, 1), (1, 4, 0), (1, 5, 0), (2, 3, 0), (2, 5, 0), (2, 4, 0)]
"""Initial sites: tolerated losses, members of the set, and disks outside of it.

Some sets have shrunk.
"""

SETTINGS = settings(
    max_examples=50,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


class Drawn(RuleBasedStateMachine):
    """A site that never loses more disks at once than it tolerates.

    Hypothesis sorts rules and arguments by name: a rename may change the derandomized runs.
    """

    turns = Bundle("turns")

    start = STARTS[0]

    def __init__(self) -> None:
        super().__init__()
        self.lost: set[str] = set()

    @initialize(order=ORDER)
    def set_up_site(self, order: list[str]) -> None:
        self.site = Site(*self.start)
        self._spend(ENTRIES[0], order)

    @rule(entry=ENTRY, order=ORDER)
    def spend_budget_of_next_program(self, entry: str, order: list[str]) -> None:
        """Turns of the former program are forgotten."""
        self._spend(entry, order)

    def _spend(self, entry: str, order: list[str]) -> None:
        """Grants one turn, which only the first disks of ``order`` that are needed know of."""
        self.site.clear_turns()
        turn = self.site.begin(entry)
        for host in order:
            if not turn.is_granted:
                self._ask(turn, [host])
        self.site.end(turn, list(turn.replies))

    def teardown(self) -> None:
        self.site.close()

    # ---- turns ----

    @rule(entry=ENTRY, hosts=HOST_SUBSETS)
    def run_turn(self, entry: str, hosts: frozenset[str]) -> None:
        """Outdated hosts and disks learn of the set between retries; an undecided turn gives up."""
        turn = self.site.begin(entry)
        for _ in range(TURN_TRIES):
            self._ask(turn, hosts)
        if turn.is_granted:
            self.site.end(turn, hosts)
        elif not turn.has_ended:
            self.site.settle(turn, HOSTS)

    def _ask(self, turn: Turn, hosts: Collection[str]) -> None:
        self.site.ask(turn, hosts)
        self.site.answer(turn)
        self.site.receive_answers(turn)

    @rule(target=turns, entry=ENTRY, hosts=HOST_SUBSETS, pace=PACE)
    def begin_slow_turn(self, entry: str, hosts: frozenset[str], pace: str) -> Several[Turn]:
        return self._continue_turn(self.site.begin(entry), hosts, pace)

    @rule(target=turns, turn=consumes(turns), hosts=HOST_SUBSETS, pace=PACE)
    def continue_slow_turn(self, turn: Turn, hosts: frozenset[str], pace: str) -> Several[Turn]:
        return self._continue_turn(turn, hosts, pace)

    def _continue_turn(self, turn: Turn, hosts: frozenset[str], pace: str) -> Several[Turn]:
        if turn.has_ended:
            return multiple()
        if turn.is_granted:
            self.site.end(turn, hosts)
            return multiple() if turn.has_ended else multiple(turn)
        # Messages of the step before arrive first.
        self.site.receive_answers(turn)
        self.site.answer(turn)
        if turn.is_granted:
            return multiple(turn)
        self.site.ask(turn, hosts)
        if pace != "write is slow":
            self.site.answer(turn)
        if pace == "heard":
            self.site.receive_answers(turn)
        return multiple() if turn.has_ended else multiple(turn)

    @rule(turn=consumes(turns), hosts=HOST_SUBSETS)
    def return_tokens_of_slow_turn(self, turn: Turn, hosts: frozenset[str]) -> None:
        if not turn.copies and not turn.has_ended:
            self.site.settle(turn, hosts)

    # ---- partitions and updates of the set ----

    @rule(away=PARTITIONS)
    def partition_hosts(self, away: frozenset[str]) -> None:
        self.site.away = away

    @rule(hosts=HOST_SUBSETS, entries=ENTRY_SUBSETS)
    def update_known_sets(self, hosts: frozenset[str], entries: tuple[str, ...]) -> None:
        for name in (*sorted(hosts), *entries):
            self.site.update_disk_set(name)

    @rule(hosts=HOST_SUBSETS)
    def copy_disks(self, hosts: frozenset[str]) -> None:
        for disk in self.site.at(sorted(hosts)):
            self.site.copy_from_all(disk)
            if disk.is_retired:
                self.site.hand_over(disk)
        self._update_lost()

    @rule(rounds=st.integers(1, 2))
    def all_hosts_recover(self, rounds: int) -> None:
        self._recover_all(rounds)

    def _recover_all(self, rounds: int) -> None:
        """Waits until even disks that can't catch up serve."""
        self.site.away = ()
        for _ in range(rounds):
            self._run_healthy_round()
        self._run_healthy_round()

    def _run_healthy_round(self) -> None:
        for disk in self.site.disks:
            self.site.join(disk)
        for name in NAMES:
            self.site.update_disk_set(name)
        for disk in self.site.disks:
            self.site.copy_from_all(disk)
        for disk in self.site.disks:
            disk.fence.wait()
            if disk.is_retired:
                self.site.hand_over(disk)
        self._update_lost()

    # ---- changes of the set ----

    @rule(pick=PICK, may_wait=st.booleans())
    def retire_disk(self, pick: int, may_wait: bool) -> None:
        disk = self._pick_disk(pick)
        for _ in range(CHANGE_TRIES):
            self.site.retire(disk, may_wait)

    @rule(pick=PICK, act=st.sampled_from(DISK_ACTIONS))
    def act_on_disk(self, pick: int, act: str) -> None:
        if act == "comes":
            self._add_new_disk()
        for disk in [self._pick_disk(pick)]:
            if act == "starts again":
                self.site.restart(disk)
            else:
                for _ in range(CHANGE_TRIES):
                    self.site.copy_from_all(disk)
                    self.site.join(disk)

    @rule(pick=PICK, entries=ENTRY_SUBSETS, hosts=HOST_SUBSETS, order=ORDER, spends=st.booleans())
    def drop_silent_disk(
        self,
        pick: int,
        entries: tuple[str, ...],
        hosts: frozenset[str],
        order: list[str],
        spends: bool,
    ) -> None:
        """Partitions a disk, maybe with entry hosts; some of the others learn of the change."""
        host = self._pick_disk(pick).me.host
        self.site.away = (host, *entries)
        before = self.site.newest
        for disk in self.site.disks:
            if disk.me.host != host and self.site.newest is before:
                self.site.remove_silent(disk)
        if self.site.newest is not before:
            self.lost.add(host)
        for name in sorted(hosts):
            self.site.update_disk_set(name)
        if spends:
            self._spend(ENTRIES[1], order)

    def _pick_disk(self, pick: int) -> Disk:
        """Returns a disk, more often one that knows of the last turn."""
        knowing_disks = self.site.disks_with_last_turn()
        pool = [*self.site.disks, *knowing_disks, *knowing_disks]
        return pool[pick % len(pool)]

    def _add_new_disk(self) -> None:
        new = [host for host in HOSTS if host not in self.site.disk_by_host]
        if new:
            self.site.add_disk(new[0])

    # ---- losses ----

    @rule(picks=st.tuples(PICK, PICK), is_notified=st.booleans(), may_recover=st.booleans())
    def lose_disks(self, picks: tuple[int, ...], is_notified: bool, may_recover: bool) -> None:
        """Disks return empty under their names, and may have time to rejoin."""
        for host in sorted({self._pick_disk(pick).me.host for pick in picks}):
            if len(self.lost | {host}) <= self.site.tolerated:
                self.lost.add(host)
                self.site.add_disk(host)
                if is_notified:
                    self.site.update_disk_set(host)
        if may_recover:
            self._recover_all(2)

    def _update_lost(self) -> None:
        """Losses no longer count once all members exist and have caught up."""
        newest = self.site.newest
        members = self.site.at(member.host for member in newest.members)
        generations = {disk.me.generation for disk in members}
        if all(member.generation in generations for member in newest.members) and all(
            disk.disk_set == newest and disk.fence.has_caught_up for disk in members
        ):
            self.lost.clear()

    # ---- invariants ----

    @invariant()
    def spent_tokens_stay_within_budget(self) -> None:
        granted = [turn.attempt for turn in self.site.turns if turn.is_granted and turn.tokens]
        assert self.site.committed() <= BUDGET, granted

    @invariant()
    def no_quorum_would_overspend(self) -> None:
        for version, hosts in self.site.overspending():
            raise AssertionError(f"under version {version} {hosts} would overspend")

    @invariant()
    def turns_are_found_once_acknowledged(self) -> None:
        for turn in self.site.turns:
            if turn.is_acknowledged:
                assert self.site.disks_with_copy(turn), turn.attempt
                unknown_at = [one for one in ENTRIES if self.site.is_reported_unknown(turn, one)]
                assert not unknown_at, turn.attempt


def machine_for(start: Start) -> type[Drawn]:
    return type("DrawnAt", (Drawn,), {"start": start})


@pytest.mark.parametrize("start", STARTS)
def test_budgets_hold_while_the_set_changes(start: Start) -> None:
    run_state_machine_as_test(machine_for(start), settings=SETTINGS)
