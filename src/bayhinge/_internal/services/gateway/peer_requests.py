"""Handles requests from other hosts."""

from collections.abc import Awaitable, Callable, Hashable, Mapping

from bayhinge._internal.exceptions import FrameError, PeerFailureError, PeerUnreachableError
from bayhinge._internal.models.refusals import RefusalCode, RefusedError, not_run_refusal
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.network.peers import Peers, UnaryPeerHandler
from bayhinge._internal.services import methods
from bayhinge._internal.services.gateway.configuration_proofs import ConfigurationProofs
from bayhinge._internal.services.gateway.disk_directory import DiskDirectory
from bayhinge._internal.services.gateway.placement import CoordinatorPlacer
from bayhinge._internal.services.gateway.quotas import Quotas
from bayhinge._internal.services.prefix_follower import PrefixFollower
from bayhinge._internal.wire.hosts import ttypes as wire


class PeerRequestHandler(UnaryPeerHandler):
    """Dispatches requests from other hosts to the gateway's parts."""

    def __init__(
        self,
        followers_by_prefix: Mapping[str, PrefixFollower],
        placer: CoordinatorPlacer,
        proofs: ConfigurationProofs,
        quotas: Quotas,
        disks: DiskDirectory,
        peers: Peers,
    ) -> None:
        self._followers_by_prefix = followers_by_prefix
        self._placer = placer
        self._proofs = proofs
        self._quotas = quotas
        self._disks = disks
        self._peers = peers
        self._placing_host_by_connection: dict[Hashable, str] = {}
        self._answer_by_method: Mapping[str, Callable[[bytes], Awaitable[bytes]]] = {
            methods.OBJECTS: self._objects,
            methods.RELAY: self._relay,
            methods.PLACE: self._place,
            methods.FRESHNESS_PROOF: self._proof,
            methods.QUOTA: self._quota,
            methods.DISK_SET: self._disk_set,
        }

    async def answer_from(self, connection: Hashable, method: str, payload: bytes) -> bytes:
        """See :class:`UnaryPeerHandler`."""
        if method == methods.PLACE:
            call = decode_message(wire.PlaceCall(), payload)
            self._placing_host_by_connection[connection] = call.loads.host
            return encode_message(await self._placer.answer(call))
        return await self.answer(method, payload)

    def connection_lost(self, connection: Hashable) -> None:
        """Stops counting the requests of a host that may have died; its next report counts them."""
        host = self._placing_host_by_connection.pop(connection, None)
        if host is not None and host not in self._placing_host_by_connection.values():
            self._placer.clear_loads(host)

    async def answer(self, method: str, payload: bytes) -> bytes:
        """See :class:`UnaryPeerHandler`."""
        answer = self._answer_by_method.get(method)
        if answer is None:
            raise FrameError(f"an entry host has no method '{method}'")
        return await answer(payload)

    async def _objects(self, payload: bytes) -> bytes:
        prefix = decode_message(wire.ObjectsQuery(), payload).prefix
        follower = self._followers_by_prefix.get(prefix)
        if follower is None:
            raise FrameError(f"this host does not follow the prefix '{prefix}'")
        return encode_message(follower.snapshot())

    async def _place(self, payload: bytes) -> bytes:
        return encode_message(await self._placer.answer(decode_message(wire.PlaceCall(), payload)))

    async def _proof(self, payload: bytes) -> bytes:
        return encode_message(self._proofs.answer())

    async def _quota(self, payload: bytes) -> bytes:
        return encode_message(await self._quotas.answer(decode_message(wire.QuotaCall(), payload)))

    async def _disk_set(self, payload: bytes) -> bytes:
        return encode_message(self._disks.disk_set)

    async def _relay(self, payload: bytes) -> bytes:
        """Relays a call to a disk that the calling host can't reach."""
        call = decode_message(wire.RelayCall(), payload)
        members = self._disks.disk_set.members
        if call.address not in {member.address for member in members}:
            raise FrameError(f"'{call.address}' is not a member of the disk set")
        try:
            return await self._peers.call(call.address, call.method, call.payload)
        except (PeerUnreachableError, PeerFailureError) as error:
            refusal = not_run_refusal(RefusalCode.STORE_UNAVAILABLE, str(error))
            raise RefusedError(refusal) from error
