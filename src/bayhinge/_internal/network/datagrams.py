"""Reception of UDP datagrams."""

import asyncio
from collections.abc import Callable


class DatagramReceiver(asyncio.DatagramProtocol):
    """Passes the bytes of each received datagram to a callback."""

    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: object) -> None:
        """See :class:`asyncio.DatagramProtocol`."""
        self._on_datagram(data)
