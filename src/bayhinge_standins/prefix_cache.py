"""An engine's prefix cache: a tree of message prefixes in limited memory.

A node is one message after a certain prefix. Nodes in use by a running request or held
for a paused program are pinned; the others are evicted in LRU order, leaves first.
"""

from collections import OrderedDict
from collections.abc import Iterable

import attrs


@attrs.frozen
class PrefixPart:
    """One message of a prompt: the digest of the prefix that it ends, and its tokens."""

    digest: str
    tokens: int


@attrs.define
class _Node:
    tokens: int
    parent: str | None
    children: int = 0
    pins: int = 0


class PrefixCache:
    """A cache of at most ``capacity_tokens``, which pinned prefixes may exceed."""

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        self.used_tokens = 0
        self.evicted_tokens = 0
        self._nodes_by_digest: OrderedDict[str, _Node] = OrderedDict()

    def match(self, parts: Iterable[PrefixPart]) -> int:
        """Returns the number of leading prompt tokens that are cached."""
        cached = 0
        for part in parts:
            if part.digest not in self._nodes_by_digest:
                break
            cached += part.tokens
        return cached

    def pin(self, parts: list[PrefixPart]) -> list[PrefixPart]:
        """Adds a prompt and retains it until :meth:`unpin`; returns the added parts."""
        added: list[PrefixPart] = []
        parent: str | None = None
        for part in parts:
            node = self._nodes_by_digest.get(part.digest)
            if node is None:
                node = _Node(part.tokens, parent)
                self._nodes_by_digest[part.digest] = node
                self.used_tokens += part.tokens
                added.append(part)
                if parent is not None:
                    self._nodes_by_digest[parent].children += 1
            node.pins += 1
            self._nodes_by_digest.move_to_end(part.digest)
            parent = part.digest
        self._evict_to_capacity()
        return added

    def unpin(self, parts: Iterable[PrefixPart]) -> None:
        """Removes one pin from each part of a prompt."""
        for part in parts:
            node = self._nodes_by_digest.get(part.digest)
            if node is not None and node.pins:
                node.pins -= 1
        self._evict_to_capacity()

    def drop(self, parts: Iterable[PrefixPart]) -> None:
        """Evicts the parts of a prompt that are neither pinned nor a prefix of others."""
        for part in reversed(list(parts)):
            node = self._nodes_by_digest.get(part.digest)
            if node is not None and not node.pins and not node.children:
                self._evict(part.digest, node)

    @property
    def pinned_tokens(self) -> int:
        """Number of tokens in pinned nodes."""
        return sum(node.tokens for node in self._nodes_by_digest.values() if node.pins)

    def clear(self) -> None:
        """Removes all entries, as a restart does."""
        self._nodes_by_digest.clear()
        self.used_tokens = 0

    def _evict_to_capacity(self) -> None:
        if self.used_tokens <= self.capacity_tokens:
            return
        for digest in list(self._nodes_by_digest):
            node = self._nodes_by_digest[digest]
            if not node.pins and not node.children:
                self._evict(digest, node)
            if self.used_tokens <= self.capacity_tokens:
                return

    def _evict(self, digest: str, node: _Node) -> None:
        del self._nodes_by_digest[digest]
        self.used_tokens -= node.tokens
        self.evicted_tokens += node.tokens
        if node.parent is not None and node.parent in self._nodes_by_digest:
            self._nodes_by_digest[node.parent].children -= 1
