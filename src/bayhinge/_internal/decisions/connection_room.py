"""How many connections a host takes, and which one it closes for a new one. Pure."""

from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

from bayhinge._internal.decisions.connection_limits import ConnectionPhase

CONNECTION_BYTES = 32_768
"""Memory of a connection before its request has arrived: what the kernel holds unread of it (24 KB
with the receive buffer that is set), and its objects."""

MEMORY_SHARE = 1 / 4
"""Share of the memory beyond what an idle process uses that connections may take. Requests take
half of it; the rest covers fragmentation and one copy of the longest body."""

DESCRIPTOR_SHARE = 1 / 2
"""Share of the descriptors for callers' connections; the rest is for endpoints, hosts, the store
and files."""

MIN_CONNECTIONS = 16
"""Connections that any host takes."""

DEFAULT_FRAME_BYTES = 64_000_000
"""Bytes of unfinished frames that a host without a memory limit takes: its longest frame."""

MIN_FRAME_BYTES = 8 * 2**20
"""Bytes of unfinished frames that any host takes: twice the usual limit of a body."""

CLOSING_ORDER = (ConnectionPhase.DRAINING, ConnectionPhase.IDLE)
"""Phases whose connections are closed first. A connection whose request has arrived is never
closed for another."""

READING_PHASES = (ConnectionPhase.HEAD, ConnectionPhase.BODY)

Connection = TypeVar("Connection", bound=Hashable)


def max_connections(free_bytes: int | None, max_descriptors: int | None) -> int | None:
    """Returns how many connections a host may take, or None if nothing bounds them.

    Args:
        free_bytes: the memory limit without what the idle process uses, or None.
        max_descriptors: how many descriptors the process may open, or None.
    """
    bounds: list[int] = []
    if free_bytes is not None:
        bounds.append(int(free_bytes * MEMORY_SHARE) // CONNECTION_BYTES)
    if max_descriptors is not None:
        bounds.append(int(max_descriptors * DESCRIPTOR_SHARE))
    return max(MIN_CONNECTIONS, min(bounds)) if bounds else None


def max_frame_bytes(free_bytes: int | None) -> int:
    """Returns how many bytes of unfinished frames from other hosts a host takes.

    Args:
        free_bytes: the memory limit without what the idle process uses, or None.
    """
    if free_bytes is None:
        return DEFAULT_FRAME_BYTES
    return max(MIN_FRAME_BYTES, int(free_bytes * MEMORY_SHARE))


class ConnectionRoom(Generic[Connection]):
    """All connections of a host, by phase, in the order in which they last came further."""

    def __init__(self) -> None:
        self._progress_by_phase: dict[ConnectionPhase, dict[Connection, float]] = {
            phase: {} for phase in ConnectionPhase
        }
        self._phase_by_connection: dict[Connection, ConnectionPhase] = {}

    def __len__(self) -> int:
        return len(self._phase_by_connection)

    def __iter__(self) -> Iterator[Connection]:
        return iter(list(self._phase_by_connection))

    def count(self, phase: ConnectionPhase) -> int:
        """Returns the number of connections in a phase."""
        return len(self._progress_by_phase[phase])

    def in_phase(self, phase: ConnectionPhase) -> list[Connection]:
        """Returns the connections in a phase; the first has come no further for longest."""
        return list(self._progress_by_phase[phase])

    def put(self, connection: Connection, phase: ConnectionPhase, progress_s: float) -> None:
        """Adds a connection, or notes that it has come further."""
        place = self._progress_by_phase[phase]
        if place.get(connection) == progress_s:
            return
        before = self._phase_by_connection.get(connection)
        if before is not None:
            del self._progress_by_phase[before][connection]
        self._phase_by_connection[connection] = phase
        place[connection] = progress_s

    def remove(self, connection: Connection) -> None:
        """Removes a connection, if it is there."""
        phase = self._phase_by_connection.pop(connection, None)
        if phase is not None:
            del self._progress_by_phase[phase][connection]

    def first_to_close(self, besides: Connection | None = None) -> Connection | None:
        """Returns the connection to close so that another one fits, or None.

        Args:
            besides: the connection that needs the room.
        """
        for phase in CLOSING_ORDER:
            for connection in self._progress_by_phase[phase]:
                if connection != besides:
                    return connection
        reading = [
            (progress_s, number, connection)
            for number, phase in enumerate(READING_PHASES)
            for connection, progress_s in list(self._progress_by_phase[phase].items())[:1]
        ]
        return min(reading, key=lambda one: one[:2])[2] if reading else None
