"""Shrinks a failing day to a smaller one that still fails (delta debugging)."""

from collections.abc import Callable, Iterator

from tests.dense.days import DenseDay

MOST_PLAYS = 40
"""Enough to try halves, quarters and single entries of a day of about 20 entries."""


def cut_down(
    day: DenseDay, still_fails: Callable[[DenseDay], bool], most_plays: int = MOST_PLAYS
) -> DenseDay:
    """Returns the day without the entries that the failure does not need.

    Removes blocks of entries, from halves down to single entries, and starts over after each
    successful removal, until no single entry can be removed. Stops early after ``most_plays`` runs;
    an intermittent failure may also keep more entries than it needs.
    """
    plays = 0
    length = max(1, day.size // 2)
    while True:
        smaller = None
        for block in _blocks(day.size, length):
            if plays >= most_plays:
                return day
            candidate = day.without(block)
            if not candidate.size:
                continue
            plays += 1
            if still_fails(candidate):
                smaller = candidate
                break
        if smaller is not None:
            day = smaller
            length = min(length, max(1, day.size // 2))
        elif length == 1:
            return day
        else:
            length = max(1, length // 2)


def _blocks(size: int, length: int) -> Iterator[frozenset[int]]:
    for first in range(0, size, length):
        yield frozenset(range(first, min(size, first + length)))
