"""HTTP sessions that never send a request twice by themselves.

aiohttp repeats GET, PUT, DELETE and their like once when a connection breaks before the
answer. For bayhinge a repeat is a decision: an action would run twice, and a conditional
write would find its own first copy and report a conflict.
"""

import math
import socket

import aiohttp
from aiohttp import AddrInfoType, ClientHandlerType, ClientRequest, ClientResponse

from bayhinge._internal.utils.tcp_timeouts import set_tcp_timeouts

TCP_USER_TIMEOUT_S = 2.0
"""Sent bytes that stay without an acknowledgement for so long end a connection. Calls bound
themselves; this is for those that wait for long, such as a watch."""


def call_timeout(
    total_s: float | None = None,
    *,
    sock_connect_s: float | None = None,
    sock_read_s: float | None = None,
) -> aiohttp.ClientTimeout:
    """Returns the bounds of a call, in seconds; None is no bound.

    By itself aiohttp rounds the end of bounds above 5 s up to a whole second of the clock: calls
    with a bound of 5.7 s took 5.87 to 6.67 s (six on loopback), and what began within one second
    ended in one moment. A bound here ends when it says.
    """
    return aiohttp.ClientTimeout(
        total=total_s,
        sock_connect=sock_connect_s,
        sock_read=sock_read_s,
        ceil_threshold=math.inf,
    )


class BrokenConnectionError(aiohttp.ClientError):
    """A connection broke after the request may have been sent; aiohttp leaves this one alone."""


async def _disable_retries(request: ClientRequest, handler: ClientHandlerType) -> ClientResponse:
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        # Nothing was sent, and aiohttp does not repeat these.
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise BrokenConnectionError(str(error) or type(error).__name__) from error


def _open_socket(address: AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    set_tcp_timeouts(sock, TCP_USER_TIMEOUT_S)
    return sock


def open_session() -> aiohttp.ClientSession:
    """Opens a session without limits on connections: queueing is done elsewhere, and seen."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, socket_factory=_open_socket),
        middlewares=(_disable_retries,),
    )
