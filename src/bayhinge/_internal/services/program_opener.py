"""Opens programs at this host, or at a peer if this host is leaving."""

import orjson
from expression import Error, Ok, Result

from bayhinge._internal.exceptions import PeerFailureError, PeerUnreachableError
from bayhinge._internal.models.accounts import ClientAccount
from bayhinge._internal.models.refusals import (
    Refusal,
    RefusalCode,
    not_run_refusal,
    refusal_from_json,
)
from bayhinge._internal.network.frames import encode_message
from bayhinge._internal.services.host_parts import HostParts
from bayhinge._internal.wire import ttypes as wire
from bayhinge.coordination.membership import HostState
from bayhinge.coordination.rendezvous import rank


class ProgramOpener:
    """Opens programs for callers and for leaving peers."""

    def __init__(self, parts: HostParts) -> None:
        self._parts = parts

    async def open(
        self, account: ClientAccount, parent: str | None, idempotency_key: str | None
    ) -> Result[str, Refusal]:
        """Opens a durable program and returns its identifier."""
        if self._is_leaving:
            return await self._open_at_peer(account, parent, idempotency_key)
        return await self.open_here(account, parent, idempotency_key)

    async def open_here(
        self, account: ClientAccount, parent: str | None, idempotency_key: str | None
    ) -> Result[str, Refusal]:
        """Opens a durable program that this host owns."""
        opened = await self._parts.registry.open(account, parent, idempotency_key)
        return opened.map(lambda program: str(program.state.program_id))

    async def open_single_call_program(self, account: ClientAccount) -> Result[str, Refusal]:
        """Opens a program of one call, which becomes durable with that call."""
        if self._is_leaving:
            return await self._open_at_peer(account, None, None)
        opened = self._parts.registry.open_nowait(account, None, None)
        return opened.map(lambda item: str(item.program.state.program_id))

    @property
    def _is_leaving(self) -> bool:
        return self._parts.membership.me.state is not HostState.SERVING

    async def _open_at_peer(
        self, account: ClientAccount, parent: str | None, key: str | None
    ) -> Result[str, Refusal]:
        membership = self._parts.membership
        by_incarnation = {
            info.incarnation: info
            for info in membership.serving()
            if info.incarnation != membership.me.incarnation
        }
        message = encode_message(wire.ProgramRequest(key or "", account.name, parent or "", 1))
        for incarnation in rank(f"{account.name}/{key}", by_incarnation):
            address = by_incarnation[incarnation].peer_address
            try:
                return Ok(orjson.loads(await self._parts.peers.call(address, "open", message)))
            except PeerUnreachableError:
                continue
            except PeerFailureError as error:
                return Error(refusal_from_json(error.problem))
        why = "this host is leaving, and no other host can be reached"
        return Error(not_run_refusal(RefusalCode.HOST_LEAVING, why, retry_after_s=1.0))
