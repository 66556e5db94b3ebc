"""Chooses the hosts that are told of a request's sends, so that these are known if a host dies.

They are one disk host and one entry host, by rendezvous hashing of the request: all hosts choose
the same ones, also for a caller that goes on elsewhere, and the loss of all hosts of one kind
leaves the other.
"""

from collections.abc import Callable, Iterable

import attrs

from bayhinge._internal.services.gossip import Gossip
from bayhinge._internal.wire.hosts import ttypes as wire
from bayhinge.coordination.rendezvous import choose


@attrs.frozen
class Witness:
    """A host that may be told of sends."""

    host: str
    address: str


class WitnessDirectory:
    """The hosts that may be told of sends, as one host knows them.

    Args:
        gossip: knows the entry hosts, and when a host was heard.
        disk_members: returns the members of the disk set, which is the same at all hosts.
    """

    def __init__(
        self, gossip: Gossip, disk_members: Callable[[], Iterable[wire.DiskMember]]
    ) -> None:
        self._gossip = gossip
        self._disk_members = disk_members
        self._silent_since_by_address: dict[str, float] = {}

    def choose(self, fingerprint: str) -> list[str]:
        """Returns the peer addresses of the witnesses of a request.

        In place of a silent host the next one is told as well, as others may know that already.
        """
        return [
            address
            for candidates in (self._disks(), self._entry_hosts())
            for address in self._choose(fingerprint, candidates)
        ]

    def _choose(self, fingerprint: str, candidates: Iterable[Witness]) -> list[str]:
        witness_by_host = {each.host: each for each in candidates}
        first = choose(fingerprint, witness_by_host)
        if first is None:
            return []
        chosen = [witness_by_host.pop(first)]
        if self._has_been_silent(chosen[0]):
            living = [each for each in witness_by_host.values() if not self._has_been_silent(each)]
            other = choose(fingerprint, (each.host for each in living))
            chosen += [] if other is None else [witness_by_host[other]]
        return [each.address for each in chosen]

    def _disks(self) -> list[Witness]:
        own = self._gossip.own_heartbeat.host
        members = self._disk_members()
        return [Witness(each.host, each.address) for each in members if each.host != own]

    def _entry_hosts(self) -> list[Witness]:
        return [
            Witness(heartbeat.host, heartbeat.peer_address)
            for heartbeat in self._gossip.recent_heartbeats(wire.HostRole.ENTRY)
            if heartbeat.phase != wire.HostPhase.LEAVING
        ]

    def mark_silent(self, address: str, since_s: float) -> None:
        """Records that a host does not answer."""
        self._silent_since_by_address[address] = since_s

    def mark_heard(self, address: str) -> None:
        """Records that a host has answered."""
        self._silent_since_by_address.pop(address, None)

    def is_silent(self, address: str) -> bool:
        """Whether a host has not answered, and has not been heard since."""
        return address in self._silent_since_by_address

    def _has_been_silent(self, witness: Witness) -> bool:
        since_s = self._silent_since_by_address.get(witness.address)
        if since_s is not None and self._gossip.last_seen_s(witness.host) > since_s:
            self.mark_heard(witness.address)
        return self.is_silent(witness.address)


class NoWitnesses(WitnessDirectory):
    """The directory of a host that knows no other one."""

    def __init__(self) -> None:
        """Needs no other service."""

    def choose(self, fingerprint: str) -> list[str]:
        """Returns none."""
        return []
