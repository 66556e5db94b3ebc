"""Budgets hold while the set of disks changes: five orders of events that each need one rule.

Whatever is not delivered is cut off or late; nothing here knows a clock. Drawn orders are in
``test_disk_fence_drawn.py``.
"""

import itertools
from collections.abc import Callable

import attrs
import pytest

from bayhinge._internal.decisions.disk_fence import KnownSet, Verdict, unread_members_allowed
from bayhinge._internal.decisions.disk_placement import replicas_of
from bayhinge._internal.decisions.disk_quorum import committed_tokens, reservations_needed

PROGRAM = "program"
TOKENS = 10
BUDGET = 10
ENTRIES = ("entry-1", "entry-2")
HALLS = ("north", "south", "east")


@attrs.frozen
class Member:
    host: str
    hall: str
    generation: int


@attrs.define
class Disk:
    """One disk: what it holds, and what it knows of the set."""

    me: Member
    version: int = 0
    ledger: dict[str, int] = attrs.field(factory=dict)
    read: set[int] = attrs.field(factory=set)
    copied_from: set[str] = attrs.field(factory=set)
    has_caught_up: bool = False
    was_wiped: bool = False


@attrs.define
class Reservation:
    """One turn's reservation under way."""

    attempt: str
    version: int
    waiting: set[str]
    needed: int
    replies: list[dict[str, int]] = attrs.field(factory=list)
    is_decided: bool = False


class Fencing:
    """Hosts and disks that learn of sets at any time, and calls that come in any order."""

    is_fenced = True

    def __init__(self) -> None:
        self.tolerated = 1
        self.generations = itertools.count(1)
        self.attempts = itertools.count(1)
        self.disk_by_host: dict[str, Disk] = {}
        self.sets: list[tuple[Member, ...]] = [()]
        self.version_by_entry = dict.fromkeys(ENTRIES, 1)
        self.reservations: list[Reservation] = []
        self.granted: list[str] = []

    def _add_disk(self, host: str, hall: str) -> Disk:
        disk = Disk(Member(host, hall, next(self.generations)))
        self.disk_by_host[host] = disk
        return disk

    @property
    def newest(self) -> int:
        return len(self.sets) - 1

    def _known(self, version: int) -> KnownSet:
        return KnownSet(version, self.sets[version], self.sets[version - 1], self.tolerated)

    # ---- reservations ----

    def begin_turn(self, entry: str) -> Reservation:
        version = self.version_by_entry[entry]
        places = replicas_of(PROGRAM, self.sets[version], self.tolerated)
        needed = reservations_needed(len(places), self.tolerated)
        attempt = f"turn-{next(self.attempts)}"
        waiting = {member.host for member in places}
        one = Reservation(attempt, version, waiting, needed)
        self.reservations.append(one)
        return one

    def _arrive(self, one: Reservation, host: str) -> None:
        disk = self.disk_by_host[host]
        known = self._known(disk.version) if disk.version else KnownSet(0, (), (), self.tolerated)
        verdict = known.verdict(disk.me, PROGRAM, one.version, disk.has_caught_up)
        if self.is_fenced and verdict is not Verdict.TAKEN:
            return  # It may come again: until then it waits.
        one.waiting.discard(host)
        disk.ledger[one.attempt] = TOKENS
        one.replies.append(dict(disk.ledger))
        if len(one.replies) >= one.needed and not one.is_decided:
            one.is_decided = True
            committed = committed_tokens(one.attempt, ((reply, {}) for reply in one.replies))
            if committed + TOKENS <= BUDGET:
                self.granted.append(one.attempt)

    # ---- news ----

    def _learn(self, disk: Disk, version: int) -> None:
        if version <= disk.version:
            return
        disk.version = version
        disk.read.clear()
        disk.has_caught_up = self._known(version).is_caught_up_by(disk.me, ())
        disk.was_wiped = disk.was_wiped and not disk.has_caught_up

    # ---- copying ----

    def _copy(self, disk: Disk, source: Disk) -> None:
        if source.version < disk.version:
            return
        disk.ledger |= source.ledger
        disk.copied_from.add(source.me.host)
        if source.version > disk.version or not disk.version:
            return
        disk.read.add(source.me.generation)
        known = self._known(disk.version)
        if known.is_caught_up_by(disk.me, disk.read):
            disk.has_caught_up = True
            is_member = disk.me in known.members
            disk.was_wiped = disk.was_wiped and not is_member

    def _has_settled(self) -> bool:
        caught_up = {
            disk.me.generation
            for disk in self.disk_by_host.values()
            if disk.version == self.newest and disk.has_caught_up
        }
        return not self.is_fenced or self._known(self.newest).has_settled(caught_up)

    # ---- what must hold ----

    def the_budget_holds(self) -> None:
        assert len(self.granted) * TOKENS <= BUDGET, self.granted


class Unfenced(Fencing):
    """The same, where disks take whatever comes."""

    is_fenced = False


class Script:
    """A model that is led through an order of events; two turns of ten tokens under ten."""

    def __init__(self, model: Fencing, tolerated: int, count: int) -> None:
        self.model = model
        model.tolerated = tolerated
        disks = [model._add_disk(f"disk-{n}", HALLS[n % 3]) for n in range(count)]
        model.sets.append(tuple(disk.me for disk in disks))
        for disk in disks:
            model._learn(disk, 1)
            disk.has_caught_up = True

    def disk(self, host: str) -> Disk:
        return self.model.disk_by_host[host]

    def change(self, *hosts: str) -> None:
        """The set's next version, where it may change."""
        if self.model._has_settled():
            self.model.sets.append(tuple(self.disk(host).me for host in hosts))

    def learn(self, *hosts: str) -> None:
        for host in hosts:
            self.model._learn(self.disk(host), self.model.newest)

    def copy(self, host: str, *sources: str) -> None:
        for source in sources:
            self.model._copy(self.disk(host), self.disk(source))

    def reserve(self, version: int, *hosts: str) -> None:
        self.model.version_by_entry["entry-1"] = version
        one = self.model.begin_turn("entry-1")
        for host in hosts:
            if host in one.waiting:
                self.model._arrive(one, host)

    def wipe(self, host: str) -> None:
        self.model._add_disk(host, self.disk(host).me.hall)


def quorums_of_two_sets(model: Fencing) -> None:
    """One host counts by the set before a change, one by the set after it."""
    script = Script(model, 1, 3)
    model._add_disk("disk-new", "north")
    script.learn("disk-new")
    script.copy("disk-new", "disk-1", "disk-2")
    script.change("disk-1", "disk-2", "disk-new")
    script.learn("disk-new", "disk-2")
    script.reserve(1, "disk-0", "disk-1")
    script.reserve(2, "disk-2", "disk-new")


def an_old_quorum_behind_a_new_one(model: Fencing) -> None:
    """The newcomer has caught up and serves; then a host of before counts by the old set."""
    script = Script(model, 1, 3)
    model._add_disk("disk-new", "north")
    script.learn("disk-new")
    script.copy("disk-new", "disk-1", "disk-2")
    script.change("disk-1", "disk-2", "disk-new")
    script.learn("disk-new", "disk-1", "disk-2")
    script.copy("disk-new", "disk-1", "disk-2")
    script.reserve(2, "disk-2", "disk-new")
    script.reserve(1, "disk-0", "disk-1")


def an_empty_disk_under_an_old_name(model: Fencing) -> None:
    """A disk loses its folder and answers before it has joined again."""
    script = Script(model, 1, 3)
    script.reserve(1, "disk-0", "disk-1")
    script.wipe("disk-0")
    script.learn("disk-0")
    script.reserve(1, "disk-0", "disk-2")


def two_changes_on_end(model: Fencing) -> None:
    """The set changes twice before anybody has caught up with the first change."""
    script = Script(model, 1, 3)
    script.reserve(1, "disk-0", "disk-1")
    for number, staying in enumerate([("disk-1", "disk-2"), ("disk-2", "disk-new-0")]):
        host = f"disk-new-{number}"
        model._add_disk(host, HALLS[number])
        script.change(*staying, host)
        script.learn("disk-2", *(one for one in model.disk_by_host if one.startswith("disk-new")))
    script.copy("disk-new-1", "disk-2", "disk-new-0")
    script.copy("disk-new-0", "disk-2", "disk-new-1")
    script.reserve(model.newest, "disk-2", "disk-new-0", "disk-new-1")


def a_set_that_shrinks(model: Fencing) -> None:
    """Two of five disks leave one after the other; two may be lost at once."""
    script = Script(model, 2, 5)
    script.reserve(1, "disk-0", "disk-1", "disk-2")
    script.change("disk-1", "disk-2", "disk-3", "disk-4")
    script.learn("disk-1", "disk-2", "disk-3", "disk-4")
    for disk in model.disk_by_host.values():
        disk.has_caught_up = True
    script.change("disk-2", "disk-3", "disk-4")
    script.learn("disk-2", "disk-3", "disk-4")
    script.reserve(3, "disk-3", "disk-4")


@pytest.mark.parametrize(
    "story",
    [
        quorums_of_two_sets,
        an_old_quorum_behind_a_new_one,
        an_empty_disk_under_an_old_name,
        two_changes_on_end,
    ],
)
def test_without_the_fence_two_quorums_miss_each_other(story: Callable[[Fencing], None]) -> None:
    unfenced = Unfenced()
    story(unfenced)
    with pytest.raises(AssertionError, match=r"turn-1.*turn-2"):
        unfenced.the_budget_holds()
    fenced = Fencing()
    story(fenced)
    fenced.the_budget_holds()
    assert fenced.granted, "one of the two is served"


def test_in_a_set_that_has_shrunk_a_majority_is_not_enough() -> None:
    fenced = Fencing()
    a_set_that_shrinks(fenced)
    assert fenced.granted == ["turn-1"]


def test_a_quorum_meets_all_but_the_spare_members() -> None:
    for tolerated, members in itertools.product(range(4), range(1, 10)):
        placed = min(members, 2 * tolerated + 1)
        needed = reservations_needed(placed, tolerated)
        assert unread_members_allowed(members, tolerated) < needed
        assert needed + placed - unread_members_allowed(members, tolerated) > placed
