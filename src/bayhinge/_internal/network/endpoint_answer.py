"""An endpoint's answer as it comes, and how there may be none."""

from collections.abc import AsyncIterator

from aiohttp.client_exceptions import ClientPayloadError
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader

from bayhinge._internal.models.routed_requests import RawHeaders


class BrokenAnswerError(Exception):
    """There is no whole answer; ``why`` says how it broke.

    Attributes:
        cut_bytes: of an event of a stream whose end did not come; 0 where none was cut.
    """

    def __init__(self, why: str) -> None:
        """Takes the reason."""
        super().__init__(why)
        self.why = why
        self.cut_bytes = 0


class SilentEndpointError(BrokenAnswerError):
    """There is no whole answer, because nothing came for longer than the endpoint may be silent."""


class UnreachableError(Exception):
    """There is no connection to the endpoint, so nothing was sent."""


class Answer:
    """The head of an answer, and its body as it comes."""

    def __init__(self, message: RawResponseMessage, body: StreamReader) -> None:
        """Takes the parser's message and the body's reader."""
        self.status: int = message.code
        self.reason: str = message.reason
        self.headers: RawHeaders = message.raw_headers
        self.closes_connection: bool = message.should_close
        self._body = body

    async def read_pieces(self) -> AsyncIterator[bytes]:
        """Yields the body's bytes as they arrive.

        Raises:
            BrokenAnswerError: the body breaks off.
        """
        try:
            while True:
                piece = await self._body.readany()
                if not piece:
                    return
                yield piece
        except (ClientPayloadError, HttpProcessingError, ConnectionError) as error:
            raise BrokenAnswerError(f"the body broke off: {error}") from error

    async def read_body(self) -> bytes:
        """Returns the whole body.

        Raises:
            BrokenAnswerError: the body breaks off.
        """
        return b"".join([piece async for piece in self.read_pieces()])
