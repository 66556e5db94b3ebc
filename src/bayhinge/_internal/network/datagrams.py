"""Datagrams as services see them."""

import asyncio
from collections.abc import Callable


class Datagrams(asyncio.DatagramProtocol):
    """Hands each datagram on as it comes."""

    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        """Takes what is done with a datagram's bytes."""
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: object) -> None:
        """See :class:`asyncio.DatagramProtocol`."""
        self._on_datagram(data)
