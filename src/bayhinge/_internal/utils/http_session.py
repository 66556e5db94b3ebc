"""HTTP sessions that never send a request twice by themselves.

aiohttp repeats GET, PUT, DELETE and their like once when a connection breaks before the
answer. For bayhinge a repeat is a decision: an action would run twice, and a conditional
write would find its own first copy and report a conflict.
"""

import aiohttp
from aiohttp import ClientHandlerType, ClientRequest, ClientResponse


class BrokenConnectionError(aiohttp.ClientError):
    """A connection broke after the request may have been sent; aiohttp leaves this one alone."""


async def _repeat_nothing(request: ClientRequest, handler: ClientHandlerType) -> ClientResponse:
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        # Nothing was sent, and aiohttp does not repeat these.
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise BrokenConnectionError(str(error) or type(error).__name__) from error


def open_session() -> aiohttp.ClientSession:
    """Opens a session without limits on connections: queueing is done elsewhere, and seen."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0), middlewares=(_repeat_nothing,)
    )
