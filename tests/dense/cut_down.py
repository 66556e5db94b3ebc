"""Cuts a failing day down, by itself, to the shortest one that still fails."""

from collections.abc import Callable, Iterator

from tests.dense.days import DenseDay

MOST_PLAYS = 40
"""Days have up to some 20 entries: halves, quarters, then each alone need about so many plays."""


def cut_down(
    day: DenseDay, still_fails: Callable[[DenseDay], bool], most_plays: int = MOST_PLAYS
) -> DenseDay:
    """Returns the day less every entry that the failure does not need.

    Pieces are left out from halves down to single entries, and again from the start wherever a
    piece could go, so that no single entry of the result can be left out. The result is as short
    as ``most_plays`` allowed: a failure that needs luck may keep more.
    """
    plays = 0
    length = max(1, day.size // 2)
    while True:
        shorter = None
        for piece in _pieces(day.size, length):
            if plays >= most_plays:
                return day
            candidate = day.without(piece)
            if not candidate.size:
                continue
            plays += 1
            if still_fails(candidate):
                shorter = candidate
                break
        if shorter is not None:
            day = shorter
            length = min(length, max(1, day.size // 2))
        elif length == 1:
            return day
        else:
            length = max(1, length // 2)


def _pieces(size: int, length: int) -> Iterator[frozenset[int]]:
    for first in range(0, size, length):
        yield frozenset(range(first, min(size, first + length)))
