"""The way to disks: straight, or through another entry host where a cut lies between.

A turn must not wait for a time-out to learn of a cut: where the straight way has not
answered after a moment, the call goes through a peer as well. What disks are asked may be
done twice, so the two ways do not disturb each other.
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

HEDGE_S = 0.1
"""Time for the straight way alone: some twenty times an ordinary answer."""

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
        """Returns a disk's answer, by whichever way it comes first.

        Raises:
            DiskUnreachableError: there was none, or it was a refusal.
        """
        straight = asyncio.ensure_future(self._peers.call(member.address, method, message))
        try:
            if not self._directory.is_suspect(member):
                await asyncio.wait({straight}, timeout=HEDGE_S)
            if not straight.done() or _failed(straight):
                return await self._call_both_ways(straight, member, method, message)
        finally:
            straight.cancel()
        self._directory.note_success(member)
        return straight.result()

    async def _call_both_ways(
        self, straight: asyncio.Task[bytes], member: wire.DiskMember, method: str, message: bytes
    ) -> bytes:
        ways = {straight}
        relay = self._relay()
        if relay is not None:
            call = self._call_through(relay, member, method, message)
            ways.add(asyncio.ensure_future(call))
        try:
            async with asyncio.timeout(ANSWER_S):
                answer = await _first_answer(ways)
        except (TimeoutError, PeerUnreachableError, PeerFailureError, FrameError) as error:
            why = str(error) or "no answer in time"
            self._directory.note_failure(member, why)
            raise DiskUnreachableError(why) from error
        finally:
            for way in ways:
                way.cancel()
        if straight.done() and not straight.cancelled() and not _failed(straight):
            self._directory.note_success(member)
        else:
            self._directory.note_failure(member, "only a peer reaches it")
        return answer

    def _relay(self) -> wire.Hello | None:
        """Returns a host to go through: of the own hall, where there is one."""
        peers = [
            hello
            for hello in self._gossip.fresh(wire.HostRole.ENTRY)
            if hello.phase == wire.HostPhase.READY
        ]
        near = [hello for hello in peers if hello.hall == self._gossip.me.hall]
        return random.choice(near or peers) if peers else None

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


def _failed(way: asyncio.Task[bytes]) -> bool:
    return way.done() and not way.cancelled() and way.exception() is not None


async def _first_answer(ways: set[asyncio.Task[bytes]]) -> bytes:
    """Returns the first answer; raises the last error where every way has failed."""
    waiting = set(ways)
    while True:
        finished, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        for way in finished:
            if not _failed(way) or not waiting:
                return way.result()
