"""Fake disk hosts that answer over real sockets from a separate thread."""

import asyncio
import threading
from collections.abc import Iterator
from contextlib import contextmanager

from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.network.peer_server import PeerServer
from bayhinge._internal.network.peers import UnaryPeerHandler
from bayhinge._internal.services import methods
from bayhinge._internal.wire.hosts import ttypes as wire
from bayhinge.coordination.clock import HybridClock, SystemClock

RESPONSE_DELAY_S = 0.02
"""Response time of a peer."""

TEXT = b"what was said before"


class Disk(UnaryPeerHandler):
    """Accepts every reservation and has a copy of every turn."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    async def answer(self, method: str, payload: bytes) -> bytes:
        self.calls.append(method)
        await asyncio.sleep(RESPONSE_DELAY_S)
        if method == methods.RESERVE:
            query = decode_message(wire.ReserveTurn(), payload)
            chain = TEXT if query.previous and query.wants_chain else None
            return encode_message(wire.ReserveReply(1, {}, {}, chain))
        if method == methods.ENTRIES:
            entry = wire.TurnEntry(wire.EntryKind.TURN, "a0", "p", 3, None, TEXT)
            return encode_message(wire.EntriesReply([entry]))
        if method == methods.DISK_SET:
            return encode_message(wire.DiskSet(2, [wire.DiskMember("disk-0", 1, "", "north")]))
        if method == methods.OBJECTS:
            return encode_message(wire.KnownObjects(5, {}, 5, False))
        return payload


@contextmanager
def remote_disks(count: int) -> Iterator[tuple[list[str], list[Disk]]]:
    """Runs peers in another thread, whose event loop runs on while the test's is blocked."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    disks = [Disk() for _ in range(count)]
    servers = [PeerServer("127.0.0.1:0", disk, HybridClock(SystemClock())) for disk in disks]
    try:
        yield (
            [
                asyncio.run_coroutine_threadsafe(server.start(), loop).result(5)
                for server in servers
            ],
            disks,
        )
    finally:
        for server in servers:
            asyncio.run_coroutine_threadsafe(server.stop(), loop).result(5)
        loop.call_soon_threadsafe(loop.stop)
        thread.join(5)
        loop.close()
