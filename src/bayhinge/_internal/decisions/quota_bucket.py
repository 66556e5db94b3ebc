"""Token bucket of an account's request quota, kept by the quota coordinator. Pure.

A bucket that fills at the account's rate up to its burst admits at most rate x window + burst in
any window. A deployment tolerates a margin on top: a part of it goes to callers, so that few
requests below the limit are refused; the rest covers times in which two hosts grant.
"""

import math

import attrs

from bayhinge._internal.models.account_keys import Quota

TAKEOVER_SHARE = 0.25
TAKEOVER_RATE_S = 0.3
"""A new coordinator starts with at most this share of the margin, and with no more than the rate
gives in this time, as the grants of its predecessor are unknown."""

TAKEOVER_S = 1.0
"""Time in which a new coordinator fills its bucket slowly: until heartbeats have spread, hosts may
still ask its predecessor."""

SLOW_FILL_RATE = 0.4
"""Factor on the fill rate in that time, and while the host stands in for an unreachable
coordinator, which may still grant to others: together they stay within the margin for a second."""

ARRIVAL_DELAY_S = 0.1
"""Usual delay between a grant and the request's arrival at an endpoint."""

NEW_PROGRAM_RESERVE = 0.2
"""Share of a full bucket that new programs leave to running ones: a program refused at its first
request has cost nothing yet. A larger share refuses small accounts at their usual load."""

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 2.0
"""Bounds of the retry delay: a shorter one repeats the same refusals, and callers honour no more
than a third of their remaining time."""


MIN_RATE = 1e-3
"""Requests a second; a lower limit counts as this in the retry delay."""


@attrs.frozen(eq=False, repr=False)
class QuotaMargin:
    """Tolerated excess over a limit within ``window_s`` seconds."""

    window_s: float = 1.0
    overage: float = 0.0
    slack: float = 0.0

    def requests(self, quota: Quota) -> float:
        """Returns the margin of an account's limit, in requests."""
        return self.overage * (quota.rate_per_s * self.window_s + quota.burst) + self.slack


class QuotaBucket:
    """Token bucket of one account."""

    def __init__(self, quota: Quota, margin: QuotaMargin, now_s: float, settled_s: float) -> None:
        """Creates a bucket whose initial level allows for unknown earlier grants.

        Args:
            quota: the account's limit.
            margin: the tolerated excess.
            now_s: time on a monotonic clock.
            settled_s: seconds for which the account has certainly had no other coordinator.
        """
        self._margin = margin
        self._quota = quota
        self._filled_s = now_s
        self._slow_until_s = -math.inf
        self._level = self.capacity
        self.limit_after_takeover(now_s, settled_s)

    @property
    def capacity(self) -> float:
        """Maximum level: the burst, and the part of the margin that nothing else needs."""
        needed = self._takeover_level + self._quota.rate_per_s * (
            SLOW_FILL_RATE * TAKEOVER_S + ARRIVAL_DELAY_S
        )
        room = max(0.0, self._margin.requests(self._quota) - needed)
        return max(1.0, self._quota.burst + room)

    @property
    def _takeover_level(self) -> float:
        most = TAKEOVER_SHARE * self._margin.requests(self._quota)
        return max(1.0, min(most, TAKEOVER_RATE_S * self._quota.rate_per_s))

    def limit_after_takeover(self, now_s: float, settled_s: float) -> None:
        """Limits the level, as another coordinator may have granted until ``settled_s`` ago."""
        self._level = min(self._level, self._takeover_level + self._quota.rate_per_s * settled_s)
        self._slow_until_s = now_s + TAKEOVER_S - settled_s

    def set_quota(self, quota: Quota) -> None:
        """Applies a changed limit."""
        self._quota = quota
        self._level = min(self._level, self.capacity)

    def fill(self, now_s: float, share: float, stands_in: bool = False) -> None:
        """Adds what has accrued since the last call.

        Args:
            now_s: time on the bucket's monotonic clock.
            share: share of the site's hosts that this coordinator receives heartbeats from, so that
                coordinators on both sides of a partition together stay within the limit.
            stands_in: whether this host only stands in for an unreachable coordinator.
        """
        slow_s = now_s if stands_in else min(now_s, self._slow_until_s)
        slow_s = max(0.0, slow_s - self._filled_s)
        counted_s = now_s - self._filled_s - slow_s * (1.0 - SLOW_FILL_RATE)
        added = self._quota.rate_per_s * share * max(0.0, counted_s)
        self._level = min(self.capacity, self._level + added)
        self._filled_s = now_s

    def acquire(self, begins_program: bool) -> float | None:
        """Takes one token; returns None, or after how many seconds to retry."""
        reserve = NEW_PROGRAM_RESERVE * (self.capacity - 1.0) if begins_program else 0.0
        lacking = 1.0 + reserve - self._level
        if lacking <= 0:
            self._level -= 1.0
            return None
        rate_per_s = max(MIN_RATE, self._quota.rate_per_s)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, lacking / rate_per_s))

    def refund(self, count: int) -> None:
        """Returns the tokens of granted requests that reached no endpoint."""
        self._level = min(self.capacity, self._level + count)
