"""Which hosts of a hall watch the store, and when each of their watches ends.

A watch that hangs is found only at its end, so the ends are spread over the site: then some watch
ends soon after any moment, and its host tells the others. They do not stay spread by themselves,
for a change wakes all watches in one moment, and hosts that are killed together start together.
"""

from collections.abc import Iterable

import attrs

from bayhinge.coordination.rendezvous import rank

WATCHERS_PER_HALL = 2
"""Hosts of a hall that watch the store; the others hear the news from them. Two, so that one may
fail or hang."""

WATCH_PERIOD_S = 6.0
"""Between two ends of one watch. With two prefixes and three halls of two watchers each, one watch
of the site ends every 0.5 s; each end is one call of the store, which is paid for: a quiet day of a
small site has 222 calls with waits of 5 s that are not spread, some 262 with a period of 5 s."""

PERIOD_HALLS = 3
"""Sites of more halls have more watchers, and watch longer: ends come as often all the same."""

LEAST_WAIT_S = 0.25
"""A watch that would end sooner waits for its next turn: it has just asked."""


@attrs.frozen
class HallHost:
    """A host of the own hall as the choice of watchers sees it.

    Attributes:
        store_fails: its last calls to the store brought no answer.
    """

    host: str
    store_fails: bool


def watchers_of(hall: str, hosts: Iterable[HallHost]) -> list[str]:
    """Returns the hosts that watch for a hall, in a fixed order.

    These are the first of those that reach the store. The first of all go on too, so that they
    learn when they reach it again; while nobody does, they alone ask, as each call is paid for.
    """
    fails_by_host = {one.host: one.store_fails for one in hosts}
    ranked = rank(hall, fails_by_host)
    reaching = [host for host in ranked if not fails_by_host[host]]
    wanted = {*ranked[:WATCHERS_PER_HALL], *reaching[:WATCHERS_PER_HALL]}
    return [host for host in ranked if host in wanted]


@attrs.frozen
class WatchTurn:
    """One watch among those of a site.

    Attributes:
        hall: the hall's place among all halls, from 0 on.
        watcher: the host's place among its hall's watchers, from 0 on.
        prefix: the prefix's place among those that are watched, from 0 on.
        watchers: how many watch for the hall; more than ``WATCHERS_PER_HALL`` share its turns.
    """

    hall: int
    halls: int
    watcher: int
    prefix: int
    prefixes: int
    watchers: int = WATCHERS_PER_HALL

    @property
    def period_s(self) -> float:
        """Time between two ends of one watch."""
        return WATCH_PERIOD_S * max(1.0, self.halls / PERIOD_HALLS)

    @property
    def phase(self) -> float:
        """When in the period the watch ends, from 0 to 1.

        Ends are spread evenly over all prefixes, and over each by itself: a change wakes all
        watches of its prefix at once, and their next calls may come behind a silence that the
        other prefix's watches hang in. With each prefix in a part of the period of its own, that
        silence went unnoticed for up to 4.6 s on two halls, so for 2.4 s.
        """
        turns = min(self.watchers, WATCHERS_PER_HALL)
        within_hall = (self.watcher % turns + self.prefix / self.prefixes) / turns
        # Half of the halls further on, so that the ends of one host, which may be down, are apart.
        hall = (self.hall + self.prefix * self.halls // self.prefixes) % self.halls
        return (hall + within_hall) / self.halls


def wait_until_turn(turn: WatchTurn, now_s: float) -> float:
    """Returns how long a watch that begins now waits, in seconds.

    ``now_s`` is the time of day. Hosts whose clocks differ have ends that are spread less well,
    and nothing else.
    """
    wait_s = (turn.phase * turn.period_s - now_s) % turn.period_s
    return wait_s if wait_s >= LEAST_WAIT_S else wait_s + turn.period_s
