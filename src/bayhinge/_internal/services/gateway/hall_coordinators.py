"""Selects the coordinator of each hall's endpoints.

A coordinator is chosen by rendezvous hashing over the hall's ready hosts. Hosts may disagree for
a moment; this makes load counts less accurate, and has no other effect.
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
"""Silence after which a configured hall is logged as empty; longer than a restart of a small
hall's hosts."""


@attrs.frozen
class HallCoordinator:
    """The coordinator of one hall's endpoints.

    Attributes:
        address: peer address, TCP for calls and UDP for load reports.
    """

    hall: str
    host: str
    address: str


class HallCoordinators:
    """The coordinators of all halls, as seen by one host.

    Attributes:
        ready_hosts: number of ready entry hosts of all halls, this one included.
        is_isolated: this host suspects most of the other ready hosts of its hall. It may be the
            only one that takes itself for the coordinator.
    """

    def __init__(self, gossip: Gossip, halls: Iterable[str] = ()) -> None:
        self._gossip = gossip
        self._halls = sorted(set(halls) - {gossip.own_heartbeat.hall})
        self._last_seen_s_by_hall: dict[str, float] = {}
        self._empty_halls: set[str] = set()
        self._coordinator_by_hall: dict[str, HallCoordinator] = {}
        self._suspected = SuspectHosts(gossip.last_seen_s)
        self.ready_hosts = 1
        self.is_isolated = False

    def coordinator_of(self, hall: str) -> HallCoordinator | None:
        """Returns a hall's coordinator, or None if no ready host of the hall is known."""
        return self._coordinator_by_hall.get(hall)

    @property
    def coordinated_hall(self) -> str:
        """The hall that this host coordinates, or an empty string."""
        me = self._gossip.own_heartbeat
        coordinator = self._coordinator_by_hall.get(me.hall)
        return me.hall if coordinator is not None and coordinator.host == me.host else ""

    def other_coordinators(self) -> list[HallCoordinator]:
        """Returns the coordinators other than this host."""
        return [
            coordinator
            for coordinator in self._coordinator_by_hall.values()
            if coordinator.host != self._gossip.own_heartbeat.host
        ]

    def refresh(self) -> None:
        """Selects all coordinators again from the live hosts."""
        me = self._gossip.own_heartbeat
        live = self._gossip.recent_heartbeats(wire.HostRole.ENTRY)
        self._log_empty_halls({heartbeat.hall for heartbeat in live})
        heartbeat_by_host = {
            heartbeat.host: heartbeat
            for heartbeat in (*live, me)
            if heartbeat.phase == wire.HostPhase.READY
        }
        self.ready_hosts = max(1, len(heartbeat_by_host))
        hosts_by_hall: dict[str, list[str]] = {}
        for heartbeat in heartbeat_by_host.values():
            if not self._suspected.has(heartbeat.host):
                hosts_by_hall.setdefault(heartbeat.hall, []).append(heartbeat.host)
        others = sum(one.hall == me.hall for one in heartbeat_by_host.values()) - 1
        trusted = len(hosts_by_hall.get(me.hall, [])) - 1
        self.is_isolated = 2 * trusted < others
        before = self._coordinator_by_hall.get(me.hall)
        self._coordinator_by_hall = {}
        for hall, hosts in hosts_by_hall.items():
            host = choose(f"home of {hall}", hosts)
            if host is not None:
                self._coordinator_by_hall[hall] = HallCoordinator(
                    hall, host, heartbeat_by_host[host].peer_address
                )
        coordinator = self._coordinator_by_hall.get(me.hall)
        if coordinator != before:
            eliot.log_message(
                "home.changed",
                hall=me.hall,
                home=coordinator.host if coordinator else "",
                before=before.host if before else "",
                heard=len(hosts_by_hall.get(me.hall, [])),
            )

    def _log_empty_halls(self, live: set[str]) -> None:
        """Logs halls without live hosts; other halls serve their callers and endpoints."""
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

    def mark_suspected(self, coordinator: HallCoordinator, why: str) -> None:
        """Suspects a coordinator that did not answer, and selects another one."""
        eliot.log_message("home.silent", hall=coordinator.hall, home=coordinator.host, why=why)
        self._suspected.add(coordinator.host)
        self.refresh()

    def follow_redirect(self, hall: str, host: str) -> HallCoordinator | None:
        """Adopts the coordinator that another host reported; returns None if it is not live."""
        if not self._suspected.forgive(host):
            return None
        for heartbeat in self._gossip.recent_heartbeats(wire.HostRole.ENTRY):
            if heartbeat.host == host:
                coordinator = self._coordinator_by_hall[hall] = HallCoordinator(
                    hall, host, heartbeat.peer_address
                )
                return coordinator
        return None


def _now() -> float:
    return asyncio.get_running_loop().time()
