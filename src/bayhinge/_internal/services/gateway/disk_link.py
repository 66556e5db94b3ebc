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
        paths = _CallPaths(asyncio.get_running_loop().time())
        paths.direct.append(self._call_direct(member, method, message))
        if self._directory.is_suspect(member) or self._directory.reach.is_cut_off:
            paths.relayed_calls += self._call_relayed(member, method, message)
        try:
            answer = await paths.first_answer(HEDGE_S)
            if answer is None:
                self._add_paths(paths, member, method, message)
                answer = await paths.first_answer(ANSWER_S)
        finally:
            paths.cancel()
        if answer is None:
            self._directory.record_failure(member, paths.why())
            raise DiskUnreachableError(paths.why())
        if any(_has_result(task) for task in paths.direct):
            self._directory.record_success(member)
        else:
            self._directory.record_failure(member, "only a peer reaches it")
        return answer

    def _add_paths(
        self, paths: "_CallPaths", member: wire.DiskMember, method: str, message: bytes
    ) -> None:
        """Adds ways where the first one has not answered in a moment, or has failed."""
        was_cut_off = any(_was_cut_off(task) for task in paths.direct)
        if was_cut_off or self._peers.doubt(member.address, paths.started_s):
            # The connection may be dead and the disk well: a new one tells within milliseconds.
            paths.direct.append(self._call_direct(member, method, message))
        if not paths.relayed_calls:
            paths.relayed_calls += self._call_relayed(member, method, message)

    def _call_direct(
        self, member: wire.DiskMember, method: str, message: bytes
    ) -> asyncio.Task[bytes]:
        return asyncio.ensure_future(self._peers.call(member.address, method, message))

    def _call_relayed(
        self, member: wire.DiskMember, method: str, message: bytes
    ) -> list[asyncio.Task[bytes]]:
        relay = self._choose_relay()
        if relay is None:
            return []
        return [asyncio.ensure_future(self._call_via(relay, member, method, message))]

    def _choose_relay(self) -> wire.Hello | None:
        """Returns a host to go through: one that reaches disks, of the own hall if there is one."""
        ready = [
            heartbeat
            for heartbeat in self._gossip.fresh(wire.HostRole.ENTRY)
            if heartbeat.phase == wire.HostPhase.READY
        ]
        peers = [heartbeat for heartbeat in ready if not heartbeat.is_cut_off] or ready
        near = [heartbeat for heartbeat in peers if heartbeat.hall == self._gossip.me.hall]
        return random.choice(near or peers) if peers else None

    async def _call_via(
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
class _CallPaths:
    """One call, under way several times: straight, and through another host."""

    started_s: float
    direct: list[asyncio.Task[bytes]] = attrs.field(factory=list)
    relayed_calls: list[asyncio.Task[bytes]] = attrs.field(factory=list)

    async def first_answer(self, limit_s: float) -> bytes | None:
        """Returns the first answer; None where the time ends before it, or every way has failed."""
        bound = RunningBound(limit_s)
        waiting = {*self.direct, *self.relayed_calls}
        while waiting and bound.left_s > 0:
            finished, waiting = await bound.first_of(waiting)
            for task in finished:
                if _has_result(task):
                    return task.result()
        return None

    def cancel(self) -> None:
        """Ends what is still under way."""
        for task in (*self.direct, *self.relayed_calls):
            if not task.cancel() and not task.cancelled():
                # Looked at, so that asyncio does not report as lost what another way made up for.
                task.exception()

    def why(self) -> str:
        """Says why there was no answer."""
        errors = [str(_error(task)) for task in (*self.direct, *self.relayed_calls) if _error(task)]
        return errors[-1] if errors else "no answer in time"


def _has_result(task: asyncio.Task[bytes]) -> bool:
    return task.done() and not task.cancelled() and _error(task) is None


def _was_cut_off(task: asyncio.Task[bytes]) -> bool:
    error = _error(task)
    return isinstance(error, PeerUnreachableError) and error.sent


def _error(task: asyncio.Task[bytes]) -> BaseException | None:
    """Returns why a way failed.

    Raises:
        Exception: an error that no call should end with.
    """
    error = task.exception() if task.done() and not task.cancelled() else None
    if error is not None and not isinstance(error, _CALL_ERRORS):
        raise error
    return error
