"""Reserves a turn's tokens on a quorum of disks before it runs, and settles them afterwards.

A quorum is valid under one version of the disk set, so a reservation is repeated if the disks know
a newer version.
"""

import asyncio

import eliot

from bayhinge._internal.decisions.disk_quorum import reservations_needed
from bayhinge._internal.models.endpoint_entries import EndpointIncarnation
from bayhinge._internal.models.routed_requests import TurnContext
from bayhinge._internal.network.frames import encode_message
from bayhinge._internal.services import methods
from bayhinge._internal.services.gateway.disk_client import DiskClient
from bayhinge._internal.services.gateway.disk_directory import DiskDirectory
from bayhinge._internal.services.gateway.open_turn import OpenTurn
from bayhinge._internal.services.gateway.turn_refusals import DISK_ANSWER_S, too_few_disks
from bayhinge._internal.utils.stall_tolerant_timeouts import StallTolerantDeadline
from bayhinge._internal.wire.hosts import ttypes as wire

CHAIN_BYTES_PER_CALL = 1_000_000
"""Maximum bytes of a history in one reply, or of its last turn: arrives well within its time."""

HISTORY_HEDGE_S = 0.06
"""Extra wait for the history from the nearest disk after enough disks have answered."""

RESERVE_RETRY_S = 0.1
"""Pause before another call to a disk that refused at once, which may be restarting. It is back
within a second then, and a caller has few tries."""


class TurnReservations:
    """Reserves and settles tokens for one entry host."""

    def __init__(self, disk_client: DiskClient, directory: DiskDirectory, tolerated: int) -> None:
        self._disk_client = disk_client
        self._directory = directory
        self._tolerated = tolerated

    async def reserve(
        self, attempt: str, context: TurnContext, reserved: int, keep_s: float = 0.0
    ) -> list[wire.ReserveReply]:
        """Reserves the turn's tokens on enough disks; returns their replies.

        ``keep_s`` is how long the turn needs the program's entries from now on.

        Raises:
            RefusedError: too few disks answered.
        """
        if reserved == 0 and context.previous is None:
            return []
        entry = wire.TurnEntry(
            wire.EntryKind.RESERVED, attempt, context.program, reserved, keep_s=keep_s
        )
        reservation = entry if reserved else None
        bound = StallTolerantDeadline(DISK_ANSWER_S)
        try:
            while True:
                # Repeated under a newer version of the set; disks ignore repeated reservations.
                version = self._directory.disk_set.version
                needed, replies = await self._reserve_once(reservation, context, version, bound)
                if len(replies) >= needed:
                    return replies
                if self._directory.disk_set.version == version:
                    break
        except asyncio.CancelledError:
            # The caller left: release what the disks have reserved.
            self.settle(OpenTurn(attempt, context, b"", EndpointIncarnation(), reserved), 0)
            raise
        eliot.log_message(
            "turn.too_few_disks",
            attempt=attempt,
            answered=len(replies),
            needed=needed,
            disk_set_version=self._directory.disk_set.version,
        )
        self.settle(OpenTurn(attempt, context, b"", EndpointIncarnation(), reserved), 0)
        raise too_few_disks(len(replies), needed)

    async def _reserve_once(
        self,
        reservation: wire.TurnEntry | None,
        context: TurnContext,
        version: int,
        bound: StallTolerantDeadline,
    ) -> tuple[int, list[wire.ReserveReply]]:
        """Reserves under one version of the set; returns the needed number of replies, and them."""
        members = self._directory.replicas(context.program)
        needed = 1
        if reservation is not None:
            needed = reservations_needed(len(members), self._tolerated)
        decided = asyncio.Event()
        with_chain, without_chain = (
            encode_message(
                wire.ReserveTurn(
                    reservation, context.previous, wants_chain, version, CHAIN_BYTES_PER_CALL
                )
            )
            for wants_chain in (True, False)
        )
        tasks = [
            self._disk_client.spawn(
                self._reserve_at(
                    member, with_chain if member is members[0] else without_chain, decided
                )
            )
            for member in members
        ]
        try:
            return needed, await self._first_replies(tasks, needed, context, version, bound)
        finally:
            decided.set()

    async def _reserve_at(
        self, member: wire.DiskMember, message: bytes, decided: asyncio.Event
    ) -> wire.ReserveReply | None:
        """Calls one disk, with retries, until the turn no longer needs its reply.

        Returns None if the turn has been decided, or the disk set has changed.
        """
        version = self._directory.disk_set.version
        while True:
            reply = await self._disk_client.call(
                member, methods.RESERVE, message, wire.ReserveReply()
            )
            if reply is not None and reply.verdict == wire.FenceVerdict.TAKEN:
                return reply
            if decided.is_set():
                return None
            if reply is None or not await self._sync_disk_set(member, reply, version):
                await asyncio.sleep(RESERVE_RETRY_S)
            if self._directory.disk_set.version != version:
                return None

    async def _sync_disk_set(
        self, member: wire.DiskMember, reply: wire.ReserveReply, version: int
    ) -> bool:
        """Updates the disk set of whichever is behind, host or disk; returns whether it worked."""
        if reply.verdict == wire.FenceVerdict.HOST_IS_BEHIND:
            await self._directory.fetch(member.address)
            return self._directory.disk_set.version != version
        if reply.verdict == wire.FenceVerdict.DISK_IS_BEHIND:
            newest = encode_message(self._directory.disk_set)
            known = await self._disk_client.call(member, methods.DISK_SET, newest, wire.DiskSet())
            return known is not None and known.version >= version
        return False

    async def _first_replies(
        self,
        tasks: list[asyncio.Task[wire.ReserveReply | None]],
        needed: int,
        context: TurnContext,
        version: int,
        bound: StallTolerantDeadline,
    ) -> list[wire.ReserveReply]:
        """Waits for enough replies, and up to ``HISTORY_HEDGE_S`` longer for the history."""
        waiting = set(tasks)
        replies: list[wire.ReserveReply] = []
        has_enough = False
        while waiting and bound.remaining_s > 0:
            finished, waiting = await bound.wait_for_first(waiting)
            replies += [reply for task in finished if (reply := task.result()) is not None]
            if self._directory.disk_set.version != version and len(replies) < needed:
                break
            if len(replies) >= needed:
                if context.previous is None or tasks[0].done():
                    break
                if not has_enough:
                    bound = StallTolerantDeadline(min(bound.remaining_s, HISTORY_HEDGE_S))
                has_enough = True
        return replies

    def settle(self, turn: OpenTurn, tokens: int) -> None:
        """Records in the background the tokens used by a turn without a complete answer."""
        if turn.reserved == 0:
            return
        entry = wire.TurnEntry(wire.EntryKind.SETTLED, turn.attempt, turn.context.program, tokens)
        message = encode_message(wire.AppendEntries([entry]))
        for member in self._directory.replicas(turn.context.program):
            self._disk_client.spawn(
                self._disk_client.call(member, methods.APPEND, message, wire.AppendReply())
            )
