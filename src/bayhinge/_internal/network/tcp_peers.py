"""The network between hosts over TCP."""

from bayhinge._internal.network.connection_guard import ConnectionGuard
from bayhinge._internal.network.peer_client import PeerClient
from bayhinge._internal.network.peer_server import PeerServer
from bayhinge._internal.network.peers import PeerHandler, PeerListener, PeerNetwork, Peers
from bayhinge.coordination.clock import HybridClock


class TcpPeerNetwork(PeerNetwork):
    """The :class:`PeerNetwork` over TCP."""

    def __init__(self, connect_s: float, guard: ConnectionGuard | None = None) -> None:
        """Builds it; ``guard`` is that of the process's other connections."""
        self._connect_s = connect_s
        self._guard = guard or ConnectionGuard()

    def connect(self, clock: HybridClock) -> Peers:
        """See :class:`PeerNetwork`."""
        return PeerClient(clock, self._connect_s)

    def listen(self, address: str, handler: PeerHandler, clock: HybridClock) -> PeerListener:
        """See :class:`PeerNetwork`."""
        return PeerServer(address, handler, clock, self._guard)
