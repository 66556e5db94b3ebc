"""Membership rules of the disk set: joining, retiring, and dropping silent members. Pure.

A lost member counts towards the quorum of ``members - tolerated`` until it is dropped. Dropping is
safe only while enough others answer, so that they hold whatever the dropped disk had accepted.
"""

from collections.abc import Collection, Mapping, Sequence
from typing import Protocol, TypeVar

from bayhinge._internal.decisions.disk_quorum import copies_needed

DROP_AFTER_S = 3.0
"""Silence after which a member is dropped if enough others are left. Shorter partitions and pauses
leave the set unchanged; a dropped disk that returns joins again."""


class SetMember(Protocol):
    """What the rules need of a member."""

    @property
    def host(self) -> str:
        """The host's name."""
        ...

    @property
    def generation(self) -> int:
        """Random identifier, drawn when the disk's folder was empty."""
        ...


MEMBERSHIP_SHARE = 0.5
"""Share of the time allowed for a retirement in which the disk may stay a member: a lost disk is
back within three seconds, and eight to ten are allowed."""


Member = TypeVar("Member", bound=SetMember)


def has_read_enough(
    members: Sequence[SetMember], own_host: str, read_hosts: Collection[str], tolerated: int
) -> bool:
    """Whether a disk outside the set has read enough members to join.

    It must have seen every entry that a quorum accepted, so all but ``tolerated`` members must have
    been read. A member named ``own_host`` is a lost earlier disk, and counts as not read.
    """
    missed = sum(1 for member in members if member.host not in read_hosts)
    others = [member for member in members if member.host != own_host]
    return bool(others) and missed <= tolerated


def may_remove_entries(
    members: Sequence[SetMember], own_host: str, read_hosts: Collection[str], tolerated: int
) -> bool:
    """Whether a disk has just read all uses of its entries that count.

    A use is synced on ``tolerated + 1`` disks, so all other members but ``tolerated`` must have
    been read.
    """
    others = [member.host for member in members if member.host != own_host]
    return sum(host not in read_hosts for host in others) <= tolerated


def may_make_first_set(members: Sequence[SetMember], *, is_founder: bool, is_joined: bool) -> bool:
    """Whether a disk may put itself into a set that does not exist.

    Args:
        members: the set in the store.
        is_founder: the disk was started for a new system, now or earlier.
        is_joined: it was in a set. Where the store has none any more, another first set would be
            one without the turns of the former.
    """
    return not members and is_founder and not is_joined


def with_member_added(members: Sequence[Member], new_member: Member) -> list[Member] | None:
    """Returns the set with a new member, or None if it is a member already.

    It replaces an earlier disk with the same host name, whose data is lost.
    """
    if any(member.generation == new_member.generation for member in members):
        return None
    return [member for member in members if member.host != new_member.host] + [new_member]


def without_retired(
    members: Sequence[Member], host: str, tolerated: int, may_wait: bool = False
) -> list[Member] | None:
    """Returns the set without a retiring disk, or None where the disk has to stay.

    It stays while fewer disks would be left than a turn needs copies: turns could then start but
    not complete. While it ``may_wait`` for another disk to join or return, it also stays where the
    others could not bear the loss of ``tolerated`` disks.
    """
    others = [member for member in members if member.host != host]
    minimum = 2 * tolerated + 1 if may_wait else copies_needed(tolerated)
    if len(others) == len(members) or len(others) < minimum:
        return None
    return others


def membership_s(allowed_s: float) -> float:
    """Returns how long a retiring disk may stay a member to wait for others, in seconds.

    The rest is for leaving the set and a last copy, even if the store is temporarily unavailable.
    """
    return MEMBERSHIP_SHARE * max(0.0, allowed_s)


def without_silent(
    members: Sequence[Member], silent_s_by_host: Mapping[str, float], tolerated: int
) -> list[Member] | None:
    """Returns the set without members that were silent for too long, or None if unchanged.

    No more than ``tolerated`` members may be silent, as otherwise this host may be the partitioned
    one, and enough members must be left to bear the next loss.
    """
    silent = [member for member in members if member.host in silent_s_by_host]
    lost = [member for member in silent if silent_s_by_host[member.host] >= DROP_AFTER_S]
    kept = [member for member in members if member not in lost]
    if not lost or len(silent) > tolerated or len(kept) < 2 * tolerated + 1:
        return None
    return kept
