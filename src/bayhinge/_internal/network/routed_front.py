"""The HTTP server for requests that are forwarded along routes, with raw headers and bodies.

Only aiohttp's low-level server is imported; its application framework would cost memory and
start-up time.
"""

import asyncio
import contextlib
import socket
from abc import ABC, abstractmethod
from collections.abc import Callable

from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server

from bayhinge._internal import status_codes
from bayhinge._internal.models.refusals import RefusedError
from bayhinge._internal.models.routed_requests import RawHeaders
from bayhinge._internal.network.addresses import split_address
from bayhinge._internal.network.caller_watch import CallerWatch
from bayhinge._internal.network.memory_room import (
    UNBOUNDED_ROOM,
    BodyTooLongError,
    MemoryRoom,
    read_whole,
)
from bayhinge._internal.utils.prebound_sockets import BACKLOG, PreboundSockets
from bayhinge._internal.utils.silence import set_tcp_timeouts

MAX_HEADER_BYTES = 65_536
"""Longest header line that is accepted; the configured limit is lower."""

TCP_USER_TIMEOUT_S = 2.0
"""TCP user timeout of callers' connections; their requests are then cancelled. Callers give up on a
silent stream after the same time."""

READ_BUFFER_BYTES = 32_768
"""Buffer size of a request's body; reading from the caller is paused beyond twice as much.
aiohttp's default is eight times as large, and would hold bytes that the budget has no room for."""

READ_AHEAD_BYTES = 327_680
"""Room for what a connection holds of a chunked body before it is read: the read buffer and a read
from the socket. A body without this room is refused at once, so that few connections wait."""

REFUSED_WINDOW_BYTES = 16_384
"""Receive buffer of a connection whose body was refused for lack of memory. The rest of the body is
read and dropped, and only this much of it is held at once."""

KEEPALIVE_TIMEOUT_S = 75.0
"""Keep-alive timeout of callers' connections; longer than callers keep idle ones."""


class Exchange:
    """One request and the methods to answer it."""

    def __init__(self, request: BaseRequest, closes: bool) -> None:
        """Wraps a request; ``closes`` ends the connection after the answer."""
        self._request = request
        self._closes = closes
        self._response: StreamResponse | None = None
        self._is_buffered = False
        self._watch: CallerWatch | None = None
        self.began_s = asyncio.get_running_loop().time()

    @property
    def method(self) -> str:
        """The request's method."""
        return self._request.method

    @property
    def target(self) -> str:
        """The raw path and query."""
        return self._request.raw_path

    @property
    def headers(self) -> RawHeaders:
        """All headers as received."""
        return self._request.raw_headers

    @property
    def headers_sent(self) -> bool:
        """Whether part of the answer has been sent."""
        return self._response is not None

    def closes_connection(self) -> None:
        """Ends the connection after this answer."""
        self._closes = True

    async def read_body(self, limit: int, room: MemoryRoom = UNBOUNDED_ROOM) -> bytes:
        """Returns the whole body; of a body without room, no more is read from the connection.

        Room for a declared length is taken before anything is read.

        Raises:
            BodyTooLongError: it is longer than ``limit`` bytes.
            RefusedError: there is no room for it.
        """
        try:
            return await self._read_within(room, limit)
        except RefusedError:
            self._skip_rest_slowly()
            raise

    async def _read_within(self, room: MemoryRoom, limit: int) -> bytes:
        """Returns the whole body, for which room is taken first."""
        content = self._request.content
        length = self._request.content_length
        if length is None and content.is_eof():
            # A chunked body that has already arrived.
            length = content.total_bytes
        if length is not None:
            if length > limit:
                raise BodyTooLongError
            room.take_at_once(length)
            return await read_whole(content, room, True, limit)
        room.take_at_once(READ_AHEAD_BYTES)
        body = await read_whole(content, room, False, limit)
        room.give_back(READ_AHEAD_BYTES)
        return body

    def _skip_rest_slowly(self) -> None:
        """Limits how much of a refused body arrives at once.

        aiohttp reads and drops the rest, so that the caller receives the refusal rather than a
        reset. With full windows, a few hundred such connections would exceed a small host's memory.
        """
        self.closes_connection()
        transport = self._request.transport
        sock = None if transport is None else transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, REFUSED_WINDOW_BYTES)

    @property
    def unread_bytes(self) -> int:
        """Bytes of the answer that the caller's connection has not taken yet."""
        transport = self._request.transport
        return 0 if transport is None else transport.get_write_buffer_size()

    def buffer_writes(self, limit: int) -> None:
        """Lets up to ``limit`` bytes of the answer wait in the connection's write buffer.

        Writes then return at once; :meth:`finish` waits until the caller has read nearly all.
        """
        if self._request.transport is not None:
            self._is_buffered = True
            self._request.transport.set_write_buffer_limits(high=limit)

    def watch_caller(self, on_check: Callable[[], None] = lambda: None) -> None:
        """Keeps the connection while the caller reads slowly; see :class:`CallerWatch`."""
        transport = self._request.transport
        if transport is not None and self._watch is None:
            self._watch = CallerWatch(transport, TCP_USER_TIMEOUT_S, on_check)

    def expect_slow_reading(self) -> None:
        """Tells that the caller has unread bytes in this process."""
        if self._watch is not None:
            self._watch.expect_slow_reading()

    def end(self) -> bool:
        """Stops watching the caller; returns whether its connection has a longer timeout."""
        watch, self._watch = self._watch, None
        sent = 0 if self._response is None else self._response.body_length
        return watch is not None and watch.stop(sent)

    async def respond(self, status: int, headers: RawHeaders, body: bytes) -> None:
        """Sends a complete answer."""
        response = Response(status=status, body=body)
        await self._send_head(response, headers)
        await response.write_eof()

    async def begin(self, status: int, headers: RawHeaders) -> None:
        """Sends the status and headers of a chunked answer."""
        response = StreamResponse(status=status)
        response.enable_chunked_encoding()
        await self._send_head(response, headers)

    async def write(self, piece: bytes) -> None:
        """Sends a chunk of the answer."""
        assert self._response is not None
        await self._response.write(piece)

    async def finish(self) -> None:
        """Ends a chunked answer."""
        assert self._response is not None
        transport = self._request.transport
        if self._is_buffered and transport is not None:
            transport.set_write_buffer_limits()
        await self._response.write_eof()

    def abort(self) -> None:
        """Aborts the connection, so that the caller sees that the answer is incomplete."""
        if self._request.transport is not None:
            self._request.transport.abort()

    async def _send_head(self, response: StreamResponse, headers: RawHeaders) -> None:
        for name, value in headers:
            response.headers.add(name.decode("latin-1"), value.decode("utf-8", "surrogateescape"))
        if self._closes:
            response.force_close()
        self._response = response
        await response.prepare(self._request)


class _ServerWithTcpTimeouts(Server):
    """aiohttp's server with TCP timeouts on each connection."""

    def connection_made(self, handler: RequestHandler, transport: asyncio.Transport) -> None:
        super().connection_made(handler, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            set_tcp_timeouts(sock, TCP_USER_TIMEOUT_S)


class ExchangeHandler(ABC):
    """Serves requests."""

    @abstractmethod
    async def handle(self, exchange: Exchange) -> None:
        """Serves one request; cancelled when the caller disconnects."""


class RoutedFront:
    """An HTTP server on one address."""

    def __init__(
        self, address: str, handler: ExchangeHandler, sockets: PreboundSockets | None = None
    ) -> None:
        self._sockets = sockets or PreboundSockets()
        self._address = address
        self._handler = handler
        self._server: Server | None = None
        self._listener: asyncio.Server | None = None
        self.running = 0
        self._busy: set[RequestHandler] = set()
        self._with_longer_timeout: set[RequestHandler] = set()
        self._idle = asyncio.Event()
        self._idle.set()
        self.closes_connections = False

    async def start(self) -> str:
        """Starts listening; returns the address with the actual port."""
        loop = asyncio.get_running_loop()
        host, port = split_address(self._address)
        self._server = _ServerWithTcpTimeouts(
            self._serve,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
        )
        early = self._sockets.take(self._address)
        if early is None:
            self._listener = await loop.create_server(self._server, host, port, backlog=BACKLOG)
        else:
            self._listener = await loop.create_server(self._server, sock=early, backlog=BACKLOG)
        bound: int = self._listener.sockets[0].getsockname()[1]
        self._address = f"{host}:{bound}"
        return self._address

    def close_idle(self) -> None:
        """Stops listening and closes idle connections; busy ones close after their answer."""
        if self._listener is not None:
            self._listener.close()
        if self._server is None:
            return
        for connection in self._server.connections:
            if connection in self._busy:
                connection.close()
            else:
                # close() would leave an idle connection open without a reader.
                connection.force_close()

    async def wait_until_idle(self, limit_s: float) -> None:
        """Waits until no request is in progress, at most ``limit_s`` seconds."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._idle.wait(), max(0.0, limit_s))

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        self.close_idle()
        if self._server is not None:
            await self._server.shutdown(0.1)

    async def _serve(self, request: BaseRequest) -> StreamResponse:
        exchange = Exchange(request, self.closes_connections)
        connection = request.protocol
        self._busy.add(connection)
        self._restore_timeout(connection)
        self.running += 1
        self._idle.clear()
        try:
            await self._handler.handle(exchange)
        except ConnectionError:
            # The caller disconnected while its answer was being written.
            exchange.abort()
        finally:
            if exchange.end():
                # Connections that have ended since are removed; few have such a timeout.
                live = set() if self._server is None else set(self._server.connections)
                self._with_longer_timeout = (self._with_longer_timeout | {connection}) & live
            self._busy.discard(connection)
            self.running -= 1
            if self.running == 0:
                self._idle.set()
        return exchange._response or Response(status=status_codes.HTTP_SERVER_ERROR)

    def _restore_timeout(self, connection: RequestHandler) -> None:
        """Restores the timeout after an answer that a slow caller had not read in full."""
        if connection in self._with_longer_timeout:
            self._with_longer_timeout.discard(connection)
            if connection.transport is not None:
                set_tcp_timeouts(connection.transport.get_extra_info("socket"), TCP_USER_TIMEOUT_S)
