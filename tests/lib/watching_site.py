"""Hosts that watch one store for their halls and tell each other of changes, in virtual time."""

import asyncio
import itertools
from collections.abc import AsyncGenerator
from functools import partial

from bayhinge._internal.decisions.watchers import WATCHERS_PER_HALL, WatchSlot, wait_until_slot
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.network.peers import Peers
from bayhinge._internal.services.prefix_follower import ObjectListener, PrefixFollower
from bayhinge._internal.wire.hosts.ttypes import ObjectsQuery
from bayhinge.coordination.store import Change
from tests.lib.silent_store import SilentStore, StoreTruth

PREFIXES = ("config/", "servers/")


class Nobody(ObjectListener):
    def replace_all(self, value_by_key: dict[str, bytes], is_after_outage: bool) -> None:
        return

    def apply(self, change: Change, is_after_outage: bool) -> None:
        return


class SiteWays(Peers):
    """Every host reaches every other."""

    def __init__(self) -> None:
        self.followers_by_address: dict[str, dict[str, PrefixFollower]] = {}

    async def stream(
        self, address: str, method: str, payload: bytes
    ) -> AsyncGenerator[bytes, None]:
        await asyncio.sleep(0.001)
        prefix = decode_message(ObjectsQuery(), payload).prefix
        yield encode_message(self.followers_by_address[address][prefix].snapshot())

    async def close(self) -> None:
        return


class WatchingSite:
    """Hosts that watch one store for their halls, and tell each other of changes."""

    def __init__(self, halls: int, hosts_per_hall: int) -> None:
        self.truth = StoreTruth("config/main")
        self.ways = SiteWays()
        self.stores: list[SilentStore] = []
        for hall, place in itertools.product(range(halls), range(hosts_per_hall)):
            self._add_host(hall, halls, place, min(hosts_per_hall, WATCHERS_PER_HALL))
        self.tasks = [asyncio.create_task(follower.run()) for follower in self.followers()]

    def _add_host(self, hall: int, halls: int, place: int, watchers: int) -> None:
        store = SilentStore(self.truth)
        self.stores.append(store)
        address = f"{hall}/{place}"

        def wait_of(prefix: int) -> float:
            turn = WatchSlot(hall, halls, place, prefix, len(PREFIXES), watchers)
            return wait_until_slot(turn, asyncio.get_running_loop().time())

        followers = {}
        for number, prefix in enumerate(PREFIXES):
            follower = PrefixFollower(store, prefix, partial(wait_of, number), Nobody(), self.ways)
            follower.should_watch = lambda: place < WATCHERS_PER_HALL
            follower.on_change = lambda: self._tell(address)
            followers[prefix] = follower
        self.ways.followers_by_address[address] = followers

    def followers(self) -> list[PrefixFollower]:
        hosts = self.ways.followers_by_address.values()
        return [follower for followers in hosts for follower in followers.values()]

    def _tell(self, address: str) -> None:
        teller = self.ways.followers_by_address[address]["config/"]
        for other, followers in self.ways.followers_by_address.items():
            if other != address:
                followers["config/"].observe_revision(teller.revision, address)

    async def greet_always(self, period_s: float) -> None:
        """Each host receives heartbeats of one other after the other, as hosts do."""
        addresses = list(self.ways.followers_by_address)
        for number in itertools.count(1):
            await asyncio.sleep(period_s)
            for place, address in enumerate(addresses):
                other = addresses[(place + number) % len(addresses)]
                for prefix, follower in self.ways.followers_by_address[other].items():
                    told = self.ways.followers_by_address[address][prefix]
                    told.observe_revision(follower.revision, other)

    def take_down(self, hosts: int) -> None:
        """The first hosts do nothing any more."""
        for task in self.tasks[: hosts * len(PREFIXES)]:
            task.cancel()
        for address in list(self.ways.followers_by_address)[:hosts]:
            del self.ways.followers_by_address[address]

    def knows_all(self) -> bool:
        hosts = self.ways.followers_by_address.values()
        newest = self.truth.revision_by_key[self.truth.key]
        return all(host["config/"].revision >= newest for host in hosts)

    async def seconds_until_known(self) -> float:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        async with asyncio.timeout(30):
            while not self.knows_all():  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        return loop.time() - began_s

    async def calls_within(self, seconds: float) -> int:
        """Plays on for a time and stops; returns how often the store was called meanwhile."""
        before = sum(store.calls for store in self.stores)
        await asyncio.sleep(seconds)
        self.stop()
        return sum(store.calls for store in self.stores) - before

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
