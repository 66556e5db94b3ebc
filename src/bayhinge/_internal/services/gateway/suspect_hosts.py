"""Hosts that did not answer a moment ago, and are passed over until they are heard again."""

import asyncio
from collections.abc import Callable

SUSPECT_S = 1.0
"""A host that did not answer is passed over for so long at least, and until it is heard again."""


class SuspectHosts:
    """Hosts that did not answer."""

    def __init__(self, last_seen_s: Callable[[str], float]) -> None:
        """Takes what tells when a host was last heard, on the loop's clock."""
        self._last_seen_s = last_seen_s
        self._since_by_host: dict[str, float] = {}

    def add(self, host: str) -> None:
        """A host did not answer."""
        self._since_by_host[host] = asyncio.get_running_loop().time()

    def has(self, host: str) -> bool:
        """Tells whether a host is passed over."""
        since_s = self._since_by_host.get(host)
        if since_s is None:
            return False
        now = asyncio.get_running_loop().time()
        if now < since_s + SUSPECT_S or self._last_seen_s(host) < since_s:
            return True
        del self._since_by_host[host]
        return False
