"""An in-memory network between hosts, with partitions, delays and frozen hosts."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator

import attrs

from bayhinge._internal.exceptions import PeerFailureError, PeerUnreachableError
from bayhinge._internal.models.refusals import RefusedError
from bayhinge._internal.network.peers import PeerHandler, PeerListener, PeerNetwork, Peers
from bayhinge.coordination.clock import HybridClock

PEER_DELAY_S = 0.0015
"""One-way delay between halls."""


class Gate:
    """Blocks a host's input and output while the host is frozen."""

    def __init__(self) -> None:
        self._open = asyncio.Event()
        self._open.set()

    def freeze(self) -> None:
        """Blocks callers of `pass_through`."""
        self._open.clear()

    def unfreeze(self) -> None:
        """Lets blocked and new callers through."""
        self._open.set()

    async def pass_through(self) -> None:
        """Waits until the host is not frozen."""
        await self._open.wait()


@attrs.define
class _ListeningHost:
    handler: PeerHandler
    clock: HybridClock
    gate: Gate
    streams: set["_Stream"] = attrs.field(factory=set)


class _Stream:
    """One stream: a task on the server's side, a queue on the client's side."""

    def __init__(self, listening: _ListeningHost, method: str, payload: bytes) -> None:
        self.queue: asyncio.Queue[bytes | Exception | None] = asyncio.Queue()
        self.broken = False
        self._listening = listening
        self.task = asyncio.create_task(self._serve(method, payload))

    async def _serve(self, method: str, payload: bytes) -> None:
        try:
            await self._listening.gate.pass_through()
            async for message in self._listening.handler.handle(method, payload):
                await self._listening.gate.pass_through()
                self.queue.put_nowait(message)
            self.queue.put_nowait(None)
        except RefusedError as error:
            self.queue.put_nowait(PeerFailureError(error.refusal.to_json()))

    def abort(self, address: str) -> None:
        """Ends the stream as a broken connection does."""
        self.broken = True
        self.task.cancel()
        self.queue.put_nowait(PeerUnreachableError(address, "the connection broke", sent=True))


class LocalNetwork:
    """The network between all hosts of a world."""

    def __init__(self) -> None:
        self.listening_by_address: dict[str, _ListeningHost] = {}
        self.partitions: set[frozenset[str]] = set()
        self._next_port = 9000

    def network_for(self, name: str, gate: Gate) -> PeerNetwork:
        """Returns the network as one host sees it."""
        return _Member(self, name, gate)

    def next_address(self, name: str) -> str:
        """Returns an unused address."""
        self._next_port += 1
        return f"{name}:{self._next_port}"

    def is_partitioned(self, one: str, other: str) -> bool:
        """Tells whether two hosts can't reach each other."""
        return frozenset({one, other}) in self.partitions


class _Member(PeerNetwork):
    def __init__(self, network: LocalNetwork, name: str, gate: Gate) -> None:
        self._network = network
        self._name = name
        self._gate = gate

    def connect(self, clock: HybridClock) -> Peers:
        """See :class:`PeerNetwork`."""
        return _LocalPeers(self._network, self._name, self._gate, clock)

    def listen(self, address: str, handler: PeerHandler, clock: HybridClock) -> PeerListener:
        """See :class:`PeerNetwork`."""
        listening = _ListeningHost(handler, clock, self._gate)
        return _LocalListener(self._network, self._name, listening)


class _LocalListener(PeerListener):
    def __init__(self, network: LocalNetwork, name: str, listening: _ListeningHost) -> None:
        self._network = network
        self._listening = listening
        self._address = network.next_address(name)

    async def start(self) -> str:
        """See :class:`PeerListener`."""
        self._network.listening_by_address[self._address] = self._listening
        return self._address

    async def stop(self) -> None:
        """See :class:`PeerListener`."""
        self._network.listening_by_address.pop(self._address, None)
        for stream in list(self._listening.streams):
            stream.abort(self._address)


class _LocalPeers(Peers):
    def __init__(self, network: LocalNetwork, name: str, gate: Gate, clock: HybridClock) -> None:
        self._network = network
        self._name = name
        self._gate = gate
        self._clock = clock
        self._closed = False

    async def close(self) -> None:
        """See :class:`Peers`."""
        self._closed = True

    async def stream(
        self, address: str, method: str, payload: bytes
    ) -> AsyncGenerator[bytes, None]:
        """See :class:`Peers`."""
        await self._gate.pass_through()
        await asyncio.sleep(PEER_DELAY_S)
        listening = self._network.listening_by_address.get(address)
        other = address.partition(":")[0]
        if self._closed or listening is None or self._network.is_partitioned(self._name, other):
            raise PeerUnreachableError(address, "connection refused", sent=False)
        listening.clock.observe(self._clock.tick())
        stream = _Stream(listening, method, payload)
        listening.streams.add(stream)
        try:
            while True:
                item = await stream.queue.get()
                await self._gate.pass_through()
                if item is None:
                    return
                if isinstance(item, Exception):
                    raise item
                self._clock.observe(listening.clock.tick())
                yield item
        finally:
            listening.streams.discard(stream)
            stream.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(0)
