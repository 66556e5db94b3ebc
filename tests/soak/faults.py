"""Faults of hosts and of the store, which overlap within what a site must tolerate."""

import asyncio
import random
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import aiohttp
import attrs

from tests.lib.platform_data import CONFIGURATION
from tests.lib.platform_store import PlatformStoreServer
from tests.soak.accounts import Accounts
from tests.soak.daemons import Daemon
from tests.soak.endpoints import Endpoint
from tests.soak.proxy import Proxy, ProxyFault

CATCH_UP_S = 2.5
"""Time for a disk host to catch up after its return; no other is disturbed until then."""

FULL_DISK_BYTES = 1

CONTACT_DELAY_S = 3.0
"""Hosts are in contact with the store so long after its last outage."""

CHECK_TIMEOUT_S = 8.0
"""A check of the configuration is skipped if outages of the store last longer."""

APPLY_S = 2.0
"""A version must be in force so long after it was written to the store."""

SHORT_SILENCE_S = (0.05, 0.6)
"""Shorter than a watch's pause of 0.2 to 0.8 s after a change, so that it may go unnoticed."""

MAX_CHANGE_DELAY_S = 0.5
"""Largest delay of a change after a short silence."""

SEND_MOMENTS_S = (0.0, 0.0, 0.02, 0.1, 0.3, 1.0)
"""Moments of a send, from its arrival at the endpoint on, at which its host is hurt."""

METRICS_PORT = 9464
VERSION_LINE = "bayhinge_configuration_version "


@attrs.define
class Faults:
    """Injects faults of hosts and of the store; each method is one kind."""

    rng: random.Random
    store: PlatformStoreServer
    store_proxies: list[Proxy]
    endpoints: list[Endpoint]
    entries: list[Daemon]
    disks: list[Daemon]
    report: Callable[[str], None]
    problems: list[str] = attrs.field(factory=list)
    active_store_faults: int = 0
    store_recovered_s: float = 0.0
    version: int = CONFIGURATION["version"]
    accounts: Accounts | None = None
    checks: int = 0
    store_lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    disk_lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    entry_lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    def series(self) -> list[Callable[[], Awaitable[None]]]:
        """Returns the kinds of faults; the caller repeats each of them."""
        return [
            self.trouble_store,
            self.change_behind_outage,
            self.change_in_series,
            self.reload_settings,
            self.hurt_disk,
            self.hurt_entry,
            self.stop_entry,
            self.lose_store_answers,
            self.silence_connections,
        ]

    async def trouble_store(self) -> None:
        """Disturbs the connections of one host, or of all, to the platform's store."""
        kinds = [
            ProxyFault.DELAY,
            ProxyFault.RESET,
            ProxyFault.REFUSE,
            ProxyFault.SILENT,
            ProxyFault.NO_ANSWERS,
        ]
        fault = self.rng.choice(kinds)
        proxies = self.rng.choice([self.store_proxies, [self.rng.choice(self.store_proxies)]])
        self.report(f"store {fault} for {len(proxies)} host(s)")
        async with self._store_disturbed():
            for proxy in proxies:
                proxy.set_fault(fault)
            await asyncio.sleep(self.rng.uniform(0.5, 4.0))
            for proxy in proxies:
                proxy.set_fault(ProxyFault.NONE)

    @asynccontextmanager
    async def _store_disturbed(self) -> AsyncIterator[None]:
        """Counts disturbances of the store, and records when the last one ended."""
        self.active_store_faults += 1
        yield
        self.active_store_faults -= 1
        self.store_recovered_s = asyncio.get_running_loop().time()

    async def change_behind_outage(self) -> None:
        """The store stops answering for a while; a change follows at once."""
        await self._change_behind((0.3, 9.0), 0.0)

    async def change_behind_short_silence(self) -> None:
        """The store stops answering within the pause of some watches; a change follows soon."""
        await self._change_behind(SHORT_SILENCE_S, MAX_CHANGE_DELAY_S)

    async def _change_behind(self, silence_s: tuple[float, float], max_delay_s: float) -> None:
        async with self.store_lock:
            outage_s = self.rng.uniform(*silence_s)
            self.report(f"store away for {outage_s:.2f} s")
            async with self._store_disturbed():
                self.store.stop_answering()
                await asyncio.sleep(outage_s)
                self.store.resume_answering()
            if max_delay_s:
                await asyncio.sleep(self.rng.uniform(0.0, max_delay_s))
            self._put_next_version()
            self.report(f"version {self.version}")
            await self._check_configuration(self.version)

    def _put_next_version(self) -> None:
        self.version += 1
        accounts = {} if self.accounts is None else {"tenants": self.accounts.tenants()}
        self.store.put("config", "main", CONFIGURATION | {"version": self.version} | accounts)

    async def take_key_away(self) -> None:
        """Revokes a key, at times while the store does not answer."""
        assert self.accounts is not None
        await asyncio.sleep(self.rng.uniform(0.0, 1.5))
        if self.accounts.revoke_one() is not None:
            self._put_next_version()
            self.report(f"a key is taken away with version {self.version}")

    async def change_limit(self) -> None:
        """Changes an account's limit."""
        assert self.accounts is not None
        self.accounts.change_limit()
        self._put_next_version()
        self.report(f"another limit with version {self.version}")
        await asyncio.sleep(self.rng.uniform(2.0, 5.0))

    async def change_in_series(self) -> None:
        """Writes versions faster than they come into force."""
        async with self.store_lock:
            for _ in range(self.rng.randint(2, 6)):
                self._put_next_version()
                await asyncio.sleep(self.rng.choice((0.0, 0.05, 0.5)))
            version = self.version
            self.report(f"a series of versions up to {version}")
            await asyncio.sleep(APPLY_S)
            # Concurrent changes of keys and limits write later versions, which had less time.
            await self._check_configuration(version)

    async def reload_settings(self) -> None:
        """Sends SIGHUP to some hosts, which then reload their settings."""
        hosts = [host for host in (*self.entries, *self.disks) if not host.is_disrupted]
        chosen = [host for host in hosts if self.rng.random() < 0.5]
        self.report(f"{len(chosen)} hosts reload their settings")
        for host in chosen:
            host.send(signal.SIGHUP)

    async def _check_configuration(self, version: int) -> None:
        """Checks that every host in contact with the store applies the version."""
        loop = asyncio.get_running_loop()
        start_counts = {
            entry.name: entry.start_count for entry in self.entries if not entry.is_disrupted
        }
        deadline_s = loop.time() + CHECK_TIMEOUT_S
        while self.active_store_faults or loop.time() < self.store_recovered_s + CONTACT_DELAY_S:
            if loop.time() > deadline_s:
                return
            await asyncio.sleep(0.05)
            start_counts = {
                entry.name: entry.start_count
                for entry in self.entries
                if not entry.is_disrupted and start_counts.get(entry.name) == entry.start_count
            }
        self.checks += 1
        for entry in self.entries:
            if entry.name not in start_counts:
                continue
            found = await _version_in_force(entry)
            is_healthy = not entry.is_disrupted and entry.start_count == start_counts[entry.name]
            if found < version and is_healthy and not self.active_store_faults:
                self.problems.append(f"{entry.name}: version {found}, {version} should be in force")

    async def lose_store_answers(self) -> None:
        """Loses the answers of writes, or drops the store's history."""
        if self.rng.random() < 0.5:
            self.report("store loses answers")
            async with self._store_disturbed():
                self.store.faults.loses_answers = True
                await asyncio.sleep(self.rng.uniform(0.5, 2.0))
                self.store.faults.loses_answers = False
        else:
            self.report("store forgets its history")
            async with self._store_disturbed():
                self.store.compact_history()

    async def silence_connections(self) -> None:
        """Open connections to the store and to endpoints pass no more data; new ones work."""
        proxies = [*self.store_proxies, *(endpoint.proxy for endpoint in self.endpoints)]
        chosen = [proxy for proxy in proxies if self.rng.random() < 0.6]
        self.report(f"open connections of {len(chosen)} of {len(proxies)} proxies fall silent")
        async with self._store_disturbed():
            for proxy in chosen:
                proxy.silence_open_connections()
        await asyncio.sleep(self.rng.uniform(1.0, 3.0))

    async def hurt_disk(self) -> None:
        """Kills, freezes or wipes one disk host, or makes it refuse writes; one at a time."""
        async with self.disk_lock:
            disk = self.rng.choice(self.disks)
            kind = self.rng.choice(["kill", "freeze", "wipe", "full"])
            self.report(f"{disk.name} {kind}")
            disk.is_disrupted = True
            if kind == "freeze":
                disk.send(signal.SIGSTOP)
                await asyncio.sleep(self.rng.uniform(0.3, 3.0))
                disk.send(signal.SIGCONT)
            elif kind == "full":
                disk.limit_files(FULL_DISK_BYTES)
                await asyncio.sleep(self.rng.uniform(0.3, 3.0))
                disk.limit_files(None)
            else:
                await disk.kill()
                if kind == "wipe":
                    disk.wipe()
                await asyncio.sleep(self.rng.uniform(0.0, 2.0))
                await disk.start()
            await asyncio.sleep(CATCH_UP_S)
            if kind == "wipe":
                await self._wait_for_stable_store()
            disk.is_disrupted = False

    async def restart_all_disks(self) -> None:
        """Kills all disk hosts at one moment; they are back within a second."""
        async with self.disk_lock:
            await self._wait_for_stable_store()
            self.report("all disks killed")
            for disk in self.disks:
                disk.is_disrupted = True
            await asyncio.gather(*(disk.kill() for disk in self.disks))
            await asyncio.sleep(self.rng.uniform(0.0, 0.5))
            await asyncio.gather(*(disk.start() for disk in self.disks))
            await asyncio.sleep(CATCH_UP_S)
            for disk in self.disks:
                disk.is_disrupted = False

    async def _wait_for_stable_store(self) -> None:
        """Waits until the store has been undisturbed for as long as a disk needs to catch up.

        An empty disk can't join the set without the store, and only one may be lost at a time.
        """
        loop = asyncio.get_running_loop()
        while self.active_store_faults or loop.time() < self.store_recovered_s + CATCH_UP_S:  # noqa: ASYNC110
            await asyncio.sleep(0.1)

    async def hurt_entry(self) -> None:
        """Kills or freezes one entry host."""
        async with self.entry_lock:
            await self._hurt(self.rng.choice(self.entries))

    async def hurt_sender(self, name: str) -> None:
        """Kills or freezes an entry host at some moment of a send, if others are well."""
        await asyncio.sleep(self.rng.choice(SEND_MOMENTS_S))
        entry = next(each for each in self.entries if each.name == name)
        if self.entry_lock.locked() or entry.is_disrupted or entry.is_leaving:
            return
        async with self.entry_lock:
            await self._hurt(entry)

    async def _hurt(self, entry: Daemon) -> None:
        kind = self.rng.choice(["kill", "freeze"])
        self.report(f"{entry.name} {kind}")
        entry.is_disrupted = True
        if kind == "freeze":
            entry.send(signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.3, 2.5))
            entry.send(signal.SIGCONT)
        else:
            await entry.kill()
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))
            await entry.start()
        # On a busy machine a start takes longer than the pause below.
        await entry.wait_until_listening()
        await asyncio.sleep(1.5)
        entry.is_disrupted = False

    async def stop_entry(self) -> None:
        """Stops an entry host as planned; requests that it has read must be answered."""
        async with self.entry_lock:
            entry = self.rng.choice(self.entries)
            self.report(f"{entry.name} planned stop")
            stopping = asyncio.ensure_future(entry.stop())
            # Callers see within a second that it is leaving; until then all of them use it, and
            # some do so until the process has exited.
            await asyncio.sleep(1.0)
            entry.is_leaving = True
            await stopping
            entry.is_disrupted = True
            entry.is_leaving = False
            await entry.start()
            await entry.wait_until_listening()
            await asyncio.sleep(1.5)
            entry.is_disrupted = False


async def _version_in_force(entry: Daemon) -> int:
    """Returns the configuration version in a host's metrics; 0 if there is none."""
    timeout = aiohttp.ClientTimeout(total=1.0)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(f"http://{entry.ip}:{METRICS_PORT}/metrics") as response,
        ):
            lines = (await response.text()).splitlines()
    except (aiohttp.ClientError, TimeoutError):
        return 0
    found = [line for line in lines if line.startswith(VERSION_LINE)]
    return int(float(found[0].removeprefix(VERSION_LINE))) if found else 0
