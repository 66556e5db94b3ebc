"""The entry program: a gateway that also serves the platform's requests."""

from bayhinge._internal.models.site_settings import SiteSettings
from bayhinge._internal.network.routed_front import RoutedFront
from bayhinge._internal.platform.call_format import PlatformCallFormat
from bayhinge._internal.platform.entry_calls import EntryCalls
from bayhinge._internal.platform.host_program import HostProgram
from bayhinge._internal.platform.object_reader import PlatformObjectReader
from bayhinge._internal.platform.objects_api import (
    CONFIGURATION_KEY,
    CONFIGURATION_KIND,
    ENDPOINTS_KIND,
    PlatformObjects,
)
from bayhinge._internal.services.gateway.gateway import Gateway
from bayhinge._internal.services.gateway.platform_interface import Platform
from bayhinge._internal.utils.prebound_sockets import PreboundSockets

METRICS_PORT = 9464
"""Port of the metrics page, as in the deploy file; outside the port ranges used by tests."""


class EntryProgram(HostProgram):
    """An entry host: a gateway and the HTTP endpoints for the platform."""

    def __init__(self, settings: SiteSettings, sockets: PreboundSockets | None = None) -> None:
        super().__init__()
        sockets = sockets or PreboundSockets()
        store = PlatformObjects(settings.store_address)
        self._gateway = Gateway(
            settings,
            Platform(
                store,
                PlatformCallFormat(),
                PlatformObjectReader(),
                f"{CONFIGURATION_KIND}/",
                CONFIGURATION_KEY,
                f"{ENDPOINTS_KIND}/",
            ),
            sockets,
        )
        calls = EntryCalls(self._gateway)
        metrics_address = f"{settings.ip}:{METRICS_PORT}"
        addresses = {settings.ready_address, settings.directory_address, metrics_address} - {""}
        self._fronts = [
            RoutedFront(address, calls, sockets, self._gateway.guard)
            for address in sorted(addresses)
        ]

    def apply_settings(self, settings: SiteSettings) -> None:
        """See :class:`HostProgram`."""
        self._gateway.apply_limits(settings)

    async def on_start(self) -> None:
        """Starts the HTTP endpoints for the platform, then the gateway."""
        for front in self._fronts:
            await front.start()
        await self._gateway.start()

    async def on_stop(self) -> None:
        """Stops the gateway first, so that the host reports its departure until the end."""
        await self._gateway.stop()
        for front in self._fronts:
            await front.stop()
