"""The link between hosts: many streams over one TCP connection to each peer.

A stream is opened with a method and a message. The peer answers with any number
of data messages and one end or failure. Either side may break: a client that goes
cancels its streams, and a lost connection fails all of them. An end may carry the last
message, so that a call with one answer takes one frame each way.

Frames are taken where their bytes arrive, without readers or tasks between: a host of a
large site makes some hundred calls a second, and each turn of the loop costs.
"""

import asyncio
import logging
from abc import ABC, abstractmethod
from collections.abc import AsyncGenerator, AsyncIterator, Callable

import eliot

from bayhinge._internal.exceptions import FrameError, PeerFailureError, PeerUnreachableError
from bayhinge._internal.models.refusals import RefusalCode, RefusedError, refuse_unaccepted
from bayhinge._internal.network.frames import FrameSplitter, encode_frame
from bayhinge._internal.utils.silence import bound_silence
from bayhinge._internal.wire.frames.ttypes import Frame, FrameKind
from bayhinge.coordination.clock import HybridClock

logger = logging.getLogger(__name__)

UNACKNOWLEDGED_S = 1.0
"""Sent bytes that stay without an acknowledgement for so long end a connection. A lost packet is
sent again after 0.2 s and 0.6 s, so two losses in a row do not end one."""

UNHEARD_S = 0.03
"""A call that waits for so long, with nothing heard over its connection meanwhile, makes the
connection doubtful once it is given up or hedged: ten times the way between halls and back."""


class PeerHandler(ABC):
    """What a host does for its peers."""

    @abstractmethod
    def handle(self, method: str, payload: bytes) -> AsyncIterator[bytes]:
        """Yields the answer's messages.

        Raises:
            RefusedError: goes to the peer as a failure.
        """


class AnsweringHandler(PeerHandler):
    """For hosts whose every method has one message for an answer."""

    @abstractmethod
    async def answer(self, method: str, payload: bytes) -> bytes:
        """Returns the answer.

        Raises:
            RefusedError: goes to the peer as a failure.
        """

    async def handle(self, method: str, payload: bytes) -> AsyncIterator[bytes]:
        """See :class:`PeerHandler`."""
        yield await self.answer(method, payload)


class Peers(ABC):
    """The way to all other hosts.

    Attributes:
        left_silent: connections that were left because they brought nothing any more.
    """

    left_silent = 0

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

    def doubt(self, address: str, began_s: float) -> bool:
        """Leaves a connection that brings nothing, because a call over it waits for too long.

        Returns whether a call goes over a newer connection now than one that began at ``began_s``
        on the loop's clock. Calls that wait on the old one go on waiting. A connection that never
        brought anything is not left: then the peer is silent, and a new one would say no more.
        """
        return False

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


class _Link(asyncio.Protocol):
    """One connection: frames in, frames out."""

    def __init__(self, clock: HybridClock) -> None:
        self._clock = clock
        self._splitter = FrameSplitter()
        self._transport: asyncio.Transport | None = None
        self._may_write = asyncio.Event()
        self._may_write.set()
        self.is_open = True
        self.made_s = 0.0
        self.heard_s: float | None = None

    # ---- called by the transport ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.made_s = asyncio.get_running_loop().time()
        sock = transport.get_extra_info("socket")
        if sock is not None:
            bound_silence(sock, UNACKNOWLEDGED_S)

    def data_received(self, data: bytes) -> None:
        self.heard_s = asyncio.get_running_loop().time()
        try:
            for frame in self._splitter.feed(data):
                self._clock.observe(frame.clock)
                self._take(frame)
        except FrameError as error:
            logger.warning("%s", error)
            self.abort()

    def pause_writing(self) -> None:
        self._may_write.clear()

    def resume_writing(self) -> None:
        self._may_write.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_open = False
        self._may_write.set()
        self._lost()

    # ---- for both sides ----

    def abort(self) -> None:
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()

    def _send(
        self, stream: int, kind: FrameKind, method: str | None, payload: bytes | None
    ) -> None:
        if self.is_open and self._transport is not None:
            frame = Frame(stream, kind, self._clock.tick(), method, payload)
            self._transport.write(encode_frame(frame))

    def _take(self, frame: Frame) -> None:
        raise NotImplementedError

    def _lost(self) -> None:
        raise NotImplementedError


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
        connection = _ServerConnection(self._handler, self._clock, self._connections.discard)
        self._connections.add(connection)
        return connection


class _ServerConnection(_Link):
    """One peer's connection, on the serving side."""

    def __init__(
        self,
        handler: PeerHandler,
        clock: HybridClock,
        on_lost: "Callable[[_ServerConnection], None]",
    ) -> None:
        super().__init__(clock)
        self._handler = handler
        self._on_lost = on_lost
        self._tasks_by_stream: dict[int, asyncio.Task[None]] = {}

    def _lost(self) -> None:
        for task in list(self._tasks_by_stream.values()):
            task.cancel()
        self._on_lost(self)

    def _take(self, frame: Frame) -> None:
        if frame.kind == FrameKind.OPEN:
            task = asyncio.get_running_loop().create_task(self._serve(frame))
            self._tasks_by_stream[frame.stream] = task
            task.add_done_callback(lambda done: self._tasks_by_stream.pop(frame.stream, None))
        elif frame.kind == FrameKind.CANCEL and frame.stream in self._tasks_by_stream:
            self._tasks_by_stream[frame.stream].cancel()

    async def _serve(self, frame: Frame) -> None:
        stream, method, payload = frame.stream, frame.method or "", frame.payload or b""
        try:
            if isinstance(self._handler, AnsweringHandler):
                answer = await self._handler.answer(method, payload)
                self._send(stream, FrameKind.END, None, answer)
                return
            async for message in self._handler.handle(method, payload):
                self._send(stream, FrameKind.DATA, None, message)
                await self._may_write.wait()
            self._send(stream, FrameKind.END, None, None)
        except RefusedError as error:
            self._send(stream, FrameKind.FAIL, None, error.refusal.to_json())
        except FrameError as error:
            refusal = refuse_unaccepted(RefusalCode.BAD_REQUEST, str(error))
            self._send(stream, FrameKind.FAIL, None, refusal.to_json())


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
        stream = link.open(method, payload)
        try:
            while True:
                frame = await _next_frame(stream, address)
                if frame.payload is not None:
                    yield frame.payload
                if frame.kind == FrameKind.END:
                    return
        finally:
            link.close_stream(stream)

    async def call(self, address: str, method: str, payload: bytes) -> bytes:
        """See :class:`Peers`; without the cost of a generator."""
        link = await self._link(address)
        stream = link.open(method, payload)
        answer = b""
        try:
            while True:
                frame = await _next_frame(stream, address)
                if frame.payload is not None:
                    answer = frame.payload
                if frame.kind == FrameKind.END:
                    return answer
        finally:
            link.close_stream(stream)

    def doubt(self, address: str, began_s: float) -> bool:
        """See :class:`Peers`."""
        link = self._links_by_address.get(address)
        if link is None or not link.is_open:
            return True
        link.doubt()
        # Another call may have had it replaced a moment ago.
        return link.is_doubtful or link.made_s > began_s

    async def close(self) -> None:
        """Closes every connection."""
        for link in list(self._links_by_address.values()):
            link.abort()

    async def _link(self, address: str) -> "_ClientLink":
        link = self._links_by_address.get(address)
        if link is not None and link.is_usable:
            return link
        lock = self._locks_by_address.setdefault(address, asyncio.Lock())
        async with lock:
            link = self._links_by_address.get(address)
            if link is None or not link.is_usable:
                fresh = await self._connect(address)
                if link is not None:
                    self._leave(link, address)
                self._links_by_address[address] = link = fresh
        return link

    def _leave(self, link: "_ClientLink", address: str) -> None:
        """Gives a doubtful connection up; what waits on it may still get its answer."""
        if link.is_open:
            self.left_silent += 1
            eliot.log_message("peer.left_silent_connection", address=address)
            link.retire()

    async def _connect(self, address: str) -> "_ClientLink":
        host, port = split_address(address)
        try:
            async with asyncio.timeout(self._connect_s):
                _, link = await asyncio.get_running_loop().create_connection(
                    lambda: _ClientLink(self._clock), host, port
                )
        except (OSError, TimeoutError) as error:
            why = str(error) or type(error).__name__
            raise PeerUnreachableError(address, why, sent=False) from error
        return link


class _Stream:
    """One stream on the asking side; None among its frames means that the connection broke."""

    def __init__(self, number: int, opened_s: float) -> None:
        self.number = number
        self.opened_s = opened_s
        self.frames: asyncio.Queue[Frame | None] = asyncio.Queue()


async def _next_frame(stream: _Stream, address: str) -> Frame:
    frame = await stream.frames.get()
    if frame is None:
        raise PeerUnreachableError(address, "the connection broke", sent=True)
    if frame.kind == FrameKind.FAIL:
        raise PeerFailureError(frame.payload or b"")
    return frame


class _ClientLink(_Link):
    """One connection to a peer, on the asking side."""

    def __init__(self, clock: HybridClock) -> None:
        super().__init__(clock)
        self._stream_by_number: dict[int, _Stream] = {}
        self._newest = 0
        self._is_retired = False
        self.is_doubtful = False

    @property
    def is_usable(self) -> bool:
        return self.is_open and not self.is_doubtful

    def doubt(self) -> None:
        """Marks the connection where it worked once, and leaves a call alone for too long."""
        for stream in self._stream_by_number.values():
            self._doubt_by(stream)

    def _doubt_by(self, stream: _Stream) -> None:
        now = asyncio.get_running_loop().time()
        has_waited = now - stream.opened_s >= UNHEARD_S
        if has_waited and self.heard_s is not None and self.heard_s <= stream.opened_s:
            self.is_doubtful = True

    def retire(self) -> None:
        """Takes no more streams; closes once those that are open have ended."""
        self._is_retired = True
        self._close_if_done()

    def data_received(self, data: bytes) -> None:
        self.is_doubtful = False
        super().data_received(data)
        self._close_if_done()

    def _close_if_done(self) -> None:
        if self._is_retired and not self._stream_by_number:
            self.abort()

    def open(self, method: str, payload: bytes) -> _Stream:
        self._newest += 1
        opened_s = asyncio.get_running_loop().time()
        stream = self._stream_by_number[self._newest] = _Stream(self._newest, opened_s)
        self._send(stream.number, FrameKind.OPEN, method, payload)
        return stream

    def close_stream(self, stream: _Stream) -> None:
        if self._stream_by_number.pop(stream.number, None) is None:
            return
        self._send(stream.number, FrameKind.CANCEL, None, None)
        self._doubt_by(stream)
        self._close_if_done()

    def abort(self) -> None:
        super().abort()
        self._lost()

    def _take(self, frame: Frame) -> None:
        stream = self._stream_by_number.get(frame.stream)
        if stream is None:
            return
        if frame.kind in {FrameKind.END, FrameKind.FAIL}:
            del self._stream_by_number[frame.stream]
        stream.frames.put_nowait(frame)

    def _lost(self) -> None:
        for stream in self._stream_by_number.values():
            stream.frames.put_nowait(None)
        self._stream_by_number.clear()
