"""Keeps the sender of requests within the endpoints that one request may end."""

import asyncio
import hashlib
import random

import attrs
import eliot

from bayhinge._internal.decisions.endpoint_table import EndpointTable
from bayhinge._internal.decisions.known_sends import ENDING_S, RequestKey
from bayhinge._internal.decisions.send_permission import Permission, Tally, permission_of
from bayhinge._internal.models.refusals import Refusal, RefusedError
from bayhinge._internal.services.gateway.active_runs import ActiveRun
from bayhinge._internal.services.gateway.endpoint_evidence import EndpointEvidence
from bayhinge._internal.services.gateway.endpoint_examiner import EndpointExaminer
from bayhinge._internal.services.gateway.send_port import SendPort
from bayhinge._internal.services.gateway.send_recorder import SendRecorder
from bayhinge._internal.services.gateway.send_state import SendState
from bayhinge._internal.services.gateway.send_witnesses import Claim, SendWitnesses
from bayhinge._internal.services.gateway.witness_directory import NoWitnesses

OUTCOME_PAUSE_S = 0.05
MAX_OUTCOME_PAUSES = 40
"""Pauses, some 2 s in all, in which another send of the request may be served, before this one is
refused."""

FINGERPRINT_BYTES = 12
"""As long as those of requests, see :mod:`request_fingerprint`."""


@attrs.define
class SendEnd:
    """How a send has ended; unless told otherwise, its endpoint may still be at work on it.

    Attributes:
        why: why the request was not served.
        is_answered: the endpoint has sent a whole answer with the request's id, of whatever kind.
        is_rejected: the endpoint guarantees that the request did not run.
    """

    why: str = "it was given up before a whole answer"
    is_answered: bool = False
    is_rejected: bool = False


@attrs.define
class GuardCounts:
    """Counts since the start of the process.

    Attributes:
        ended: endpoints that were found to have ended under a request.
        cleared: sends that counted no longer, as their request was served.
        withheld: attempts that were refused for earlier sends of the request.
        alone: sends to an endpoint without other requests of this kind.
    """

    ended: int = 0
    cleared: int = 0
    withheld: int = 0
    alone: int = 0


class SendGuard:
    """Claims each send before its bytes leave, and tells how it has ended."""

    def __init__(self, witnesses: SendWitnesses, evidence: EndpointEvidence) -> None:
        self._witnesses = witnesses
        self._evidence = evidence
        self._random = random.Random()
        self.counts = GuardCounts()

    # ---- before a send ----

    async def claim(self, send_state: SendState) -> None:
        """Claims a send; :meth:`end` or :meth:`record_end` must follow, also if it raises.

        Raises:
            RefusedError: it must not be sent.
        """
        examined: set[int] = set()
        for _ in range(MAX_OUTCOME_PAUSES):
            over_s = send_state.deadline_s + ENDING_S
            claim = send_state.claim = self._witnesses.begin(send_state.key, over_s)
            await self._witnesses.ask(claim)
            permission = await self._permission(claim, examined)
            send_state.tally = claim.tally
            if permission is not Permission.WAIT:
                break
            # Claims that wait would hold each other up.
            self.end(send_state)
            await asyncio.sleep(OUTCOME_PAUSE_S * self._random.uniform(0.5, 1.5))
        if permission not in {Permission.FREE, Permission.ALONE}:
            self._refuse(send_state, permission)
        send_state.is_alone = permission is Permission.ALONE

    async def _permission(self, claim: Claim, examined: set[int]) -> Permission:
        """Decides about a claim, after a look at hosts and endpoints where that matters."""
        self._witnesses.tell_settled(claim, self._evidence.restarted(claim.known.values()))
        permission = permission_of(claim.tally)
        is_unclear = permission is not Permission.FREE or claim.tally.has_failures
        if is_unclear and claim.tally.unconfirmed:
            hosts = {send.host for send in claim.tally.unconfirmed}
            await self._witnesses.ask_hosts(claim, hosts)
            permission = permission_of(claim.tally)
        if permission in {Permission.FREE, Permission.ALONE}:
            return permission
        before = claim.tally
        unexamined = [send for send in before.counting if send.number not in examined]
        found = await self._evidence.examine(claim.key.fingerprint, unexamined)
        examined.update(send.number for send in unexamined)
        self._witnesses.tell_settled(claim, found)
        self.counts.ended += len(claim.tally.ended) - len(before.ended)
        return permission_of(claim.tally)

    def _refuse(self, send_state: SendState, permission: Permission) -> None:
        self.counts.withheld += 1
        tally = send_state.tally
        eliot.log_message(
            "send.withheld",
            attempt=send_state.request.attempt,
            request=send_state.fingerprint,
            permission=permission.value,
            **tally.to_fields(),
        )
        raise RefusedError(_refusal(send_state, permission, tally))

    async def reserve(self, send_state: SendState, endpoint: str) -> bool:
        """Reserves an endpoint for a request's last send, unless another request has done so."""
        claim = self._witnesses.begin(_key_of_endpoint(endpoint), send_state.deadline_s + ENDING_S)
        await self._witnesses.ask(claim)
        if any(other.over_s > _now() for other in claim.tally.under_way):
            self._witnesses.end_withdrawn(claim)
            return False
        send_state.reservation = claim
        return True

    def begin(self, send_state: SendState, run: ActiveRun) -> None:
        """Tells to which endpoint a claimed request is about to be sent."""
        claim = send_state.claim
        assert claim is not None
        self._witnesses.tell_sent(claim, run.state.entry.incarnation)
        tally = send_state.tally
        self.counts.alone += send_state.is_alone
        eliot.log_message(
            "send.informed",
            attempt=send_state.request.attempt,
            request=send_state.fingerprint,
            number=claim.number,
            endpoint=run.endpoint,
            is_alone=send_state.is_alone,
            told=sorted(claim.told),
            answered=len(claim.numbers_by_address),
            **tally.to_fields(),
        )

    # ---- after a send ----

    def end(self, send_state: SendState) -> None:
        """Withdraws a claim whose request was not sent."""
        claim, send_state.claim = send_state.claim, None
        if claim is not None:
            self._witnesses.end_withdrawn(claim)
        reservation, send_state.reservation = send_state.reservation, None
        if reservation is not None:
            self._witnesses.end_withdrawn(reservation)

    def record_end(self, run: ActiveRun, send_state: SendState, end: SendEnd) -> None:
        """Records how a send has ended: it counts, unless it served its request or never ran."""
        if run.sent_s is not None and not end.is_rejected and send_state.claim is not None:
            claim, send_state.claim = send_state.claim, None
            if end.is_answered and send_state.delivery.is_served:
                self._record_served(claim)
            else:
                self._record_unserved(claim, run, send_state, end)
        self.end(send_state)

    def _record_served(self, claim: Claim) -> None:
        cleared = self._witnesses.end_served(claim)
        self.counts.cleared += len(cleared)

    def _record_unserved(
        self, claim: Claim, run: ActiveRun, send_state: SendState, end: SendEnd
    ) -> None:
        """Records a send that did not serve its request.

        Only a whole answer is the endpoint's own word that it is done: a connection may break on
        the way while it works on, at most until the deadline that it was told.
        """
        now = _now()
        over_s = (now if end.is_answered else max(now, send_state.deadline_s)) + ENDING_S
        self._witnesses.end_unserved(claim, run.state.entry.incarnation, over_s)
        eliot.log_message(
            "send.in_doubt",
            request=send_state.fingerprint,
            number=claim.number,
            endpoint=run.endpoint,
            why=end.why,
            took_s=round(now - (run.sent_s or now), 3),
            settled_in_s=round(over_s - now, 3),
        )


def guard_without_witnesses(table: EndpointTable, examiner: EndpointExaminer) -> SendGuard:
    """Returns the guard of a host that tells no others of its sends."""
    port, directory = SendPort(), NoWitnesses()
    witnesses = SendWitnesses(SendRecorder(port, directory), port, directory)
    return SendGuard(witnesses, EndpointEvidence(table, examiner))


def _refusal(send_state: SendState, permission: Permission, tally: Tally) -> Refusal:
    if permission is Permission.WITHHELD:
        return send_state.ends_endpoints_refusal(tally.ended_count)
    if permission is Permission.WAIT:
        return send_state.busy_refusal()
    settled_s = min((send.over_s for send in tally.in_doubt), default=_now())
    return send_state.doubt_refusal(tally.lost_count, settled_s - _now())


def _key_of_endpoint(endpoint: str) -> RequestKey:
    """Returns a key under which requests reserve an endpoint."""
    digest = hashlib.blake2b(endpoint.encode(), digest_size=FINGERPRINT_BYTES, person=b"endpoint")
    return RequestKey(digest.hexdigest(), has_program=True)


def _now() -> float:
    return asyncio.get_running_loop().time()
