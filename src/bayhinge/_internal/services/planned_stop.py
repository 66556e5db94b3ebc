"""A planned stop: hands every program over without interrupting requests.

First the successors are announced in the journal. Then each program is handed over as soon as it
has no running call; calls that arrive meanwhile wait, and are forwarded to its new owner. Finally
the journal is sealed with the same successors.
"""

import asyncio
import logging

import attrs

from bayhinge._internal.exceptions import PeerFailureError, PeerUnreachableError
from bayhinge._internal.models.events import Mechanism
from bayhinge._internal.models.refusals import Figure
from bayhinge._internal.network.frames import encode_message
from bayhinge._internal.network.peers import Peers
from bayhinge._internal.services.adoption import MAX_SUCCESSORS, OwnerLocator
from bayhinge._internal.services.owner import ProgramOwner
from bayhinge._internal.services.owner_parts import OwnedProgram, OwnerParts
from bayhinge._internal.services.program_registry import ProgramRegistry
from bayhinge._internal.services.record_codec import encode_adopted
from bayhinge._internal.wire import ttypes as wire
from bayhinge.coordination.errors import FencedError, StoreError
from bayhinge.coordination.journal_objects import SealInfo
from bayhinge.coordination.membership import HostState, Membership
from bayhinge.coordination.rendezvous import choose, rank

logger = logging.getLogger(__name__)

POLL_S = 0.05
MAX_CONCURRENT_HANDOVERS = 16
PROBE_TIMEOUT_S = 1.0


class PlannedStop:
    """Performs one planned stop."""

    def __init__(
        self,
        parts: OwnerParts,
        owner: ProgramOwner,
        registry: ProgramRegistry,
        membership: Membership,
        locator: OwnerLocator,
        peers: Peers,
    ) -> None:
        self._parts = parts
        self._owner = owner
        self._registry = registry
        self._membership = membership
        self._locator = locator
        self._peers = peers

    async def run(self, timeout_s: float) -> bool:
        """Hands everything over; returns False on a timeout, an error, or without successors.

        Successors adopt the remaining programs as after the death of a host.
        """
        me = self._membership.me
        self._membership.describe(attrs.evolve(me, state=HostState.LEAVING))
        await self._membership.step()
        others = [
            info.incarnation
            for info in self._membership.serving()
            if info.incarnation != me.incarnation
        ]
        ranked = rank(me.incarnation, others)[:MAX_SUCCESSORS]
        successors = await self._reachable_hosts(ranked)
        self._record("leaving", "a planned stop began", Figure("successors", len(successors)))
        try:
            async with asyncio.timeout(timeout_s):
                if not successors:
                    await self._owner.drain()
                    await self._parts.journal.flush()
                    return False
                await self._hand_over(successors)
                await self._parts.journal.seal(successors, "a planned stop")
        except (TimeoutError, FencedError, StoreError) as error:
            logger.warning("the planned stop is incomplete: %s", error or "timeout")
            return False
        self._record("handed over", "every program has a new owner")
        return True

    async def _reachable_hosts(self, candidates: list[str]) -> list[str]:
        """Returns the hosts that answer; membership may not have noticed a death yet."""
        reachable = await asyncio.gather(*(self._is_reachable(name) for name in candidates))
        return [
            name for name, is_reachable in zip(candidates, reachable, strict=True) if is_reachable
        ]

    async def _is_reachable(self, incarnation: str) -> bool:
        info = self._membership.find(incarnation)
        if info is None:
            return False
        query = encode_message(wire.OperatorQuery("hosts", {}))
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                await self._peers.call(info.peer_address, "query", query)
        except (PeerUnreachableError, PeerFailureError, TimeoutError):
            return False
        return True

    async def _hand_over(self, successors: list[str]) -> None:
        await self._parts.journal.announce(successors)
        seal = SealInfo(tuple(successors), self._membership.me.incarnation, "a planned stop")
        self._locator.record_seal(self._membership.me.incarnation, seal)
        while True:
            live = [program for program in self._registry.all() if not program.state.ended]
            if not live:
                return
            idle = [program for program in live if program.running is None][
                :MAX_CONCURRENT_HANDOVERS
            ]
            for program in idle:
                program.is_moving = True
            await asyncio.gather(
                *(self._hand_over_program(program, successors) for program in idle)
            )
            if not idle:
                await asyncio.sleep(POLL_S)

    async def _hand_over_program(self, program: OwnedProgram, successors: list[str]) -> None:
        # The program's pending records must be durable before another host reads the journal.
        await self._parts.journal.flush()
        target = choose(str(program.state.program_id), successors)
        info = self._membership.find(target or "")
        if info is not None:
            payload = encode_adopted(program.state)
            try:
                await self._peers.call(info.peer_address, "adopt", payload)
            except (PeerUnreachableError, PeerFailureError) as error:
                # The successor may still have adopted the program, so this host must not
                # serve it again; look-ups go through the announced successors.
                logger.warning(
                    "the handover of %s was not acknowledged: %s", program.state.program_id, error
                )
        self._registry.remove(program)
        program.has_moved = True
        program.wake()

    def _record(self, what: str, why: str, *figures: Figure) -> None:
        self._parts.timeline.record(Mechanism.MEMBERSHIP, what, why, *figures)
