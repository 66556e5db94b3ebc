"""Partitions a pool into cells, each small enough to be queued for by one host.

One queue for a whole pool decides best, but its dispatcher would handle every call of all engines.
Cells of some eight engines keep nearly all of the benefit, and bound the cost of a decision.
"""

import xxhash

from bayhinge._internal.models.endpoints import Endpoint

MAX_UNSPLIT_POOL = 16
"""Largest pool that is kept as a single cell."""
TARGET_CELL_SIZE = 8
SEPARATOR = "~"


def cell_count(endpoints: int) -> int:
    """Returns the number of cells of a pool."""
    return 1 if endpoints <= MAX_UNSPLIT_POOL else -(-endpoints // TARGET_CELL_SIZE)


def cell_name(pool: str, number: int) -> str:
    """Returns the name of a cell."""
    return f"{pool}{SEPARATOR}{number}"


def pool_of(cell: str) -> str:
    """Returns the pool that a cell belongs to."""
    return cell.rpartition(SEPARATOR)[0]


def cell_of(pool: str, key: str, count: int) -> str:
    """Returns the cell that a program or an endpoint belongs to.

    Jump consistent hashing keeps most keys in place when the number of cells changes.
    """
    return cell_name(pool, _jump_hash(xxhash.xxh3_64_intdigest(key.encode()), count))


def endpoints_of(cell: str, listed: list[Endpoint]) -> list[Endpoint]:
    """Selects a cell's endpoints from those of its pool."""
    pool = pool_of(cell)
    count = cell_count(len(listed))
    return [item for item in listed if cell_of(pool, item.name, count) == cell]


def _jump_hash(key: int, buckets: int) -> int:
    """Jump consistent hash (Lamping and Veach, 2014)."""
    chosen, following = -1, 0
    while following < buckets:
        chosen = following
        key = (key * 2862933555777941757 + 1) & 0xFFFFFFFFFFFFFFFF
        following = int((chosen + 1) * ((1 << 31) / ((key >> 33) + 1)))
    return chosen
