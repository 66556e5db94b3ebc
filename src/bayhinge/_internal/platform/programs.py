"""Starts the entry or disk program of a host on the platform."""

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Callable
from importlib import import_module
from pathlib import Path

import eliot

from bayhinge._internal import status_codes
from bayhinge._internal.models.site_settings import SiteSettings
from bayhinge._internal.platform.early_listening import SETTINGS_VARIABLE
from bayhinge._internal.platform.host_program import HostProgram
from bayhinge._internal.platform.settings_file import read_settings
from bayhinge._internal.utils.event_loop import loop_factory
from bayhinge._internal.utils.log_output import LogOutput
from bayhinge._internal.utils.prebound_sockets import PreboundSockets


# Each program is imported only when it is started, to save start-up time and memory: an entry host
# does not need the turn log, and a disk host does not need the HTTP server.
def _entry(settings: SiteSettings, sockets: PreboundSockets) -> HostProgram:
    from bayhinge._internal.platform.entry_program import EntryProgram

    return EntryProgram(settings, sockets)


def _disk(settings: SiteSettings, sockets: PreboundSockets) -> HostProgram:
    from bayhinge._internal.platform.disk_program import DiskProgram

    return DiskProgram(settings)


PROGRAM_BY_NAME: dict[str, Callable[[SiteSettings, PreboundSockets], HostProgram]] = {
    "entry": _entry,
    "disk": _disk,
}


async def _run(program: HostProgram, settings_path: Path) -> None:
    gc.freeze()
    gc.enable()
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, program, settings_path)
    await program.start()
    await stopping.wait()
    await program.stop()


def _reload(program: HostProgram, path: Path) -> None:
    """Applies the limits of the changed settings file, if it is valid; logs findings."""
    read = read_settings(path)
    findings = [str(finding) for finding in read.error] if read.is_error() else []
    if not findings:
        program.apply_settings(read.ok)
    eliot.log_message("settings.reloaded", findings=findings)


def import_program(arguments: list[str]) -> None:
    """Imports the program named by the first argument, if there is one, and its event loop."""
    if arguments and arguments[0] in PROGRAM_BY_NAME:
        import_module(f"{__package__}.{arguments[0]}_program")
        loop_factory()


def run(arguments: list[str], sockets: PreboundSockets | None = None) -> int:
    """Runs the program named by the first argument; returns its exit status.

    ``sockets`` are sockets that already listen for the program.
    """
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
        return status_codes.EXIT_INVALID_INPUT
    eliot.add_destinations(LogOutput(sys.stdout.fileno(), read.ok.host))
    with asyncio.Runner(loop_factory=loop_factory()) as runner:
        runner.run(_run(program(read.ok, sockets or PreboundSockets()), path))
    return status_codes.EXIT_OK
