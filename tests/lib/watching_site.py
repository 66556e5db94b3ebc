"""Hosts that watch one store for their halls and notify each other of changes."""

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


class SitePeers(Peers):
    """Connections between all hosts."""

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
    """Runs the followers of all hosts; each host has a store client of its own."""

    def __init__(self, halls: int, hosts_per_hall: int) -> None:
        self.truth = StoreTruth("config/main")
        self.ways = SitePeers()
        self.stores: list[SilentStore] = []
        for hall, index in itertools.product(range(halls), range(hosts_per_hall)):
            self._add_host(hall, halls, index, min(hosts_per_hall, WATCHERS_PER_HALL))
        self.tasks = [asyncio.create_task(follower.run()) for follower in self.followers()]

    def _add_host(self, hall: int, halls: int, index: int, watchers: int) -> None:
        store = SilentStore(self.truth)
        self.stores.append(store)
        address = f"{hall}/{index}"

        def slot_wait_s(prefix: int) -> float:
            slot = WatchSlot(hall, halls, index, prefix, len(PREFIXES), watchers)
            return wait_until_slot(slot, asyncio.get_running_loop().time())

        followers = {}
        for number, prefix in enumerate(PREFIXES):
            follower = PrefixFollower(
                store, prefix, partial(slot_wait_s, number), Nobody(), self.ways
            )
            follower.should_watch = lambda: index < WATCHERS_PER_HALL
            follower.on_change = lambda: self._notify(address)
            followers[prefix] = follower
        self.ways.followers_by_address[address] = followers

    def followers(self) -> list[PrefixFollower]:
        hosts = self.ways.followers_by_address.values()
        return [follower for followers in hosts for follower in followers.values()]

    def _notify(self, address: str) -> None:
        sender = self.ways.followers_by_address[address]["config/"]
        for other, followers in self.ways.followers_by_address.items():
            if other != address:
                followers["config/"].observe_revision(sender.revision, address)

    async def greet_always(self, period_s: float) -> None:
        """Delivers heartbeats: in each period, every host receives that of one other host."""
        addresses = list(self.ways.followers_by_address)
        for number in itertools.count(1):
            await asyncio.sleep(period_s)
            for index, address in enumerate(addresses):
                other = addresses[(index + number) % len(addresses)]
                for prefix, follower in self.ways.followers_by_address[other].items():
                    receiver = self.ways.followers_by_address[address][prefix]
                    receiver.observe_revision(follower.revision, other)

    def take_down(self, hosts: int) -> None:
        """Stops the first hosts."""
        for task in self.tasks[: hosts * len(PREFIXES)]:
            task.cancel()
        for address in list(self.ways.followers_by_address)[:hosts]:
            del self.ways.followers_by_address[address]

    def is_up_to_date(self) -> bool:
        hosts = self.ways.followers_by_address.values()
        newest = self.truth.revision_by_key[self.truth.key]
        return all(host["config/"].revision >= newest for host in hosts)

    async def seconds_until_known(self) -> float:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        async with asyncio.timeout(30):
            while not self.is_up_to_date():  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        return loop.time() - started_s

    async def calls_within(self, seconds: float) -> int:
        """Runs for a time, stops all followers and returns the number of store calls meanwhile."""
        before = sum(store.calls for store in self.stores)
        await asyncio.sleep(seconds)
        self.stop()
        return sum(store.calls for store in self.stores) - before

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
