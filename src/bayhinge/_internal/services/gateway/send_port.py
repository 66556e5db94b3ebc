"""The UDP socket on which hosts tell each other of loads and sends."""

import asyncio
from collections.abc import Callable

import eliot

from bayhinge._internal.exceptions import FrameError
from bayhinge._internal.network.addresses import split_address
from bayhinge._internal.network.datagrams import DatagramReceiver
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.utils.log_output import LineBudget
from bayhinge._internal.wire.hosts import ttypes as wire

UNREADABLE_LINES_PER_S = 1
"""Rate limit of log lines about messages that can't be read."""


class SendPort:
    """Sends and receives datagrams.

    Attributes:
        on_sends: called with a message about sends and the peer address of its sender.
    """

    def __init__(self) -> None:
        self._transport: asyncio.DatagramTransport | None = None
        self._unreadable_lines = LineBudget(UNREADABLE_LINES_PER_S)
        self.on_sends: Callable[[wire.LoadNews, str], None] = lambda message, sender: None

    async def open_port(self, address: str) -> None:
        """Opens a UDP socket on a peer address."""
        self._transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: DatagramReceiver(self.receive_datagram), local_addr=split_address(address)
        )

    def close_port(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, message: wire.LoadNews, *addresses: str) -> None:
        """Sends a datagram to the peer addresses of hosts."""
        if self._transport is None or self._transport.is_closing():
            return
        data = encode_message(message)
        for address in addresses:
            self._transport.sendto(data, split_address(address))

    def receive_datagram(self, data: bytes, sender: str) -> None:
        """Reads a message, and passes it on."""
        try:
            message = decode_message(wire.LoadNews(), data)
            self.receive(message, sender)
        except FrameError as error:
            now = asyncio.get_running_loop().time()
            if self._unreadable_lines.try_acquire(now):
                eliot.log_message(
                    "datagram.unreadable",
                    sender=sender,
                    why=str(error),
                    untold=self._unreadable_lines.suppressed,
                )

    def receive(self, message: wire.LoadNews, sender: str) -> None:
        """Passes on a message.

        Raises:
            FrameError: a field is out of range.
        """
        self.on_sends(message, sender)
