"""Plays an account's programs against three ways to hold it to its limit over many hosts.

Each host decides alone by a fixed share; or asks the account's home for each request; or lets in a
part of what comes, by the demand that hosts told each other a moment before (global random drop).
Requests of a program come one after the other to hosts drawn anew, and a refused one ends it.
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
PAUSE_S = 0.3
"""Requests of one program, and the mean pause between them."""

HELLO_S = 0.3
"""How often hosts tell of what they were asked; it is known a round later."""

SETTLED_S = 3600.0


class Way(ABC):
    """One way to hold an account to its limit."""

    messages = 0

    @abstractmethod
    def lets_in(self, host: int, begins: bool, now_s: float) -> bool:
        """Tells whether a host sends a request."""


class FixedShares(Way):
    """Each host has its part of the rate and of all that goes beyond it."""

    def __init__(self, quota: Quota, margin: QuotaMargin, hosts: int) -> None:
        """Gives each host its bucket; one right is the least that lets anything in."""
        share = Quota(quota.rate_per_s / hosts, (quota.burst + margin.requests(quota)) / hosts)
        self._buckets = [QuotaBucket(share, QuotaMargin(), 0.0, SETTLED_S) for _ in range(hosts)]

    def lets_in(self, host: int, begins: bool, now_s: float) -> bool:
        """See :class:`Way`."""
        self._buckets[host].fill(now_s, 1.0)
        return self._buckets[host].acquire(False) is None


class Home(Way):
    """The account's home grants each request."""

    def __init__(self, quota: Quota, margin: QuotaMargin, hosts: int) -> None:
        """Gives the home its bucket."""
        self._bucket = QuotaBucket(quota, margin, 0.0, SETTLED_S)

    def lets_in(self, host: int, begins: bool, now_s: float) -> bool:
        """See :class:`Way`."""
        self.messages += 2
        self._bucket.fill(now_s, 1.0)
        return self._bucket.acquire(begins) is None


class ToldDemand(Way):
    """Each host lets in the part that the limit is of all that was asked a moment before."""

    def __init__(self, quota: Quota, margin: QuotaMargin, hosts: int) -> None:
        """Starts without any demand."""
        self._quota = quota
        self._hosts = hosts
        self._asked_s: deque[float] = deque()
        self._told_s = 0.0
        self._rate_per_s = 0.0
        self._random = random.Random(5)

    def lets_in(self, host: int, begins: bool, now_s: float) -> bool:
        """See :class:`Way`."""
        self._asked_s.append(now_s)
        while now_s > self._told_s + HELLO_S:
            # What was asked in the round before is what all know in this one.
            self._told_s += HELLO_S
            known = [at for at in self._asked_s if at <= self._told_s]
            self._rate_per_s = sum(at > self._told_s - 1.0 for at in known)
            self.messages += self._hosts
        while self._asked_s and self._asked_s[0] < self._told_s - 1.0:
            self._asked_s.popleft()
        return self._random.random() * self._rate_per_s <= self._quota.rate_per_s


@attrs.frozen
class Load:
    """How an account sends: so many times its limit, and more for some seconds."""

    usual: float
    hot: float = 1.0
    hot_from_s: float = 20.0
    hot_for_s: float = 8.0
    length_s: float = 60.0


@attrs.frozen
class Outcome:
    """What became of a play.

    Attributes:
        refused: part of the requests.
        whole: part of the programs that ended.
        most: requests in the fullest window, as a part of what the deployment allows.
        messages: between hosts, a request.
    """

    refused: float
    whole: float
    most: float
    messages: float


def play(way: Way, quota: Quota, margin: QuotaMargin, load: Load, hosts: int, seed: int) -> Outcome:
    """Plays one load."""
    generator = random.Random(seed)
    number = itertools.count()
    due: list[tuple[float, int, int, bool]] = []
    mean = sum(PROGRAM_REQUESTS) / 2
    now_s, programs = 0.0, 0
    while now_s < load.length_s:
        is_hot = 0 <= now_s - load.hot_from_s < load.hot_for_s
        times = load.usual * (load.hot if is_hot else 1.0)
        now_s += generator.expovariate(times * quota.rate_per_s / mean)
        heapq.heappush(due, (now_s, next(number), generator.randint(*PROGRAM_REQUESTS), True))
        programs += 1
    asked = whole = 0
    sent_s: list[float] = []
    while due:
        now_s, _, left, begins = heapq.heappop(due)
        asked += 1
        if not way.lets_in(generator.randrange(hosts), begins, now_s):
            continue
        sent_s.append(now_s)
        if left == 1:
            whole += 1
        else:
            next_s = now_s + generator.expovariate(1 / PAUSE_S)
            heapq.heappush(due, (next_s, next(number), left - 1, False))
    allowed = quota.rate_per_s * margin.window_s + quota.burst + margin.requests(quota)
    return Outcome(
        refused=1 - len(sent_s) / asked,
        whole=whole / programs,
        most=most_within(sent_s, margin.window_s) / allowed,
        messages=way.messages / asked,
    )


def most_within(times_s: list[float], window_s: float) -> int:
    """Returns the most of ascending times that lie within any window."""
    first, most = 0, 0
    for last, end_s in enumerate(times_s):
        while times_s[first] <= end_s - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most
