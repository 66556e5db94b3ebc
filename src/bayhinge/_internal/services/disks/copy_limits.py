"""Period and message sizes of copying between disk hosts."""

from collections.abc import Callable, Iterable
from typing import TypeVar

Item = TypeVar("Item")

COPY_PERIOD_S = 0.8
"""Time between two reads of the other disks' logs."""

KEYS_PER_CALL = 2000
"""Maximum keys in one message; some 80 KB."""

KEY_BYTES_PER_CALL = 200_000
"""Maximum bytes of the keys in one message, as callers choose attempts."""

ENTRIES_PER_CALL = 60
"""Maximum entries in one message; usually some 400 KB, so that turns are not delayed."""

ENTRY_BYTES_PER_CALL = 1_000_000
"""Maximum bytes of the entries in one message, or of one longer entry: arrives and is synced well
within a call's timeout."""


def first_within(
    items: Iterable[Item], length_of: Callable[[Item], int], most_bytes: int
) -> list[Item]:
    """Returns the first items that together have at most ``most_bytes``, and at least one."""
    found: list[Item] = []
    total = 0
    for item in items:
        total += length_of(item)
        if found and total > most_bytes:
            break
        found.append(item)
    return found


def first_keys(keys: list[str]) -> list[str]:
    """Returns the first of some keys, for one message."""
    return first_within(keys[:KEYS_PER_CALL], len, KEY_BYTES_PER_CALL)
