"""Which hosts of a hall watch the store, and when their watches end."""

import random
from collections.abc import Callable

from bayhinge._internal.decisions.watchers import (
    HallHost,
    WatchSlot,
    wait_until_slot,
    watchers_of,
)
from bayhinge._internal.models.site_settings import SiteSettings
from bayhinge._internal.services.gossip import Gossip
from bayhinge._internal.services.prefix_follower import FIRST_LIST_DELAY_S
from bayhinge._internal.wire.hosts import ttypes as wire
from bayhinge.coordination.clock import SystemClock


class StoreWatching:
    """The part of one host in watching the store, computed from heartbeats."""

    def __init__(
        self,
        settings: SiteSettings,
        gossip: Gossip,
        wall_clock: SystemClock,
        prefixes: int,
        store_fails: Callable[[], bool],
    ) -> None:
        """Computes for one host.

        Args:
            settings: those of the host.
            gossip: its heartbeats, and those that it receives.
            wall_clock: spreads the ends of watches over the hosts.
            prefixes: number of prefixes of the store that it follows.
            store_fails: returns whether its calls to the store fail.
        """
        self._settings = settings
        self._gossip = gossip
        self._wall_clock = wall_clock
        self._prefixes = prefixes
        self._store_fails = store_fails

    def is_watcher(self) -> bool:
        """Whether this host is one of its hall's store watchers."""
        return self._gossip.own_heartbeat.host in self._watchers()

    def _watchers(self) -> list[str]:
        """Returns the hosts of this hall that watch the store, computed from heartbeats."""
        me = self._gossip.own_heartbeat
        hosts = [
            HallHost(heartbeat.host, heartbeat.store_fails)
            for heartbeat in self._gossip.recent_heartbeats(wire.HostRole.ENTRY)
            if heartbeat.hall == me.hall and heartbeat.phase == wire.HostPhase.READY
        ]
        return watchers_of(me.hall, [*hosts, HallHost(me.host, self._store_fails())])

    def watch_timeout_s(self, prefix_index: int) -> float:
        """Returns the timeout, in seconds, of a watch of a prefix that starts now."""
        me = self._gossip.own_heartbeat
        halls = sorted({me.hall, *self._settings.region_by_hall})
        watchers = self._watchers()
        slot = WatchSlot(
            halls.index(me.hall),
            len(halls),
            watchers.index(me.host) if me.host in watchers else 0,
            prefix_index,
            self._prefixes,
            len(watchers),
        )
        return wait_until_slot(slot, self._wall_clock.wall_ms() / 1000)

    def first_list_delay_s(self) -> float:
        """Returns how long to wait for updates from peers before listing the store, in seconds."""
        settings = self._settings
        # Seeds list the store at once: every other host learns from them.
        return (
            random.uniform(*FIRST_LIST_DELAY_S)
            if settings.is_first_start and settings.ip not in settings.seeds
            else 0.0
        )
