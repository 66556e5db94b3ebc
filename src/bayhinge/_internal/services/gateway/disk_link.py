"""The way to disks: straight, or through another entry host where a cut lies between.

A turn must not wait for a time-out to learn of a cut: where the straight way has not
answered after a moment, the call goes through a peer as well. What disks are asked may be
done twice, so the two ways do not disturb each other.
"""

import asyncio
import random

import attrs
import eliot

from bayhinge._internal.exceptions import FrameError, PeerFailureError, PeerUnreachableError
from bayhinge._internal.network.frames import encode_message
from bayhinge._internal.network.peers import Peers
from bayhinge._internal.services import methods
from bayhinge._internal.services.gateway.disk_directory import DiskDirectory
from bayhinge._internal.services.gossip import Gossip
from bayhinge._internal.utils.running_time import RunningBound
from bayhinge._internal.wire.hosts import ttypes as wire

ANSWER_S = 1.2
"""Time for one disk's answer; after it the disk is held silent."""

HEDGE_S = 0.1
"""Time for the straight way alone: some twenty times an ordinary answer."""

LOG_EVERY = 100
"""Relayed calls between two log lines: a cut lasts seconds, and each turn makes several."""


_CALL_ERRORS = (PeerUnreachableError, PeerFailureError, FrameError)


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
        ways = _Ways(asyncio.get_running_loop().time())
        ways.straight.append(self._call_straight(member, method, message))
        if self._directory.is_suspect(member) or self._directory.reach.is_cut_off:
            ways.around += self._call_around(member, method, message)
        try:
            answer = await ways.first_answer(HEDGE_S)
            if answer is None:
                self._widen(ways, member, method, message)
                answer = await ways.first_answer(ANSWER_S)
        finally:
            ways.cancel()
        if answer is None:
            self._directory.note_failure(member, ways.why())
            raise DiskUnreachableError(ways.why())
        if any(_has_answered(way) for way in ways.straight):
            self._directory.note_success(member)
        else:
            self._directory.note_failure(member, "only a peer reaches it")
        return answer

    def _widen(self, ways: "_Ways", member: wire.DiskMember, method: str, message: bytes) -> None:
        """Adds ways where the first one has not answered in a moment, or has failed."""
        has_broken = any(_broke_off(way) for way in ways.straight)
        if has_broken or self._peers.doubt(member.address, ways.began_s):
            # The connection may be dead and the disk well: a new one tells within milliseconds.
            ways.straight.append(self._call_straight(member, method, message))
        if not ways.around:
            ways.around += self._call_around(member, method, message)

    def _call_straight(
        self, member: wire.DiskMember, method: str, message: bytes
    ) -> asyncio.Task[bytes]:
        return asyncio.ensure_future(self._peers.call(member.address, method, message))

    def _call_around(
        self, member: wire.DiskMember, method: str, message: bytes
    ) -> list[asyncio.Task[bytes]]:
        relay = self._relay()
        if relay is None:
            return []
        return [asyncio.ensure_future(self._call_through(relay, member, method, message))]

    def _relay(self) -> wire.Hello | None:
        """Returns a host to go through: one that reaches disks, of the own hall if there is one."""
        ready = [
            hello
            for hello in self._gossip.fresh(wire.HostRole.ENTRY)
            if hello.phase == wire.HostPhase.READY
        ]
        peers = [hello for hello in ready if not hello.is_cut_off] or ready
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


@attrs.define
class _Ways:
    """One call, under way several times: straight, and through another host."""

    began_s: float
    straight: list[asyncio.Task[bytes]] = attrs.field(factory=list)
    around: list[asyncio.Task[bytes]] = attrs.field(factory=list)

    async def first_answer(self, limit_s: float) -> bytes | None:
        """Returns the first answer; None where the time ends before it, or every way has failed."""
        bound = RunningBound(limit_s)
        waiting = {*self.straight, *self.around}
        while waiting and bound.left_s > 0:
            finished, waiting = await bound.first_of(waiting)
            for way in finished:
                if _has_answered(way):
                    return way.result()
        return None

    def cancel(self) -> None:
        """Ends what is still under way."""
        for way in (*self.straight, *self.around):
            if not way.cancel() and not way.cancelled():
                # Looked at, so that asyncio does not report as lost what another way made up for.
                way.exception()

    def why(self) -> str:
        """Says why there was no answer."""
        errors = [str(_error(way)) for way in (*self.straight, *self.around) if _error(way)]
        return errors[-1] if errors else "no answer in time"


def _has_answered(way: asyncio.Task[bytes]) -> bool:
    return way.done() and not way.cancelled() and _error(way) is None


def _broke_off(way: asyncio.Task[bytes]) -> bool:
    error = _error(way)
    return isinstance(error, PeerUnreachableError) and error.sent


def _error(way: asyncio.Task[bytes]) -> BaseException | None:
    """Returns why a way failed.

    Raises:
        Exception: an error that no call should end with.
    """
    error = way.exception() if way.done() and not way.cancelled() else None
    if error is not None and not isinstance(error, _CALL_ERRORS):
        raise error
    return error
