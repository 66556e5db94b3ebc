"""The link between hosts: many streams multiplexed over one TCP connection to each peer.

A stream is opened with a method and a message. The peer answers with any number of data messages
and one END or FAIL frame. A client can cancel its streams, and a lost connection fails all of
them. An END frame may carry the last message, so that a unary call takes one frame each way.

Frames are handled directly in ``data_received``, without stream readers or tasks, to save event
loop iterations: a host of a large site makes hundreds of calls per second.
"""

import asyncio
from abc import ABC
from typing import cast

import eliot

from bayhinge._internal.exceptions import FrameError
from bayhinge._internal.network.frames import FrameSplitter, encode_frame
from bayhinge._internal.utils.silence import set_tcp_timeouts
from bayhinge._internal.wire.frames.ttypes import Frame, FrameKind
from bayhinge.coordination.clock import HybridClock

TCP_USER_TIMEOUT_S = 1.0
"""TCP user timeout; longer than the first two retransmissions (after 0.2 s and 0.6 s), so that two
consecutive packet losses do not end a connection."""


class PeerLink(asyncio.Protocol, ABC):
    """One connection that sends and receives frames."""

    def __init__(self, clock: HybridClock) -> None:
        self._clock = clock
        self._splitter = FrameSplitter()
        self._transport: asyncio.Transport | None = None
        self._may_write = asyncio.Event()
        self._may_write.set()
        self.is_open = True
        self.connected_at_s = 0.0
        self.last_received_s: float | None = None

    # ---- called by the transport ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Not an isinstance check: uvloop's transports don't derive from asyncio's.
        self._transport = cast(asyncio.Transport, transport)
        self.connected_at_s = asyncio.get_running_loop().time()
        sock = transport.get_extra_info("socket")
        if sock is not None:
            set_tcp_timeouts(sock, TCP_USER_TIMEOUT_S)

    def data_received(self, data: bytes) -> None:
        self.last_received_s = asyncio.get_running_loop().time()
        try:
            for frame in self._splitter.feed(data):
                self._clock.observe(frame.clock)
                self._handle_frame(frame)
        except FrameError as error:
            eliot.log_message("peer.unreadable_frame", peer=self._peer_name(), why=str(error))
            self.abort()

    def pause_writing(self) -> None:
        self._may_write.clear()

    def resume_writing(self) -> None:
        self._may_write.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_open = False
        self._may_write.set()
        self._on_connection_lost()

    # ---- for both sides ----

    def abort(self) -> None:
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()

    def _peer_name(self) -> str:
        name = self._transport.get_extra_info("peername") if self._transport is not None else None
        return "unknown" if name is None else f"{name[0]}:{name[1]}"

    def _send(
        self, stream: int, kind: FrameKind, method: str | None, payload: bytes | None
    ) -> None:
        """Sends a frame.

        Raises:
            FrameError: it is too long; nothing is sent.
        """
        if self.is_open and self._transport is not None:
            frame = Frame(stream, kind, self._clock.tick(), method, payload)
            self._transport.write(encode_frame(frame))

    def _handle_frame(self, frame: Frame) -> None:
        raise NotImplementedError

    def _on_connection_lost(self) -> None:
        raise NotImplementedError
