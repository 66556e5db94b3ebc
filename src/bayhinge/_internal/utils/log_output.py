"""Non-blocking log output to standard output, with a bounded buffer.

A stalled reader must not delay requests. Lines that don't fit into the buffer are dropped and
counted, and the count is logged once there is room again.
"""

import asyncio
import os
import time
from collections import deque
from collections.abc import Mapping
from typing import Any

import orjson

BUFFER_BYTES = 262_144
"""Size of the buffer for a stalled reader."""


ORDINARY_PER_SECOND = 100
"""Rate limit for lines about ordinary requests; further ones are suppressed and counted."""

ORDINARY_TYPES = frozenset({"request.served", "send.informed"})


_EXCLUDED_FIELDS = frozenset({"task_uuid", "task_level"})
"""Fields that eliot adds to nest actions; actions are not used here."""


class LineBudget:
    """Rate limit for log lines, per second."""

    def __init__(self, per_second: int) -> None:
        self._per_second = per_second
        self._second = 0
        self._left = per_second
        self.suppressed = 0

    def try_acquire(self, now_s: float) -> bool:
        """Counts a line and returns whether it may be written."""
        if int(now_s) != self._second:
            self._second = int(now_s)
            self._left = self._per_second
        if self._left <= 0:
            self.suppressed += 1
            return False
        self._left -= 1
        return True


class LogOutput:
    """An eliot destination on a file descriptor.

    ``request.served`` lines are suppressed above a rate, or once the buffer is half full. Other
    lines are dropped only if it is full.
    """

    def __init__(self, descriptor: int, host: str = "") -> None:
        """Makes the descriptor non-blocking; ``host`` is added to all lines but log.dropped."""
        self._descriptor = descriptor
        self._host = {"host": host} if host else {}
        self.ordinary = LineBudget(ORDINARY_PER_SECOND)
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._writer_loop: asyncio.AbstractEventLoop | None = None
        self._is_within_line = False
        self.dropped = 0
        self._unreported = 0
        os.set_blocking(descriptor, False)

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Writes, buffers, suppresses or drops one eliot message."""
        if message.get("message_type") in ORDINARY_TYPES and not self._admits_ordinary():
            return
        fields = {name: value for name, value in message.items() if name not in _EXCLUDED_FIELDS}
        line = orjson.dumps(self._host | fields, default=str, option=orjson.OPT_APPEND_NEWLINE)
        if self._buffered_bytes + len(line) > BUFFER_BYTES:
            self.dropped += 1
            self._unreported += 1
            return
        if self._unreported:
            report = {
                "message_type": "log.dropped",
                "lines": self._unreported,
                "timestamp": message.get("timestamp", 0.0),
            }
            self._unreported = 0
            self._enqueue(orjson.dumps(self._host | report, option=orjson.OPT_APPEND_NEWLINE))
        self._enqueue(line)
        if not self._has_writer_callback():
            self.flush()

    def _admits_ordinary(self) -> bool:
        # Half of the buffer is reserved for other lines.
        has_room = self._buffered_bytes < BUFFER_BYTES // 2
        if has_room and self.ordinary.try_acquire(time.monotonic()):
            return True
        if not has_room:
            self.ordinary.suppressed += 1
        return False

    def flush(self) -> None:
        """Writes as many buffered lines as possible without blocking."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._add_writer_callback()
                return
            except OSError:
                # The reader has closed the pipe.
                self._drop_buffer()
                break
            self._buffered_bytes -= written
            self._is_within_line = written < len(line)
            if written < len(line):
                self._buffer[0] = line[written:]
            else:
                self._buffer.popleft()
        self._remove_writer_callback()

    def _drop_buffer(self) -> None:
        self.dropped += len(self._buffer)
        self._buffer.clear()
        self._buffered_bytes = 0
        if self._is_within_line:
            # Ends the partly written line, so that the next one starts on a line of its own.
            self._enqueue(b"\n")

    def _enqueue(self, line: bytes) -> None:
        self._buffer.append(line)
        self._buffered_bytes += len(line)

    def _add_writer_callback(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # No loop is running; writing is retried with the next line.
            return
        if not self._has_writer_callback():
            loop.add_writer(self._descriptor, self.flush)
            self._writer_loop = loop

    def _remove_writer_callback(self) -> None:
        if self._has_writer_callback() and self._writer_loop is not None:
            self._writer_loop.remove_writer(self._descriptor)
        self._writer_loop = None

    def _has_writer_callback(self) -> bool:
        """Whether an open event loop will flush once the descriptor is writable."""
        return self._writer_loop is not None and not self._writer_loop.is_closed()
