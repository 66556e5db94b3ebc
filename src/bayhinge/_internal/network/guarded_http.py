"""aiohttp's server with a guard of its connections, which counts each received byte."""

import asyncio
from typing import Any

from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler, _ErrInfo
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server

from bayhinge._internal import status_codes
from bayhinge._internal.decisions.connection_limits import (
    ClosingCause,
    ConnectionPhase,
    ConnectionProgress,
)
from bayhinge._internal.models.refusals import (
    Refusal,
    RefusalCode,
    RefusedError,
    not_run_refusal,
)
from bayhinge._internal.network.connection_guard import ConnectionGuard, GuardedConnection

# Looked up for each read, which takes about as long as a call.
_BUSY, _REFUSED = ConnectionPhase.BUSY, ConnectionPhase.REFUSED

MAX_REQUESTS_AHEAD = 2
"""Requests that are parsed while another one is in progress; nothing more is read from the
connection meanwhile."""

STATUS_BY_CAUSE = {
    ClosingCause.HEAD_BYTES: status_codes.HTTP_HEAD_TOO_LARGE,
    ClosingCause.HEAD_TIME: status_codes.HTTP_REQUEST_TIMEOUT,
    ClosingCause.FRAMING_BYTES: status_codes.HTTP_BAD_REQUEST,
    ClosingCause.MALFORMED: status_codes.HTTP_BAD_REQUEST,
    ClosingCause.NO_ROOM: status_codes.HTTP_UNAVAILABLE,
    ClosingCause.STALLED_BODY: status_codes.HTTP_REQUEST_TIMEOUT,
}
"""Status for a request that had begun to arrive. An idle or refused connection gets no answer."""

RETRY_AFTER_S = 1
"""When the caller of a head for which there was no room should come back."""

REASON_BY_CAUSE = {
    ClosingCause.HEAD_BYTES: "the head of the request is longer than the limit",
    ClosingCause.HEAD_TIME: "the head of the request took longer than the limit",
    ClosingCause.FRAMING_BYTES: "the lines around the chunks of the body are too long",
    ClosingCause.MALFORMED: "the request is malformed",
    ClosingCause.NO_ROOM: "the host has no room for the connection",
    ClosingCause.STALLED_BODY: "the body has stopped, and others wait for its memory",
}


CODE_BY_CAUSE = {
    ClosingCause.NO_ROOM: RefusalCode.HOST_MEMORY,
    ClosingCause.STALLED_BODY: RefusalCode.BODY_STALLED,
}
"""Refusal of a request whose body had begun to arrive; otherwise the request is a bad one."""


def _refusal_of_body(cause: ClosingCause) -> Refusal:
    code = CODE_BY_CAUSE.get(cause)
    if code is None:
        return not_run_refusal(RefusalCode.BAD_REQUEST, REASON_BY_CAUSE[cause])
    return not_run_refusal(code, REASON_BY_CAUSE[cause], retry_after_s=RETRY_AFTER_S)


def _head_bytes(message: RawRequestMessage) -> int:
    """Returns the length of a head, if there is one space behind each colon, and at least that."""
    line = len(message.method) + len(message.path) + len("  HTTP/1.1\r\n")
    fields = sum(len(name) + len(value) + len(": \r\n") for name, value in message.raw_headers)
    return line + fields + len("\r\n")


class GuardedHandler(RequestHandler, GuardedConnection):
    """One connection of a caller."""

    def __init__(self, manager: Server, guard: ConnectionGuard, **options: Any) -> None:
        """Builds the connection's protocol; ``options`` are those of aiohttp's."""
        super().__init__(manager, **options)
        self._guard = guard
        self._payload: StreamReader = EMPTY_PAYLOAD
        self.progress = ConnectionProgress(self._loop.time())
        self._max_msg_queue_size = MAX_REQUESTS_AHEAD
        self._msg_queue_resume_size = 0

    # ---- called by the transport ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See :class:`asyncio.Protocol`."""
        super().connection_made(transport)
        self.describe(transport)
        self._guard.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """See :class:`asyncio.Protocol`."""
        self.descriptor = -1
        self._guard.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """See :class:`asyncio.Protocol`."""
        if self.progress.phase is _REFUSED:
            return
        known = len(self._messages)
        super().data_received(data)
        heads = len(self._messages) - known
        # aiohttp also calls this without bytes, to go on with what it has kept.
        if data or heads or self.progress.phase is not _BUSY:
            self._count(len(data), heads)

    def _count(self, size: int, heads: int) -> None:
        """Counts received bytes that the parser has taken."""
        if heads:
            unfinished = self._payload
            message, self._payload = self._messages[-1]
            if isinstance(message, _ErrInfo):
                # Its traceback would keep the received bytes until the garbage is collected.
                message.exc.with_traceback(None)
                if not unfinished.is_eof() and unfinished.exception() is None:
                    # aiohttp tells its reader of errors in chunks, but not of those in trailers.
                    self._fail_body(unfinished, ClosingCause.MALFORMED)
                self._refuse_rest(ClosingCause.MALFORMED)
                return
            if self._drop_from_too_long_head(size, heads):
                self._payload = EMPTY_PAYLOAD
                self._queue_refusal(ClosingCause.HEAD_BYTES)
                self._refuse_rest(ClosingCause.HEAD_BYTES)
                return
        guard, payload = self._guard, self._payload
        body_bytes = None if payload.is_eof() else payload.total_bytes
        cause = self.progress.feed(size, heads, body_bytes, guard.limits(), self._loop.time())
        if cause is None:
            guard.note(self)
        else:
            guard.close(self, cause)

    def _drop_from_too_long_head(self, size: int, heads: int) -> bool:
        """Drops the first of the new requests whose head is too long, and those behind it.

        Returns whether there is one; it has ended in the same piece in which it became too long.
        """
        longest = self._guard.limits().head_bytes
        progress = self.progress
        if progress.uncounted_bytes + progress.head_bytes + size <= longest:
            return False
        for index in range(len(self._messages) - heads, len(self._messages)):
            message, _ = self._messages[index]
            if not isinstance(message, _ErrInfo) and _head_bytes(message) > longest:
                while len(self._messages) > index:
                    self._messages.pop()
                return True
        return False

    def _refuse_rest(self, cause: ClosingCause) -> None:
        """Reads nothing more; the answer is queued already."""
        self._guard.closed.add(self, cause, len(self._guard.room))
        self._stop_reading()
        self._guard.note(self)

    # ---- for the guard ----

    def close_for(self, cause: ClosingCause) -> None:
        """See :class:`GuardedConnection`."""
        phase = self.progress.phase
        self._stop_reading()
        if phase is ConnectionPhase.BODY:
            # The request in progress is waiting for it, and answers.
            self._fail_body(self._payload, cause)
        elif phase in {ConnectionPhase.HEAD, ConnectionPhase.BUSY}:
            self._queue_refusal(cause)
        else:
            self.force_close()

    def _fail_body(self, body: StreamReader, cause: ClosingCause) -> None:
        """Refuses the request in progress, which reads its body.

        Twice, because a reader that aiohttp has just woken without bytes, as at the end of a
        chunk, waits again before it looks for an error.
        """
        error = RefusedError(_refusal_of_body(cause))
        body.set_exception(error)
        self._loop.call_soon(body.set_exception, error)

    def _queue_refusal(self, cause: ClosingCause) -> None:
        """Answers behind the requests in progress, and closes the connection then."""
        error = HttpProcessingError(code=STATUS_BY_CAUSE[cause], message=REASON_BY_CAUSE[cause])
        self._messages.append((_ErrInfo(error.code, error, error.message), EMPTY_PAYLOAD))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _stop_reading(self) -> None:
        self.progress.refuse()
        self._buffer_paused = True
        self._pause_transport_reading()

    # ---- answers ----

    def handle_error(
        self,
        request: BaseRequest,
        status: int = status_codes.HTTP_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> StreamResponse:
        """Answers a request that could not be read, without a traceback for each of them."""
        if not isinstance(exc, HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        response = Response(status=status, text=f"{exc.message}\n")
        if status == status_codes.HTTP_UNAVAILABLE:
            response.headers["Retry-After"] = str(RETRY_AFTER_S)
        response.force_close()
        return response

    async def finish_response(
        self, request: BaseRequest, resp: StreamResponse, start_time: float | None
    ) -> tuple[StreamResponse, bool]:
        """Sends the rest of an answer, and notes that it was sent."""
        finished = await super().finish_response(request, resp, start_time)
        if self.transport is None:
            return finished
        self.progress.end_answer(bool(self._messages), self._loop.time())
        self._guard.note(self)
        if self.progress.phase is _REFUSED and (not self._messages or not resp.keep_alive):
            # All answers that are owed have been given.
            self.force_close()
        return finished


class GuardedServer(Server):
    """aiohttp's server whose connections are guarded."""

    def __init__(self, *arguments: Any, guard: ConnectionGuard, **options: Any) -> None:
        """Builds the server; ``options`` are those of aiohttp's."""
        super().__init__(*arguments, **options)
        self._guard = guard

    def __call__(self) -> RequestHandler:
        """Returns the protocol of a new connection."""
        longest = self._guard.limits().head_bytes
        return GuardedHandler(
            self,
            self._guard,
            loop=self._loop,
            max_line_size=longest,
            max_field_size=longest,
            **self._kwargs,
        )
