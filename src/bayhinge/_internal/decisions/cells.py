"""Cuts a pool into cells: parts small enough for one host to queue for.

One queue before a whole pool decides best, and costs most: its home would see every
call of 630 engines. A cell of some eight engines keeps nearly all of the benefit, and
a decision's cost does not grow with the pool.
"""

import xxhash

from bayhinge._internal.models.endpoints import Endpoint

LARGEST_CELL = 16
"""A pool up to this size is one cell; both of today's users have such pools."""
USUAL_CELL = 8
SEPARATOR = "~"


def cell_count(endpoints: int) -> int:
    """Returns into how many cells a pool of so many endpoints is cut."""
    return 1 if endpoints <= LARGEST_CELL else -(-endpoints // USUAL_CELL)


def cell_name(pool: str, number: int) -> str:
    """Returns the name of a cell."""
    return f"{pool}{SEPARATOR}{number}"


def pool_of(cell: str) -> str:
    """Returns the pool that a cell belongs to."""
    return cell.rpartition(SEPARATOR)[0]


def cell_of(pool: str, key: str, count: int) -> str:
    """Returns the cell that a program or an endpoint belongs to.

    A jump through the usual consistent hash keeps most keys in place when the number
    of cells changes, and costs the logarithm of it.
    """
    return cell_name(pool, _jump(xxhash.xxh3_64_intdigest(key.encode()), count))


def endpoints_of(cell: str, listed: list[Endpoint]) -> list[Endpoint]:
    """Returns a cell's endpoints from those of its pool."""
    pool = pool_of(cell)
    count = cell_count(len(listed))
    return [item for item in listed if cell_of(pool, item.name, count) == cell]


def _jump(key: int, buckets: int) -> int:
    """The jump consistent hash of Lamping and Veach (2014)."""
    chosen, following = -1, 0
    while following < buckets:
        chosen = following
        key = (key * 2862933555777941757 + 1) & 0xFFFFFFFFFFFFFFFF
        following = int((chosen + 1) * ((1 << 31) / ((key >> 33) + 1)))
    return chosen
