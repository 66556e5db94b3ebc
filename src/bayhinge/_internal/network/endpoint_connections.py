"""A pool of HTTP connections to endpoints that may violate the protocol.

An endpoint may send surplus answers, send a late answer in place of the next one, or close the
connection at any point. aiohttp's client matches answers to requests by order alone, so this pool
is used instead; only aiohttp's parser is reused.
"""

import asyncio
from collections import deque

import attrs
from aiohttp.base_protocol import BaseProtocol
from aiohttp.client_exceptions import ClientPayloadError
from aiohttp.http_parser import HttpResponseParser
from aiohttp.streams import StreamReader

from bayhinge._internal.decisions.endpoint_incarnations import (
    ConnectionTimes,
    NewIncarnation,
    belongs_to,
)
from bayhinge._internal.network.addresses import split_address
from bayhinge._internal.network.endpoint_answer import (
    Answer,
    BrokenBodyError,
    EndpointUnreachableError,
    IncompleteAnswerError,
    SilentEndpointError,
)
from bayhinge._internal.network.send_timer import SendTimer
from bayhinge._internal.utils.silence import set_tcp_timeouts
from bayhinge._internal.utils.stall_tolerant_timeouts import stall_tolerant_timeout

READ_BUFFER_BYTES = 65_536
"""Buffer size of a body; beyond it reading from the endpoint is paused."""

MAX_HEADER_BYTES = 32_768
"""Longest header line that is accepted from an endpoint."""

CONNECT_TIMEOUT_S = 0.6
"""Connect timeout; shorter than the 1 s after which the kernel retransmits a lost SYN."""

DEFAULT_KEEPALIVE_S = 3.0
"""How long an idle connection is reused if the endpoint names no keep-alive timeout."""

KEEPALIVE_FRACTION = 0.8
"""Fraction of the endpoint's keep-alive timeout for which a connection is reused, so that a request
does not cross with the endpoint's close. Timeouts are whole seconds, and a close arrives within
milliseconds."""

TCP_USER_TIMEOUT_S = 3.0
"""TCP user timeout for non-retryable requests, which gain nothing from a shorter one."""

LARGE_BODY_BYTES = 65_536
"""Bodies from this size on are written separately from the head, which saves a copy of them, and
have a time limit. Smaller ones fit into the kernel's send buffer."""

RETRYABLE_TCP_USER_TIMEOUT_S = 0.6
"""TCP user timeout for requests that may be retried at another endpoint; the kernel ends the
connection after some 0.9 s, while callers, who wait for 1.2 s or more, are still waiting."""

MAX_INTERIM_ANSWERS = 16
"""Answers of status 1xx to one request; an endpoint sends one or two."""

MAX_UNREAD_ANSWERS = 4
"""Whole answers beyond the one that is read. Endpoints send one too many at times."""

_FIRST_FINAL_STATUS = 200

ABORTED = "aborted"
"""Begins the reason of connections that this host has closed."""

_PROBE_STATUS = 299
_PROBE = b"HTTP/1.1 299 probe\r\nContent-Length: 0\r\n\r\n"
"""An artificial answer, fed to the parser to detect a buffered partial answer."""


class EndpointConnection(BaseProtocol):
    """One connection, with one request in flight at a time.

    Attributes:
        send_count: requests that were sent on it, the one in flight included.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        key: str,
        address: str,
        last_received_s_by_key: dict[str, float],
    ) -> None:
        super().__init__(loop)
        self.address = address
        self._opened_s = self._last_received_s = loop.time()
        self._answer_parser = HttpResponseParser(
            self,
            loop,
            READ_BUFFER_BYTES,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            payload_exception=ClientPayloadError,
            response_with_body=True,
            read_until_eof=True,
            auto_decompress=False,
        )
        self._parser = self._answer_parser
        self.key = key
        self._last_received_s_by_key = last_received_s_by_key
        self.is_open = True
        self.is_busy = False
        self.send_count = 0
        self.reusable_until_s = 0.0
        self._answers: deque[Answer] = deque()
        self._interim_count = 0
        self._body: StreamReader | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._why_closed = ""
        self._user_timeout_s = 0.0
        self._timed_out = False
        self._send_timer: SendTimer | None = None

    # ---- called by the transport ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configures the socket's timeouts."""
        super().connection_made(transport)
        self._opened_s = self._last_received_s = self._loop.time()
        self._set_tcp_timeouts(TCP_USER_TIMEOUT_S)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; bytes without a request in flight abort the connection."""
        if not self.is_open:
            return
        self._last_received_s = self._last_received_s_by_key[self.key] = self._loop.time()
        if not self.is_busy:
            if data:
                self.abort("unsolicited bytes received")
            return
        try:
            messages, _, _ = self._answer_parser.feed_data(data)
        except Exception as error:  # The parser raises errors of many types on invalid bytes.
            # Their texts hold the endpoint's bytes, which must reach neither callers nor logs.
            self._close_invalid(f"invalid HTTP answer ({type(error).__name__})")
            return
        for message, body in messages:
            self._body = body
            if message.code >= _FIRST_FINAL_STATUS:
                self._answers.append(Answer(message, body))
            else:
                self._interim_count += 1
        if self._interim_count > MAX_INTERIM_ANSWERS or len(self._answers) > MAX_UNREAD_ANSWERS:
            self._close_invalid("more answers than requests")
            return
        self._wake()

    def _close_invalid(self, why: str) -> None:
        self._fail_body(why)
        self.abort(why)

    def eof_received(self) -> None:
        """Closes the connection when the endpoint closes its side."""
        return

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the answer in flight; a body without a length is complete only on a clean close."""
        super().connection_lost(exc)
        self._stop_send_timer()
        self.is_open = False
        why = str(exc) if exc else "the endpoint closed the connection"
        self._why_closed = self._why_closed or why
        self._timed_out = isinstance(exc, TimeoutError)
        if exc is None and not self._why_closed.startswith(ABORTED):
            try:
                self._answer_parser.feed_eof()
            except Exception as error:  # As above.
                self._fail_body(f"it ended too early ({type(error).__name__})")
        else:
            self._fail_body(self._why_closed)
        self._wake()

    # ---- called by the pool's users ----

    def send(self, head: bytes, body: bytes, is_retryable: bool = False) -> None:
        """Writes one request.

        Args:
            head: the request line and headers.
            body: the request body.
            is_retryable: whether another endpoint may serve the request; then an unresponsive
                connection is ended earlier.

        Raises:
            EndpointUnreachableError: the connection is already closed; nothing was sent.
        """
        if not self.is_open or self.transport is None or self.transport.is_closing():
            raise EndpointUnreachableError(self._why_closed or "the connection is closed")
        self.is_busy = True
        self.send_count += 1
        self._interim_count = 0
        timeout_s = RETRYABLE_TCP_USER_TIMEOUT_S if is_retryable else TCP_USER_TIMEOUT_S
        self._set_tcp_timeouts(timeout_s)
        self._stop_send_timer()
        if len(body) < LARGE_BODY_BYTES:
            self.transport.write(head + body)
            return
        self.transport.writelines((head, body))
        self._send_timer = SendTimer(self.transport, len(head) + len(body), self.abort)

    async def next_answer(self) -> Answer:
        """Returns the next answer once its headers have arrived.

        Raises:
            IncompleteAnswerError: the connection ended before that.
        """
        while not self._answers:
            if not self.is_open:
                kind = SilentEndpointError if self._timed_out else IncompleteAnswerError
                raise kind(self._why_closed)
            self._waiter = self._loop.create_future()
            await self._waiter
        return self._answers.popleft()

    def abort(self, why: str) -> None:
        """Closes the connection at once."""
        self._why_closed = self._why_closed or f"{ABORTED}: {why}"
        self.is_open = False
        if self.transport is not None:
            self.transport.abort()
        self._wake()

    @property
    def connection_times(self) -> ConnectionTimes:
        """When the connection was opened and last received anything from the endpoint."""
        return ConnectionTimes(self.address, self._opened_s, self._last_received_s)

    @property
    def has_unread_answer(self) -> bool:
        """Whether an answer was received but not read."""
        return bool(self._answers)

    def is_between_answers(self) -> bool:
        """Returns whether no part of a further answer has arrived; resets the parser if so.

        The parser buffers partial headers. If the connection were reused, they would be prepended
        to the next answer, and a request that has run could be taken as not run and run again.
        """
        try:
            messages, _, _ = self._answer_parser.feed_data(_PROBE)
        except Exception:  # The parser raises errors of many types on invalid bytes.
            return False
        return [message.code for message, _ in messages] == [_PROBE_STATUS]

    @property
    def is_sending(self) -> bool:
        """Whether part of the request is still in the write buffer."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def _set_tcp_timeouts(self, user_timeout_s: float) -> None:
        if self._user_timeout_s == user_timeout_s or self.transport is None:
            return
        self._user_timeout_s = user_timeout_s
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            set_tcp_timeouts(sock, user_timeout_s)

    def _stop_send_timer(self) -> None:
        if self._send_timer is not None:
            self._send_timer.stop()
            self._send_timer = None

    def _fail_body(self, why: str) -> None:
        body = self._body
        if body is not None and not body.is_eof() and body.exception() is None:
            body.set_exception(BrokenBodyError(why))

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


@attrs.define(eq=False, repr=False)
class PoolCounters:
    """Counters of the pool since the start of the process."""

    opened: int = 0
    reused: int = 0
    with_surplus: int = 0


class EndpointConnectionPool:
    """A pool of idle connections, by endpoint instance."""

    def __init__(self) -> None:
        self._idle_by_key: dict[str, list[EndpointConnection]] = {}
        self._last_received_s_by_key: dict[str, float] = {}
        self.counts = PoolCounters()

    async def acquire(self, key: str, address: str) -> EndpointConnection:
        """Returns an idle connection of the pool, or a new one.

        Raises:
            EndpointUnreachableError: the connection can't be made.
        """
        loop = asyncio.get_running_loop()
        idle = self._idle_by_key.get(key, [])
        while idle:
            connection = idle.pop()
            if connection.address != address:
                connection.abort("the endpoint's address has changed")
                continue
            if connection.is_open and loop.time() < connection.reusable_until_s:
                self.counts.reused += 1
                return connection
            connection.abort("idle for too long")
        try:
            return await self.open(key, address)
        except (OSError, TimeoutError) as error:
            raise EndpointUnreachableError(str(error) or type(error).__name__) from error

    async def open(self, key: str, address: str) -> EndpointConnection:
        """Opens a new connection.

        Raises:
            OSError, TimeoutError: it can't be made.
        """
        loop = asyncio.get_running_loop()
        host, port = split_address(address)
        async with stall_tolerant_timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(
                lambda: EndpointConnection(loop, key, address, self._last_received_s_by_key),
                host,
                port,
            )
        self.counts.opened += 1
        return connection

    def release(self, connection: EndpointConnection, idle_s: float | None) -> None:
        """Returns a connection to the pool after its answer was read to the end.

        Args:
            connection: the connection, which is closed instead if it can't be reused.
            idle_s: the endpoint's keep-alive timeout in seconds, or None.
        """
        has_leftover_data = connection.has_unread_answer or not connection.is_between_answers()
        if has_leftover_data or connection.is_sending or not connection.is_open:
            self.counts.with_surplus += has_leftover_data
            connection.abort("data left over after the answer")
            return
        keep_s = DEFAULT_KEEPALIVE_S if idle_s is None else idle_s * KEEPALIVE_FRACTION
        connection.is_busy = False
        connection.reusable_until_s = asyncio.get_running_loop().time() + keep_s
        self._idle_by_key.setdefault(connection.key, []).append(connection)

    def connected_endpoints(self) -> frozenset[str]:
        """Returns the endpoints for which there is a reusable idle connection."""
        now = asyncio.get_running_loop().time()
        return frozenset(
            key
            for key, idle in self._idle_by_key.items()
            # Connections are reused in LIFO order.
            if idle and idle[-1].is_open and now < idle[-1].reusable_until_s
        )

    def has_received_since(self, key: str, since_s: float) -> bool:
        """Returns whether an endpoint has sent anything since a time on the loop's clock."""
        return self._last_received_s_by_key.get(key, 0.0) > since_s

    def drop_idle(self, key: str) -> None:
        """Closes the idle connections to an endpoint that was removed or has timed out."""
        for connection in self._idle_by_key.pop(key, []):
            connection.abort("the endpoint was removed or timed out")

    def close_previous_incarnations(self, key: str, incarnation: NewIncarnation) -> int:
        """Closes idle connections that may belong to a previous incarnation; returns how many."""
        idle = self._idle_by_key.pop(key, [])
        kept = [
            connection
            for connection in idle
            if belongs_to(connection.connection_times, incarnation)
        ]
        for connection in idle:
            if connection not in kept:
                connection.abort("the endpoint has restarted")
        if kept:
            self._idle_by_key[key] = kept
        # Data received from a previous incarnation does not count for this one.
        last_received_s = self._last_received_s_by_key.get(key, 0.0)
        if incarnation.began_s is None or last_received_s < incarnation.began_s:
            self._last_received_s_by_key.pop(key, None)
        return len(idle) - len(kept)

    def forget(self, key: str) -> None:
        """Removes an endpoint and closes its idle connections."""
        self.drop_idle(key)
        self._last_received_s_by_key.pop(key, None)

    def sweep(self) -> None:
        """Closes connections that are past their keep-alive time."""
        now = asyncio.get_running_loop().time()
        for key, idle in list(self._idle_by_key.items()):
            kept = [link for link in idle if link.is_open and link.reusable_until_s > now]
            for link in idle:
                if link not in kept:
                    link.abort("idle for too long")
            if kept:
                self._idle_by_key[key] = kept
            else:
                del self._idle_by_key[key]

    def close(self) -> None:
        """Closes every idle connection."""
        for key in list(self._idle_by_key):
            self.drop_idle(key)
