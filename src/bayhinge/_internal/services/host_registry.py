"""Where a host leaves its address in the store, so that others find it without seeds."""

import asyncio
from collections.abc import Awaitable, Callable

import eliot

from bayhinge._internal.models.site_settings import SiteSettings
from bayhinge._internal.services.gossip import Gossip
from bayhinge.coordination.errors import AlreadyExistsError, StoreError
from bayhinge.coordination.store import ObjectStore, list_all

HOSTS_PREFIX = "hosts/"

SEED_PATIENCE_S = 0.8
"""Time for seeds to answer before the store is asked."""

RETRY_S = 1.0
"""Pause after the store failed."""

FIRST_ALONE_S = 1.0
LONGEST_ALONE_S = 30.0
"""Pauses of a host that heard of nobody before it reads the addresses anew, doubled each time:
hosts that start at one moment read them before any of them has written, and each call is paid
for."""


class HostRegistry:
    """Announces one host and finds the others."""

    def __init__(self, store: ObjectStore, settings: SiteSettings) -> None:
        """Takes the store and the host's settings."""
        self._store = store
        self._settings = settings

    async def announce(self, gossip: Gossip, is_wanted: Callable[[], bool]) -> None:
        """Writes this host's address, and learns all others where no seed has told of any.

        Goes on until it has worked and any other host is known. A few addresses are enough for
        newcomers, so only the hosts that ``is_wanted`` picks write theirs.
        """
        if set(self._settings.seeds) == {self._settings.ip}:
            # It is a seed of the others, or they and it will never meet but through the store.
            eliot.log_message("hosts.seeds_are_this_host", host=self._settings.host)
        await asyncio.sleep(SEED_PATIENCE_S)
        await self._until_it_works(lambda: self._announce_once(gossip, is_wanted))
        pause_s = FIRST_ALONE_S
        while not gossip.knows_others():
            await asyncio.sleep(pause_s)
            pause_s = min(LONGEST_ALONE_S, 2 * pause_s)
            await self._until_it_works(lambda: self._learn(gossip))

    async def _until_it_works(self, step: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await step()
                return
            except StoreError as error:
                eliot.log_message("hosts.not_announced", why=str(error))
                await asyncio.sleep(RETRY_S)

    async def _announce_once(self, gossip: Gossip, is_wanted: Callable[[], bool]) -> None:
        await self._learn(gossip)
        if is_wanted():
            await self._write(f"{HOSTS_PREFIX}{self._settings.host}")

    async def _learn(self, gossip: Gossip) -> None:
        """Reads the addresses of all others where this host knows nobody."""
        if gossip.knows_others():
            return
        listing = await list_all(self._store, HOSTS_PREFIX)
        gossip.learn(stored.value.decode("ascii", "replace") for stored in listing.objects)

    async def _write(self, key: str) -> None:
        value = self._settings.gossip_address.encode()
        try:
            await self._store.create(key, value)
        except AlreadyExistsError:
            stored = await self._store.get(key)
            if stored is not None and stored.value != value:
                await self._store.update(key, value, stored.version)
