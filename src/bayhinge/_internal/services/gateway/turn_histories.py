"""Fetches the history of a turn from the disks."""

import eliot

from bayhinge._internal.decisions.memory_budget import MemoryHolder
from bayhinge._internal.models.endpoint_entries import EndpointIncarnation
from bayhinge._internal.models.refusals import (
    Figure,
    RefusalCode,
    RefusedError,
    not_run_refusal,
)
from bayhinge._internal.network.frames import encode_message
from bayhinge._internal.network.memory_room import MemoryRoom
from bayhinge._internal.services import methods
from bayhinge._internal.services.gateway.disk_client import DiskClient
from bayhinge._internal.services.gateway.disk_directory import DiskDirectory
from bayhinge._internal.services.gateway.held_memory import UNBOUNDED, RequestMemory
from bayhinge._internal.services.gateway.open_turn import OpenTurn
from bayhinge._internal.services.gateway.turn_refusals import (
    DISK_ANSWER_S,
    RETRY_AFTER_S,
    too_few_disks,
)
from bayhinge._internal.services.gateway.turn_reservations import CHAIN_BYTES_PER_CALL
from bayhinge._internal.utils.stall_tolerant_timeouts import stall_tolerant_timeout
from bayhinge._internal.wire.hosts import ttypes as wire


class TurnHistories:
    """Reads the texts of earlier turns for one entry host."""

    def __init__(self, disk_client: DiskClient, directory: DiskDirectory) -> None:
        self._disk_client = disk_client
        self._directory = directory

    async def add(
        self, turn: OpenTurn, replies: list[wire.ReserveReply], memory: RequestMemory = UNBOUNDED
    ) -> None:
        """Sets the turn's history, from the replies to its reservation if they contain it.

        Raises:
            RefusedError: the previous turn does not exist, too few disks answered, or the host's
                memory budget has no room for the history.
        """
        if turn.context.previous is None:
            return
        room = memory.room(MemoryHolder.HISTORY)
        # The history is sent with a copy of the body behind it.
        room.take_at_once(memory.claim.bytes_by_holder[MemoryHolder.BODY])
        for reply in replies:
            if _adopt(turn, reply, room):
                await self._add_earlier(turn, reply.earlier, room)
                return
        message = _chain_query(turn.context.previous)
        # The program's own disks first; then all, as it may continue another program's turn.
        for disks in (
            self._directory.replicas(turn.context.program)[1:],
            self._directory.nearest_first(),
        ):
            async for _, reply in self._disk_client.call_all(
                disks, methods.RESERVE, message, wire.ReserveReply
            ):
                if _adopt(turn, reply, room):
                    await self._add_earlier(turn, reply.earlier, room)
                    return
        await self._assemble(turn, turn.context.previous, [], room)

    async def _add_earlier(self, turn: OpenTurn, earlier: str | None, room: MemoryRoom) -> None:
        """Adds what a disk has left out of a long chain, which ends with ``earlier``."""
        texts = [turn.history]
        while earlier is not None:
            reply = await self._read_part(turn, earlier)
            if reply is None:
                await self._assemble(turn, earlier, texts, room)
                return
            room.take_at_once(len(reply.chain))
            texts.append(reply.chain)
            earlier = reply.earlier
        turn.history = b"".join(reversed(texts))

    async def _read_part(self, turn: OpenTurn, last: str) -> wire.ReserveReply | None:
        """Returns the end of the chain up to a turn, from one disk after another."""
        message = _chain_query(last)
        own = self._directory.replicas(turn.context.program)
        others = [disk for disk in self._directory.nearest_first() if disk not in own]
        for disk in (*own, *others):
            reply = await self._disk_client.call(
                disk, methods.RESERVE, message, wire.ReserveReply()
            )
            if reply is not None and reply.chain is not None and reply.missing is None:
                return reply
        return None

    async def _assemble(
        self, turn: OpenTurn, last: str | None, texts: list[bytes], room: MemoryRoom
    ) -> None:
        """Assembles the history turn by turn, when no disk has all of it.

        ``texts`` are those behind the turn ``last``, the newest first.
        """
        attempt = last
        while attempt is not None:
            entry = await self._find_turn(attempt, is_first=not texts)
            if not texts:
                _check_account(turn, entry.account)
            if not turn.last_engine.endpoint:
                turn.last_engine = EndpointIncarnation(entry.endpoint or "", entry.endpoint_born_ms)
            texts.append(entry.text or b"")
            room.take_at_once(len(texts[-1]))
            turn.history_programs.add(entry.program)
            attempt = entry.previous
        turn.history = b"".join(reversed(texts))

    async def _find_turn(self, attempt: str, is_first: bool) -> wire.TurnEntry:
        key = f"{wire.EntryKind.TURN}{attempt}"
        version = self._directory.disk_set.version
        # Disks outside the set too: a copy may be on one that was about to join.
        members = self._directory.writable()
        message = encode_message(wire.EntriesQuery([key]))
        answered = 0
        newest = version
        try:
            async with stall_tolerant_timeout(DISK_ANSWER_S):
                async for _, reply in self._disk_client.call_all(
                    members, methods.ENTRIES, message, wire.EntriesReply
                ):
                    answered += 1
                    newest = max(newest, reply.disk_set_version or 0)
                    if reply.entries:
                        entry: wire.TurnEntry = reply.entries[0]
                        return entry
        except TimeoutError:
            pass
        eliot.log_message(
            "turn.not_found",
            attempt=attempt,
            is_beginning=not is_first,
            answered=answered,
            asked=len(members),
            disk_set_version=version,
        )
        # The turn certainly does not exist only if all disks say so, and none knows a newer set.
        if is_first and members and answered == len(members) and newest == version:
            raise RefusedError(
                not_run_refusal(
                    RefusalCode.NOT_RECORDED,
                    f"there is no turn '{attempt}'",
                    Figure("disks_asked", answered),
                )
            )
        raise too_few_disks(answered, len(members))


def _chain_query(last: str) -> bytes:
    return encode_message(wire.ReserveTurn(None, last, True, max_chain_bytes=CHAIN_BYTES_PER_CALL))


def _check_account(turn: OpenTurn, owner: str | None) -> None:
    """Refuses a turn that continues one of another account; ``owner`` is None if not recorded.

    Raises:
        RefusedError: as for a turn that does not exist; retryable if the owner is not recorded.
    """
    if owner == turn.account or (owner is None and not turn.account):
        return
    if owner is None:
        raise RefusedError(
            not_run_refusal(
                RefusalCode.STORE_UNAVAILABLE,
                f"turn '{turn.context.previous}' was recorded without its account",
                retry_after_s=RETRY_AFTER_S,
            )
        )
    raise RefusedError(
        not_run_refusal(RefusalCode.NOT_RECORDED, f"there is no turn '{turn.context.previous}'")
    )


def _adopt(turn: OpenTurn, reply: wire.ReserveReply, room: MemoryRoom) -> bool:
    """Takes the history from a disk's reply; returns whether it is there in whole.

    Raises:
        RefusedError: it is another account's, or there is no memory for it.
    """
    if reply.chain is None or reply.missing is not None:
        return False
    _check_account(turn, reply.account)
    room.take_at_once(len(reply.chain))
    turn.history = reply.chain
    turn.last_engine = EndpointIncarnation(reply.endpoint or "", reply.endpoint_born_ms)
    turn.history_programs.update(reply.programs or ())
    return True
