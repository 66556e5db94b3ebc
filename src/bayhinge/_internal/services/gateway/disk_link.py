"""The way to disks: straight, or through another entry host where a cut lies between.

Hellos tell within a second which disks a host hears and which its peers hear, so a turn
does not have to wait for a time-out to learn of a cut.
"""

import asyncio
import random

import eliot

from bayhinge._internal.exceptions import FrameError, PeerFailureError, PeerUnreachableError
from bayhinge._internal.network.frames import encode_message
from bayhinge._internal.network.peer_link import Peers
from bayhinge._internal.services import methods
from bayhinge._internal.services.gateway.disk_directory import DiskDirectory
from bayhinge._internal.services.gossip import Gossip
from bayhinge._internal.wire.hosts import ttypes as wire

ANSWER_S = 1.2
"""Time for one disk's answer; after it the disk is held silent."""

LOG_EVERY = 100
"""Relayed calls between two log lines: a cut lasts seconds, and each turn makes several."""


class DiskUnreachableError(Exception):
    """A disk did not answer, or refused."""


class DiskLink:
    """Calls disks for one entry host."""

    def __init__(self, directory: DiskDirectory, gossip: Gossip, peers: Peers) -> None:
        """Takes who the disks are, who hears whom, and the way to other hosts."""
        self._directory = directory
        self._gossip = gossip
        self._peers = peers
        self.relayed = 0

    async def call(self, member: wire.DiskMember, method: str, message: bytes) -> bytes:
        """Returns a disk's answer.

        Raises:
            DiskUnreachableError: there was none, or it was a refusal.
        """
        relay = self._relay_for(member)
        try:
            async with asyncio.timeout(ANSWER_S):
                if relay is None:
                    answer = await self._peers.call(member.address, method, message)
                else:
                    answer = await self._call_through(relay, member, method, message)
        except (TimeoutError, PeerUnreachableError, PeerFailureError, FrameError) as error:
            why = str(error) or "no answer in time"
            self._directory.note_failure(member, why)
            raise DiskUnreachableError(why) from error
        self._directory.note_success(member)
        return answer

    def _relay_for(self, member: wire.DiskMember) -> wire.Hello | None:
        """Returns a host to go through, or None where the straight way is the best there is."""
        is_well = not self._directory.is_suspect(member)
        if is_well and self._gossip.hears(member.host):
            return None
        relays = [
            hello
            for hello in self._gossip.fresh(wire.HostRole.ENTRY)
            if member.host in hello.heard_disks and hello.phase == wire.HostPhase.READY
        ]
        return random.choice(relays) if relays else None

    async def _call_through(
        self, relay: wire.Hello, member: wire.DiskMember, method: str, message: bytes
    ) -> bytes:
        self.relayed += 1
        if self.relayed == 1 or self.relayed % LOG_EVERY == 0:
            eliot.log_message(
                "disk.relayed", disk=member.host, through=relay.host, count=self.relayed
            )
        call = wire.RelayCall(member.address, method, message)
        return await self._peers.call(relay.peer_address, methods.RELAY, encode_message(call))
