"""The HTTP server for requests that are forwarded along routes, with raw headers and bodies.

Only aiohttp's low-level server is imported; its application framework would cost memory and
start-up time.
"""

import asyncio
import contextlib
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
from bayhinge._internal.network.body_reading import READ_BUFFER_BYTES, read_body_within
from bayhinge._internal.network.caller_watch import CallerWatch
from bayhinge._internal.network.connection_guard import ConnectionGuard
from bayhinge._internal.network.guarded_http import GuardedServer
from bayhinge._internal.network.memory_room import UNBOUNDED_ROOM, MemoryRoom
from bayhinge._internal.utils.prebound_sockets import BACKLOG, PreboundSockets, listening_socket
from bayhinge._internal.utils.silence import set_tcp_timeouts

TCP_USER_TIMEOUT_S = 2.0
"""TCP user timeout of callers' connections; their requests are then cancelled. Callers give up on a
silent stream after the same time."""


LONGEST_REST_S = 86_400.0
"""aiohttp closes no idle connection before; the guard does, whose limits may change."""


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
        """Returns the whole body; see :func:`read_body_within`.

        Raises:
            BodyTooLongError: it is longer than ``limit`` bytes.
            RefusedError: there is no room for it, or it is malformed.
        """
        try:
            body = await read_body_within(self._request, limit, room)
        except RefusedError:
            # aiohttp reads and drops the rest, so that the caller receives the refusal rather than
            # a reset.
            self.closes_connection()
            raise
        if body.ends_connection:
            self.closes_connection()
        return body.content

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


class _ServerWithTcpTimeouts(GuardedServer):
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
        self,
        address: str,
        handler: ExchangeHandler,
        sockets: PreboundSockets | None = None,
        guard: ConnectionGuard | None = None,
    ) -> None:
        self._guard = guard or ConnectionGuard()
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
            keepalive_timeout=LONGEST_REST_S,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            guard=self._guard,
        )
        listener = self._sockets.take(self._address) or listening_socket(host, port)
        self._listener = await loop.create_server(self._server, sock=listener, backlog=BACKLOG)
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
