"""Guards a host's connections: limits what each may send, and how many there are.

One guard serves all ports of a process, since they share its memory and descriptors.
"""

import asyncio
import fcntl
import termios
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable

import eliot

from bayhinge._internal.decisions.connection_limits import (
    ClosingCause,
    ConnectionPhase,
    ConnectionProgress,
)
from bayhinge._internal.decisions.connection_room import (
    ConnectionRoom,
    max_connections,
    max_frame_bytes,
)
from bayhinge._internal.models.routing import RequestLimits

DEFAULT_LIMITS = RequestLimits()
"""Limits of a host that does not know the operator's."""

STALLED_S = 2.0
"""A body that has come no further for so long may be refused if others wait for its memory."""

SWEEP_S = 0.5
"""Time between two searches for connections that have passed a time limit."""

LOG_S = 1.0
"""Least time between two log lines on closed connections; those in between are counted."""


class GuardedConnection(ABC):
    """A connection that a guard may close.

    Attributes:
        progress: how far it has come.
        was_overdue: whether it had passed a time limit at the last sweep.
        caller: the caller's address.
        descriptor: the connection's descriptor, or -1 if it is closed.
    """

    progress: ConnectionProgress
    was_overdue = False
    caller = ""
    descriptor = -1

    def describe(self, transport: asyncio.BaseTransport) -> None:
        """Notes whose connection it is."""
        sock = transport.get_extra_info("socket")
        self.descriptor = -1 if sock is None else sock.fileno()
        self.caller = str(transport.get_extra_info("peername"))

    @abstractmethod
    def close_for(self, cause: ClosingCause) -> None:
        """Refuses what the connection has begun to send, and closes it."""


class ClosedConnections:
    """Counts the connections that a host has closed, and logs them, one line a second."""

    def __init__(self) -> None:
        self.count_by_cause: Counter[ClosingCause] = Counter()
        self._unlogged: Counter[ClosingCause] = Counter()
        self._logged_s = float("-inf")

    def add(self, connection: GuardedConnection, cause: ClosingCause, open_count: int) -> None:
        """Counts a connection, and logs it unless another one was logged just now."""
        self.count_by_cause[cause] += 1
        now_s = asyncio.get_running_loop().time()
        if now_s - self._logged_s < LOG_S:
            self._unlogged[cause] += 1
            return
        progress = connection.progress
        eliot.log_message(
            "connection.closed",
            cause=cause.value,
            caller=connection.caller,
            phase=progress.phase.value,
            head_bytes=progress.head_bytes,
            body_bytes=progress.body_bytes,
            still_for_s=round(now_s - progress.progress_s, 3),
            open=open_count,
            others={cause.value: count for cause, count in self._unlogged.items()},
        )
        self._unlogged.clear()
        self._logged_s = now_s


class ConnectionGuard:
    """Watches all connections of a process.

    Attributes:
        limits: returns the limits in force.
        max_connections: how many connections there may be, or None.
        max_frame_bytes: how long all frames of other hosts that have not arrived whole may be.
        room: all connections.
        closed: counts of those that were closed.
    """

    def __init__(
        self,
        limits: Callable[[], RequestLimits] = lambda: DEFAULT_LIMITS,
        connections: int | None = None,
    ) -> None:
        """Builds a guard; ``limits`` returns those in force, which may change at any time."""
        self.limits = limits
        self.max_connections = connections
        self.max_frame_bytes = max_frame_bytes(None)
        self.room: ConnectionRoom[GuardedConnection] = ConnectionRoom()
        self.closed = ClosedConnections()
        self._sweep_timer: asyncio.TimerHandle | None = None

    def set_room(self, free_bytes: int | None, max_descriptors: int | None) -> None:
        """Sets how many connections there may be; see :func:`max_connections`."""
        self.max_connections = max_connections(free_bytes, max_descriptors)
        self.max_frame_bytes = max_frame_bytes(free_bytes)
        eliot.log_message(
            "connection.room", connections=self.max_connections, frames_bytes=self.max_frame_bytes
        )

    def gauges(self) -> dict[str, float]:
        """Returns the figures for the metrics page."""
        gauges: dict[str, float] = {"connections_most": self.max_connections or 0}
        for phase in ConnectionPhase:
            gauges[f"connections_{phase.value}"] = self.room.count(phase)
        for cause in ClosingCause:
            closed = self.closed.count_by_cause[cause]
            gauges[f"connections_closed_for_{cause.value}_total"] = closed
        return gauges

    def add(self, connection: GuardedConnection) -> None:
        """Adds a new connection; closes another one, or this one, if there are too many."""
        self.note(connection)
        if self._sweep_timer is None:
            loop = asyncio.get_running_loop()
            self._sweep_timer = loop.call_later(SWEEP_S, self._sweep)
        if self._is_over_full:
            closing = self.room.first_to_close(connection)
            self.close(closing or connection, ClosingCause.NO_ROOM)

    def note(self, connection: GuardedConnection) -> None:
        """Notes how far a connection has come."""
        progress = connection.progress
        connection.was_overdue = False
        self.room.put(connection, progress.phase, progress.progress_s)

    def remove(self, connection: GuardedConnection) -> None:
        """Removes a connection that has ended."""
        self.room.remove(connection)

    def close(self, connection: GuardedConnection, cause: ClosingCause) -> None:
        """Closes a connection, counts it and logs it."""
        self.closed.add(connection, cause, len(self.room))
        connection.close_for(cause)
        self.note(connection)

    def close_stalled_body(self) -> None:
        """Refuses the request whose body has come no further for longest, if it has stopped.

        Its memory is free once its request has ended.
        """
        for connection in self.room.in_phase(ConnectionPhase.BODY)[:1]:
            still_s = asyncio.get_running_loop().time() - connection.progress.progress_s
            if still_s > STALLED_S:
                self.close(connection, ClosingCause.STALLED_BODY)

    @property
    def _is_over_full(self) -> bool:
        """Whether there are too many connections, without those that are being closed."""
        open_count = len(self.room) - self.room.count(ConnectionPhase.REFUSED)
        return self.max_connections is not None and open_count > self.max_connections

    def _sweep(self) -> None:
        """Closes the connections that have passed a time limit."""
        loop = asyncio.get_running_loop()
        self._sweep_timer = loop.call_later(SWEEP_S, self._sweep) if len(self.room) else None
        while self._is_over_full and (closing := self.room.first_to_close()) is not None:
            # The settings have changed, or requests were in progress on all connections.
            self.close(closing, ClosingCause.NO_ROOM)
        limits, now_s = self.limits(), loop.time()
        for phase in (ConnectionPhase.IDLE, ConnectionPhase.HEAD):
            for connection in self.room.in_phase(phase):
                cause = connection.progress.overdue(limits, now_s)
                if cause is None:
                    if phase is ConnectionPhase.IDLE:
                        # Those behind it have rested for less.
                        break
                elif connection.was_overdue or not _has_unread(connection.descriptor):
                    self.close(connection, cause)
                else:
                    # The process itself may have stood still: read what has arrived first.
                    connection.was_overdue = True


def _has_unread(descriptor: int) -> bool:
    """Returns whether bytes have arrived that were not read yet."""
    try:
        return any(fcntl.ioctl(descriptor, termios.FIONREAD, b"\0" * 4))
    except (OSError, ValueError):
        # It was closed meanwhile.
        return False
