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
from tests.lib.silent_store import SilentStore, StoreState

PREFIXES = ("config/", "servers/")


class NullListener(ObjectListener):
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
        self.state = StoreState("config/main")
        self.peers = SitePeers()
        self.stores: list[SilentStore] = []
        for hall, index in itertools.product(range(halls), range(hosts_per_hall)):
            self._add_host(hall, halls, index, min(hosts_per_hall, WATCHERS_PER_HALL))
        self.tasks = [asyncio.create_task(follower.run()) for follower in self.followers()]

    def _add_host(self, hall: int, halls: int, index: int, watchers: int) -> None:
        store = SilentStore(self.state)
        self.stores.append(store)
        address = f"{hall}/{index}"

        def slot_wait_s(prefix: int) -> float:
            slot = WatchSlot(hall, halls, index, prefix, len(PREFIXES), watchers)
            return wait_until_slot(slot, asyncio.get_running_loop().time())

        followers = {}
        for number, prefix in enumerate(PREFIXES):
            follower = PrefixFollower(
                store, prefix, partial(slot_wait_s, number), NullListener(), self.peers
            )
            follower.should_watch = lambda: index < WATCHERS_PER_HALL
            follower.on_change = lambda: self._notify(address)
            followers[prefix] = follower
        self.peers.followers_by_address[address] = followers

    def followers(self) -> list[PrefixFollower]:
        hosts = self.peers.followers_by_address.values()
        return [follower for followers in hosts for follower in followers.values()]

    def _notify(self, address: str) -> None:
        sender = self.peers.followers_by_address[address]["config/"]
        for other, followers in self.peers.followers_by_address.items():
            if other != address:
                followers["config/"].observe_revision(sender.revision, address)

    async def send_heartbeats(self, period_s: float) -> None:
        """Delivers heartbeats: in each period, every host receives that of one other host."""
        addresses = list(self.peers.followers_by_address)
        for number in itertools.count(1):
            await asyncio.sleep(period_s)
            for index, address in enumerate(addresses):
                other = addresses[(index + number) % len(addresses)]
                for prefix, follower in self.peers.followers_by_address[other].items():
                    receiver = self.peers.followers_by_address[address][prefix]
                    receiver.observe_revision(follower.revision, other)

    def stop_hosts(self, hosts: int) -> None:
        """Stops the first hosts."""
        for task in self.tasks[: hosts * len(PREFIXES)]:
            task.cancel()
        for address in list(self.peers.followers_by_address)[:hosts]:
            del self.peers.followers_by_address[address]

    def is_up_to_date(self) -> bool:
        hosts = self.peers.followers_by_address.values()
        newest = self.state.revision_by_key[self.state.key]
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
