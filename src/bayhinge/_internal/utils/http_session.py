"""HTTP sessions without aiohttp's automatic retries.

aiohttp retries idempotent methods once if a connection breaks before the answer. Here the caller
decides on retries: an action could run twice, and a conditional write could conflict with its own
first attempt.
"""

import math
import socket

import aiohttp
from aiohttp import AddrInfoType, ClientHandlerType, ClientRequest, ClientResponse

from bayhinge._internal.utils.silence import set_tcp_timeouts

TCP_USER_TIMEOUT_S = 2.0
"""TCP user timeout of connections; it matters for long waits such as watches, since ordinary calls
have shorter timeouts."""


def call_timeout(
    total_s: float | None = None,
    *,
    sock_connect_s: float | None = None,
    sock_read_s: float | None = None,
) -> aiohttp.ClientTimeout:
    """Returns the timeouts of a call, in seconds; None means no timeout.

    Disables aiohttp's rounding of timeouts above 5 s up to a whole second of the clock.
    """
    return aiohttp.ClientTimeout(
        total=total_s,
        sock_connect=sock_connect_s,
        sock_read=sock_read_s,
        ceil_threshold=math.inf,
    )


class BrokenConnectionError(aiohttp.ClientError):
    """A connection broke after the request may have been sent; aiohttp does not retry this type."""


class TooLongError(aiohttp.ClientError):
    """An answer is longer than its reader allows; reading has stopped."""


async def read_bounded(response: ClientResponse, limit_bytes: int) -> bytes:
    """Returns the whole body of an answer.

    Raises:
        TooLongError: it is longer than ``limit_bytes``.
        aiohttp.ClientError: it broke off.
    """
    body = bytearray()
    async for piece in response.content.iter_any():
        body += piece
        if len(body) > limit_bytes:
            response.close()
            raise TooLongError(f"the answer is longer than {limit_bytes} bytes")
    return bytes(body)


def failure_reason(error: Exception) -> str:
    """Returns why a call failed, without bytes of an answer that could not be parsed."""
    if isinstance(error, aiohttp.ClientPayloadError | aiohttp.ClientResponseError):
        return type(error).__name__
    return str(error) or type(error).__name__


async def _disable_retries(request: ClientRequest, handler: ClientHandlerType) -> ClientResponse:
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        # Nothing was sent, and aiohttp does not retry these.
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise BrokenConnectionError(str(error) or type(error).__name__) from error


def _open_socket(address: AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    set_tcp_timeouts(sock, TCP_USER_TIMEOUT_S)
    return sock


def open_session() -> aiohttp.ClientSession:
    """Opens a session without a connection limit, since requests are queued elsewhere.

    It keeps no cookies: calls do not depend on earlier ones.
    """
    return aiohttp.ClientSession(
        cookie_jar=aiohttp.DummyCookieJar(),
        connector=aiohttp.TCPConnector(limit=0, socket_factory=_open_socket),
        middlewares=(_disable_retries,),
    )
