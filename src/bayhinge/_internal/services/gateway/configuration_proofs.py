"""Renews a host's freshness proof of its configuration, and lets requests wait for one.

Proofs are pulled, never pushed: their age counts from when the host asked, so delays in the network
or in a stalled process can't make a proof look younger. Heartbeats tell which peers have a recent
one. The loop's clock is monotonic and stops only while the whole machine sleeps
(see docs/questions.md).
"""

import asyncio
import math
import random
from collections.abc import Callable

import attrs
import eliot

from bayhinge._internal.decisions.freshness_proofs import (
    FreshnessProof,
    FreshnessProofs,
    ProofBounds,
    confirmed_by_peer,
    may_ask_peer,
    may_ask_store,
    place_in_order,
)
from bayhinge._internal.exceptions import FrameError, PeerFailureError, PeerUnreachableError
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.network.peers import Peers
from bayhinge._internal.services import methods
from bayhinge._internal.services.gossip import Gossip
from bayhinge._internal.services.prefix_follower import PrefixFollower
from bayhinge._internal.utils.stall_tolerant_timeouts import stall_tolerant_timeout
from bayhinge._internal.wire.hosts import ttypes as wire
from bayhinge.coordination.errors import StoreError
from bayhinge.coordination.store import PollingStore

IDLE_S = 0.3
"""Interval at which a host without need of a proof checks whether it needs one."""

PAUSE_S = 0.2
"""Mean pause after a failed renewal."""

MIN_PAUSE_S = 0.01
"""Lower bound of a pause, so that rounding can't make the loop spin."""

PEER_ANSWER_S = 0.15
"""Timeout for a peer's answer, about thirty times an ordinary one between halls."""

PROOF_WAIT_S = 0.25
"""Longest wait of a request for a proof, enough for a call to a peer. Requests don't wait right
after a failed call to the store."""

STORE_FAILURE_S = 1.0
"""How long a host reports the store as unreachable after a failed call."""

MAX_HINT_AGE_S = 30.0
"""Age above which a proof is not announced in heartbeats, as it is of no use to peers."""

HINT_TOLERANCE_S = 0.2
"""Announced ages this close to the lowest count as equal, which spreads the calls over peers."""


@attrs.define(eq=False, repr=False)
class ProofCounts:
    """Counts of renewals, and of requests that waited for a proof."""

    from_store: int = 0
    from_peers: int = 0
    failed: int = 0
    waited: int = 0
    refused: int = 0


class ConfigurationProofs:
    """The freshness proof of one host's configuration.

    ``key`` is the store's key of the active configuration. ``bounds`` is None if the deployment
    does not bound the use of revoked keys.
    """

    def __init__(
        self,
        store: PollingStore,
        key: str,
        follower: PrefixFollower,
        gossip: Gossip,
        peers: Peers,
        bounds: ProofBounds | None,
    ) -> None:
        self._store = store
        self._key = key
        self._follower = follower
        self._gossip = gossip
        self._peers = peers
        self._bounds = bounds
        self._proofs = FreshnessProofs()
        self._failed_s = -math.inf
        self._renewal_requested = asyncio.Event()
        self._renewed = asyncio.Event()
        self.counts = ProofCounts()
        self.has_accounts: Callable[[], bool] = lambda: False

    @property
    def age_s(self) -> float:
        """The age of the current proof; infinite without one."""
        return self._proofs.age_s(self._follower.known_revision, asyncio.get_running_loop().time())

    @property
    def may_admit(self) -> bool:
        """Whether requests with a key may be admitted now."""
        return self._bounds is None or self.age_s <= self._bounds.admit_s

    @property
    def has_failed(self) -> bool:
        """Whether a call to the store failed within the last ``STORE_FAILURE_S``."""
        return asyncio.get_running_loop().time() - self._failed_s < STORE_FAILURE_S

    @property
    def is_required(self) -> bool:
        """Whether the configuration has accounts, and so needs proofs."""
        return self._bounds is not None and self.has_accounts()

    def hint_ms(self) -> int | None:
        """Returns the age to announce in heartbeats, in milliseconds, or None."""
        age_s = self.age_s
        return round(age_s * 1000) if self.is_required and age_s < MAX_HINT_AGE_S else None

    def answer(self) -> wire.ProofReply:
        """Answers a peer's request for a proof."""
        proof = self._proofs.newest(self._follower.known_revision)
        if proof is None:
            return wire.ProofReply()
        age_s = asyncio.get_running_loop().time() - proof.asked_s
        return wire.ProofReply(proof.revision, age_s * 1000)

    async def wait(self, attempt: str) -> bool:
        """Waits for a proof that admits requests; returns whether there is one."""
        if self.may_admit:
            return True
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        age_s = self.age_s
        if not self.has_failed:
            self.counts.waited += 1
            self._renewal_requested.set()
            try:
                async with stall_tolerant_timeout(PROOF_WAIT_S):
                    while not self.may_admit:
                        await self._renewed.wait()
            except TimeoutError:
                self.counts.refused += 1
            eliot.log_message(
                "request.waited_for_proof",
                attempt=attempt,
                proof_age_s=_rounded_age(age_s),
                waited_ms=round((loop.time() - began_s) * 1000, 1),
                has_come=self.may_admit,
            )
        return self.may_admit

    # ---- renewal ----

    async def run(self) -> None:
        """Renews the proof while the configuration has accounts."""
        while True:
            if not self.is_required or self._bounds is None:
                await self._pause(IDLE_S)
                continue
            due_s = self._bounds.renew_s - self.age_s
            if due_s > 0:
                await self._pause(max(due_s, MIN_PAUSE_S))
            elif not await self._renew(self._bounds):
                await self._pause(PAUSE_S * random.uniform(0.5, 1.5))

    async def _pause(self, pause_s: float) -> None:
        try:
            async with asyncio.timeout(pause_s):
                await self._renewal_requested.wait()
        except TimeoutError:
            return
        self._renewal_requested.clear()

    async def _renew(self, bounds: ProofBounds) -> bool:
        """Asks a peer or the store; returns whether the proof is fresher now."""
        before_s = self.age_s
        address = self._best_peer(before_s, bounds)
        if address is not None:
            await self._ask_peer(address)
        elif self._should_ask_store(before_s, bounds):
            await self._ask_store()
        return self.age_s < min(before_s, bounds.renew_s)

    def _best_peer(self, age_s: float, bounds: ProofBounds) -> str | None:
        """Returns the address of a peer with a recent enough proof, or None."""
        now = asyncio.get_running_loop().time()
        age_by_address = {
            heartbeat.peer_address: heartbeat.proof_age_ms / 1000
            + now
            - self._gossip.last_seen_s(heartbeat.host)
            for heartbeat in self._gossip.recent_heartbeats(wire.HostRole.ENTRY)
            if heartbeat.proof_age_ms is not None
        }
        if not age_by_address:
            return None
        best_s = min(age_by_address.values())
        if not may_ask_peer(age_s, best_s, bounds.renew_s):
            return None
        return random.choice(
            [
                address
                for address, hinted_s in age_by_address.items()
                if hinted_s <= best_s + HINT_TOLERANCE_S
            ]
        )

    def _should_ask_store(self, age_s: float, bounds: ProofBounds) -> bool:
        me = self._gossip.own_heartbeat
        others = [
            heartbeat
            for heartbeat in self._gossip.recent_heartbeats(wire.HostRole.ENTRY)
            if heartbeat.phase == wire.HostPhase.READY
        ]
        fails_by_host = {heartbeat.host: heartbeat.store_fails for heartbeat in others} | {
            me.host: self.has_failed
        }
        position = place_in_order(
            me.host,
            [host for host, has_failed in fails_by_host.items() if not has_failed],
            [host for host, has_failed in fails_by_host.items() if has_failed],
        )
        return may_ask_store(age_s, position, len(fails_by_host), bounds.renew_s, random.random())

    async def _ask_peer(self, address: str) -> None:
        asked_s = asyncio.get_running_loop().time()
        try:
            async with stall_tolerant_timeout(PEER_ANSWER_S):
                call = encode_message(wire.ProofCall(self._gossip.own_heartbeat.host))
                answer = await self._peers.call(address, methods.FRESHNESS_PROOF, call)
            reply = decode_message(wire.ProofReply(), answer)
        except (TimeoutError, PeerUnreachableError, PeerFailureError, FrameError) as error:
            self.counts.failed += 1
            eliot.log_message("proof.peer_silent", address=address, why=str(error) or "no answer")
            return
        if reply.revision is None or reply.age_ms is None or not reply.age_ms >= 0:
            return
        self.counts.from_peers += 1
        self._accept(confirmed_by_peer(reply.revision, reply.age_ms / 1000, asked_s))
        self._follower.observe_revision(reply.revision, address)

    async def _ask_store(self) -> None:
        asked_s = asyncio.get_running_loop().time()
        try:
            stored = await self._store.get(self._key)
        except StoreError as error:
            self._failed_s = asyncio.get_running_loop().time()
            self.counts.failed += 1
            eliot.log_message(
                "proof.store_failed", proof_age_s=_rounded_age(self.age_s), why=str(error)
            )
            return
        self._failed_s = -math.inf
        if stored is None:
            return
        self.counts.from_store += 1
        self._follower.apply_object(stored)
        self._accept(FreshnessProof(stored.version, asked_s))

    def _accept(self, proof: FreshnessProof) -> None:
        self._proofs.record(proof)
        self.wake_waiters()

    def wake_waiters(self) -> None:
        """Wakes waiting requests if the proof, or the revision that it needs, has arrived."""
        if self.may_admit:
            self._renewed.set()
            self._renewed = asyncio.Event()


def _rounded_age(age_s: float) -> float | None:
    return round(age_s, 3) if math.isfinite(age_s) else None
