"""Where a host leaves its address in the store, so that others find it without seeds."""

import asyncio
from collections.abc import Callable

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


class HostRegistry:
    """Announces one host and finds the others."""

    def __init__(self, store: ObjectStore, settings: SiteSettings) -> None:
        """Takes the store and the host's settings."""
        self._store = store
        self._settings = settings

    async def announce(self, gossip: Gossip, is_wanted: Callable[[], bool]) -> None:
        """Writes this host's address, and learns all others where no seed has told of any.

        Goes on until it has worked. A few addresses are enough for newcomers, so only the
        hosts that ``is_wanted`` picks write theirs.
        """
        await asyncio.sleep(SEED_PATIENCE_S)
        while True:
            try:
                if not gossip.knows_others():
                    listing = await list_all(self._store, HOSTS_PREFIX)
                    gossip.learn(
                        stored.value.decode("ascii", "replace") for stored in listing.objects
                    )
                if is_wanted():
                    await self._write(f"{HOSTS_PREFIX}{self._settings.host}")
                return
            except StoreError as error:
                eliot.log_message("hosts.not_announced", why=str(error))
                await asyncio.sleep(RETRY_S)

    async def _write(self, key: str) -> None:
        value = self._settings.gossip_address.encode()
        try:
            await self._store.create(key, value)
        except AlreadyExistsError:
            stored = await self._store.get(key)
            if stored is not None and stored.value != value:
                await self._store.update(key, value, stored.version)
