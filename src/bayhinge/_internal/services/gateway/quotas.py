"""Enforces account quotas over all hosts: asks quota coordinators, and is one for others.

Each account has one quota coordinator, which keeps the account's token bucket in memory. A new
coordinator grants little until the tokens that earlier ones may have granted have expired.
"""

import asyncio
import copy
from collections.abc import Callable

import attrs
import eliot

from bayhinge._internal.decisions.quota_bucket import QuotaMargin
from bayhinge._internal.exceptions import FrameError, PeerFailureError, PeerUnreachableError
from bayhinge._internal.models.account_keys import Quota, RoutedAccount
from bayhinge._internal.models.refusals import (
    Figure,
    RefusalCode,
    RefusedError,
    not_run_refusal,
)
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.network.peers import Peers
from bayhinge._internal.services import methods
from bayhinge._internal.services.gateway.quota_buckets import QuotaBuckets
from bayhinge._internal.services.gateway.quota_coordinators import QuotaCoordinators
from bayhinge._internal.services.gossip import Gossip
from bayhinge._internal.utils.stall_tolerant_timeouts import stall_tolerant_timeout
from bayhinge._internal.wire.hosts import ttypes as wire

ANSWER_S = 0.06
"""Timeout for a coordinator's answer, about fifteen times an ordinary one between halls."""

RELAY_ANSWER_S = 0.03
"""Timeout for the answer to a relayed call, so that the reply to its caller is in time."""

MAX_CALLS = 4
"""Maximum calls for one request: a silent coordinator, its successor, and two redirects."""

NO_COORDINATOR_RETRY_S = 0.3
"""Retry delay when no coordinator answered: by then the account has another one."""


@attrs.define(eq=False, repr=False)
class QuotaCounts:
    """Outcomes of requests of accounts with quotas."""

    granted: int = 0
    refused: int = 0
    refused_first_requests: int = 0
    without_coordinator: int = 0
    returned: int = 0
    answered: int = 0
    relayed: int = 0


class Quotas:
    """Acquires quota tokens for one host, and grants them to others."""

    def __init__(self, gossip: Gossip, peers: Peers, margin: QuotaMargin) -> None:
        self.coordinators = QuotaCoordinators(gossip)
        self._buckets = QuotaBuckets(self.coordinators, margin)
        self._peers = peers
        self._returned_by_account: dict[str, int] = {}
        self.counts = QuotaCounts()
        self.version: Callable[[], int] = lambda: 0

    def refresh(self) -> None:
        """Updates the hosts that may be coordinators; called in each gossip round."""
        changes = self.coordinators.refresh()
        if changes.has_new_hosts or changes.has_stalled:
            self._buckets.clear_ownership(changes.has_stalled)
        self._buckets.drop_idle(_now())

    # ---- this host's own requests ----

    async def acquire(self, account: RoutedAccount, begins_program: bool) -> None:
        """Acquires a token for one request.

        Raises:
            RefusedError: the quota is exhausted, or no coordinator answered.
        """
        if account.quota is None:
            return
        wait_s = await self._ask_coordinator(account.name, account.quota, begins_program)
        if wait_s is None:
            self.counts.granted += 1
            return
        self.counts.refused += 1
        self.counts.refused_first_requests += begins_program
        raise RefusedError(
            not_run_refusal(
                RefusalCode.QUOTA_EXCEEDED,
                f"account '{account.name}' has reached its quota over all hosts",
                Figure("rate_per_s", account.quota.rate_per_s),
                Figure("burst", account.quota.burst),
                retry_after_s=wait_s,
            )
        )

    def return_unused(self, account: RoutedAccount) -> None:
        """Returns the token of a request that reached no endpoint."""
        if account.quota is not None:
            unused = self._returned_by_account.get(account.name, 0)
            self._returned_by_account[account.name] = unused + 1
            self.counts.returned += 1

    async def _ask_coordinator(
        self, account: str, quota: Quota, begins_program: bool
    ) -> float | None:
        """Returns None if a token was granted, otherwise the retry delay in seconds."""
        call = wire.QuotaCall(
            self.coordinators.me,
            account,
            self.version(),
            quota.rate_per_s,
            quota.burst,
            begins_program,
            self._returned_by_account.pop(account, 0),
            [],
        )
        asked: list[str] = []
        coordinator = self.coordinators.find(account)
        while len(asked) < MAX_CALLS:
            if coordinator == self.coordinators.me:
                return self._buckets.grant(call, _now())
            asked.append(coordinator)
            reply = await self._call_coordinator(coordinator, call, ANSWER_S)
            if reply is not None and reply.home is None:
                return None if reply.granted else (reply.wait_s or NO_COORDINATOR_RETRY_S)
            coordinator = self._next_coordinator(call, coordinator, reply)
        eliot.log_message(
            "quota.no_coordinator", account=account, asked=asked, silent=list(call.silent)
        )
        self.counts.without_coordinator += 1
        raise RefusedError(
            not_run_refusal(
                RefusalCode.OWNER_UNREACHABLE,
                f"no coordinator answered for the quota of account '{account}'",
                retry_after_s=NO_COORDINATOR_RETRY_S,
            )
        )

    def _next_coordinator(
        self, call: wire.QuotaCall, asked: str, reply: wire.QuotaReply | None
    ) -> str:
        """Returns whom to ask after a host that did not answer, or named another one."""
        if reply is None or reply.home is None:
            # It may have taken the unused tokens back, and only its answer is missing.
            call.unused = 0
            self.coordinators.suspect(asked)
            call.silent.append(asked)
            return self.coordinators.find(call.account, call.silent)
        if not self.coordinators.is_reachable(reply.home):
            # Only the host that names it has a way to it.
            call.silent.append(reply.home)
            return asked
        if self.coordinators.comes_before(call.account, asked, reply.home):
            # It would be the coordinator, so it is leaving.
            call.silent.append(asked)
        return reply.home

    async def _call_coordinator(
        self, coordinator: str, call: wire.QuotaCall, answer_s: float
    ) -> wire.QuotaReply | None:
        """Returns a host's reply, or None if it did not answer within ``answer_s`` seconds."""
        address = self.coordinators.address_of(coordinator)
        if address is None:
            # It has left since it was chosen.
            return None
        try:
            async with stall_tolerant_timeout(answer_s):
                answer = await self._peers.call(address, methods.QUOTA, encode_message(call))
            reply: wire.QuotaReply = decode_message(wire.QuotaReply(), answer)
        except (TimeoutError, PeerUnreachableError, PeerFailureError, FrameError) as error:
            eliot.log_message(
                "quota.home_silent",
                account=call.account,
                home=coordinator,
                why=str(error) or "no answer in time",
            )
            return None
        return reply

    # ---- as a coordinator ----

    async def answer(self, call: wire.QuotaCall) -> wire.QuotaReply:
        """Answers another host's request for a token."""
        me = self.coordinators.me
        coordinator = self.coordinators.find(call.account, call.silent)
        if coordinator != me:
            return wire.QuotaReply(False, None, coordinator)
        coordinator = self.coordinators.find(call.account)
        if coordinator == call.host:
            # It is leaving, or it would not have asked.
            self.coordinators.suspect(coordinator)
        elif coordinator != me:
            reply = await self._relay(coordinator, call)
            if reply is not None:
                return reply
        self.counts.answered += 1
        wait_s = self._buckets.grant(call, _now())
        return wire.QuotaReply(wait_s is None, wait_s)

    async def _relay(self, coordinator: str, call: wire.QuotaCall) -> wire.QuotaReply | None:
        """Passes on the call of a host that has no way to the coordinator.

        Only one host knows how much of the quota is used. Returns None if it does not answer, and
        this host stands in for it, or if it no longer is the coordinator.
        """
        relayed = copy.copy(call)
        relayed.silent = []
        reply = await self._call_coordinator(coordinator, relayed, RELAY_ANSWER_S)
        if reply is None:
            # The coordinator may have taken the unused tokens back.
            call.unused = 0
        if reply is not None and reply.home is not None:
            self.coordinators.suspect(coordinator)
            return None
        self.counts.relayed += reply is not None
        return reply


def _now() -> float:
    return asyncio.get_running_loop().time()
