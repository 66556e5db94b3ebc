"""A small deployment on loopback for the cases of the review: programs, store, engines, clients.

The entry and disk programs are child processes, started with the commands of the deploy file. The
store and the engines are the project's own stand-ins, in this process.
"""

import asyncio
import contextlib
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
import attrs
import orjson
from tests.lib.platform_engine import PlatformEngine
from tests.lib.platform_store import PlatformStoreServer

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
TIME_LIMIT_S = 112.0
HOST = "desk.example"
FIRST_PORT = 7380
FRONT_PORT = 8149
HALLS = ("north", "south", "west")
RECOVER_S = 12.0

SETTINGS = """
node_name = "{name}"
role = "{role}"
machine_class = "{machine_class}"
serves = [{serves}]
ip = "{ip}"
zone = "{hall}"
region = "land"
port_range = [{first_port},{last_port}]
seeds = [{seeds}]
bootstrap = {bootstrap}
failure_counted = {counted}
discovery = "platform"
entry = "registry"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","recover","agent","stream","engine","platform"]
{data_dir}
[zones]
north = "land"
south = "land"
west = "land"
[listen]
{listen}
[limits]
cpu_share = 1.0
cores = 1
memory_mb = 160
max_fds = 4100
link_mbps = 1000.0
disk_mb = {disk_mb}
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4.3
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_ms = 250
max_stretch_ms = 5000
recover_s = 12
iteration_ms = 120
retry_after_s = 0
deadline_s = 10
settle_ms = 1000
ttl_max_s = 5
[platform]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""

CONFIGURATION: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r-chat",
            "host": HOST,
            "path_prefix": "/chat/",
            "route_kind": "streaming",
            "timeout_ms": 5000,
            "slo_ms": 200,
            "priority": 0,
            "service": "llm",
            "attempts": 2,
            "retained": True,
            "retention_s": 60.0,
            "sticky": True,
            "gap_slo_ms": 400,
        },
        {
            "name": "r-act",
            "host": HOST,
            "path_prefix": "/act/",
            "route_kind": "non_idempotent",
            "timeout_ms": 6000,
            "slo_ms": 1200,
            "priority": 2,
            "service": "app",
            "attempts": 1,
        },
    ],
    "services": [
        {
            "name": "llm",
            "health_path": "/healthz",
            "max_conns": 370,
            "engine_kind": {"slots": 64, "kv_capacity": 200000, "chunk_tokens": 3},
        },
        {"name": "app", "health_path": "/healthz", "max_conns": 110},
    ],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 100000, "idle_timeout_ms": 15000},
}


@attrs.frozen
class Resolved:
    """A machine's answer to a client that asks where to go; status 0 without one."""

    status: int = 0
    addresses: list[str] = attrs.field(factory=list)
    ttl_s: float = 0.0


@attrs.frozen
class RawReply:
    """What a client received on its connection.

    Attributes:
        status: of the answer, or 0 without one.
        is_whole: the answer was complete.
        was_read: the whole request was sent before the connection ended.
        how: how the connection ended.
    """

    status: int
    is_whole: bool
    was_read: bool = True
    how: str = ""


async def raw_request(address: str, request: bytes, limit_s: float) -> RawReply:
    """Sends one request on a new connection, and reads the answer to its declared length."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
    except (OSError, TimeoutError) as error:
        return RawReply(0, False, False, f"no connection: {error!r}")
    try:
        async with asyncio.timeout(limit_s):
            writer.write(request)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            match = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
            await reader.readexactly(int(match[1]) if match else 0)
            return RawReply(status, True)
    except TimeoutError:
        return RawReply(0, False, True, "the client's deadline")
    except (OSError, asyncio.IncompleteReadError) as error:
        return RawReply(0, False, True, f"closed: {error!r}")
    finally:
        writer.close()


def has_trouble() -> bool:
    """Whether the case's disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The record of a run: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began_s = time.monotonic()

    @property
    def now_s(self) -> float:
        return time.monotonic() - self._began_s

    def add(self, text: str) -> None:
        self._file.write(f"{self.now_s:8.3f} s  {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


class Site:
    """The machines of one run, each with a loopback address of its own."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = _free_net()
        self.store = PlatformStoreServer()
        self.engines = [PlatformEngine(f"i-llm-{number}", "llm") for number in range(2)]
        self.services: list[PlatformEngine] = []
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True),
            timeout=aiohttp.ClientTimeout(total=5.0),
        )
        self._ip_by_name: dict[str, str] = {}
        self._commands = _deploy_commands()
        self._logs = 0

    async def start_standins(self) -> None:
        await self.store.start()
        for engine in (*self.engines, *self.services):
            await engine.start()
            self.store.put("servers", engine.instance, engine.entry())
        self.store.put("config", "main", CONFIGURATION)

    async def stop(self) -> None:
        """Ends everything that was started, and removes the temporary folder."""
        await self.session.close()
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        for engine in (*self.engines, *self.services):
            await engine.stop()
        await self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    # ---- machines ----

    def ip(self, name: str) -> str:
        """Returns a machine's address; each new name gets a new one."""
        return self._ip_by_name.setdefault(name, f"{self.net}.{10 + len(self._ip_by_name)}")

    def data_folder(self, name: str) -> Path:
        return self.folder / f"{name}-data"

    async def start(self, name: str, role: str, hall: str, bootstrap: bool) -> None:
        """Starts a machine's program with the command of the deploy file."""
        self._write_settings(name, role, hall, bootstrap)
        self._logs += 1
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        } | {
            "BAYHINGE_NODE_FILE": str(self.folder / f"{name}.toml"),
            "PYTHONPATH": "target/deps",
        }
        with (self.folder / f"{name}-{self._logs}.log").open("wb") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *self._commands[role], env=environment, stdout=log, stderr=log
            )
        self.record.add(f"start {name} ({role}, bootstrap = {str(bootstrap).lower()})")

    async def kill(self, name: str) -> None:
        """Kills a machine's process."""
        process = self.processes[name]
        process.send_signal(signal.SIGKILL)
        await process.wait()
        self.record.add(f"SIGKILL to {name}")

    def wipe(self, name: str) -> None:
        """Removes a stopped machine's data: its disk is lost."""
        shutil.rmtree(self.data_folder(name))
        self.record.add(f"the disk of {name} is lost")

    def _write_settings(self, name: str, role: str, hall: str, bootstrap: bool) -> None:
        ip = self.ip(name)
        is_disk = role == "disk"
        seeds = ",".join(f'"{self.ip(f"entry-{number}")}:8144"' for number in range(2))
        listen = (
            ""
            if is_disk
            else f'frontend = "{ip}:{FRONT_PORT}"\nready = "{ip}:{FRONT_PORT + 1}"\n'
            f'directory = "{ip}:{FRONT_PORT + 2}"\n'
        )
        text = SETTINGS.format(
            name=name,
            role=role,
            machine_class="storage" if is_disk else "edge",
            serves='"storage"' if is_disk else '"edge","registry","control_plane"',
            ip=ip,
            hall=hall,
            first_port=FIRST_PORT,
            last_port=FIRST_PORT + 15,
            seeds=seeds,
            bootstrap=str(bootstrap).lower(),
            counted=str(is_disk).lower(),
            data_dir=f'data_dir = "{self.data_folder(name)}"' if is_disk else "",
            listen=listen,
            disk_mb=340 if is_disk else 0,
            store=self.store.address,
        )
        (self.folder / f"{name}.toml").write_text(text)

    # ---- what clients and the platform see ----

    async def ready(self, name: str) -> int:
        """Returns the status of a machine's readiness check; 0 without an answer."""
        url = f"http://{self.ip(name)}:{FRONT_PORT + 1}/-/readyz"
        try:
            async with self.session.get(url) as response:
                return response.status
        except (aiohttp.ClientError, TimeoutError):
            return 0

    async def resolve(self, name: str, hall: str) -> "Resolved":
        """Asks a machine where to go."""
        url = (
            f"http://{self.ip(name)}:{FRONT_PORT + 2}/-/resolve?name={HOST}&region=land&zone={hall}"
        )
        try:
            async with self.session.get(url) as response:
                if response.status != 200:
                    return Resolved(response.status)
                found = orjson.loads(await response.read())
                return Resolved(200, found["addresses"], found["ttl_s"])
        except (aiohttp.ClientError, TimeoutError):
            return Resolved()

    async def turn(
        self, address: str, attempt: str, program: str, previous: str | None = None
    ) -> int:
        """Sends one turn; returns the status, or 0 where there was no whole answer."""
        headers = {
            "Host": HOST,
            "Bayhinge-Attempt-Id": attempt,
            "Bayhinge-Deadline-Ms": "4000",
            "Bayhinge-Program-Id": program,
            "Bayhinge-Session-Id": "s",
            "Bayhinge-Program-Deadline-Ms": "20000",
            "Bayhinge-Token-Budget": "10000",
            "Bayhinge-Token-Usage": "100,30",
        }
        if previous is not None:
            headers["Bayhinge-Previous-Turn"] = previous
        try:
            async with self.session.post(
                f"http://{address}/chat/x", data=f"input of {attempt}".encode(), headers=headers
            ) as response:
                await response.read()
                return response.status
        except (aiohttp.ClientError, TimeoutError):
            return 0

    async def until_ready(self, names: list[str], limit_s: float) -> bool:
        """Waits until machines are ready; returns whether they are."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            if all([await self.ready(name) == 200 for name in names]):
                return True
            await asyncio.sleep(0.2)
        return False


def _deploy_commands() -> dict[str, list[str]]:
    with Path("deploy/system.toml").open("rb") as file:
        roles = tomllib.load(file)["roles"]
    return {name: role["run"].split() for name, role in roles.items()}


def _free_net() -> str:
    """Returns the first three numbers of loopback addresses that nobody uses."""
    while True:
        net = f"127.{random.randint(100, 220)}.{random.randint(1, 250)}"
        try:
            with socket.socket() as probe:
                probe.bind((f"{net}.10", FRONT_PORT))
        except OSError:
            continue
        return net


def run_case(scenario: Callable[[Site], Awaitable[int]]) -> None:
    """Runs a case and exits with its result: 0 held, 1 broken, 2 could not run."""

    async def main() -> int:
        record = Record(Path(sys.argv[1]))
        site = Site(record)
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                result = await scenario(site)
        except Exception as error:
            record.add(f"the case could not run: {error!r}")
            result = CANNOT_RUN
        finally:
            for engine in site.engines:
                attempts = " ".join(run.attempt for run in engine.runs)
                record.add(f"{engine.instance} ran {len(engine.runs)}: {attempts}")
            await site.stop()
        text = {HELD: "the rule held", BROKEN: "the rule was broken"}
        record.add(f"result: {text.get(result, 'the case could not run')}")
        record.close()
        return result

    sys.exit(asyncio.run(main()))
