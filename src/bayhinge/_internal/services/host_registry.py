"""Where a host leaves its address in the store, so that others find it without seeds."""

import asyncio
from collections.abc import Callable, Iterable

import eliot

from bayhinge._internal.models.site_settings import SiteSettings
from bayhinge.coordination.errors import AlreadyExistsError, StoreError
from bayhinge.coordination.store import ObjectStore, list_all

HOSTS_PREFIX = "hosts/"

RETRY_S = 1.0
"""Pause after the store failed."""


class HostRegistry:
    """Announces one host and finds the others."""

    def __init__(self, store: ObjectStore, settings: SiteSettings) -> None:
        """Takes the store and the host's settings."""
        self._store = store
        self._settings = settings

    async def announce(self, learn: Callable[[Iterable[str]], None]) -> None:
        """Writes this host's address and learns all others; goes on until it has worked."""
        while True:
            try:
                listing = await list_all(self._store, HOSTS_PREFIX)
                address_by_key = {stored.key: stored.value.decode() for stored in listing.objects}
                learn(address_by_key.values())
                key = f"{HOSTS_PREFIX}{self._settings.host}"
                if address_by_key.get(key) != self._settings.gossip_address:
                    await self._write(key)
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
