"""The client side of the links between hosts, which replaces unresponsive connections."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import AsyncGenerator

import eliot

from bayhinge._internal.exceptions import FrameError, PeerFailureError, PeerUnreachableError
from bayhinge._internal.models.refusals import RefusalCode, not_run_refusal
from bayhinge._internal.network.addresses import split_address
from bayhinge._internal.network.peer_link import PeerLink
from bayhinge._internal.network.peers import Peers
from bayhinge._internal.utils.stall_tolerant_timeouts import stall_tolerant_timeout
from bayhinge._internal.wire.frames.ttypes import Frame, FrameKind
from bayhinge.coordination.clock import HybridClock

SUSPECT_AFTER_S = 0.03
"""If a call is cancelled or hedged after waiting this long without any data on its connection, the
connection is suspected. Ten times the round trip between halls."""


class PeerClient(Peers):
    """Connections to all peers, opened on first use."""

    def __init__(self, clock: HybridClock, connect_s: float) -> None:
        self._clock = clock
        self._connect_s = connect_s
        self._links_by_address: dict[str, _ClientLink] = {}
        self._locks_by_address: dict[str, asyncio.Lock] = {}

    async def stream(
        self, address: str, method: str, payload: bytes
    ) -> AsyncGenerator[bytes, None]:
        """See :class:`Peers`."""
        link = await self._get_link(address)
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
        """See :class:`Peers`; overridden to avoid the cost of a generator and a queue."""
        link = await self._get_link(address)
        return await link.start_call(address, method, payload)

    def start_call(self, address: str, method: str, payload: bytes) -> asyncio.Future[bytes]:
        """See :class:`Peers`; needs no task where a connection is open."""
        link = self._links_by_address.get(address)
        if link is not None and link.is_usable:
            return link.start_call(address, method, payload)
        return super().start_call(address, method, payload)

    def suspect_connection(self, address: str, began_s: float) -> bool:
        """See :class:`Peers`."""
        link = self._links_by_address.get(address)
        if link is None or not link.is_open:
            return True
        link.suspect_connection()
        # Another call may have replaced the connection already.
        return link.is_suspected or link.connected_at_s > began_s

    async def close(self) -> None:
        """Closes every connection."""
        for link in list(self._links_by_address.values()):
            link.abort()

    async def _get_link(self, address: str) -> "_ClientLink":
        link = self._links_by_address.get(address)
        if link is not None and link.is_usable:
            return link
        lock = self._locks_by_address.setdefault(address, asyncio.Lock())
        async with lock:
            link = self._links_by_address.get(address)
            if link is None or not link.is_usable:
                fresh = await self._connect(address)
                if link is not None:
                    self._retire_link(link, address)
                self._links_by_address[address] = link = fresh
        return link

    def _retire_link(self, link: "_ClientLink", address: str) -> None:
        """Retires a suspected connection; open streams on it may still be answered."""
        if link.is_open:
            self.abandoned_connections += 1
            eliot.log_message("peer.left_silent_connection", address=address)
            link.retire()

    async def _connect(self, address: str) -> "_ClientLink":
        host, port = split_address(address)
        try:
            async with stall_tolerant_timeout(self._connect_s):
                _, link = await asyncio.get_running_loop().create_connection(
                    lambda: _ClientLink(self._clock), host, port
                )
        except (OSError, TimeoutError) as error:
            why = str(error) or type(error).__name__
            raise PeerUnreachableError(address, why, sent=False) from error
        return link


class _OpenStream(ABC):
    """One stream on the client side."""

    def __init__(self, number: int, opened_s: float) -> None:
        self.number = number
        self.opened_s = opened_s

    @abstractmethod
    def receive(self, frame: Frame | None) -> None:
        """Handles the next frame; None means that the connection broke."""


class _Stream(_OpenStream):
    """A stream whose frames are read one by one."""

    def __init__(self, number: int, opened_s: float) -> None:
        super().__init__(number, opened_s)
        self.frames: asyncio.Queue[Frame | None] = asyncio.Queue()

    def receive(self, frame: Frame | None) -> None:
        self.frames.put_nowait(frame)


class _UnaryCall(_OpenStream):
    """A call whose one answer completes a future."""

    def __init__(self, number: int, opened_s: float, address: str) -> None:
        super().__init__(number, opened_s)
        self._address = address
        self._answer = b""
        self.future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()

    def receive(self, frame: Frame | None) -> None:
        if self.future.done():
            return
        if frame is None:
            error = PeerUnreachableError(self._address, "the connection broke", sent=True)
            self.future.set_exception(error)
        elif frame.kind == FrameKind.FAIL:
            self.future.set_exception(PeerFailureError(frame.payload or b""))
        else:
            if frame.payload is not None:
                self._answer = frame.payload
            if frame.kind == FrameKind.END:
                self.future.set_result(self._answer)


async def _next_frame(stream: _Stream, address: str) -> Frame:
    frame = await stream.frames.get()
    if frame is None:
        raise PeerUnreachableError(address, "the connection broke", sent=True)
    if frame.kind == FrameKind.FAIL:
        raise PeerFailureError(frame.payload or b"")
    return frame


class _ClientLink(PeerLink):
    """One connection to a peer, on the client side."""

    def __init__(self, clock: HybridClock) -> None:
        super().__init__(clock)
        self._stream_by_number: dict[int, _OpenStream] = {}
        self._last_stream_number = 0
        self._is_retired = False
        self.is_suspected = False

    @property
    def is_usable(self) -> bool:
        return self.is_open and not self.is_suspected

    def suspect_connection(self) -> None:
        """Suspects the connection if it has worked before and a call has waited too long."""
        for stream in self._stream_by_number.values():
            self._suspect_if_silent(stream)

    def _suspect_if_silent(self, stream: _OpenStream) -> None:
        now = asyncio.get_running_loop().time()
        has_waited = now - stream.opened_s >= SUSPECT_AFTER_S
        if (
            has_waited
            and self.last_received_s is not None
            and self.last_received_s <= stream.opened_s
        ):
            self.is_suspected = True

    def retire(self) -> None:
        """Closes the connection once its open streams have ended."""
        self._is_retired = True
        self._close_if_done()

    def data_received(self, data: bytes) -> None:
        self.is_suspected = False
        super().data_received(data)
        self._close_if_done()

    def _close_if_done(self) -> None:
        if self._is_retired and not self._stream_by_number:
            self.abort()

    def open(self, method: str, payload: bytes) -> _Stream:
        stream = _Stream(self._next_number(), asyncio.get_running_loop().time())
        self._send_open(stream, method, payload)
        return stream

    def start_call(self, address: str, method: str, payload: bytes) -> asyncio.Future[bytes]:
        call = _UnaryCall(self._next_number(), asyncio.get_running_loop().time(), address)
        call.future.add_done_callback(lambda done: self.close_stream(call))
        try:
            self._send_open(call, method, payload)
        except PeerFailureError as error:
            call.future.set_exception(error)
        return call.future

    def _next_number(self) -> int:
        self._last_stream_number += 1
        return self._last_stream_number

    def _send_open(self, stream: _OpenStream, method: str, payload: bytes) -> None:
        """Opens a stream.

        Raises:
            PeerFailureError: the message is too long for a frame; nothing is sent.
        """
        try:
            self._send(stream.number, FrameKind.OPEN, method, payload)
        except FrameError as error:
            refusal = not_run_refusal(RefusalCode.TOO_LARGE, f"call '{method}': {error}")
            raise PeerFailureError(refusal.to_json()) from error
        self._stream_by_number[stream.number] = stream

    def close_stream(self, stream: _OpenStream) -> None:
        if self._stream_by_number.pop(stream.number, None) is None:
            return
        self._send(stream.number, FrameKind.CANCEL, None, None)
        self._suspect_if_silent(stream)
        self._close_if_done()

    def abort(self) -> None:
        super().abort()
        self._on_connection_lost()

    def _handle_frame(self, frame: Frame) -> None:
        stream = self._stream_by_number.get(frame.stream)
        if stream is None:
            return
        if frame.kind in {FrameKind.END, FrameKind.FAIL}:
            del self._stream_by_number[frame.stream]
        stream.receive(frame)

    def _on_connection_lost(self) -> None:
        streams = list(self._stream_by_number.values())
        self._stream_by_number.clear()
        for stream in streams:
            stream.receive(None)
