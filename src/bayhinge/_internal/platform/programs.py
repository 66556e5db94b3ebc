"""The two programs of a platform's hosts, and how one is started."""

import asyncio
import os
import signal
import sys
from pathlib import Path

import eliot
from mode import Service

from bayhinge._internal import status_codes
from bayhinge._internal.models.site_settings import SiteSettings
from bayhinge._internal.network.routed_front import RoutedFront
from bayhinge._internal.platform.call_format import PlatformCallFormat
from bayhinge._internal.platform.entry_calls import EntryCalls
from bayhinge._internal.platform.object_reader import PlatformObjectReader
from bayhinge._internal.platform.objects_api import (
    CONFIGURATION_KIND,
    ENDPOINTS_KIND,
    RETIREMENTS_KIND,
    PlatformObjects,
)
from bayhinge._internal.platform.retirements import RetirementDesk
from bayhinge._internal.platform.settings_file import read_settings
from bayhinge._internal.services.disks.disk_host import DiskHost
from bayhinge._internal.services.gateway.gateway import Gateway
from bayhinge._internal.services.gateway.outside import Platform
from bayhinge._internal.services.keep_running import keep_running
from bayhinge._internal.services.key_follower import KeyFollower
from bayhinge._internal.utils.log_output import LogOutput

SETTINGS_VARIABLE = "BAYHINGE_NODE_FILE"
METRICS_PORT = 9464
"""Where the metrics page is, as the deploy file names it; outside the ports that days draw."""

RETIREMENT_WAIT_S = 20.0
"""Wait of one watch call for retirements, which come rarely and have seconds to spare."""


class EntryProgram(Service):
    """An entry host with the platform's calls to it."""

    def __init__(self, settings: SiteSettings) -> None:
        """Takes the settings."""
        super().__init__()
        store = PlatformObjects(settings.store_address)
        self._gateway = Gateway(
            settings,
            Platform(
                store,
                PlatformCallFormat(),
                PlatformObjectReader(),
                f"{CONFIGURATION_KIND}/",
                f"{ENDPOINTS_KIND}/",
            ),
        )
        calls = EntryCalls(self._gateway)
        metrics_address = f"{settings.ip}:{METRICS_PORT}"
        addresses = {settings.ready_address, settings.directory_address, metrics_address} - {""}
        self._fronts = [RoutedFront(address, calls) for address in sorted(addresses)]

    async def on_start(self) -> None:
        """Listens for the platform, then starts the host."""
        for front in self._fronts:
            await front.start()
        await self._gateway.start()

    async def on_stop(self) -> None:
        """Stops the host, then the platform's calls: it says that it leaves to the last."""
        await self._gateway.stop()
        for front in self._fronts:
            await front.stop()


class DiskProgram(Service):
    """A disk host with the platform's requests to empty it."""

    def __init__(self, settings: SiteSettings) -> None:
        """Takes the settings."""
        super().__init__()
        self._store = PlatformObjects(settings.store_address)
        self._disk = DiskHost(settings, self._store)
        self._follower = KeyFollower(
            self._store,
            f"{RETIREMENTS_KIND}/",
            RETIREMENT_WAIT_S,
            RetirementDesk(self._store, self._disk),
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


PROGRAM_BY_NAME: dict[str, type[EntryProgram] | type[DiskProgram]] = {
    "entry": EntryProgram,
    "disk": DiskProgram,
}


async def _run(program: Service, settings_path: Path) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, settings_path)
    await program.start()
    await stopping.wait()
    await program.stop()


def _reload(path: Path) -> None:
    """Reads the settings again; addresses stay those of the start, as the platform says."""
    read = read_settings(path)
    findings = [str(finding) for finding in read.error] if read.is_error() else []
    eliot.log_message("settings.reloaded", findings=findings)


def run(arguments: list[str]) -> int:
    """Runs the program that the first argument names; returns its exit status."""
    program = PROGRAM_BY_NAME.get(arguments[0]) if arguments else None
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    if program is None or not path.is_file():
        known = "|".join(PROGRAM_BY_NAME)
        print(f"usage: {SETTINGS_VARIABLE}=FILE ... {known}", file=sys.stderr)
        return status_codes.EXIT_USAGE
    read = read_settings(path)
    if read.is_error():
        for finding in read.error:
            print(finding, file=sys.stderr)
        return status_codes.EXIT_BAD_SETTINGS
    eliot.add_destinations(LogOutput(sys.stdout.fileno(), read.ok.host))
    asyncio.run(_run(program(read.ok), path))
    return status_codes.EXIT_OK
