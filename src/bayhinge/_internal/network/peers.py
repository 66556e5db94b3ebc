"""Interfaces for the communication between hosts."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import AsyncGenerator, AsyncIterator, Hashable

from bayhinge.coordination.clock import HybridClock


class PeerHandler(ABC):
    """Serves the requests of peers."""

    @abstractmethod
    def handle(self, method: str, payload: bytes) -> AsyncIterator[bytes]:
        """Yields the answer's messages.

        Raises:
            RefusedError: sent to the peer as a failure.
        """


class UnaryPeerHandler(PeerHandler):
    """A handler whose methods all answer with one message."""

    @abstractmethod
    async def answer(self, method: str, payload: bytes) -> bytes:
        """Returns the answer's message.

        Raises:
            RefusedError: sent to the peer as a failure.
        """

    async def answer_from(self, connection: Hashable, method: str, payload: bytes) -> bytes:
        """Like :meth:`answer`; ``connection`` is that of the peer, see :meth:`connection_lost`."""
        return await self.answer(method, payload)

    def connection_lost(self, connection: Hashable) -> None:
        """Called when a peer's connection has ended."""

    async def handle(self, method: str, payload: bytes) -> AsyncIterator[bytes]:
        """See :class:`PeerHandler`."""
        yield await self.answer(method, payload)


class Peers(ABC):
    """The client for requests to all other hosts.

    Attributes:
        abandoned_connections: number of connections replaced because they were unresponsive.
    """

    abandoned_connections = 0

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

    def suspect_connection(self, address: str, began_s: float) -> bool:
        """Reports that a call has waited too long; its connection is replaced if unresponsive.

        Calls in flight keep waiting on the old connection. A connection that never received
        anything is not replaced, since then the peer itself is unresponsive.

        Args:
            address: the peer's address.
            began_s: when the call began, on the loop's clock.

        Returns:
            Whether a new call would use a newer connection than the one that began then.
        """
        return False

    async def call(self, address: str, method: str, payload: bytes) -> bytes:
        """Makes a unary call: returns the one message of the answer.

        Raises:
            PeerUnreachableError: there is no connection, or it broke before the end.
            PeerFailureError: the peer answered with a failure, or a message is too long.
        """
        answer = b""
        async for message in self.stream(address, method, payload):
            answer = message
        return answer

    def start_call(self, address: str, method: str, payload: bytes) -> asyncio.Future[bytes]:
        """Starts a unary call; cancelling the returned future cancels the call.

        The future fails with the errors of :meth:`call`.
        """
        return asyncio.ensure_future(self.call(address, method, payload))


class PeerListener(ABC):
    """Accepts requests of other hosts."""

    @abstractmethod
    async def start(self) -> str:
        """Starts listening; returns the address with the actual port."""

    @abstractmethod
    async def stop(self) -> None:
        """Stops listening and closes every connection."""


class PeerNetwork(ABC):
    """The network between hosts; tests substitute one without sockets."""

    @abstractmethod
    def connect(self, clock: HybridClock) -> Peers:
        """Returns a client for requests to all other hosts."""

    @abstractmethod
    def listen(self, address: str, handler: PeerHandler, clock: HybridClock) -> PeerListener:
        """Returns a listener, not yet started."""
