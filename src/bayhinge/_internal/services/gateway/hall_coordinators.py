"""Which host of each hall is the home of the hall's endpoints, as one host believes.

A home is found by hashing over the hall's ready hosts. Two hosts may disagree for a moment:
then loads are known less well, and nothing else.
"""

import asyncio
from collections.abc import Iterable

import attrs
import eliot

from bayhinge._internal.services.gateway.suspect_hosts import SuspectHosts
from bayhinge._internal.services.gossip import Gossip
from bayhinge._internal.wire.hosts import ttypes as wire
from bayhinge.coordination.rendezvous import choose

EMPTY_HALL_AFTER_S = 10.0
"""A hall of the settings of which no host was heard for so long is told of. Restarts of a small
hall's hosts take some seconds; on large sites hosts of other halls are heard more seldom, but each
hall has more of them."""


@attrs.frozen
class HallCoordinator:
    """The home of one hall's endpoints.

    Attributes:
        address: where its peers reach it, by TCP for calls and by UDP for loads.
    """

    hall: str
    host: str
    address: str


class HallCoordinators:
    """The homes of all halls."""

    def __init__(self, gossip: Gossip, halls: Iterable[str] = ()) -> None:
        """Takes what is heard of hosts, and the halls that the settings name."""
        self._gossip = gossip
        self._halls = sorted(set(halls) - {gossip.me.hall})
        self._last_seen_s_by_hall: dict[str, float] = {}
        self._empty_halls: set[str] = set()
        self._coordinator_by_hall: dict[str, HallCoordinator] = {}
        self._suspects = SuspectHosts(gossip.heard_s)

    def coordinator_of(self, hall: str) -> HallCoordinator | None:
        """Returns a hall's home, or None where no host of it is known."""
        return self._coordinator_by_hall.get(hall)

    @property
    def coordinated_hall(self) -> str:
        """The hall whose home this host is, or empty."""
        me = self._gossip.me
        coordinator = self._coordinator_by_hall.get(me.hall)
        return me.hall if coordinator is not None and coordinator.host == me.host else ""

    def other_coordinators(self) -> list[HallCoordinator]:
        """Returns the homes of halls that are not this host's own duty."""
        return [
            coordinator
            for coordinator in self._coordinator_by_hall.values()
            if coordinator.host != self._gossip.me.host
        ]

    def refresh(self) -> None:
        """Works out every home anew from the hosts that are heard."""
        me = self._gossip.me
        live = self._gossip.fresh(wire.HostRole.ENTRY)
        self._log_empty_halls({heartbeat.hall for heartbeat in live})
        hello_by_host = {
            heartbeat.host: heartbeat
            for heartbeat in (*live, me)
            if heartbeat.phase == wire.HostPhase.READY
        }
        hosts_by_hall: dict[str, list[str]] = {}
        for heartbeat in hello_by_host.values():
            if not self._suspects.has(heartbeat.host):
                hosts_by_hall.setdefault(heartbeat.hall, []).append(heartbeat.host)
        previous = self._coordinator_by_hall.get(me.hall)
        self._coordinator_by_hall = {}
        for hall, hosts in hosts_by_hall.items():
            host = choose(f"home of {hall}", hosts)
            if host is not None:
                self._coordinator_by_hall[hall] = HallCoordinator(
                    hall, host, hello_by_host[host].peer_address
                )
        coordinator = self._coordinator_by_hall.get(me.hall)
        if coordinator != previous:
            eliot.log_message(
                "home.changed",
                hall=me.hall,
                home=coordinator.host if coordinator else "",
                before=previous.host if previous else "",
                heard=len(hosts_by_hall.get(me.hall, [])),
            )

    def _log_empty_halls(self, live: set[str]) -> None:
        """Logs halls without hosts: their callers and endpoints are served from other halls."""
        now = _now()
        for hall in self._halls:
            if hall in live:
                self._last_seen_s_by_hall[hall] = now
                if hall in self._empty_halls:
                    self._empty_halls.discard(hall)
                    eliot.log_message("hall.has_hosts", hall=hall)
            elif hall not in self._empty_halls:
                since_s = self._last_seen_s_by_hall.setdefault(hall, now)
                if now - since_s >= EMPTY_HALL_AFTER_S:
                    self._empty_halls.add(hall)
                    eliot.log_message("hall.without_hosts", hall=hall, since_s=EMPTY_HALL_AFTER_S)

    def suspect(self, coordinator: HallCoordinator, why: str) -> None:
        """A home did not answer."""
        eliot.log_message("home.silent", hall=coordinator.hall, home=coordinator.host, why=why)
        self._suspects.add(coordinator.host)
        self.refresh()

    def follow_redirect(self, hall: str, host: str) -> HallCoordinator | None:
        """Takes another host's word on who a hall's home is; None where it is not to be had."""
        if self._suspects.has(host):
            return None
        for heartbeat in self._gossip.fresh(wire.HostRole.ENTRY):
            if heartbeat.host == host:
                coordinator = self._coordinator_by_hall[hall] = HallCoordinator(
                    hall, host, heartbeat.peer_address
                )
                return coordinator
        return None


def _now() -> float:
    return asyncio.get_running_loop().time()
