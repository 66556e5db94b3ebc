"""Which host coordinates the quota of each account, as one host sees it.

Coordinators are chosen by rendezvous hashing over the site's ready hosts. Views of hosts differ for
as long as heartbeats take, and longer where one has no way to another.
"""

import asyncio
import math
from collections.abc import Collection, Iterable

import attrs

from bayhinge._internal.services.gateway.suspect_hosts import SuspectHosts
from bayhinge._internal.services.gossip import Gossip
from bayhinge._internal.wire.hosts import ttypes as wire
from bayhinge.coordination.rendezvous import choose

STALL_S = 1.0
"""Gap between gossip rounds after which a host has stalled, and others took its accounts over."""

SITE_MEMBER_S = 10.0
"""Hosts seen within this time count as members of the site."""


@attrs.frozen
class RoundChanges:
    """What a gossip round has changed.

    Attributes:
        has_new_hosts: hosts came or went, so accounts may have new coordinators.
        has_stalled: this host stood still, and others may have taken its accounts over.
    """

    has_new_hosts: bool
    has_stalled: bool


class QuotaCoordinators:
    """The coordinators of all accounts.

    Attributes:
        changed_s: when this host last changed its view, on the loop's clock.
        share: share of the site's hosts that this host receives heartbeats from.
    """

    def __init__(self, gossip: Gossip) -> None:
        self._gossip = gossip
        self._suspected = SuspectHosts(gossip.last_seen_s)
        self._address_by_host: dict[str, str] = {}
        self._coordinator_by_account: dict[str, str] = {}
        self._round_s = -math.inf
        self.changed_s = -math.inf
        self.share = 1.0

    @property
    def me(self) -> str:
        """The name of this host."""
        return self._gossip.own_heartbeat.host

    def find(self, account: str, silent: Collection[str] = ()) -> str:
        """Returns an account's coordinator, skipping ``silent`` hosts."""
        coordinator = self._coordinator_by_account.get(account)
        if coordinator is None or coordinator in silent:
            hosts = [
                host
                for host in self._address_by_host
                if host not in silent and not self._suspected.has(host)
            ]
            coordinator = _choose(account, hosts) or self.me
            if not silent:
                self._coordinator_by_account[account] = coordinator
        return coordinator

    def comes_before(self, account: str, host: str, other: str) -> bool:
        """Returns whether a host would be the account's coordinator rather than another one."""
        return _choose(account, (host, other)) == host

    def is_reachable(self, host: str) -> bool:
        """Returns whether this host receives a host's heartbeats, and gets answers from it."""
        return host in self._address_by_host and not self._suspected.has(host)

    def address_of(self, host: str) -> str | None:
        """Returns where a host is called, or None if it has left."""
        return self._address_by_host.get(host)

    def suspect(self, host: str) -> None:
        """Skips a host until its next heartbeat."""
        self._suspected.add(host)
        self._coordinator_by_account = {
            account: coordinator
            for account, coordinator in self._coordinator_by_account.items()
            if coordinator != host
        }
        self.changed_s = asyncio.get_running_loop().time()

    def refresh(self) -> RoundChanges:
        """Updates the hosts that may be coordinators; called in each gossip round."""
        now = asyncio.get_running_loop().time()
        live = self._gossip.recent_heartbeats(wire.HostRole.ENTRY)
        address_by_host = {
            heartbeat.host: heartbeat.peer_address
            for heartbeat in (*live, self._gossip.own_heartbeat)
            if heartbeat.phase == wire.HostPhase.READY and not self._suspected.has(heartbeat.host)
        }
        changes = RoundChanges(
            has_new_hosts=address_by_host.keys() != self._address_by_host.keys(),
            has_stalled=now - self._round_s > STALL_S,
        )
        self._round_s = now
        self._address_by_host = address_by_host
        if changes.has_new_hosts or changes.has_stalled:
            self._coordinator_by_account = {}
            self.changed_s = now
        known = 1 + self._gossip.count_seen_within(wire.HostRole.ENTRY, SITE_MEMBER_S)
        self.share = min(1.0, (1 + len(live)) / known)
        return changes


def _choose(account: str, hosts: Iterable[str]) -> str | None:
    """Returns the host that is the account's coordinator among these, or None without hosts."""
    return choose(f"quota of {account}", hosts)
