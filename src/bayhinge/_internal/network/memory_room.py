"""Room in memory for what is read from a connection, and reading whole bodies within it."""

from abc import ABC, abstractmethod
from contextlib import AbstractContextManager

from aiohttp.streams import StreamReader

PIECE_BYTES = 32_768
"""Room that is taken for each piece of a body without a declared length. It matches the read buffer
of requests, which aiohttp would enlarge for larger pieces."""


class BodyTooLongError(Exception):
    """A body is longer than the limit."""


class MemoryRoom(ABC):
    """Room for bytes of one kind, in a budget that other requests share."""

    @abstractmethod
    def take_at_once(self, size: int) -> None:
        """Takes room.

        Raises:
            RefusedError: there is none.
        """

    @abstractmethod
    async def take(self, size: int) -> None:
        """Takes room, and waits for it if there is none.

        Raises:
            RefusedError: waiting is useless, or others come first.
        """

    @abstractmethod
    def give_back(self, size: int) -> None:
        """Returns room that was taken."""


class MemoryRooms(ABC):
    """The memory that requests share."""

    @abstractmethod
    def body_room(self, name: str) -> AbstractContextManager[MemoryRoom]:
        """Returns the room for a request's body, which is given back when the block ends.

        Args:
            name: names the request in logs.
        """


class UnboundedRoom(MemoryRoom):
    """Room without a bound."""

    def take_at_once(self, size: int) -> None:
        """See :class:`MemoryRoom`."""

    async def take(self, size: int) -> None:
        """See :class:`MemoryRoom`."""

    def give_back(self, size: int) -> None:
        """See :class:`MemoryRoom`."""


UNBOUNDED_ROOM = UnboundedRoom()


async def read_whole(
    content: StreamReader, room: MemoryRoom, is_reserved: bool, limit: int | None = None
) -> bytes:
    """Returns a whole body.

    Args:
        content: the body; its connection is read only as far as this function reads it.
        room: room is taken before each piece is read.
        is_reserved: room for the whole body has already been taken.
        limit: the greatest length, or None.

    Raises:
        BodyTooLongError: it is longer than ``limit`` bytes.
    """
    # One object rather than a list: a body may come in pieces of a few bytes.
    body = bytearray()
    if content.at_eof():
        return b""
    while True:
        if is_reserved:
            piece = await content.readany()
        else:
            await room.take(PIECE_BYTES)
            piece = await content.read(PIECE_BYTES)
            room.give_back(PIECE_BYTES - len(piece))
        if limit is not None and len(body) + len(piece) > limit:
            raise BodyTooLongError
        if not body and content.at_eof():
            return piece
        body += piece
        if not piece or content.at_eof():
            return bytes(body)
