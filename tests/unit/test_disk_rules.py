"""Quorums of disks, placement of replicas, and changes of the set of disks."""

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bayhinge._internal.decisions.disk_placement import missing_members_allowed, replicas_of
from bayhinge._internal.decisions.disk_quorum import (
    committed_tokens,
    copies_needed,
    reservations_needed,
)
from bayhinge._internal.decisions.disk_set_rules import (
    DROP_AFTER_S,
    has_read_enough,
    may_make_first_set,
    with_member_added,
    without_retired,
    without_silent,
)


@attrs.frozen
class Disk:
    host: str
    generation: int


A, B, C, D = (Disk(name, number) for number, name in enumerate("abcd", start=1))


def test_copies_outnumber_the_tolerated_losses() -> None:
    assert copies_needed(1) == 2
    assert copies_needed(2) == 3


@given(st.integers(1, 12), st.integers(0, 4))
def test_two_reservation_quorums_share_a_disk_also_after_the_tolerated_loss(
    members: int, tolerated: int
) -> None:
    needed = reservations_needed(members, tolerated)
    assert 2 * needed > members, "two quorums must share a disk"
    if members >= 2 * tolerated + 1:
        # Whichever `tolerated` disks are lost, a later quorum of the rest still shares one.
        assert needed <= members - tolerated
        assert needed + (members - tolerated) > members or members - tolerated >= needed


def test_settled_turns_count_their_usage_and_open_ones_their_reservation() -> None:
    replies = [({"x": 100, "y": 50}, {}), ({"x": 100, "own": 70}, {"x": 12})]
    assert committed_tokens("own", replies) == 12 + 50


@settings(max_examples=300)
@given(st.data())
def test_of_two_concurrent_turns_one_sees_the_other(data: st.DataObject) -> None:
    tolerated = data.draw(st.integers(1, 2))
    members = data.draw(st.integers(2 * tolerated + 1, 7))
    needed = reservations_needed(members, tolerated)
    disks: list[dict[str, int]] = [{} for _ in range(members)]
    # Each turn writes to its disks in any order, and reads each disk right after the write.
    steps = data.draw(
        st.permutations(
            [
                (turn, disk)
                for turn in ("first", "second")
                for disk in data.draw(
                    st.permutations(range(members)).map(lambda order: order[:needed])
                )
            ]
        )
    )
    seen: dict[str, list[tuple[dict[str, int], dict[str, int]]]] = {"first": [], "second": []}
    for turn, disk in steps:
        disks[disk][turn] = 10
        seen[turn].append((dict(disks[disk]), {}))
    committed = [committed_tokens(turn, seen[turn]) for turn in ("first", "second")]
    assert max(committed) == 10


def test_a_new_disk_replaces_the_former_disk_of_its_host() -> None:
    fresh = Disk("a", 9)
    assert with_member_added([A, B, C], fresh) == [B, C, fresh]
    assert with_member_added([A, B, C], D) == [A, B, C, D]
    assert with_member_added([A, B, C], B) is None


def test_a_new_disk_must_have_read_all_but_the_tolerated_losses() -> None:
    assert has_read_enough([A, B, C], "d", {"a", "b"}, tolerated=1)
    assert not has_read_enough([A, B, C], "d", {"a"}, tolerated=1)
    # Its own former disk counts as the tolerated loss: all others must have been read.
    assert has_read_enough([A, B, C], "a", {"b", "c"}, tolerated=1)
    assert not has_read_enough([A, B, C], "a", {"b"}, tolerated=1)
    assert not has_read_enough([A], "a", set(), tolerated=1)
    assert not has_read_enough([], "a", set(), tolerated=1)


def test_a_long_silent_member_is_dropped_unless_too_few_would_remain() -> None:
    long = DROP_AFTER_S + 0.1
    assert without_silent([A, B, C, D], {"a": long}, tolerated=1) == [B, C, D]
    assert without_silent([A, B, C, D], {"a": DROP_AFTER_S / 2}, tolerated=1) is None
    assert without_silent([A, B, C], {"a": long}, tolerated=1) is None
    # A disk that finds two of four others silent may be partitioned itself.
    assert without_silent([A, B, C, D], {"a": long, "b": 0.1}, tolerated=1) is None


@attrs.frozen
class HallMember:
    host: str
    hall: str


def members_in_halls(disks: int, halls: int) -> list[HallMember]:
    return [HallMember(f"d{number}", f"h{number % halls}") for number in range(disks)]


@given(st.integers(1, 14), st.integers(1, 5), st.integers(1, 2), st.text(max_size=8))
def test_replicas_of_a_program_are_spread_over_halls(
    disks: int, halls: int, tolerated: int, program: str
) -> None:
    members = members_in_halls(disks, halls)
    replicas = replicas_of(program, members, tolerated)
    assert len(replicas) == min(disks, 2 * tolerated + 1)
    assert len(set(replicas)) == len(replicas)
    assert len({replica.hall for replica in replicas}) == min(halls, disks, len(replicas))
    assert replicas_of(program, members[::-1], tolerated) == replicas or disks <= 2 * tolerated + 1


@given(st.integers(6, 14), st.integers(0, 13))
def test_removing_a_member_replaces_at_most_one_replica_of_a_program(
    disks: int, removed: int
) -> None:
    members = members_in_halls(disks, 5)
    remaining = [member for number, member in enumerate(members) if number != removed % disks]
    for number in range(30):
        before = set(replicas_of(f"p{number}", members, 2))
        after = set(replicas_of(f"p{number}", remaining, 2))
        assert len(before & after) >= 4


def test_missing_members_allowed_by_set_size() -> None:
    assert missing_members_allowed(2, 1) == 0
    assert missing_members_allowed(3, 1) == 1
    assert missing_members_allowed(9, 2) == 2
    assert missing_members_allowed(1, 1) == 0


def test_a_disk_may_retire_only_if_the_rest_can_still_store_turns() -> None:
    assert without_retired([A, B, C], "a", tolerated=1) == [B, C]
    assert without_retired([A, B], "a", tolerated=1) is None, "each turn needs two copies"
    assert without_retired([A, B, C], "a", tolerated=2) is None
    assert without_retired([B, C, D], "a", tolerated=1) is None, "it is no longer a member"


@pytest.mark.parametrize(
    ("members", "is_founder", "is_joined", "expected"),
    [
        ([], True, False, True),
        ([], True, True, False),
        ([], False, False, False),
        ([A], True, False, False),
    ],
)
def test_only_a_founder_that_has_not_joined_makes_the_first_set(
    members: list[Disk], is_founder: bool, is_joined: bool, expected: bool
) -> None:
    """Guards against a second first set, which would lack the turns of the former."""
    may = may_make_first_set(members, is_founder=is_founder, is_joined=is_joined)
    assert may is expected
