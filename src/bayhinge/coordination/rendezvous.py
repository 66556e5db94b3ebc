"""Rendezvous (highest random weight) hashing.

When a candidate is removed, only its keys move, and they spread over all the others.
"""

from collections.abc import Iterable

import xxhash


def _score(key: str, candidate: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{key}\0{candidate}".encode()), candidate


def rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Returns the candidates, best first, whatever the order in which they are given."""
    return sorted(set(candidates), key=lambda candidate: _score(key, candidate), reverse=True)


def choose(key: str, candidates: Iterable[str]) -> str | None:
    """Returns the best candidate, or None where there are none."""
    return max(candidates, key=lambda candidate: _score(key, candidate), default=None)
