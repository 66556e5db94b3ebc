"""An endpoint's answer as a stream, and the errors that end it early."""

from collections.abc import AsyncIterator

from aiohttp.client_exceptions import ClientPayloadError
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader

from bayhinge._internal.models.routed_requests import RawHeaders


class IncompleteAnswerError(Exception):
    """The answer is incomplete; ``why`` is the reason.

    Attributes:
        cut_bytes: bytes received of an incomplete last event of a stream.
    """

    def __init__(self, why: str) -> None:
        super().__init__(why)
        self.why = why
        self.cut_bytes = 0


class SilentEndpointError(IncompleteAnswerError):
    """The answer is incomplete because the endpoint sent nothing for too long."""


class EndpointUnreachableError(Exception):
    """No connection to the endpoint could be made, so nothing was sent."""


class Answer:
    """The status and headers of an answer, and its body as a stream."""

    def __init__(self, message: RawResponseMessage, body: StreamReader) -> None:
        self.status: int = message.code
        self.reason: str = message.reason
        self.headers: RawHeaders = message.raw_headers
        self.closes_connection: bool = message.should_close
        self._body = body

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
            raise IncompleteAnswerError(f"the body is incomplete: {error}") from error

    async def read_body(self) -> bytes:
        """Returns the whole body.

        Raises:
            IncompleteAnswerError: the body is incomplete.
        """
        return b"".join([piece async for piece in self.read_pieces()])
