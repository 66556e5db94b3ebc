"""The token buckets of the accounts whose quota coordinator this host is, or stands in for."""

import attrs

from bayhinge._internal.decisions.quota_bucket import QuotaBucket, QuotaMargin
from bayhinge._internal.models.account_keys import Quota
from bayhinge._internal.services.gateway.quota_coordinators import QuotaCoordinators
from bayhinge._internal.wire.hosts import ttypes as wire

IDLE_BUCKET_KEEP_S = 60.0
"""Idle time after which a bucket is dropped; it is full by then, as a new one would be."""


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


class QuotaBuckets:
    """The buckets by account, in memory only."""

    def __init__(self, coordinators: QuotaCoordinators, margin: QuotaMargin) -> None:
        self._coordinators = coordinators
        self._margin = margin
        self._bucket_by_account: dict[str, _AccountBucket] = {}

    def grant(self, call: wire.QuotaCall, now_s: float) -> float | None:
        """Returns None if a token was granted, otherwise the retry delay in seconds."""
        quota = Quota(call.rate_per_s, call.burst)
        is_substitute = self._coordinators.find(call.account) != self._coordinators.me
        settled_s = 0.0 if is_substitute else now_s - self._coordinators.changed_s
        entry = self._bucket_by_account.get(call.account)
        if entry is None:
            bucket = QuotaBucket(quota, self._margin, now_s, settled_s)
            entry = self._bucket_by_account[call.account] = _AccountBucket(
                bucket, call.version, now_s, True
            )
        elif not entry.is_own:
            entry.bucket.limit_after_takeover(now_s, settled_s)
        if call.version > entry.version:
            entry.bucket.set_quota(quota)
            entry.version = call.version
        entry.last_used_s = now_s
        entry.is_own = True
        entry.bucket.fill(now_s, self._coordinators.share, is_substitute)
        entry.bucket.refund(call.unused)
        return entry.bucket.acquire(call.begins_program)

    def clear_ownership(self, has_stalled: bool) -> None:
        """Marks buckets whose tokens another host may have granted, or may grant from now on."""
        for account, entry in self._bucket_by_account.items():
            if has_stalled or self._coordinators.find(account) != self._coordinators.me:
                entry.is_own = False

    def drop_idle(self, now_s: float) -> None:
        """Drops the buckets that were not used for long."""
        for account, entry in list(self._bucket_by_account.items()):
            if entry.last_used_s < now_s - IDLE_BUCKET_KEEP_S:
                del self._bucket_by_account[account]
