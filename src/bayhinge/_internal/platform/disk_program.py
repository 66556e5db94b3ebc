"""The disk program: a disk host that also follows the platform's retirement requests."""

from bayhinge._internal.models.site_settings import SiteSettings
from bayhinge._internal.platform.host_program import HostProgram
from bayhinge._internal.platform.objects_api import RETIREMENTS_KIND, PlatformObjects
from bayhinge._internal.platform.retirements import RetirementListener
from bayhinge._internal.services.disks.disk_host import DiskHost
from bayhinge._internal.services.keep_running import keep_running
from bayhinge._internal.services.prefix_follower import PrefixFollower

RETIREMENT_WAIT_S = 6.0
"""Long-poll time of one watch call for retirements. Short, because a watch that hangs through an
outage is only detected at its end, and retirements should start within seconds."""


class DiskProgram(HostProgram):
    """A disk host that follows the platform's retirement requests."""

    def __init__(self, settings: SiteSettings) -> None:
        super().__init__()
        self._store = PlatformObjects(settings.store_address)
        self._disk = DiskHost(settings, self._store)
        self._follower = PrefixFollower(
            self._store,
            f"{RETIREMENTS_KIND}/",
            lambda: RETIREMENT_WAIT_S,
            RetirementListener(self._store, self._disk),
            self._disk.peers,
        )

    def apply_settings(self, settings: SiteSettings) -> None:
        """See :class:`HostProgram`."""
        self._disk.apply_limits(settings)

    async def on_start(self) -> None:
        """Starts the host and follows retirement requests."""
        await self._disk.start()
        self.add_future(keep_running("follow retirements", self._follower.run))

    async def on_stop(self) -> None:
        """Stops the host."""
        await self._disk.stop()
        self._follower.stop()
        await self._store.close()
