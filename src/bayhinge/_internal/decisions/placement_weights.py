"""What speaks for and against an endpoint, in one measure: load as a share of its slots. Pure.

Endpoints of many slots are judged by shares of them. Where slots are few, a share is less than
one request, and choices would follow noise: there the same things are worth whole requests.
"""

OWN_CACHE_SHARE = 0.3
"""Load that a request accepts for its program's own cache at an endpoint of many slots."""

SHARED_PART_SHARE = 0.1
"""The same for parts that many programs share: after a while most endpoints have read them."""

TOKENS_A_REQUEST = 1000.0
"""Tokens that need not be read again are worth one request more under way. Reading them takes an
engine 16 to 26 ms, in which nothing else there goes on. Of 500, 1,000, 2,000 and 4,000, played on
eight shapes of sites (4 to 64 slots, 6 to 60 engines, 1.8 times the load for 6 s), 1,000 served
most on all: 1.00 of the programs in time where shares of slots alone gave 0.27 to 0.96 at six
slots, with a third of the tokens read; at 64 slots it changes nothing."""

OTHER_HALL_SHARE = 0.15
"""Load that a request accepts to stay in its own hall. A program's turns follow its first one, so
each one that goes abroad carries a whole history between halls."""

OTHER_HALL_REQUESTS = 2.0
"""The same in requests: what the figures of another hall are behind by. With 0.15 of six slots, 78
of 100 turns of a site of five halls went to another hall in a burst, and stayed there after it."""

COMPLAINT_SHARE = 0.15
"""Load that one host's bad experience with an endpoint counts for at its hall's home: one complaint
rarely moves work, four keep it away while others have room."""

COMPLAINT_REQUESTS = 2.0
"""The same in requests: an endpoint that fails at once has none under way, and so looks free."""

COMPLAINTS_BELIEVED = 2
"""Hosts whose complaints let a home pass an endpoint over while others have room. One host may have
a bad way to it; a flapping endpoint otherwise fails at each host of a site in turn."""

ROOM = 0.75
"""Load below which an endpoint has room for what is kept from those that others complain of."""


def own_cache(slots: int, kept_tokens: int) -> float:
    """Returns what an endpoint's cache of a program's history is worth."""
    return max(OWN_CACHE_SHARE, _of(kept_tokens / TOKENS_A_REQUEST, slots))


def shared_part(slots: int, tokens: int) -> float:
    """Returns what an endpoint is worth at which requests with the same shared part gather."""
    return max(SHARED_PART_SHARE, _of(tokens / TOKENS_A_REQUEST, slots))


def other_hall(slots: int) -> float:
    """Returns what speaks against an endpoint of another hall."""
    return max(OTHER_HALL_SHARE, _of(OTHER_HALL_REQUESTS, slots))


def complaint(slots: int) -> float:
    """Returns what one host's complaint speaks against an endpoint."""
    return max(COMPLAINT_SHARE, _of(COMPLAINT_REQUESTS, slots))


def _of(requests: float, slots: int) -> float:
    return requests / max(1, slots)
