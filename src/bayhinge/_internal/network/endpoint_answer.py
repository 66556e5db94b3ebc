"""An endpoint's answer as a stream, and the errors that end it early."""

from collections.abc import AsyncIterator

from aiohttp.client_exceptions import ClientPayloadError
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader

from bayhinge._internal.models.routed_requests import RawHeaders
from bayhinge._internal.network.memory_room import UNBOUNDED_ROOM, MemoryRoom, read_whole

MAX_SKIPPED_BYTES = 1_048_576
"""Longest body that is read to keep its connection; closing it is cheaper then."""


class IncompleteAnswerError(Exception):
    """The answer is incomplete; ``why`` is the reason.

    Attributes:
        cut_bytes: bytes received of an incomplete last event of a stream.
        is_whole: the endpoint has sent all of it, but it serves nobody.
    """

    def __init__(self, why: str, is_whole: bool = False) -> None:
        super().__init__(why)
        self.why = why
        self.cut_bytes = 0
        self.is_whole = is_whole


class BrokenBodyError(ClientPayloadError):
    """The body of an answer broke off; its text is of this host's own."""


class SilentEndpointError(IncompleteAnswerError):
    """The answer is incomplete because the endpoint sent nothing for too long."""


class AnswerBeyondMemoryError(IncompleteAnswerError):
    """This host has no memory for the answer; another run would not fit either."""


class EndpointUnreachableError(Exception):
    """No connection to the endpoint could be made, so nothing was sent."""


class Answer:
    """The status and headers of an answer, and its body as a stream."""

    def __init__(self, message: RawResponseMessage, body: StreamReader) -> None:
        self.status: int = message.code
        self.reason: str = message.reason
        self.headers: RawHeaders = message.raw_headers
        self.closes_connection: bool = message.should_close
        length = message.headers.get("Content-Length", "")
        self._declared_bytes = int(length) if length.isdigit() else None
        self._body = body

    @property
    def has_length(self) -> bool:
        """Whether the head tells the length of the body."""
        return self._declared_bytes is not None

    async def read_pieces(self) -> AsyncIterator[bytes]:
        """Yields the body's bytes as they arrive.

        Raises:
            IncompleteAnswerError: the body is incomplete.
        """
        try:
            while True:
                piece = await self._body.readany()
                if not piece:
                    return
                yield piece
        except (ClientPayloadError, HttpProcessingError, ConnectionError) as error:
            raise _incomplete(error) from error

    async def read_body(self, room: MemoryRoom = UNBOUNDED_ROOM) -> bytes:
        """Returns the whole body, read only as far as there is room for it.

        Raises:
            IncompleteAnswerError: the body is incomplete.
        """
        if self._declared_bytes is not None and not self._body.at_eof():
            await room.take(self._declared_bytes)
        try:
            return await read_whole(self._body, room, self._declared_bytes is not None)
        except (ClientPayloadError, HttpProcessingError, ConnectionError) as error:
            raise _incomplete(error) from error

    async def skip_body(self) -> bool:
        """Reads the body without keeping it; returns whether it came to its end soon enough.

        Raises:
            IncompleteAnswerError: the body is incomplete.
        """
        skipped_bytes = 0
        async for piece in self.read_pieces():
            skipped_bytes += len(piece)
            if skipped_bytes > MAX_SKIPPED_BYTES:
                return False
        return True


def _incomplete(error: Exception) -> IncompleteAnswerError:
    """Returns the error for callers and logs, without bytes of the endpoint.

    aiohttp's errors repeat what could not be parsed.
    """
    is_own = isinstance(error, BrokenBodyError | ConnectionError)
    reason = str(error) if is_own else type(error).__name__
    return IncompleteAnswerError(f"the body is incomplete: {reason}")
