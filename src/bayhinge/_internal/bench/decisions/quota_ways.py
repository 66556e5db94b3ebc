"""Simulates three strategies that enforce a client account's quota over many hosts.

Each host has a fixed share; or asks the account's quota coordinator for each request; or drops
requests at random, by the demand that hosts last reported to each other (global random drop).
A program sends its requests one after another to random hosts; a refused request ends it.
"""

import heapq
import itertools
import random
from abc import ABC, abstractmethod
from collections import deque

import attrs

from bayhinge._internal.decisions.quota_bucket import QuotaBucket, QuotaMargin
from bayhinge._internal.models.account_keys import Quota

PROGRAM_REQUESTS = (4, 30)
MEAN_PAUSE_S = 0.3
"""Mean pause between the requests of a program."""

HEARTBEAT_S = 0.3
"""Interval at which hosts report their demand; a report counts from the next interval on."""

SETTLED_S = 3600.0
"""Long enough that a new bucket starts full and skips the slow start."""


class QuotaStrategy(ABC):
    """A strategy that enforces an account's quota."""

    messages = 0

    @abstractmethod
    def admits(self, host: int, is_first: bool, now_s: float) -> bool:
        """Tells whether a host sends a request; ``is_first`` for the first one of a program."""


class FixedShares(QuotaStrategy):
    """Each host has an equal share of the rate, and of burst and margin (at least one request)."""

    def __init__(self, quota: Quota, margin: QuotaMargin, hosts: int) -> None:
        share = Quota(quota.rate_per_s / hosts, (quota.burst + margin.requests(quota)) / hosts)
        self._buckets = [QuotaBucket(share, QuotaMargin(), 0.0, SETTLED_S) for _ in range(hosts)]

    def admits(self, host: int, is_first: bool, now_s: float) -> bool:
        """See :class:`QuotaStrategy`."""
        self._buckets[host].fill(now_s, 1.0)
        return self._buckets[host].acquire(False) is None


class QuotaCoordinator(QuotaStrategy):
    """The account's quota coordinator grants each request."""

    def __init__(self, quota: Quota, margin: QuotaMargin, hosts: int) -> None:
        self._bucket = QuotaBucket(quota, margin, 0.0, SETTLED_S)

    def admits(self, host: int, is_first: bool, now_s: float) -> bool:
        """See :class:`QuotaStrategy`."""
        self.messages += 2
        self._bucket.fill(now_s, 1.0)
        return self._bucket.acquire(is_first) is None


class GossipedDemand(QuotaStrategy):
    """Each host admits a request with the probability limit / last reported demand."""

    def __init__(self, quota: Quota, margin: QuotaMargin, hosts: int) -> None:
        self._quota = quota
        self._hosts = hosts
        self._request_times_s: deque[float] = deque()
        self._reported_s = 0.0
        self._rate_per_s = 0.0
        self._rng = random.Random(5)

    def admits(self, host: int, is_first: bool, now_s: float) -> bool:
        """See :class:`QuotaStrategy`."""
        self._request_times_s.append(now_s)
        while now_s > self._reported_s + HEARTBEAT_S:
            # Hosts know the demand up to the last report only.
            self._reported_s += HEARTBEAT_S
            reported = [at for at in self._request_times_s if at <= self._reported_s]
            self._rate_per_s = sum(at > self._reported_s - 1.0 for at in reported)
            self.messages += self._hosts
        while self._request_times_s and self._request_times_s[0] < self._reported_s - 1.0:
            self._request_times_s.popleft()
        return self._rng.random() * self._rate_per_s <= self._quota.rate_per_s


@attrs.frozen
class Load:
    """Demand of an account.

    Attributes:
        base_load: demand, as a multiple of the quota's rate.
        burst_factor: factor on the demand during the burst.
        arrivals_s: seconds in which programs arrive.
    """

    base_load: float
    burst_factor: float = 1.0
    burst_from_s: float = 20.0
    burst_length_s: float = 8.0
    arrivals_s: float = 60.0


@attrs.frozen
class Outcome:
    """Results of a simulation.

    Attributes:
        refused: share of the requests that were refused.
        completed: share of the programs that completed.
        peak: requests in the fullest window, as a share of what the quota and margin allow.
        messages: messages between hosts per request.
    """

    refused: float
    completed: float
    peak: float
    messages: float


def simulate(
    strategy: QuotaStrategy, quota: Quota, margin: QuotaMargin, load: Load, hosts: int, seed: int
) -> Outcome:
    """Simulates one load."""
    rng = random.Random(seed)
    number = itertools.count()
    pending: list[tuple[float, int, int, bool]] = []
    mean_requests = sum(PROGRAM_REQUESTS) / 2
    now_s, programs = 0.0, 0
    while now_s < load.arrivals_s:
        is_burst = 0 <= now_s - load.burst_from_s < load.burst_length_s
        load_factor = load.base_load * (load.burst_factor if is_burst else 1.0)
        now_s += rng.expovariate(load_factor * quota.rate_per_s / mean_requests)
        heapq.heappush(pending, (now_s, next(number), rng.randint(*PROGRAM_REQUESTS), True))
        programs += 1
    requests = completed = 0
    sent_s: list[float] = []
    while pending:
        now_s, _, remaining, is_first = heapq.heappop(pending)
        requests += 1
        if not strategy.admits(rng.randrange(hosts), is_first, now_s):
            continue
        sent_s.append(now_s)
        if remaining == 1:
            completed += 1
        else:
            next_s = now_s + rng.expovariate(1 / MEAN_PAUSE_S)
            heapq.heappush(pending, (next_s, next(number), remaining - 1, False))
    allowed = quota.rate_per_s * margin.window_s + quota.burst + margin.requests(quota)
    return Outcome(
        refused=1 - len(sent_s) / requests,
        completed=completed / programs,
        peak=max_in_window(sent_s, margin.window_s) / allowed,
        messages=strategy.messages / requests,
    )


def max_in_window(times_s: list[float], window_s: float) -> int:
    """Returns the largest number of the ascending times within any window."""
    first, peak = 0, 0
    for last, end_s in enumerate(times_s):
        while times_s[first] <= end_s - window_s:
            first += 1
        peak = max(peak, last - first + 1)
    return peak
