"""What one host remembers of ended sends, and how it is told and heard."""

import asyncio
from collections.abc import Callable, Iterable

import attrs

from bayhinge._internal.decisions.ended_send_history import (
    BrokenSend,
    Fate,
    RequestKey,
    SendUnderWay,
)
from bayhinge._internal.decisions.ended_sends import EndedSends
from bayhinge._internal.models.endpoint_entries import EndpointIncarnation
from bayhinge._internal.network.addresses import split_address
from bayhinge._internal.network.datagrams import DatagramReceiver
from bayhinge._internal.network.frames import encode_message
from bayhinge._internal.utils.checked_fields import is_ipv4_with_port
from bayhinge._internal.wire.hosts import ttypes as wire


@attrs.frozen
class FateChange:
    """What has become known of a send, to be told to other hosts."""

    key: RequestKey
    incarnation: EndpointIncarnation
    send: BrokenSend
    fate: Fate


@attrs.frozen
class SendChange:
    """A send of a request that failed before, which begins or has ended at this host."""

    key: RequestKey
    incarnation: EndpointIncarnation
    send: SendUnderWay
    is_over: bool


class EndedSendMemory:
    """The ended sends that a host remembers.

    Attributes:
        tell: tells the other hosts of changes.
        on_failure: called when endpoints ended under a request, or may have.
    """

    def __init__(self) -> None:
        self.sends = EndedSends()
        self.tell: Callable[[Iterable[FateChange | SendChange]], None] = lambda changes: None
        self.on_failure: Callable[[RequestKey], None] = lambda key: None


class SendNewsPort:
    """Sends and receives datagrams with news of ended sends.

    Attributes:
        on_sends: called with what another host tells of sends.
        on_ends_wanted: called with the peer address of a host that asks for what this one knows.
    """

    def __init__(self) -> None:
        self._transport: asyncio.DatagramTransport | None = None
        self.on_sends: Callable[[Iterable[wire.SendNews]], None] = lambda news: None
        self.on_ends_wanted: Callable[[str], None] = lambda address: None

    async def open_port(self, address: str, receive: Callable[[bytes], None]) -> None:
        """Opens a UDP socket on a peer address."""
        self._transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: DatagramReceiver(receive), local_addr=split_address(address)
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

    def receive_news(self, message: wire.LoadNews) -> None:
        """Passes on what a message tells of ended sends, or asks of them."""
        if message.sends is not None:
            self.on_sends(message.sends)
        if message.ends_wanted_at is not None and is_ipv4_with_port(message.ends_wanted_at):
            self.on_ends_wanted(message.ends_wanted_at)
