"""Who joins the set of disks that count, and who is dropped from it. Pure.

A member that is lost still counts until it is dropped, and its place can't be taken by
waiting: the set needs ``members - tolerated`` answers. Dropping is safe only while enough
others answer, so that what the dropped disk took part in stands on them as well.
"""

from collections.abc import Collection, Mapping, Sequence
from typing import Protocol, TypeVar

from bayhinge._internal.decisions.disk_quorum import copies_needed

DROP_AFTER_S = 3.0
"""A member that was silent for so long is dropped, if enough others are left. Cuts and
freezes that last shorter leave the set alone; a dropped disk that returns joins anew."""


class MemberLike(Protocol):
    """What the rules need to know of a member."""

    @property
    def host(self) -> str:
        """The host's name."""
        ...

    @property
    def generation(self) -> int:
        """Drawn when the disk's folder was empty."""
        ...


STAY_SHARE = 0.5
"""Part of the time allowed for emptying a disk in which it stays for the others' sake: a lost disk
is back in the set within one to three seconds, and eight to ten are allowed on the users' sites."""


Member = TypeVar("Member", bound=MemberLike)


def has_copied_enough(
    members: Sequence[MemberLike], own_host: str, read_hosts: Collection[str], tolerated: int
) -> bool:
    """Tells whether a disk outside the set has read from enough members to join.

    Every entry that enough members took must have been met: all members but ``tolerated``
    must have been read. A member under the own host's name is an earlier disk that is
    lost, and counts as one of those not read.
    """
    missed = sum(1 for member in members if member.host not in read_hosts)
    others = [member for member in members if member.host != own_host]
    return bool(others) and missed <= tolerated


def with_newcomer(members: Sequence[Member], newcomer: Member) -> list[Member] | None:
    """Returns the set with a newcomer in it, or None where it is in already.

    An earlier disk under the same host's name goes: its folder is empty now.
    """
    if any(member.generation == newcomer.generation for member in members):
        return None
    return [member for member in members if member.host != newcomer.host] + [newcomer]


def without_retired(
    members: Sequence[Member], host: str, tolerated: int, may_wait: bool = False
) -> list[Member] | None:
    """Returns the set without a disk that is to be emptied, or None where it has to stay.

    It stays while fewer would be left than a turn must stand on: with one disk where two are
    needed every turn would run and none could end. Leaving late is paid for; that is not.

    While it ``may_wait`` it stays as well where the others could not bear the loss of one: a disk
    that was lost meanwhile comes back, or a new one comes.
    """
    others = [member for member in members if member.host != host]
    least = 2 * tolerated + 1 if may_wait else copies_needed(tolerated)
    if len(others) == len(members) or len(others) < least:
        return None
    return others


def stay_s(allowed_s: float) -> float:
    """Returns how long a disk that is to be emptied may wait for others, in seconds.

    The rest of the time is for leaving and for a last copy, with a store that may be away.
    """
    return STAY_SHARE * max(0.0, allowed_s)


def without_silent(
    members: Sequence[Member], silent_s_by_host: Mapping[str, float], tolerated: int
) -> list[Member] | None:
    """Returns the set without members that were silent for too long, or None.

    No more than ``tolerated`` may be silent at all: a host that hears nobody is cut off
    itself. And enough members must be left to bear the next loss.
    """
    silent = [member for member in members if member.host in silent_s_by_host]
    lost = [member for member in silent if silent_s_by_host[member.host] >= DROP_AFTER_S]
    kept = [member for member in members if member not in lost]
    if not lost or len(silent) > tolerated or len(kept) < 2 * tolerated + 1:
        return None
    return kept
