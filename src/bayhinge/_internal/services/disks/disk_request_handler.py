"""Handles requests of entry hosts and other disk hosts to a disk host."""

from collections.abc import Callable, Coroutine
from typing import Any

import eliot

from bayhinge._internal.decisions.disk_fence import Verdict
from bayhinge._internal.exceptions import FrameError
from bayhinge._internal.models.refusals import RefusalCode, RefusedError, not_run_refusal
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.network.peers import UnaryPeerHandler
from bayhinge._internal.services import methods
from bayhinge._internal.services.disks.copy_limits import (
    KEY_BYTES_PER_CALL,
    KEYS_PER_CALL,
    first_within,
)
from bayhinge._internal.services.disks.disk_state import DiskState
from bayhinge._internal.wire.hosts import ttypes as wire

VERDICTS = {
    Verdict.TAKEN: wire.FenceVerdict.TAKEN,
    Verdict.HOST_IS_BEHIND: wire.FenceVerdict.HOST_IS_BEHIND,
    Verdict.DISK_IS_BEHIND: wire.FenceVerdict.DISK_IS_BEHIND,
    Verdict.NOT_YET: wire.FenceVerdict.NOT_YET,
}


class DiskRequestHandler(UnaryPeerHandler):
    """Handles the requests to a disk host."""

    def __init__(self, disk: DiskState) -> None:
        self._disk = disk
        self._handlers: dict[str, Callable[[bytes], Coroutine[Any, Any, bytes]]] = {
            methods.RESERVE: self._reserve,
            methods.APPEND: self._append,
            methods.ENTRY_KEYS: self._keys,
            methods.ENTRIES: self._entries,
            methods.MISSING_KEYS: self._lacking,
            methods.DISK_SET: self._disk_set,
            methods.OBJECTS: self._objects,
        }

    async def answer(self, method: str, payload: bytes) -> bytes:
        """See :class:`UnaryPeerHandler`."""
        handler = self._handlers.get(method)
        if handler is None:
            raise FrameError(f"unknown disk host method '{method}'")
        try:
            return await handler(payload)
        except OSError as error:
            eliot.log_message("disk.refused", method=method, why=str(error))
            refusal = not_run_refusal(RefusalCode.STORE_UNAVAILABLE, f"disk I/O failed: {error}")
            raise RefusedError(refusal) from error

    async def _reserve(self, payload: bytes) -> bytes:
        query = decode_message(wire.ReserveTurn(), payload)
        turns = self._disk.turns
        reply = wire.ReserveReply(turns.generation, {}, {})
        if query.reservation is not None:
            self._refuse_if_retired()
            reply.verdict = self._verdict(query)
            if reply.verdict != wire.FenceVerdict.TAKEN:
                return encode_message(reply)
            await self._disk.write([query.reservation])
            # The set may have changed during the write, so the fence is checked again.
            reply.verdict = self._verdict(query)
            ledger = turns.ledger(query.reservation.program)
            reply.open_by_attempt = ledger.open_by_attempt
            reply.settled_by_attempt = ledger.settled_by_attempt
        if query.wants_chain and query.previous is not None:
            chain = turns.chain(query.previous, query.max_chain_bytes)
            reply.chain, reply.missing = chain.text, chain.missing
            reply.endpoint = chain.run_at.endpoint
            reply.endpoint_born_ms = chain.run_at.born_ms
            reply.account = chain.account
            reply.programs = list(chain.programs)
            reply.earlier = chain.earlier
        return encode_message(reply)

    def _verdict(self, query: wire.ReserveTurn) -> wire.FenceVerdict:
        version = query.disk_set_version
        if version is None:
            # A host of an earlier release does not send a version and is not fenced.
            return wire.FenceVerdict.TAKEN
        return VERDICTS[self._disk.fence.verdict(query.reservation.program, version)]

    async def _append(self, payload: bytes) -> bytes:
        self._refuse_if_retired()
        entries = decode_message(wire.AppendEntries(), payload).entries
        if all(entry.kind == wire.EntryKind.SETTLED for entry in entries):
            # Not synced: a turn whose settlement is lost counts with its reserved tokens, which is
            # safe, and this halves the syncs per turn.
            self._disk.append(entries)
        else:
            await self._disk.write(entries)
        return encode_message(wire.AppendReply(self._disk.turns.generation))

    async def _keys(self, payload: bytes) -> bytes:
        query = decode_message(wire.KeysQuery(), payload)
        turns = self._disk.turns
        # Hosts of earlier releases don't say in which opening a position counts.
        is_current = query.opening in {None, turns.opening}
        after = query.after if is_current and query.generation == turns.generation else 0
        written = first_within(
            turns.keys_after(after, KEYS_PER_CALL), lambda pair: len(pair[0]), KEY_BYTES_PER_CALL
        )
        position = max(after, turns.first_position) + len(written)
        more = position < turns.position
        keys = self._disk.keys_placed_on(query.asker, written)
        version = self._disk.disk_set.version
        caught_up = self._disk.fence.has_caught_up
        return encode_message(
            wire.KeysReply(
                turns.generation, position, more, keys, version, caught_up, turns.opening
            )
        )

    async def _entries(self, payload: bytes) -> bytes:
        query = decode_message(wire.EntriesQuery(), payload)
        keys = self._disk.turns.first_entries(query.keys)
        entries = list(self._disk.turns.read_entries(keys))
        return encode_message(
            wire.EntriesReply(entries, self._disk.disk_set.version, answered=len(keys))
        )

    async def _lacking(self, payload: bytes) -> bytes:
        query = decode_message(wire.EntriesQuery(), payload)
        turns = self._disk.turns
        return encode_message(wire.LackingReply([k for k in query.keys if not turns.has(k)]))

    async def _disk_set(self, payload: bytes) -> bytes:
        if payload:
            # A host with a newer set sends it, so that its reservation need not wait.
            self._disk.apply_disk_set(decode_message(wire.DiskSet(), payload))
        return encode_message(self._disk.disk_set)

    async def _objects(self, payload: bytes) -> bytes:
        prefix = decode_message(wire.ObjectsQuery(), payload).prefix
        return encode_message(self._disk.objects.snapshot(prefix))

    def _refuse_if_retired(self) -> None:
        if self._disk.is_retired:
            why = "this disk is retired; use the other disks of the set"
            raise RefusedError(not_run_refusal(RefusalCode.HOST_LEAVING, why))
