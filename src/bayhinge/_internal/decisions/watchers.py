"""Selects the hosts of a hall that watch the store, and when each of their watches ends.

A hung watch is detected only at its end, so the ends are spread over the site: some watch always
ends soon, and its host notifies the others. They have to be scheduled, as every change wakes all
watches at once, and hosts may restart together.
"""

from collections.abc import Iterable

import attrs

from bayhinge.coordination.rendezvous import rank

WATCHERS_PER_HALL = 2
"""Hosts of a hall that watch the store and pass on its updates. Two, so that one may fail or
hang."""

WATCH_PERIOD_S = 6.0
"""Time between two ends of one watch. With two prefixes and three halls of two watchers, a watch
ends every 0.5 s; a shorter period costs more store calls."""

PERIOD_HALLS = 3
"""Sites with more halls have more watchers and use longer periods, so that ends come as often."""

MIN_WATCH_S = 0.25
"""A watch that would end sooner waits for its next slot."""


@attrs.frozen
class HallHost:
    """A host of this host's hall.

    Attributes:
        store_fails: its last calls to the store failed.
    """

    host: str
    store_fails: bool


def watchers_of(hall: str, hosts: Iterable[HallHost]) -> list[str]:
    """Returns the hosts that watch the store for a hall, in a fixed order.

    These are the first hosts that reach the store, and the first hosts of all, so that these detect
    when they reach it again. While no host does, only the latter ask, as each call is paid for.
    """
    fails_by_host = {one.host: one.store_fails for one in hosts}
    ranked = rank(hall, fails_by_host)
    reaching = [host for host in ranked if not fails_by_host[host]]
    wanted = {*ranked[:WATCHERS_PER_HALL], *reaching[:WATCHERS_PER_HALL]}
    return [host for host in ranked if host in wanted]


@attrs.frozen(eq=False, repr=False)
class WatchSlot:
    """The time slot of one watch among those of a site.

    Attributes:
        hall: index of the hall among all halls.
        watcher: index of the host among its hall's watchers.
        prefix: index of the prefix among the watched ones.
        watchers: number of the hall's watchers; more than ``WATCHERS_PER_HALL`` share its slots.
    """

    hall: int
    halls: int
    watcher: int
    prefix: int
    prefixes: int
    watchers: int = WATCHERS_PER_HALL

    @property
    def period_s(self) -> float:
        """Seconds between two ends of one watch."""
        return WATCH_PERIOD_S * max(1.0, self.halls / PERIOD_HALLS)

    @property
    def phase(self) -> float:
        """When in the period the watch ends, from 0 to 1.

        Ends are spread evenly over all prefixes together and over each one, as a change wakes all
        watches of one prefix at once: a failure that hangs the other prefix's watches must still
        be noticed soon. With a part of the period for each prefix, it went unnoticed for seconds.
        """
        slots = min(self.watchers, WATCHERS_PER_HALL)
        within_hall = (self.watcher % slots + self.prefix / self.prefixes) / slots
        # Shifted by half of the halls, so that the ends of one host, which may be down, are apart.
        hall = (self.hall + self.prefix * self.halls // self.prefixes) % self.halls
        return (hall + within_hall) / self.halls


def wait_until_slot(slot: WatchSlot, now_s: float) -> float:
    """Returns how long a watch that begins now waits, in seconds.

    ``now_s`` is wall-clock time; clock skew between hosts only spreads the ends less evenly.
    """
    wait_s = (slot.phase * slot.period_s - now_s) % slot.period_s
    return wait_s if wait_s >= MIN_WATCH_S else wait_s + slot.period_s
