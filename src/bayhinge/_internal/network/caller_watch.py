"""Keeps the connection of a caller that is reachable but reads slowly.

The kernel applies the TCP user timeout also to a peer whose receive buffer is full, and ends the
connection although the peer acknowledges every probe. While such a caller has unread bytes, the
timeout is off, and the connection is ended here if the caller acknowledges nothing.
"""

import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import Callable

from bayhinge._internal.utils.silence import set_tcp_timeouts

CHECK_S = 0.5
"""Time between two checks of a caller that reads in time: a quarter of the TCP user timeout, so
that a full receive buffer is noticed before the kernel ends the connection."""

SLOW_CHECK_S = 0.1
"""The same while a caller has unread bytes, which are counted again at each check."""

UNREAD_USER_TIMEOUT_S = 30.0
"""TCP user timeout while the kernel still holds part of an answer that was sent whole. The host
itself holds nothing for the caller any more, so it may take its time."""

MIN_WATCHED_BYTES = 16_384
"""Shorter answers fit into the receive buffers of callers, and are not checked at their end."""

MIN_UNANSWERED = 2
"""Probes or retransmissions without an acknowledgement from which a caller counts as gone; one may
be on its way."""

_TCP_INFO_FORMAT = "=2x2B4x"
"""The start of ``struct tcp_info``: retransmits and probes since the last acknowledgement."""
_TCP_INFO_BYTES = struct.calcsize(_TCP_INFO_FORMAT)


class CallerWatch:
    """Watches one caller while its answer is sent.

    Attributes:
        is_slow: the caller has unread bytes, and its TCP user timeout is off.
    """

    def __init__(
        self,
        transport: asyncio.WriteTransport,
        user_timeout_s: float,
        on_check: Callable[[], None] = lambda: None,
    ) -> None:
        """Starts watching.

        Args:
            transport: the caller's connection.
            user_timeout_s: its usual TCP user timeout, which also applies to a slow caller that
                acknowledges nothing.
            on_check: called at each check while the caller has unread bytes.
        """
        self._transport = transport
        self._socket: socket.socket = transport.get_extra_info("socket")
        self._user_timeout_s = user_timeout_s
        self._on_check = on_check
        self._unanswered_since_s: float | None = None
        self.is_slow = False
        self._timer = asyncio.get_running_loop().call_later(CHECK_S, self._check)

    def stop(self, sent_bytes: int) -> bool:
        """Stops watching; returns whether the connection has the longer timeout.

        Args:
            sent_bytes: the length of the answer.
        """
        self._timer.cancel()
        is_short = sent_bytes < MIN_WATCHED_BYTES
        if self._transport.is_closing() or (is_short and not self.is_slow):
            return False
        has_unread = self._queued_bytes() > 0
        if not has_unread and not self.is_slow:
            return False
        set_tcp_timeouts(
            self._socket, UNREAD_USER_TIMEOUT_S if has_unread else self._user_timeout_s
        )
        return has_unread

    def expect_slow_reading(self) -> None:
        """Switches the TCP user timeout off, until the caller has read everything."""
        if not self.is_slow and not self._transport.is_closing():
            self.is_slow = True
            set_tcp_timeouts(self._socket, 0.0)
            self._timer.cancel()
            self._timer = asyncio.get_running_loop().call_later(SLOW_CHECK_S, self._check)

    def _check(self) -> None:
        """Switches the TCP user timeout off or on; ends the connection of a caller that is gone."""
        if self._transport.is_closing():
            return
        queued = self._queued_bytes()
        if self.is_slow:
            if self._is_gone():
                self._transport.abort()
                return
            if not queued:
                self.is_slow = False
                set_tcp_timeouts(self._socket, self._user_timeout_s)
            self._on_check()
        elif queued:
            self.is_slow = True
            set_tcp_timeouts(self._socket, 0.0)
        period_s = SLOW_CHECK_S if self.is_slow else CHECK_S
        self._timer = asyncio.get_running_loop().call_later(period_s, self._check)

    def _queued_bytes(self) -> int:
        """Returns the bytes that the caller has not acknowledged, here and in the kernel."""
        queued = fcntl.ioctl(self._socket.fileno(), termios.TIOCOUTQ, b"\0" * 4)
        return self._transport.get_write_buffer_size() + int.from_bytes(queued, "little")

    def _is_gone(self) -> bool:
        """Returns whether the caller has acknowledged nothing for its user timeout."""
        info = self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
        retransmits, probes = struct.unpack(_TCP_INFO_FORMAT, info)
        if retransmits + probes < MIN_UNANSWERED:
            self._unanswered_since_s = None
            return False
        now = asyncio.get_running_loop().time()
        if self._unanswered_since_s is None:
            self._unanswered_since_s = now
        return now - self._unanswered_since_s >= self._user_timeout_s
