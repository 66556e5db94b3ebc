"""The server side of the links between hosts."""

import asyncio

from bayhinge._internal.decisions.connection_limits import (
    ClosingCause,
    ConnectionPhase,
    ConnectionProgress,
)
from bayhinge._internal.exceptions import FrameError
from bayhinge._internal.models.refusals import RefusalCode, RefusedError, not_run_refusal
from bayhinge._internal.network.addresses import split_address
from bayhinge._internal.network.connection_guard import ConnectionGuard, GuardedConnection
from bayhinge._internal.network.peer_link import PeerLink
from bayhinge._internal.network.peers import PeerHandler, PeerListener, UnaryPeerHandler
from bayhinge._internal.wire.frames.ttypes import Frame, FrameKind
from bayhinge.coordination.clock import HybridClock


class PeerServer(PeerListener):
    """Accepts connections of peers and serves their streams."""

    def __init__(
        self,
        address: str,
        handler: PeerHandler,
        clock: HybridClock,
        guard: ConnectionGuard | None = None,
    ) -> None:
        self._guard = guard or ConnectionGuard()
        self._address = address
        self._handler = handler
        self._clock = clock
        self._server: asyncio.Server | None = None
        self._connections: set[_ServerConnection] = set()

    async def start(self) -> str:
        """Starts listening; returns the address with the actual port."""
        host, port = split_address(self._address)
        self._server = await asyncio.get_running_loop().create_server(self._accept, host, port)
        bound: int = self._server.sockets[0].getsockname()[1]
        self._address = f"{host}:{bound}"
        return self._address

    async def stop(self) -> None:
        """Stops listening and closes every connection."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort()

    def _accept(self) -> "_ServerConnection":
        connection = _ServerConnection(self._handler, self._clock, self._guard, self._connections)
        self._connections.add(connection)
        return connection


class _ServerConnection(PeerLink, GuardedConnection):
    """One connection of a peer, on the server side.

    It counts as idle until its first frame has arrived, and is never closed for another one then.
    """

    def __init__(
        self,
        handler: PeerHandler,
        clock: HybridClock,
        guard: ConnectionGuard,
        connections: "set[_ServerConnection]",
    ) -> None:
        super().__init__(clock)
        self._handler = handler
        self._guard = guard
        self._connections = connections
        self.progress = ConnectionProgress(asyncio.get_running_loop().time())
        self._tasks_by_stream: dict[int, asyncio.Task[None]] = {}

    # ---- for the guard ----

    def close_for(self, cause: ClosingCause) -> None:
        """See :class:`GuardedConnection`."""
        self.progress.refuse()
        self.abort()

    # ---- called by the transport ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.describe(transport)
        self._guard.add(self)

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        if self._splitter.unfinished_bytes > len(data):
            self._close_longest_frame()

    def _close_longest_frame(self) -> None:
        """Closes the link with the longest unfinished frame if all are too long together."""
        links = self._connections
        if sum(link._splitter.unfinished_bytes for link in links) > self._guard.max_frame_bytes:
            longest = max(links, key=lambda link: link._splitter.unfinished_bytes)
            self._guard.close(longest, ClosingCause.FRAME_BYTES)

    def _on_connection_lost(self) -> None:
        self.descriptor = -1
        self._guard.remove(self)
        self._splitter.clear()
        for task in list(self._tasks_by_stream.values()):
            task.cancel()
        self._connections.discard(self)
        if isinstance(self._handler, UnaryPeerHandler):
            self._handler.connection_lost(self)

    def _handle_frame(self, frame: Frame) -> None:
        if self.progress.phase is ConnectionPhase.IDLE:
            self.progress.phase = ConnectionPhase.BUSY
            self._guard.note(self)
        if frame.kind == FrameKind.OPEN:
            task = asyncio.get_running_loop().create_task(self._serve(frame))
            self._tasks_by_stream[frame.stream] = task
            task.add_done_callback(lambda done: self._tasks_by_stream.pop(frame.stream, None))
        elif frame.kind == FrameKind.CANCEL and frame.stream in self._tasks_by_stream:
            self._tasks_by_stream[frame.stream].cancel()

    async def _serve(self, frame: Frame) -> None:
        stream, method, payload = frame.stream, frame.method or "", frame.payload or b""
        try:
            if isinstance(self._handler, UnaryPeerHandler):
                answer = await self._handler.answer_from(self, method, payload)
                self._send(stream, FrameKind.END, None, answer)
                return
            async for message in self._handler.handle(method, payload):
                self._send(stream, FrameKind.DATA, None, message)
                await self._may_write.wait()
            self._send(stream, FrameKind.END, None, None)
        except RefusedError as error:
            self._send(stream, FrameKind.FAIL, None, error.refusal.to_json())
        except FrameError as error:
            refusal = not_run_refusal(RefusalCode.BAD_REQUEST, str(error))
            self._send(stream, FrameKind.FAIL, None, refusal.to_json())
