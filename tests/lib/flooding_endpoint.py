"""Raw endpoints whose answers never end."""

import asyncio
from collections.abc import Callable

import attrs

MARK = b"FOREIGN"
"""Stands in all that these endpoints send, so that it is found in answers and logs."""

HEAD = (
    b"HTTP/1.1 200 OK\r\nBayhinge-Attempt-Id: %b\r\nBayhinge-Server-Seal: s\r\n"
    b"Content-Type: application/octet-stream\r\n"
)
STREAM_HEAD = HEAD.replace(b"application/octet-stream", b"text/event-stream")
PIECE = MARK * 16_384
CHUNK = b"%x\r\n%b\r\n" % (len(PIECE), PIECE)
COMMENT = b":" + MARK + b"\n\n"

BEGIN_AND_REST_BY_KIND: dict[str, tuple[bytes, bytes]] = {
    "status line": (b"", PIECE),
    "header field": (b"HTTP/1.1 200 OK\r\nX: ", PIECE),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-" + MARK + b": y\r\n"),
    "interim answers": (b"", b"HTTP/1.1 103 " + MARK + b"\r\n\r\n"),
    "chunk size": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"1" + MARK),
    "trailers": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n",
        b"X-" + MARK + b": y\r\n",
    ),
    "chunked body": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "body without a length": (HEAD + b"\r\n", PIECE),
    "bytes after an answer": (HEAD + b"Content-Length: 2\r\n\r\nok", PIECE),
    "further answers": (b"", HEAD % b"other" + b"Content-Length: 7\r\n\r\n" + MARK),
    "another answer's body": (
        HEAD % b"other" + b"Transfer-Encoding: chunked\r\n\r\n",
        CHUNK,
    ),
    "body of a rejection": (
        b"HTTP/1.1 503 Full\r\nBayhinge-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        CHUNK,
    ),
    "comments in a stream": (STREAM_HEAD + b"\r\n", COMMENT),
    "an event in a stream": (STREAM_HEAD + b"\r\nid: 1\ndata: ", PIECE),
}
"""What an endpoint sends first, and then again and again until its connection is closed."""


@attrs.define(eq=False)
class FloodingEndpoint:
    """An endpoint that answers each request with bytes without end.

    Attributes:
        sent_bytes: what it could send on all its connections.
        open_count: its connections that are still open.
    """

    instance: str
    service: str
    kind: str
    sent_bytes: int = 0
    open_count: int = 0
    requests: int = 0
    on_request: Callable[[], None] = lambda: None
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    async def stop(self) -> None:
        """Closes everything."""
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def entry(self) -> dict[str, object]:
        """Returns its entry in the platform's store."""
        assert self._server is not None
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}",
            "zone": "north",
            "version": "v1",
            "slots": 32,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.open_count += 1
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            begin, rest = BEGIN_AND_REST_BY_KIND[self.kind]
            writer.write(begin % _attempt_of(head) if b"%b" in begin else begin)
            while True:
                writer.write(rest)
                self.sent_bytes += len(rest)
                await writer.drain()
                # Small pieces never fill the buffer, and would keep the event loop busy.
                await asyncio.sleep(0)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self.open_count -= 1
            writer.close()


def _attempt_of(head: bytes) -> bytes:
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"bayhinge-attempt-id":
            return value.strip()
    return b"none"
