"""Remembers sends on a disk host, so that they are known when entry hosts die.

They are kept in memory alone: disks are synced too slowly to take part in each send.
"""

import asyncio
from collections.abc import Callable, Iterable

from mode import Service

from bayhinge._internal.services.gateway.send_port import SendPort
from bayhinge._internal.services.gateway.send_recorder import SendRecorder
from bayhinge._internal.services.gateway.witness_directory import WitnessDirectory
from bayhinge._internal.services.gossip import Gossip
from bayhinge._internal.services.keep_running import keep_running
from bayhinge._internal.wire.hosts import ttypes as wire

FORGET_PERIOD_S = 1.0


class SendKeeper(SendPort, Service):
    """Hears of entry hosts' sends, and answers what they ask."""

    def __init__(
        self, gossip: Gossip, disk_members: Callable[[], Iterable[wire.DiskMember]]
    ) -> None:
        Service.__init__(self)
        SendPort.__init__(self)
        self._address = gossip.own_heartbeat.peer_address
        self._recorder = SendRecorder(self, WitnessDirectory(gossip, disk_members))
        self.handle_heartbeat = self._recorder.handle_heartbeat

    async def on_start(self) -> None:
        """Opens the socket."""
        await self.open_port(self._address)
        self.add_future(keep_running("forget old sends", self._forget_old))

    async def on_stop(self) -> None:
        """Closes the socket."""
        self.close_port()

    async def _forget_old(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(FORGET_PERIOD_S)
            self._recorder.forget_old()
