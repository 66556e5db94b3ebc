"""Starts entry and disk hosts as real processes, and stops only these, by their pids."""

import asyncio
import os
import resource
import shutil
import signal
import sys
from collections.abc import Mapping
from pathlib import Path

import attrs

from tests.lib.platform_data import settings_text

START_TIMEOUT_S = 10.0
CALLERS_PORT = 8149


@attrs.define
class Daemon:
    """One host: its settings, its process and whether a fault affects it.

    Attributes:
        is_disrupted: a fault affects this host; after a kill, until the host has recovered.
        is_leaving: a planned stop is visible to all callers and the process has not exited yet.
    """

    name: str
    role: str
    folder: Path
    ip: str
    settings: str
    process: asyncio.subprocess.Process | None = None
    is_disrupted: bool = False
    is_leaving: bool = False
    start_count: int = 0

    @property
    def pid(self) -> int:
        assert self.process is not None
        return self.process.pid

    @property
    def data_folder(self) -> Path:
        return self.folder / f"{self.name}-data"

    async def start(self, first_start: bool = False) -> None:
        path = self.folder / f"{self.name}.toml"
        text = self.settings
        if not first_start:
            text = text.replace("bootstrap = true", "bootstrap = false")
        path.write_text(text)
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bayhinge._internal.platform",
            self.role,
            stdout=log,
            stderr=log,
            env=os.environ | {"BAYHINGE_NODE_FILE": str(path)},
        )
        log.close()
        self.start_count += 1

    async def wait_until_listening(self) -> None:
        """Waits until an entry host accepts connections of callers.

        Raises:
            TimeoutError: it does not within ``START_TIMEOUT_S``.
        """
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                try:
                    _, writer = await asyncio.open_connection(self.ip, CALLERS_PORT)
                except OSError:
                    await asyncio.sleep(0.05)
                else:
                    writer.close()
                    return

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kills the process, also if it is stopped by SIGSTOP."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def stop(self) -> int:
        """Requests a planned stop, waits for the exit and returns the exit status."""
        self.send(signal.SIGTERM)
        assert self.process is not None
        return await self.process.wait()

    def wipe(self) -> None:
        """Deletes the data folder; the process must not run."""
        shutil.rmtree(self.data_folder, ignore_errors=True)

    def limit_files(self, size: int | None) -> None:
        """Limits files of the process to ``size`` bytes, so that writes fail; None lifts it."""
        _, hard = resource.prlimit(self.pid, resource.RLIMIT_FSIZE)
        soft = hard if size is None else size
        resource.prlimit(self.pid, resource.RLIMIT_FSIZE, (soft, hard))


def entry_daemon(
    folder: Path,
    net: str,
    number: int,
    platform: str,
    hall: str,
    seeds: str,
    bounds: Mapping[str, object] | None = None,
) -> Daemon:
    ip = f"{net}.{10 + number}"
    text = settings_text(
        f"entry-{number}", ip, hall=hall, platform=platform, seeds=seeds, bounds=bounds
    )
    return Daemon(f"entry-{number}", "entry", folder, ip, text)


def disk_daemon(
    folder: Path, net: str, number: int, platform: str, hall: str, seeds: str
) -> Daemon:
    ip = f"{net}.{110 + number}"
    data = str(folder / f"disk-{number}-data")
    text = settings_text(
        f"disk-{number}", ip, hall=hall, platform=platform, data_folder=data, seeds=seeds
    )
    return Daemon(f"disk-{number}", "disk", folder, ip, text)
