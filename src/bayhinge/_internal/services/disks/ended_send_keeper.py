"""Remembers ended sends on a disk host, for the case that all entry hosts end at once.

It is kept in memory alone: disks are synced too slowly to take part in each failed send.
"""

import asyncio

import eliot
from mode import Service

from bayhinge._internal.exceptions import FrameError
from bayhinge._internal.network.frames import decode_message
from bayhinge._internal.services.gateway.ended_send_exchange import EndedSendExchange
from bayhinge._internal.services.gateway.ended_send_memory import EndedSendMemory, SendNewsPort
from bayhinge._internal.services.gossip import Gossip
from bayhinge._internal.services.keep_running import keep_running
from bayhinge._internal.wire.hosts import ttypes as wire

FORGET_PERIOD_S = 1.0


class EndedSendKeeper(SendNewsPort, Service):
    """Hears what entry hosts tell of ended sends, and tells it to those that start or ask."""

    def __init__(self, gossip: Gossip) -> None:
        Service.__init__(self)
        SendNewsPort.__init__(self)
        self._address = gossip.own_heartbeat.peer_address
        self._memory = EndedSendMemory()
        self._exchange = EndedSendExchange(self._memory, gossip, self)

    async def on_start(self) -> None:
        """Opens the socket."""
        await self.open_port(self._address, self._receive)
        self.add_future(keep_running("forget old sends", self._forget_old))

    async def on_stop(self) -> None:
        """Closes the socket."""
        self.close_port()

    def digest(self) -> int | None:
        """Returns the digest of what is remembered, for heartbeats; None for nothing."""
        return self._exchange.digest()

    def handle_heartbeat(self, heartbeat: wire.Hello) -> None:
        """See :meth:`EndedSendExchange.handle_heartbeat`."""
        self._exchange.handle_heartbeat(heartbeat)

    def _receive(self, data: bytes) -> None:
        try:
            message = decode_message(wire.LoadNews(), data)
        except FrameError as error:
            eliot.log_message("send.news_unreadable", why=str(error))
            return
        self.receive_news(message)

    async def _forget_old(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(FORGET_PERIOD_S)
            self._memory.sends.forget_old(asyncio.get_running_loop().time())
