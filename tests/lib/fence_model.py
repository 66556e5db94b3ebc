"""Model of entry hosts, disks and the store's disk set, with the source's own rules and fence.

There is one program, whose budget allows one turn. Hosts on different sides of a partition exchange
no messages; there is no clock.
"""

import asyncio
import itertools
from collections.abc import Callable, Collection, Iterable, Iterator
from functools import partial
from pathlib import Path

import attrs

from bayhinge._internal.decisions.disk_fence import KnownSet, Verdict
from bayhinge._internal.decisions.disk_placement import missing_members_allowed, replicas_of
from bayhinge._internal.decisions.disk_quorum import (
    committed_tokens,
    copies_needed,
    reservations_needed,
)
from bayhinge._internal.decisions.disk_set_rules import (
    DROP_AFTER_S,
    has_read_enough,
    with_member_added,
    without_retired,
    without_silent,
)
from bayhinge._internal.services.disks.set_fence import SetFence
from bayhinge._internal.wire.hosts.ttypes import DiskMember, DiskSet

PROGRAM = "program"
TOKENS = 10
BUDGET = 10
ENTRIES = ("entry-1", "entry-2")
HOSTS = ("a", "b", "c", "d", "e", "f")
HALLS = ("north", "south", "east")
NAMES = (*ENTRIES, *HOSTS)

Ledger = tuple[dict[str, int], dict[str, int]]
Change = Callable[[list[DiskMember]], list[DiskMember] | None]


class Fence(SetFence):
    """A fence whose file is in memory and whose timeout is triggered by ``wait``."""

    def __init__(self, tolerated: int, stored_version: int = 0) -> None:
        super().__init__(tolerated, Path())
        self.stored_version = stored_version
        self.has_timed_out = False

    def apply(self, disk_set: DiskSet, own: DiskMember) -> None:
        self.has_timed_out = False
        super().apply(disk_set, own)

    def wait(self) -> None:
        self.has_timed_out = True
        self._update_caught_up()

    def _stored_version(self) -> int:
        return self.stored_version

    def _store_version(self) -> None:
        self.stored_version = self._known.version

    def _is_overdue(self) -> bool:
        return self.has_timed_out


@attrs.define(eq=False)
class Disk:
    me: DiskMember
    fence: Fence
    disk_set: DiskSet = attrs.field(factory=lambda: DiskSet(0, [], []))
    open_by_attempt: dict[str, int] = attrs.field(factory=dict)
    settled_by_attempt: dict[str, int] = attrs.field(factory=dict)
    turns: set[str] = attrs.field(factory=set)
    read_hosts: set[str] = attrs.field(factory=set)
    is_retired: bool = False

    @property
    def is_member(self) -> bool:
        return any(one.generation == self.me.generation for one in self.disk_set.members)

    def copy(self, other: "Disk") -> None:
        self.open_by_attempt |= other.open_by_attempt
        self.settled_by_attempt |= other.settled_by_attempt
        self.turns |= other.turns


@attrs.define(eq=False)
class Turn:
    """A turn that reserves its tokens, runs and ends.

    Attributes:
        written: generations of disks that have written the reservation and not answered yet.
        answers_in_transit: answers that disks have sent and the host has not received.
        replies: answers that the host has received.
        copies: generations of disks that store the turn's text.
    """

    attempt: str
    entry: str
    version: int
    written: set[int] = attrs.field(factory=set)
    answers_in_transit: list[tuple[str, Ledger]] = attrs.field(factory=list)
    replies: dict[str, Ledger] = attrs.field(factory=dict)
    copies: set[int] = attrs.field(factory=set)
    is_granted: bool = False
    has_ended: bool = False
    is_acknowledged: bool = False
    tokens: int = TOKENS


class Site:
    """The model's state and events; the caller decides which failures may coincide.

    Attributes:
        may_change_unknown_sets: a mutation: a disk may change the newest set without knowing it if
            the set that it knows has settled. Two consecutive changes then violate budgets.
        away: hosts on one side of the partition.
    """

    may_change_unknown_sets = False

    def __init__(self, tolerated: int, members: int, others: int) -> None:
        self.loop = asyncio.new_event_loop()
        self.tolerated = tolerated
        self.away: Collection[str] = ()
        self.turns: list[Turn] = []
        self.disk_by_host: dict[str, Disk] = {}
        self._generations = itertools.count(1)
        self._attempts = itertools.count(1)
        disks = [self.add_disk(host) for host in HOSTS[: members + others]]
        self.sets = [DiskSet(1, [disk.me for disk in disks[:members]], [])]
        self.set_by_entry = dict.fromkeys(ENTRIES, self.newest)
        for disk in disks:
            self.apply_disk_set(disk, self.newest)

    def close(self) -> None:
        self.loop.close()

    @property
    def newest(self) -> DiskSet:
        return self.sets[-1]

    @property
    def disks(self) -> list[Disk]:
        return list(self.disk_by_host.values())

    def at(self, hosts: Iterable[str]) -> list[Disk]:
        return [self.disk_by_host[host] for host in hosts if host in self.disk_by_host]

    def add_disk(self, host: str) -> Disk:
        hall = HALLS[HOSTS.index(host) % len(HALLS)]
        me = DiskMember(host, next(self._generations), f"{host}:1", hall)
        disk = self.disk_by_host[host] = Disk(me, Fence(self.tolerated))
        return disk

    def can_communicate(self, one: str, other: str) -> bool:
        return (one in self.away) == (other in self.away)

    # ---- updates of the disk set ----

    def apply_disk_set(self, disk: Disk, disk_set: DiskSet) -> None:
        if disk_set.version > disk.disk_set.version:
            disk.disk_set = disk_set
            self._update_fence(disk)

    def _update_fence(self, disk: Disk) -> None:
        async def main() -> None:
            disk.fence.apply(disk.disk_set, disk.me)

        self.loop.run_until_complete(main())

    def restart(self, disk: Disk) -> None:
        disk.fence = Fence(self.tolerated, disk.fence.stored_version)
        disk.read_hosts = set()
        if disk.disk_set.version:
            self._update_fence(disk)

    def update_disk_set(self, name: str) -> None:
        """Gives a host the newest disk set known on its side of the partition."""
        if name not in self.set_by_entry and name not in self.disk_by_host:
            return
        sets = [disk.disk_set for disk in self.disks if self.can_communicate(name, disk.me.host)]
        sets += [
            known for entry, known in self.set_by_entry.items() if self.can_communicate(name, entry)
        ]
        newest = max(sets, key=lambda one: one.version)
        if name in self.set_by_entry:
            self.apply_set_to_entry(name, newest)
        else:
            self.apply_disk_set(self.disk_by_host[name], newest)

    def apply_set_to_entry(self, entry: str, disk_set: DiskSet) -> None:
        if disk_set.version > self.set_by_entry[entry].version:
            self.set_by_entry[entry] = disk_set

    # ---- copying ----

    def copy_from_all(self, disk: Disk) -> None:
        others = [one for one in disk.disk_set.members if one.host != disk.me.host]
        disk.read_hosts = {one.host for one in others if self._copy_from(disk, one)}

    def _reachable_disk(self, disk: Disk, member: DiskMember) -> Disk | None:
        source = self.disk_by_host.get(member.host)
        if source is None or not self.can_communicate(disk.me.host, member.host):
            return None
        return source if source.me.generation == member.generation else None

    def _copy_from(self, disk: Disk, member: DiskMember) -> bool:
        source = self._reachable_disk(disk, member)
        if source is None or source.disk_set.version < disk.disk_set.version:
            return False
        if self._is_replica(source, disk.me):
            disk.copy(source)
        if source.disk_set.version == disk.disk_set.version:
            disk.fence.record_read(member, disk.disk_set.version, source.fence.has_caught_up)
        return True

    def _is_replica(self, source: Disk, candidate: DiskMember) -> bool:
        members = list(source.disk_set.members)
        if all(one.host != candidate.host for one in members):
            members.append(candidate)
        return any(
            one.host == candidate.host for one in replicas_of(PROGRAM, members, self.tolerated)
        )

    # ---- changes ----

    def join(self, disk: Disk) -> None:
        members = disk.disk_set.members
        if disk.is_member or disk.is_retired or not members:
            return
        if has_read_enough(members, disk.me.host, disk.read_hosts, self.tolerated):
            self._change(disk, lambda found: with_member_added(found, disk.me))

    def remove_silent(self, disk: Disk) -> None:
        """Removes the disks that this one can't reach; it need not have read the latest entries."""
        if not disk.is_member:
            return
        members = [one for one in disk.disk_set.members if one.host != disk.me.host]
        silent = [one.host for one in members if self._reachable_disk(disk, one) is None]
        silent_s = dict.fromkeys(silent, DROP_AFTER_S)
        self._change(disk, lambda found: without_silent(found, silent_s, self.tolerated))

    def retire(self, disk: Disk, may_wait: bool) -> None:
        host, tolerated = disk.me.host, self.tolerated
        change = partial(without_retired, host=host, tolerated=tolerated, may_wait=may_wait)
        self._change(disk, change)
        disk.is_retired = all(one.host != host for one in disk.disk_set.members)

    def hand_over(self, disk: Disk) -> None:
        """Copies a leaving disk's entries to the others; removes it once enough have them."""
        others = [one for one in disk.disk_set.members if one.host != disk.me.host]
        complete = 0
        for member in others:
            other = self.disk_by_host.get(member.host)
            if other and not other.is_retired and self.can_communicate(disk.me.host, member.host):
                complete += 1
                if self._is_replica(disk, member):
                    other.copy(disk)
        if complete and len(others) - complete <= missing_members_allowed(
            len(others), self.tolerated
        ):
            del self.disk_by_host[disk.me.host]

    def _change(self, disk: Disk, change: Change) -> None:
        if not disk.fence.has_settled:
            return
        if not self.may_change_unknown_sets and disk.disk_set != self.newest:
            self.apply_disk_set(disk, self.newest)
            return
        found = self.newest
        members = change(list(found.members))
        if members is not None:
            self.sets.append(DiskSet(found.version + 1, members, list(found.members)))
        self.apply_disk_set(disk, self.newest)

    # ---- turns ----

    def clear_turns(self) -> None:
        for turn in self.turns:
            turn.has_ended = True
        self.turns.clear()
        for disk in self.disks:
            disk.open_by_attempt.clear()
            disk.settled_by_attempt.clear()
            disk.turns.clear()

    def begin(self, entry: str) -> Turn:
        turn = Turn(f"turn-{next(self._attempts)}", entry, self.set_by_entry[entry].version)
        self.turns.append(turn)
        return turn

    def ask(self, turn: Turn, hosts: Collection[str]) -> None:
        """Delivers the reservation to disks; the side with the older disk set gets the newer."""
        self._restart_if_set_changed(turn)
        for member in self._replicas(turn):
            if member.host not in hosts or member.host in turn.replies:
                continue
            disk = self.disk_by_host.get(member.host)
            if disk is None or not self.can_communicate(turn.entry, member.host) or disk.is_retired:
                continue
            verdict = disk.fence.verdict(PROGRAM, turn.version)
            if verdict is Verdict.TAKEN:
                disk.open_by_attempt.setdefault(turn.attempt, TOKENS)
                turn.written.add(disk.me.generation)
            elif verdict is Verdict.DISK_IS_BEHIND:
                self.apply_disk_set(disk, self.set_by_entry[turn.entry])
            elif verdict is Verdict.HOST_IS_BEHIND:
                self.apply_set_to_entry(turn.entry, disk.disk_set)

    def answer(self, turn: Turn) -> None:
        """Disks that have written the reservation check the fence again and answer."""
        for disk in self.disks:
            if disk.me.generation not in turn.written:
                continue
            if disk.fence.verdict(PROGRAM, turn.version) is Verdict.TAKEN:
                ledger = dict(disk.open_by_attempt), dict(disk.settled_by_attempt)
                turn.answers_in_transit.append((disk.me.host, ledger))
        turn.written.clear()

    def receive_answers(self, turn: Turn) -> None:
        """Delivers the answers to the host, which decides once it has a quorum."""
        turn.replies.update(turn.answers_in_transit)
        turn.answers_in_transit.clear()
        needed = reservations_needed(len(self._replicas(turn)), self.tolerated)
        if turn.is_granted or turn.has_ended or len(turn.replies) < needed:
            return
        if committed_tokens(turn.attempt, turn.replies.values()) + TOKENS <= BUDGET:
            turn.is_granted = True
        else:
            self.settle(turn, HOSTS)

    def _restart_if_set_changed(self, turn: Turn) -> None:
        """Restarts the reservation if the set has changed: a quorum is valid for one version."""
        known = self.set_by_entry[turn.entry].version
        if known != turn.version:
            turn.version = known
            turn.written.clear()
            turn.answers_in_transit.clear()
            turn.replies.clear()

    def _replicas(self, turn: Turn) -> list[DiskMember]:
        return replicas_of(PROGRAM, self.sets[turn.version - 1].members, self.tolerated)

    def end(self, turn: Turn, hosts: Collection[str]) -> None:
        """Writes the turn's text to disks; it is acknowledged once there are enough copies."""
        for disk in self.at(hosts):
            if self.can_communicate(turn.entry, disk.me.host) and not disk.is_retired:
                disk.settled_by_attempt[turn.attempt] = turn.tokens
                disk.turns.add(turn.attempt)
                turn.copies.add(disk.me.generation)
        if len(turn.copies) >= copies_needed(self.tolerated):
            turn.is_acknowledged = turn.has_ended = True

    def settle(self, turn: Turn, hosts: Collection[str]) -> None:
        """Releases the tokens; disks that don't receive this count the full reservation."""
        turn.has_ended, turn.tokens = True, 0
        for disk in self.at(hosts):
            if self.can_communicate(turn.entry, disk.me.host) and not disk.is_retired:
                disk.settled_by_attempt[turn.attempt] = 0

    # ---- invariants ----

    def committed(self) -> int:
        return sum(turn.tokens for turn in self.turns if turn.is_granted)

    def overspending(self) -> Iterator[tuple[int, list[str]]]:
        """Yields the quorums that would grant another turn although the budget is spent.

        Covers every version that a host may still have, and every order in which it may reach
        disks.
        """
        if self.committed() + TOKENS <= BUDGET:
            return
        for known in self.sets:
            replicas = replicas_of(PROGRAM, known.members, self.tolerated)
            needed = reservations_needed(len(replicas), self.tolerated)
            accepting = [
                disk
                for disk in self.at(member.host for member in replicas)
                if not disk.is_retired and self._would_accept(disk, known)
            ]
            for quorum in itertools.combinations(accepting, needed):
                ledgers = ((disk.open_by_attempt, disk.settled_by_attempt) for disk in quorum)
                if committed_tokens("", ledgers) + TOKENS <= BUDGET:
                    yield known.version, [disk.me.host for disk in quorum]

    def _would_accept(self, disk: Disk, known: DiskSet) -> bool:
        if disk.disk_set.version >= known.version:
            return disk.fence.verdict(PROGRAM, known.version) is Verdict.TAKEN
        updated_set = KnownSet(known.version, known.members, known.previous, self.tolerated)
        has_caught_up = updated_set.is_caught_up_by(disk.me, ())
        verdict = updated_set.verdict(disk.me, PROGRAM, known.version, has_caught_up)
        return verdict is Verdict.TAKEN

    def disks_with_last_turn(self) -> list[Disk]:
        """Returns the disks with the reservation of the last granted turn that used tokens."""
        granted = [turn.attempt for turn in self.turns if turn.is_granted and turn.tokens]
        return [disk for disk in self.disks if granted and granted[-1] in disk.open_by_attempt]

    def disks_with_copy(self, turn: Turn) -> list[str]:
        return [disk.me.host for disk in self.disks if turn.attempt in disk.turns]

    def is_reported_unknown(self, turn: Turn, entry: str) -> bool:
        """Returns whether a host would report the turn as unknown: no disk that it asks has it."""
        known = self.set_by_entry[entry]
        members = {one.host for one in known.members}
        near = {host for host in self.disk_by_host if self.can_communicate(entry, host)}
        if not members <= near:
            return False
        asked = self.at(near)
        return all(
            turn.attempt not in disk.turns and disk.disk_set.version <= known.version
            for disk in asked
        )
