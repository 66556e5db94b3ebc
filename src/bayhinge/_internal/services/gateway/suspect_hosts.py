"""Hosts that failed to answer, and are skipped until their next heartbeat."""

import asyncio
from collections.abc import Callable

SUSPECT_S = 1.0
"""Minimum time for which a host is suspected after it failed to answer."""


class SuspectHosts:
    """The hosts that this host suspects of having failed.

    ``last_seen_s`` returns the time of a host's last heartbeat, on the loop's clock.
    """

    def __init__(self, last_seen_s: Callable[[str], float]) -> None:
        self._last_seen_s = last_seen_s
        self._since_by_host: dict[str, float] = {}

    def add(self, host: str) -> None:
        """Suspects a host that did not answer."""
        self._since_by_host[host] = asyncio.get_running_loop().time()

    def has(self, host: str) -> bool:
        """Returns whether a host is suspected."""
        since_s = self._since_by_host.get(host)
        if since_s is None:
            return False
        now = asyncio.get_running_loop().time()
        if now < since_s + SUSPECT_S or self._last_seen_s(host) < since_s:
            return True
        del self._since_by_host[host]
        return False

    def forgive(self, host: str) -> bool:
        """Ends a suspicion, as another host hears this one; returns whether it is over.

        It is kept for its minimum time, so that a host which does not answer is rarely called.
        """
        since_s = self._since_by_host.get(host)
        if since_s is not None and asyncio.get_running_loop().time() < since_s + SUSPECT_S:
            return False
        self._since_by_host.pop(host, None)
        return True
