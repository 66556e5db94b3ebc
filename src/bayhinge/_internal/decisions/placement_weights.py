"""Weights for and against an endpoint, in units of load (requests per slot). Pure.

Each weight is a share of the slots, but at least a number of requests: with few slots a share is
less than one request, and choices would follow noise.
"""

OWN_CACHE_SHARE = 0.3
"""Load accepted for the program's own cache at an endpoint of many slots."""

SHARED_PART_SHARE = 0.1
"""Load accepted for a shared part. Low, as most endpoints have it in cache after a while."""

TOKENS_PER_REQUEST = 1000.0
"""Cached tokens that are worth one more request in flight. Recomputing them takes an engine some
20 ms, in which it serves nothing else."""

OTHER_HALL_SHARE = 0.15
"""Load accepted to stay in the same hall. A program's turns follow its first one, so a request that
leaves the hall moves a whole history between halls."""

OTHER_HALL_REQUESTS = 2.0
"""The same in requests; covers the staleness of another hall's figures. Too low a value lets a
burst move programs to other halls, where they stay: 0.15 of six slots did so with 78 of 100 turns
of a site of five halls."""

FAILURE_REPORT_SHARE = 0.15
"""Load penalty per host that reports failures: one report rarely moves work, four keep it away
while other endpoints have room."""

FAILURE_REPORT_REQUESTS = 2.0
"""The same in requests; an endpoint that fails at once has none in flight, so it looks idle."""

MIN_FAILURE_REPORTS = 2
"""Reporting hosts from which on an endpoint is avoided while others have room. A single host may
have a bad network path to it; a flapping endpoint would otherwise fail at each host in turn."""

ROOM_LOAD = 0.75
"""Load below which an endpoint has room for work that is kept away from reported endpoints."""


def own_cache(slots: int, kept_tokens: int) -> float:
    """Returns the weight of a program's cached history, as load."""
    return max(OWN_CACHE_SHARE, _as_share(kept_tokens / TOKENS_PER_REQUEST, slots))


def shared_part(slots: int, tokens: int) -> float:
    """Returns the weight of a cached shared part, as load."""
    return max(SHARED_PART_SHARE, _as_share(tokens / TOKENS_PER_REQUEST, slots))


def other_hall(slots: int) -> float:
    """Returns the penalty of an endpoint in another hall, as load."""
    return max(OTHER_HALL_SHARE, _as_share(OTHER_HALL_REQUESTS, slots))


def failure_report(slots: int) -> float:
    """Returns the penalty per host that reports failures, as load."""
    return max(FAILURE_REPORT_SHARE, _as_share(FAILURE_REPORT_REQUESTS, slots))


def _as_share(requests: float, slots: int) -> float:
    return requests / max(1, slots)
