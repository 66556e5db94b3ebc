"""Rendezvous hashing: each key ranks the candidates by itself.

When a candidate goes, only its own keys move, and they spread over all others.
"""

from collections.abc import Iterable

import xxhash


def _score(key: str, candidate: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{key}\0{candidate}".encode()), candidate


def rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Returns the candidates, best first. The result depends on the set alone."""
    return sorted(set(candidates), key=lambda candidate: _score(key, candidate), reverse=True)


def choose(key: str, candidates: Iterable[str]) -> str | None:
    """Returns the best candidate, or None where there are none."""
    return max(candidates, key=lambda candidate: _score(key, candidate), default=None)
