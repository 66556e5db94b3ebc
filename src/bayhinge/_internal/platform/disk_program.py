"""The program of a disk host: the product's host with the platform's requests to empty it."""

from mode import Service

from bayhinge._internal.models.site_settings import SiteSettings
from bayhinge._internal.platform.objects_api import RETIREMENTS_KIND, PlatformObjects
from bayhinge._internal.platform.retirements import RetirementListener
from bayhinge._internal.services.disks.disk_host import DiskHost
from bayhinge._internal.services.keep_running import keep_running
from bayhinge._internal.services.key_follower import KeyFollower

RETIREMENT_WAIT_S = 6.0
"""Wait of one watch call for retirements. A watch that hung through an outage that its disk did not
notice is found at its end, and a disk is to be emptied within seconds. Against a wait of 20 s it
costs 0.12 calls a second more for each disk."""


class DiskProgram(Service):
    """A disk host with the platform's requests to empty it."""

    def __init__(self, settings: SiteSettings) -> None:
        super().__init__()
        self._store = PlatformObjects(settings.store_address)
        self._disk = DiskHost(settings, self._store)
        self._follower = KeyFollower(
            self._store,
            f"{RETIREMENTS_KIND}/",
            lambda: RETIREMENT_WAIT_S,
            RetirementListener(self._store, self._disk),
            self._disk.peers,
        )

    async def on_start(self) -> None:
        """Starts the host and follows requests to empty it."""
        await self._disk.start()
        self.add_future(keep_running("follow retirements", self._follower.run))

    async def on_stop(self) -> None:
        """Stops the host."""
        await self._disk.stop()
        self._follower.stop()
        await self._store.close()
