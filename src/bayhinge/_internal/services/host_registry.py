"""Registers hosts' addresses in the store, so that others find them without seeds."""

import asyncio
from collections.abc import Awaitable, Callable

import eliot

from bayhinge._internal.models.site_settings import SiteSettings
from bayhinge._internal.services.gossip import Gossip
from bayhinge.coordination.errors import AlreadyExistsError, StoreError
from bayhinge.coordination.store import ObjectStore, list_all

HOSTS_PREFIX = "hosts/"

SEED_TIMEOUT_S = 0.8
"""Time for seeds to answer before the store is asked."""

RETRY_S = 1.0
"""Pause after the store failed."""

FIRST_DISCOVERY_PAUSE_S = 1.0
MAX_DISCOVERY_PAUSE_S = 30.0
"""Pauses before a host that knows no other reads the addresses again, doubled each time: hosts
that start together may read them before any of them has written."""


class HostRegistry:
    """Registers one host and discovers the others."""

    def __init__(self, store: ObjectStore, settings: SiteSettings) -> None:
        self._store = store
        self._settings = settings

    async def announce(self, gossip: Gossip, should_write: Callable[[], bool]) -> None:
        """Writes this host's address, and reads all others unless seeds have answered.

        Retries until this has worked and any other host is known. A few addresses are enough
        for new hosts, so a host writes its own only if ``should_write`` returns true.
        """
        if set(self._settings.seeds) == {self._settings.ip}:
            # Unless it is a seed of others, it can only be discovered through the store.
            eliot.log_message("hosts.seeds_are_this_host", host=self._settings.host)
        await asyncio.sleep(SEED_TIMEOUT_S)
        await self._retry(lambda: self._announce_once(gossip, should_write))
        pause_s = FIRST_DISCOVERY_PAUSE_S
        while not gossip.knows_others():
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_DISCOVERY_PAUSE_S, 2 * pause_s)
            await self._retry(lambda: self._load_addresses(gossip))

    async def _retry(self, step: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await step()
                return
            except StoreError as error:
                eliot.log_message("hosts.not_announced", why=str(error))
                await asyncio.sleep(RETRY_S)

    async def _announce_once(self, gossip: Gossip, should_write: Callable[[], bool]) -> None:
        await self._load_addresses(gossip)
        if should_write():
            await self._write(f"{HOSTS_PREFIX}{self._settings.host}")

    async def _load_addresses(self, gossip: Gossip) -> None:
        """Reads the addresses of all hosts, unless this host already knows another one."""
        if gossip.knows_others():
            return
        listing = await list_all(self._store, HOSTS_PREFIX)
        gossip.add_addresses(stored.value.decode("ascii", "replace") for stored in listing.objects)

    async def _write(self, key: str) -> None:
        value = self._settings.gossip_address.encode()
        try:
            await self._store.create(key, value)
        except AlreadyExistsError:
            stored = await self._store.get(key)
            if stored is not None and stored.value != value:
                await self._store.update(key, value, stored.version)
