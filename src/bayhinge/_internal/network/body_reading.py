"""Reads bodies of requests within a limit and the host's memory."""

import socket
from typing import cast

import attrs
from aiohttp.web_protocol import RequestPayloadError
from aiohttp.web_request import BaseRequest

from bayhinge._internal.models.refusals import RefusalCode, RefusedError, not_run_refusal
from bayhinge._internal.network.memory_room import BodyTooLongError, MemoryRoom, read_whole
from bayhinge._internal.utils.receive_windows import widen_receive_window

READ_BUFFER_BYTES = 32_768
"""Buffer size of a request's body; reading from the caller is paused beyond twice as much.
aiohttp's default is eight times as large, and would hold bytes that the budget has no room for."""

READ_AHEAD_BYTES = 327_680
"""Room for what a connection holds of a chunked body before it is read: the read buffer and a read
from the socket. A body without this room is refused at once, so that few connections wait."""

LONG_BODY_BYTES = 131_072
"""Length from which a body's window is widened. A shorter one takes a few round trips."""

MAX_WINDOW_BYTES = 262_144
"""Receive buffer for a long body; over a link of 50 ms, 5 MB a second."""


@attrs.frozen
class ReceivedBody:
    """A whole body.

    Attributes:
        ends_connection: whether the connection must end with the request.
    """

    content: bytes
    ends_connection: bool


async def read_body_within(request: BaseRequest, limit: int, room: MemoryRoom) -> ReceivedBody:
    """Reads a whole body; of one without room, no more is read from the connection.

    Room for a declared length is taken before anything is read.

    Raises:
        BodyTooLongError: it is longer than ``limit`` bytes.
        RefusedError: there is no room for it, or it is malformed.
    """
    content = request.content
    length = request.content_length
    if length is None and content.is_eof():
        # A chunked body that has already arrived.
        length = content.total_bytes
    try:
        if length is None:
            room.take_at_once(READ_AHEAD_BYTES)
            body = await read_whole(content, room, False, limit)
            room.give_back(READ_AHEAD_BYTES)
            return ReceivedBody(body, False)
        if length > limit:
            raise BodyTooLongError
        room.take_at_once(length)
        is_long = length >= LONG_BODY_BYTES and not content.is_eof()
        if is_long:
            _widen_window(request, length)
        return ReceivedBody(await read_whole(content, room, True, limit), is_long)
    except RequestPayloadError as error:
        why = f"the body is malformed: {error}"
        raise RefusedError(not_run_refusal(RefusalCode.BAD_REQUEST, why)) from None


def _widen_window(request: BaseRequest, length: int) -> None:
    """Lets more of a body be on its way at once, now that there is room for all of it.

    The kernel can't take a window back, so the connection has to end with the request.
    """
    if request.transport is not None:
        sock = cast(socket.socket, request.transport.get_extra_info("socket"))
        widen_receive_window(sock, min(length // 4, MAX_WINDOW_BYTES))
