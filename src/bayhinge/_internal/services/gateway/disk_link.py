"""Calls disks directly, or through another entry host during a partition.

Turns must not wait for a timeout to detect a partition: if a direct call has not answered after a
short delay, the call is also relayed through a peer. Disk calls are idempotent, so both may run.
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
from bayhinge._internal.utils.stall_tolerant_timeouts import StallTolerantDeadline
from bayhinge._internal.wire.hosts import ttypes as wire

ANSWER_S = 1.2
"""Time for one disk's answer, after which the disk is suspected."""

HEDGE_S = 0.1
"""Delay before a call is also relayed, about twenty times an ordinary answer."""

LOG_EVERY = 100
"""Relayed calls per log line, since each turn makes several during a partition."""


_CALL_ERRORS = (PeerUnreachableError, PeerFailureError, FrameError)


class DiskCallError(Exception):
    """A call to a disk failed, directly and through any relay; see :meth:`DiskLink.call`."""


class DiskLink:
    """Calls disks for one entry host, directly and through relays."""

    def __init__(self, directory: DiskDirectory, gossip: Gossip, peers: Peers) -> None:
        self._directory = directory
        self._gossip = gossip
        self._peers = peers
        self.relayed = 0

    async def call(self, member: wire.DiskMember, method: str, message: bytes) -> bytes:
        """Returns a disk's first answer, direct or relayed.

        Raises:
            DiskCallError: the disk did not answer in time, or every attempt failed.
        """
        paths = _CallPaths(asyncio.get_running_loop().time())
        paths.direct.append(self._call_direct(member, method, message))
        if self._directory.is_suspected(member) or self._directory.reachability.is_partitioned:
            paths.via_relay += self._call_relayed(member, method, message)
        try:
            answer = await paths.first_answer(HEDGE_S)
            if answer is None:
                self._add_paths(paths, member, method, message)
                answer = await paths.first_answer(ANSWER_S)
        finally:
            paths.cancel()
        if answer is None:
            self._directory.record_failure(member, paths.failure_reason())
            raise DiskCallError(paths.failure_reason())
        if any(_has_result(task) for task in paths.direct):
            self._directory.record_success(member)
        else:
            self._directory.record_failure(member, "reachable only through a relay")
        return answer

    def _add_paths(
        self, paths: "_CallPaths", member: wire.DiskMember, method: str, message: bytes
    ) -> None:
        """Adds calls when the first one has failed or not answered within ``HEDGE_S``."""
        was_interrupted = any(_was_interrupted(task) for task in paths.direct)
        if was_interrupted or self._peers.suspect_connection(member.address, paths.started_s):
            # The connection may be dead although the disk is well: try a new one.
            paths.direct.append(self._call_direct(member, method, message))
        if not paths.via_relay:
            paths.via_relay += self._call_relayed(member, method, message)

    def _call_direct(
        self, member: wire.DiskMember, method: str, message: bytes
    ) -> asyncio.Future[bytes]:
        return self._peers.start_call(member.address, method, message)

    def _call_relayed(
        self, member: wire.DiskMember, method: str, message: bytes
    ) -> list[asyncio.Future[bytes]]:
        relay = self._choose_relay()
        if relay is None:
            return []
        return [asyncio.ensure_future(self._call_via(relay, member, method, message))]

    def _choose_relay(self) -> wire.Hello | None:
        """Returns a host to relay through, preferably one that reaches disks, of this hall."""
        ready = [
            heartbeat
            for heartbeat in self._gossip.recent_heartbeats(wire.HostRole.ENTRY)
            if heartbeat.phase == wire.HostPhase.READY
        ]
        peers = [heartbeat for heartbeat in ready if not heartbeat.is_cut_off] or ready
        near = [
            heartbeat for heartbeat in peers if heartbeat.hall == self._gossip.own_heartbeat.hall
        ]
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


@attrs.define(eq=False, repr=False)
class _CallPaths:
    """The parallel attempts of one call, direct and relayed."""

    started_s: float
    direct: list[asyncio.Future[bytes]] = attrs.field(factory=list)
    via_relay: list[asyncio.Future[bytes]] = attrs.field(factory=list)

    async def first_answer(self, limit_s: float) -> bytes | None:
        """Returns the first answer; None on a timeout, or if every attempt has failed."""
        bound = StallTolerantDeadline(limit_s)
        waiting = {*self.direct, *self.via_relay}
        while waiting and bound.remaining_s > 0:
            finished, waiting = await bound.wait_for_first(waiting)
            for task in finished:
                if _has_result(task):
                    return task.result()
        return None

    def cancel(self) -> None:
        """Cancels the attempts that are still running."""
        for task in (*self.direct, *self.via_relay):
            if not task.cancel() and not task.cancelled():
                # Retrieve the exception, or asyncio would log it as never retrieved.
                task.exception()

    def failure_reason(self) -> str:
        """Returns why there was no answer."""
        errors = [str(_error(task)) for task in (*self.direct, *self.via_relay) if _error(task)]
        return errors[-1] if errors else "no answer in time"


def _has_result(task: asyncio.Future[bytes]) -> bool:
    return task.done() and not task.cancelled() and _error(task) is None


def _was_interrupted(task: asyncio.Future[bytes]) -> bool:
    error = _error(task)
    return isinstance(error, PeerUnreachableError) and error.sent


def _error(task: asyncio.Future[bytes]) -> BaseException | None:
    """Returns the error of a failed attempt, or None.

    Raises:
        Exception: an unexpected error.
    """
    error = task.exception() if task.done() and not task.cancelled() else None
    if error is not None and not isinstance(error, _CALL_ERRORS):
        raise error
    return error
