"""Reception of UDP datagrams."""

import asyncio
from collections.abc import Callable


class DatagramReceiver(asyncio.DatagramProtocol):
    """Passes the bytes of each received datagram, and its sender's address, to a callback."""

    def __init__(self, on_datagram: Callable[[bytes, str], None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """See :class:`asyncio.DatagramProtocol`."""
        host, port = addr[:2]
        self._on_datagram(data, f"{host}:{port}")
