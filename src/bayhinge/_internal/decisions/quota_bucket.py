"""How many requests an account may still send: a bucket of rights, kept by its home. Pure.

A bucket that fills at the account's rate up to its burst admits no more in any window than rate x
window + burst (the leaky bucket as a meter). A deployment tolerates a margin on top; a part of it
goes to callers, so that few requests below the limit are refused, the rest covers the moments in
which two hosts grant.
"""

import math

import attrs

from bayhinge._internal.models.account_keys import Quota

FIRST_SHARE = 0.25
FIRST_RATE_S = 0.3
"""What a home that has just become one may grant at once: so much of the margin at most, and no
more than the rate gives in so long. What others granted before, it does not know."""

FIRST_S = 1.0
"""For so long a home that has just become one fills its bucket slowly: until hellos have gone
round, hosts may still ask the one before."""

SLOW_RATE = 0.4
"""Part of the rate at which it fills then, and as long as it only stands in for a home that does
not answer some hosts. That home may go on granting to others: both together stay within the margin
for a second (drawn storms of eight times the rate, limits of 0.5 to 125 a second)."""

LATE_S = 0.1
"""Requests come to an endpoint so long after they were granted, a few of them later."""

BEGIN_RESERVE = 0.2
"""Part of a full bucket that programs which begin leave to those that are under way: a program is
worth all its requests, and refused at its first it has cost nothing. Played with an account of 125
requests a second at 2.7 times its limit for 8 s, 0.77 of its programs end in place of 0.73, at 4.6
times 0.59 in place of 0.54; 0.4 to 0.8 gain no more and refuse small accounts at their usual load
(means of 12 seeds)."""

LEAST_WAIT_S = 0.1
LONGEST_WAIT_S = 2.0
"""What a refused caller is told to wait, at least and at most: below the least the same refusals
would come again at once, and callers honour no more than a third of the time that they have."""


LEAST_RATE = 1e-3
"""Requests a second below which a wait is told as if this were the limit."""


@attrs.frozen
class QuotaMargin:
    """What a deployment tolerates beyond a limit, within ``window_s`` seconds."""

    window_s: float = 1.0
    overage: float = 0.0
    slack: float = 0.0

    def requests(self, quota: Quota) -> float:
        """Returns the margin of an account's limit, in requests."""
        return self.overage * (quota.rate_per_s * self.window_s + quota.burst) + self.slack


class QuotaBucket:
    """One account's rights to send requests."""

    def __init__(self, quota: Quota, margin: QuotaMargin, now_s: float, settled_s: float) -> None:
        """Takes the limit, and for how long the account has surely had no other home.

        What it may have used before is not known, so the bucket holds no more than that time gives.
        """
        self._margin = margin
        self._quota = quota
        self._filled_s = now_s
        self._slow_until_s = -math.inf
        self._level = self.capacity
        self.begin_anew(now_s, settled_s)

    @property
    def capacity(self) -> float:
        """The most rights that it holds: the burst, and what of the margin nothing else needs."""
        needed = self._at_once + self._quota.rate_per_s * (SLOW_RATE * FIRST_S + LATE_S)
        room = max(0.0, self._margin.requests(self._quota) - needed)
        return max(1.0, self._quota.burst + room)

    @property
    def _at_once(self) -> float:
        most = FIRST_SHARE * self._margin.requests(self._quota)
        return max(1.0, min(most, FIRST_RATE_S * self._quota.rate_per_s))

    def begin_anew(self, now_s: float, settled_s: float) -> None:
        """Another home may have granted until ``settled_s`` seconds ago."""
        self._level = min(self._level, self._at_once + self._quota.rate_per_s * settled_s)
        self._slow_until_s = now_s + FIRST_S - settled_s

    def set_quota(self, quota: Quota) -> None:
        """The limit has changed."""
        self._quota = quota
        self._level = min(self._level, self.capacity)

    def fill(self, now_s: float, share: float, stands_in: bool = False) -> None:
        """Adds what has accrued since the last time.

        ``share`` is the part of the site's hosts that this home hears: homes on both sides of a
        cut together grant no more than the limit. ``stands_in``: another host is the home, and did
        not answer somebody.
        """
        slow_s = now_s if stands_in else min(now_s, self._slow_until_s)
        slow_s = max(0.0, slow_s - self._filled_s)
        counted_s = now_s - self._filled_s - slow_s * (1.0 - SLOW_RATE)
        added = self._quota.rate_per_s * share * max(0.0, counted_s)
        self._level = min(self.capacity, self._level + added)
        self._filled_s = now_s

    def take(self, begins_program: bool) -> float | None:
        """Takes one right; returns None, or after how many seconds to come again."""
        reserve = BEGIN_RESERVE * (self.capacity - 1.0) if begins_program else 0.0
        lacking = 1.0 + reserve - self._level
        if lacking <= 0:
            self._level -= 1.0
            return None
        rate_per_s = max(LEAST_RATE, self._quota.rate_per_s)
        return min(LONGEST_WAIT_S, max(LEAST_WAIT_S, lacking / rate_per_s))

    def give_back(self, count: int) -> None:
        """Requests that were granted reached no endpoint."""
        self._level = min(self.capacity, self._level + count)
