"""Enforces account quotas over all hosts: asks quota coordinators, and is one for others.

Each account has one quota coordinator, chosen by rendezvous hashing over the site's ready hosts,
which keeps the account's token bucket in memory. A new coordinator grants little until the tokens
that earlier ones may have granted have expired.
"""

import asyncio
import copy
import math
from collections.abc import Callable, Collection, Iterable

import attrs
import eliot

from bayhinge._internal.decisions.quota_bucket import QuotaBucket, QuotaMargin
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
from bayhinge._internal.services.gateway.suspect_hosts import SuspectHosts
from bayhinge._internal.services.gossip import Gossip
from bayhinge._internal.utils.stall_tolerant_timeouts import stall_tolerant_timeout
from bayhinge._internal.wire.hosts import ttypes as wire
from bayhinge.coordination.rendezvous import choose

ANSWER_S = 0.06
"""Timeout for a coordinator's answer, about fifteen times an ordinary one between halls."""

RELAY_ANSWER_S = 0.03
"""Timeout for the answer to a relayed call, so that the reply to its caller is in time."""

MAX_CALLS = 4
"""Maximum calls for one request: a silent coordinator, its successor, and two redirects."""

NO_COORDINATOR_RETRY_S = 0.3
"""Retry delay when no coordinator answered: by then the account has another one."""

STALL_S = 1.0
"""Gap between gossip rounds after which a host has stalled, and others took its accounts over."""

SITE_MEMBER_S = 10.0
"""Hosts seen within this time count as members of the site."""

IDLE_BUCKET_KEEP_S = 60.0
"""Idle time after which a bucket is dropped; it is full by then, as a new one would be."""


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


@attrs.define(eq=False, repr=False)
class _AccountBucket:
    """One account's bucket at its coordinator.

    Attributes:
        version: of the configuration that the quota comes from.
        last_used_s: when the bucket was last used.
        is_own: this host has been the coordinator since then, as far as it knows.
    """

    bucket: QuotaBucket
    version: int
    last_used_s: float
    is_own: bool


class Quotas:
    """Acquires quota tokens for one host, and grants them to others."""

    def __init__(self, gossip: Gossip, peers: Peers, margin: QuotaMargin) -> None:
        self._gossip = gossip
        self._peers = peers
        self._margin = margin
        self._suspected = SuspectHosts(gossip.last_seen_s)
        self._address_by_host: dict[str, str] = {}
        self._coordinator_by_account: dict[str, str] = {}
        self._bucket_by_account: dict[str, _AccountBucket] = {}
        self._returned_by_account: dict[str, int] = {}
        self._changed_s = -math.inf
        self._round_s = -math.inf
        self._share = 1.0
        self.counts = QuotaCounts()
        self.version: Callable[[], int] = lambda: 0

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
            self._gossip.own_heartbeat.host,
            account,
            self.version(),
            quota.rate_per_s,
            quota.burst,
            begins_program,
            self._returned_by_account.pop(account, 0),
            [],
        )
        asked: list[str] = []
        coordinator = self._coordinator_of(account)
        while len(asked) < MAX_CALLS:
            if coordinator == self._gossip.own_heartbeat.host:
                return self._grant(call)
            asked.append(coordinator)
            reply = await self._call_coordinator(coordinator, call, ANSWER_S)
            if reply is None:
                self._suspect(coordinator)
                call.silent.append(coordinator)
                coordinator = self._coordinator_of(account, call.silent)
            elif reply.home is None:
                return None if reply.granted else (reply.wait_s or NO_COORDINATOR_RETRY_S)
            elif not self._is_reachable(reply.home):
                # Only the host that names it has a way to it.
                call.silent.append(reply.home)
            else:
                if _choose(account, (coordinator, reply.home)) == coordinator:
                    # It comes before the host that it names, so it is leaving.
                    call.silent.append(coordinator)
                coordinator = reply.home
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

    def _is_reachable(self, host: str) -> bool:
        return host in self._address_by_host and not self._suspected.has(host)

    def _suspect(self, host: str) -> None:
        """Skips a coordinator; buckets of its accounts that start here count as taken over."""
        self._suspected.add(host)
        self._coordinator_by_account = {
            account: coordinator
            for account, coordinator in self._coordinator_by_account.items()
            if coordinator != host
        }
        self._changed_s = asyncio.get_running_loop().time()

    async def _call_coordinator(
        self, coordinator: str, call: wire.QuotaCall, answer_s: float
    ) -> wire.QuotaReply | None:
        address = self._address_by_host.get(coordinator)
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
        me = self._gossip.own_heartbeat.host
        coordinator = self._coordinator_of(call.account, call.silent)
        if coordinator != me:
            return wire.QuotaReply(False, None, coordinator)
        coordinator = self._coordinator_of(call.account)
        if coordinator == call.host:
            # It is leaving, or it would not have asked.
            self._suspect(coordinator)
        elif coordinator != me:
            reply = await self._relay(coordinator, call)
            if reply is not None:
                return reply
        self.counts.answered += 1
        wait_s = self._grant(call)
        return wire.QuotaReply(wait_s is None, wait_s)

    async def _relay(self, coordinator: str, call: wire.QuotaCall) -> wire.QuotaReply | None:
        """Passes on the call of a host that has no way to the coordinator.

        Only one host knows how much of the quota is used. Returns None if it does not answer or no
        longer is the coordinator; this host then takes its place.
        """
        relayed = copy.copy(call)
        relayed.silent = []
        reply = await self._call_coordinator(coordinator, relayed, RELAY_ANSWER_S)
        if reply is None or reply.home is not None:
            self._suspect(coordinator)
            return None
        self.counts.relayed += 1
        return reply

    def _grant(self, call: wire.QuotaCall) -> float | None:
        now = asyncio.get_running_loop().time()
        quota = Quota(call.rate_per_s, call.burst)
        is_substitute = self._coordinator_of(call.account) != self._gossip.own_heartbeat.host
        settled_s = 0.0 if is_substitute else now - self._changed_s
        entry = self._bucket_by_account.get(call.account)
        if entry is None:
            bucket = QuotaBucket(quota, self._margin, now, settled_s)
            entry = self._bucket_by_account[call.account] = _AccountBucket(
                bucket, call.version, now, True
            )
        elif not entry.is_own:
            entry.bucket.limit_after_takeover(now, settled_s)
        if call.version > entry.version:
            entry.bucket.set_quota(quota)
            entry.version = call.version
        entry.last_used_s = now
        entry.is_own = True
        entry.bucket.fill(now, self._share, is_substitute)
        entry.bucket.refund(call.unused)
        return entry.bucket.acquire(call.begins_program)

    # ---- coordinator selection ----

    def refresh(self) -> None:
        """Updates the hosts that may be coordinators; called in each gossip round."""
        now = asyncio.get_running_loop().time()
        me = self._gossip.own_heartbeat
        live = self._gossip.recent_heartbeats(wire.HostRole.ENTRY)
        ready = {
            heartbeat.host: heartbeat.peer_address
            for heartbeat in (*live, me)
            if heartbeat.phase == wire.HostPhase.READY and not self._suspected.has(heartbeat.host)
        }
        has_stalled = now - self._round_s > STALL_S
        has_changed = ready.keys() != self._address_by_host.keys()
        self._round_s = now
        self._address_by_host = ready
        if has_changed or has_stalled:
            self._coordinator_by_account = {}
            self._changed_s = now
            self._clear_ownership(has_stalled)
        known = 1 + self._gossip.count_seen_within(wire.HostRole.ENTRY, SITE_MEMBER_S)
        self._share = min(1.0, (1 + len(live)) / known)
        for account, entry in list(self._bucket_by_account.items()):
            if entry.last_used_s < now - IDLE_BUCKET_KEEP_S:
                del self._bucket_by_account[account]

    def _clear_ownership(self, has_stalled: bool) -> None:
        """Marks buckets whose tokens another host may have granted, or may grant from now on."""
        for account, entry in self._bucket_by_account.items():
            if has_stalled or self._coordinator_of(account) != self._gossip.own_heartbeat.host:
                entry.is_own = False

    def _coordinator_of(self, account: str, silent: Collection[str] = ()) -> str:
        """Returns an account's coordinator, skipping ``silent`` hosts that did not answer."""
        coordinator = self._coordinator_by_account.get(account)
        if coordinator is None or coordinator in silent:
            hosts = [
                host
                for host in self._address_by_host
                if host not in silent and not self._suspected.has(host)
            ]
            coordinator = _choose(account, hosts) or self._gossip.own_heartbeat.host
            if not silent:
                self._coordinator_by_account[account] = coordinator
        return coordinator


def _choose(account: str, hosts: Iterable[str]) -> str | None:
    """Returns the host that is the account's coordinator among these, or None without hosts."""
    return choose(f"quota of {account}", hosts)
