"""The ways between hosts, as services see them."""

from abc import ABC, abstractmethod
from collections.abc import AsyncGenerator, AsyncIterator

from bayhinge.coordination.clock import HybridClock


class PeerHandler(ABC):
    """What a host does for its peers."""

    @abstractmethod
    def handle(self, method: str, payload: bytes) -> AsyncIterator[bytes]:
        """Yields the answer's messages.

        Raises:
            RefusedError: goes to the peer as a failure.
        """


class AnsweringHandler(PeerHandler):
    """For hosts whose every method has one message for an answer."""

    @abstractmethod
    async def answer(self, method: str, payload: bytes) -> bytes:
        """Returns the answer.

        Raises:
            RefusedError: goes to the peer as a failure.
        """

    async def handle(self, method: str, payload: bytes) -> AsyncIterator[bytes]:
        """See :class:`PeerHandler`."""
        yield await self.answer(method, payload)


class Peers(ABC):
    """The way to all other hosts.

    Attributes:
        left_silent: connections that were left because they brought nothing any more.
    """

    left_silent = 0

    @abstractmethod
    def stream(self, address: str, method: str, payload: bytes) -> AsyncGenerator[bytes, None]:
        """Opens a stream and yields the answer's messages.

        Raises:
            PeerUnreachableError: there is no connection, or it broke before the end.
            PeerFailureError: the peer answered with a failure.
        """

    @abstractmethod
    async def close(self) -> None:
        """Closes every connection."""

    def doubt(self, address: str, began_s: float) -> bool:
        """Leaves a connection that brings nothing, because a call over it waits for too long.

        Returns whether a call goes over a newer connection now than one that began at ``began_s``
        on the loop's clock. Calls that wait on the old one go on waiting. A connection that never
        brought anything is not left: then the peer is silent, and a new one would say no more.
        """
        return False

    async def call(self, address: str, method: str, payload: bytes) -> bytes:
        """Opens a stream that has one message for an answer, and returns it.

        Raises:
            PeerUnreachableError: there is no connection, or it broke before the end.
            PeerFailureError: the peer answered with a failure.
        """
        answer = b""
        async for message in self.stream(address, method, payload):
            answer = message
        return answer


class PeerListener(ABC):
    """Where other hosts reach this one."""

    @abstractmethod
    async def start(self) -> str:
        """Listens, and returns the address with its real port."""

    @abstractmethod
    async def stop(self) -> None:
        """Stops listening and closes every connection."""


class PeerNetwork(ABC):
    """What connects hosts; tests put one in that needs no sockets."""

    @abstractmethod
    def connect(self, clock: HybridClock) -> Peers:
        """Returns the way to all other hosts."""

    @abstractmethod
    def listen(self, address: str, handler: PeerHandler, clock: HybridClock) -> PeerListener:
        """Returns a listener that is not started yet."""
