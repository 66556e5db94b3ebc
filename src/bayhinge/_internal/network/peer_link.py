"""The link between hosts: many streams over one TCP connection to each peer.

A stream is opened with a method and a message. The peer answers with any number
of data messages and one end or failure. Either side may break: a client that goes
cancels its streams, and a lost connection fails all of them.
"""

import asyncio
import logging
from abc import ABC, abstractmethod
from collections.abc import AsyncGenerator, AsyncIterator

from bayhinge._internal.exceptions import FrameError, PeerFailureError, PeerUnreachableError
from bayhinge._internal.models.refusals import RefusalCode, RefusedError, refuse_unaccepted
from bayhinge._internal.network.frames import encode_frame, read_frame
from bayhinge._internal.wire.frames.ttypes import Frame, FrameKind
from bayhinge.coordination.clock import HybridClock

logger = logging.getLogger(__name__)


class PeerHandler(ABC):
    """What a host does for its peers."""

    @abstractmethod
    def handle(self, method: str, payload: bytes) -> AsyncIterator[bytes]:
        """Yields the answer's messages.

        Raises:
            RefusedError: goes to the peer as a failure.
        """


class Peers(ABC):
    """The way to all other hosts."""

    @abstractmethod
    def stream(self, address: str, method: str, payload: bytes) -> AsyncGenerator[bytes, None]:
        """Opens a stream and yields the answer's messages.

        Raises:
            PeerUnreachableError: there is no connection, or it broke before the end.
            PeerFailureError: the peer answered with a failure.
        """

    @abstractmethod
    async def close(self) -> None:
        """Closes every connection."""

    async def call(self, address: str, method: str, payload: bytes) -> bytes:
        """Opens a stream that has one message for an answer, and returns it.

        Raises:
            PeerUnreachableError: there is no connection, or it broke before the end.
            PeerFailureError: the peer answered with a failure.
        """
        answer = b""
        async for message in self.stream(address, method, payload):
            answer = message
        return answer


class PeerListener(ABC):
    """Where other hosts reach this one."""

    @abstractmethod
    async def start(self) -> str:
        """Listens, and returns the address with its real port."""

    @abstractmethod
    async def stop(self) -> None:
        """Stops listening and closes every connection."""


class PeerNetwork(ABC):
    """What connects hosts; tests put one in that needs no sockets."""

    @abstractmethod
    def connect(self, clock: HybridClock) -> Peers:
        """Returns the way to all other hosts."""

    @abstractmethod
    def listen(self, address: str, handler: PeerHandler, clock: HybridClock) -> PeerListener:
        """Returns a listener that is not started yet."""


class TcpPeerNetwork(PeerNetwork):
    """Hosts connected over TCP."""

    def __init__(self, connect_s: float) -> None:
        """Takes the time to connect, in seconds."""
        self._connect_s = connect_s

    def connect(self, clock: HybridClock) -> Peers:
        """See :class:`PeerNetwork`."""
        return PeerClient(clock, self._connect_s)

    def listen(self, address: str, handler: PeerHandler, clock: HybridClock) -> PeerListener:
        """See :class:`PeerNetwork`."""
        return PeerServer(address, handler, clock)


def split_address(address: str) -> tuple[str, int]:
    """Splits ``10.0.0.5:8100``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class _FrameWriter:
    """Sends the frames of one round of the loop in one piece: fewer system calls and wake-ups."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self._waiting: list[bytes] = []

    def write(self, frame: Frame) -> None:
        if not self._waiting:
            asyncio.get_running_loop().call_soon(self._flush)
        self._waiting.append(encode_frame(frame))

    def _flush(self) -> None:
        data = b"".join(self._waiting)
        self._waiting.clear()
        if not self._writer.is_closing():
            self._writer.write(data)


class PeerServer(PeerListener):
    """Listens for peers and serves their streams."""

    def __init__(self, address: str, handler: PeerHandler, clock: HybridClock) -> None:
        """Takes the address to listen on and what handles the streams."""
        self._address = address
        self._handler = handler
        self._clock = clock
        self._server: asyncio.Server | None = None
        self._connections: set[_ServerConnection] = set()

    async def start(self) -> str:
        """Listens, and returns the address with its real port."""
        host, port = split_address(self._address)
        self._server = await asyncio.start_server(self._accept, host, port)
        bound: int = self._server.sockets[0].getsockname()[1]
        self._address = f"{host}:{bound}"
        return self._address

    async def stop(self) -> None:
        """Stops listening and closes every connection."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = _ServerConnection(reader, writer, self._handler, self._clock)
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)


class _ServerConnection:
    """One peer's connection, on the serving side."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handler: PeerHandler,
        clock: HybridClock,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._frames = _FrameWriter(writer)
        self._handler = handler
        self._clock = clock
        self._tasks_by_stream: dict[int, asyncio.Task[None]] = {}

    async def run(self) -> None:
        try:
            while (frame := await read_frame(self._reader)) is not None:
                self._clock.observe(frame.clock)
                self._take(frame)
        except FrameError as error:
            logger.warning("%s", error)
        finally:
            self.abort()

    def abort(self) -> None:
        for task in list(self._tasks_by_stream.values()):
            task.cancel()
        self._writer.transport.abort()

    def _take(self, frame: Frame) -> None:
        if frame.kind == FrameKind.OPEN:
            task = asyncio.create_task(self._serve(frame))
            self._tasks_by_stream[frame.stream] = task
            task.add_done_callback(lambda done: self._tasks_by_stream.pop(frame.stream, None))
        elif frame.kind == FrameKind.CANCEL and frame.stream in self._tasks_by_stream:
            self._tasks_by_stream[frame.stream].cancel()

    async def _serve(self, frame: Frame) -> None:
        try:
            async for payload in self._handler.handle(frame.method or "", frame.payload or b""):
                await self._send(frame.stream, FrameKind.DATA, payload)
            await self._send(frame.stream, FrameKind.END, None)
        except RefusedError as error:
            await self._send(frame.stream, FrameKind.FAIL, error.refusal.to_json())
        except FrameError as error:
            refusal = refuse_unaccepted(RefusalCode.BAD_REQUEST, str(error))
            await self._send(frame.stream, FrameKind.FAIL, refusal.to_json())
        except ConnectionError:
            return

    async def _send(self, stream: int, kind: FrameKind, payload: bytes | None) -> None:
        frame = Frame(stream, kind, self._clock.tick(), None, payload)
        self._frames.write(frame)
        await self._writer.drain()


class PeerClient(Peers):
    """The connections to all peers, opened when first needed."""

    def __init__(self, clock: HybridClock, connect_s: float) -> None:
        """Takes the clock whose stamps go with each frame, and the time to connect."""
        self._clock = clock
        self._connect_s = connect_s
        self._links_by_address: dict[str, _ClientLink] = {}
        self._locks_by_address: dict[str, asyncio.Lock] = {}

    async def stream(
        self, address: str, method: str, payload: bytes
    ) -> AsyncGenerator[bytes, None]:
        """Opens a stream and yields the answer's messages.

        Raises:
            PeerUnreachableError: there is no connection, or it broke before the end.
            PeerFailureError: the peer answered with a failure.
        """
        link = await self._link(address)
        messages = link.open(method, payload)
        try:
            while True:
                frame = await messages.get()
                if frame is None:
                    raise PeerUnreachableError(address, "the connection broke", sent=True)
                if frame.kind == FrameKind.END:
                    return
                if frame.kind == FrameKind.FAIL:
                    raise PeerFailureError(frame.payload or b"")
                yield frame.payload or b""
        finally:
            link.close_stream(messages)

    async def close(self) -> None:
        """Closes every connection."""
        for link in list(self._links_by_address.values()):
            link.abort()

    async def _link(self, address: str) -> "_ClientLink":
        link = self._links_by_address.get(address)
        if link is not None and link.is_open:
            return link
        lock = self._locks_by_address.setdefault(address, asyncio.Lock())
        async with lock:
            link = self._links_by_address.get(address)
            if link is None or not link.is_open:
                link = await self._connect(address)
                self._links_by_address[address] = link
        return link

    async def _connect(self, address: str) -> "_ClientLink":
        host, port = split_address(address)
        try:
            async with asyncio.timeout(self._connect_s):
                reader, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError) as error:
            why = str(error) or type(error).__name__
            raise PeerUnreachableError(address, why, sent=False) from error
        return _ClientLink(reader, writer, self._clock)


StreamQueue = asyncio.Queue[Frame | None]


class _ClientLink:
    """One connection to a peer, on the asking side."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, clock: HybridClock
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._frames = _FrameWriter(writer)
        self._clock = clock
        self._queues_by_stream: dict[int, StreamQueue] = {}
        self._next_stream = 0
        self.is_open = True
        self._task = asyncio.create_task(self._read())

    def open(self, method: str, payload: bytes) -> StreamQueue:
        self._next_stream += 1
        stream = self._next_stream
        queue: StreamQueue = asyncio.Queue()
        self._queues_by_stream[stream] = queue
        frame = Frame(stream, FrameKind.OPEN, self._clock.tick(), method, payload)
        self._frames.write(frame)
        return queue

    def close_stream(self, queue: StreamQueue) -> None:
        for stream, own in list(self._queues_by_stream.items()):
            if own is queue:
                del self._queues_by_stream[stream]
                if self.is_open:
                    cancel = Frame(stream, FrameKind.CANCEL, self._clock.tick())
                    self._frames.write(cancel)

    def abort(self) -> None:
        self.is_open = False
        self._writer.transport.abort()
        self._task.cancel()
        self._fail_all()

    async def _read(self) -> None:
        try:
            while (frame := await read_frame(self._reader)) is not None:
                self._clock.observe(frame.clock)
                queue = self._queues_by_stream.get(frame.stream)
                if queue is None:
                    continue
                if frame.kind in {FrameKind.END, FrameKind.FAIL}:
                    del self._queues_by_stream[frame.stream]
                queue.put_nowait(frame)
        except FrameError as error:
            logger.warning("%s", error)
        finally:
            self.is_open = False
            self._writer.transport.abort()
            self._fail_all()

    def _fail_all(self) -> None:
        for queue in self._queues_by_stream.values():
            queue.put_nowait(None)
        self._queues_by_stream.clear()
