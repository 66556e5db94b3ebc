"""Guards against exceeding a budget while the set of disks changes, in five orders of events."""

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
    """A disk: its reservations, and the version of the set that it knows."""

    me: Member
    version: int = 0
    ledger: dict[str, int] = attrs.field(factory=dict)
    read: set[int] = attrs.field(factory=set)
    copied_from: set[str] = attrs.field(factory=set)
    has_caught_up: bool = False
    was_wiped: bool = False


@attrs.define
class Reservation:
    """A pending reservation of one turn."""

    attempt: str
    version: int
    waiting: set[str]
    needed: int
    replies: list[dict[str, int]] = attrs.field(factory=list)
    is_decided: bool = False


class FencedModel:
    """A model of hosts and disks that learn of sets at any time, with calls in any order."""

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
        replicas = replicas_of(PROGRAM, self.sets[version], self.tolerated)
        needed = reservations_needed(len(replicas), self.tolerated)
        attempt = f"turn-{next(self.attempts)}"
        waiting = {member.host for member in replicas}
        reservation = Reservation(attempt, version, waiting, needed)
        self.reservations.append(reservation)
        return reservation

    def _deliver(self, reservation: Reservation, host: str) -> None:
        disk = self.disk_by_host[host]
        known = self._known(disk.version) if disk.version else KnownSet(0, (), (), self.tolerated)
        verdict = known.verdict(disk.me, PROGRAM, reservation.version, disk.has_caught_up)
        if self.is_fenced and verdict is not Verdict.TAKEN:
            return  # The host may retry; until then the reservation waits.
        reservation.waiting.discard(host)
        disk.ledger[reservation.attempt] = TOKENS
        reservation.replies.append(dict(disk.ledger))
        if len(reservation.replies) >= reservation.needed and not reservation.is_decided:
            reservation.is_decided = True
            committed = committed_tokens(
                reservation.attempt, ((reply, {}) for reply in reservation.replies)
            )
            if committed + TOKENS <= BUDGET:
                self.granted.append(reservation.attempt)

    # ---- updates of the set ----

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

    # ---- invariant ----

    def check_budget(self) -> None:
        assert len(self.granted) * TOKENS <= BUDGET, self.granted


class UnfencedModel(FencedModel):
    """The same model with disks that accept every reservation."""

    is_fenced = False


class EventScript:
    """Drives a model through one order of events: two turns of ten tokens, a budget of ten."""

    def __init__(self, model: FencedModel, tolerated: int, count: int) -> None:
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
        """Proposes the next version of the set; ignored until the current one has settled."""
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
        reservation = self.model.begin_turn("entry-1")
        for host in hosts:
            if host in reservation.waiting:
                self.model._deliver(reservation, host)

    def wipe(self, host: str) -> None:
        self.model._add_disk(host, self.disk(host).me.hall)


def quorums_of_two_versions(model: FencedModel) -> None:
    """One host counts a quorum of the set before a change, another one of the set after it."""
    script = EventScript(model, 1, 3)
    model._add_disk("disk-new", "north")
    script.learn("disk-new")
    script.copy("disk-new", "disk-1", "disk-2")
    script.change("disk-1", "disk-2", "disk-new")
    script.learn("disk-new", "disk-2")
    script.reserve(1, "disk-0", "disk-1")
    script.reserve(2, "disk-2", "disk-new")


def old_quorum_after_a_new_one(model: FencedModel) -> None:
    """A new disk has caught up and serves; then an outdated host counts by the old set."""
    script = EventScript(model, 1, 3)
    model._add_disk("disk-new", "north")
    script.learn("disk-new")
    script.copy("disk-new", "disk-1", "disk-2")
    script.change("disk-1", "disk-2", "disk-new")
    script.learn("disk-new", "disk-1", "disk-2")
    script.copy("disk-new", "disk-1", "disk-2")
    script.reserve(2, "disk-2", "disk-new")
    script.reserve(1, "disk-0", "disk-1")


def wiped_disk_under_its_old_name(model: FencedModel) -> None:
    """A disk loses its data and answers before it has rejoined the set."""
    script = EventScript(model, 1, 3)
    script.reserve(1, "disk-0", "disk-1")
    script.wipe("disk-0")
    script.learn("disk-0")
    script.reserve(1, "disk-0", "disk-2")


def two_consecutive_changes(model: FencedModel) -> None:
    """The set changes twice before any disk has caught up with the first change."""
    script = EventScript(model, 1, 3)
    script.reserve(1, "disk-0", "disk-1")
    for number, remaining in enumerate([("disk-1", "disk-2"), ("disk-2", "disk-new-0")]):
        host = f"disk-new-{number}"
        model._add_disk(host, HALLS[number])
        script.change(*remaining, host)
        script.learn(
            "disk-2", *(name for name in model.disk_by_host if name.startswith("disk-new"))
        )
    script.copy("disk-new-1", "disk-2", "disk-new-0")
    script.copy("disk-new-0", "disk-2", "disk-new-1")
    script.reserve(model.newest, "disk-2", "disk-new-0", "disk-new-1")


def shrinking_set(model: FencedModel) -> None:
    """Two of five disks leave one after the other, with two losses tolerated at once."""
    script = EventScript(model, 2, 5)
    script.reserve(1, "disk-0", "disk-1", "disk-2")
    script.change("disk-1", "disk-2", "disk-3", "disk-4")
    script.learn("disk-1", "disk-2", "disk-3", "disk-4")
    for disk in model.disk_by_host.values():
        disk.has_caught_up = True
    script.change("disk-2", "disk-3", "disk-4")
    script.learn("disk-2", "disk-3", "disk-4")
    script.reserve(3, "disk-3", "disk-4")


@pytest.mark.parametrize(
    "play_events",
    [
        quorums_of_two_versions,
        old_quorum_after_a_new_one,
        wiped_disk_under_its_old_name,
        two_consecutive_changes,
    ],
)
def test_without_the_fence_two_quorums_exceed_the_budget(
    play_events: Callable[[FencedModel], None],
) -> None:
    unfenced = UnfencedModel()
    play_events(unfenced)
    with pytest.raises(AssertionError, match=r"turn-1.*turn-2"):
        unfenced.check_budget()
    fenced = FencedModel()
    play_events(fenced)
    fenced.check_budget()
    assert fenced.granted, "one of the two turns is granted"


def test_a_majority_of_a_shrunken_set_is_not_enough() -> None:
    fenced = FencedModel()
    shrinking_set(fenced)
    assert fenced.granted == ["turn-1"]


def test_a_quorum_intersects_all_but_the_unread_members() -> None:
    for tolerated, members in itertools.product(range(4), range(1, 10)):
        replica_count = min(members, 2 * tolerated + 1)
        needed = reservations_needed(replica_count, tolerated)
        assert unread_members_allowed(members, tolerated) < needed
        assert needed + replica_count - unread_members_allowed(members, tolerated) > replica_count
