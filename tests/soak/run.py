"""``python -m tests.soak.run --seeds 50 --seconds 20``: runs seeded soaks, prints violations."""

import argparse
import asyncio
import random
import sys
import tempfile
import time
from collections.abc import Collection
from pathlib import Path

import aiohttp
import attrs

from tests.lib.platform_data import CONFIGURATION
from tests.lib.platform_store import PlatformStoreServer
from tests.soak.accounts import BOUNDS, Accounts
from tests.soak.callers import Callers
from tests.soak.daemons import START_TIMEOUT_S, Daemon, disk_daemon, entry_daemon
from tests.soak.endpoint_faults import EndpointFaults
from tests.soak.endpoints import Decoy, Endpoint, start_endpoint
from tests.soak.fatal import FATAL, FatalRequests
from tests.soak.faults import Faults
from tests.soak.ledger import Ledger
from tests.soak.plans import PLAN_BY_KIND, Fault
from tests.soak.proxy import Proxy, ProxyFault

HALLS = ("north", "south", "north")
SERVICES = ("llm", "app")
CALLERS = 6
RECOVERY_S = 6.0
"""Every host must serve again within this time after the last fault."""


HURT_SENDER_SHARE = 0.3
"""Share of the sends under which an endpoint ends whose hosts are hurt."""


@attrs.define
class Result:
    """Outcome of one soak.

    Attributes:
        problems: invariants that were violated.
        story: the injected faults, with seconds since the start.
        checks: how many configuration versions were checked on the hosts.
        ended: how many endpoints ended under fatal requests.
        folder: holds the logs of the hosts.
    """

    seed: int
    problems: list[str]
    fault_log: list[str]
    requests: int
    served_turns: int
    checks: int
    ended: int
    folder: Path


class Soak:
    """One site of real processes, with faults drawn from one seed."""

    def __init__(
        self,
        seed: int,
        seconds: float,
        folder: Path,
        net: str,
        kind: str,
        also: Collection[str] = (),
    ) -> None:
        self._seed = seed
        self._plan = PLAN_BY_KIND[kind]
        self._seconds = seconds
        self._folder = folder
        self._rng = random.Random(seed)
        self._store = PlatformStoreServer()
        self._size = self._plan.size(seed)
        self._endpoints: list[Endpoint] = []
        self._decoy = Decoy()
        self._net = net
        self._extra_faults = also
        self._accounts = Accounts(self._rng) if self._plan.has_accounts else None
        self._endpoint_faults = EndpointFaults(
            self._rng, self._store, self._endpoints, self._decoy, self._record
        )
        self._faults: Faults | None = None
        self._ledger = Ledger()
        self._fatal_requests = FatalRequests(self._endpoint_faults.end, self._hurt_sender)
        self._store_proxies: list[Proxy] = []
        self._entries: list[Daemon] = []
        self._disks: list[Daemon] = []
        self._fault_log: list[str] = []
        self._checks = 0
        self._started_s = time.monotonic()
        self._record(f"started at {time.time():.2f} (timestamps in the hosts' logs)")

    async def play(self) -> Result:
        ledger = self._ledger
        callers = Callers(self._entries, ledger, self._rng, self._accounts)
        callers.sends_fatal = self._plan.has_fatal_requests
        callers.goes_on_from_others = self._plan.goes_on_from_others
        try:
            await self._start()
            for endpoint in self._endpoints:
                endpoint.engine.takes_fatal = self._fatal_requests.take
            tasks = [
                asyncio.create_task(callers.play(f"p{number}", stays=number % 2 == 1))
                for number in range(CALLERS)
            ]
            ledger.problems += await self._inject_faults()
            ledger.problems += await self._check_recovery(callers)
            if self._plan.goes_on_from_others:
                ledger.problems += await callers.go_on_from_kept_turns()
            callers.is_stopping = True
            await asyncio.gather(*tasks)
            await self._fatal_requests.wait()
            problems = ledger.check([endpoint.engine for endpoint in self._endpoints])
            if self._accounts is not None:
                runs = [run for endpoint in self._endpoints for run in endpoint.engine.runs]
                logs = sorted(self._folder.glob("*.log"))
                problems += self._accounts.check(ledger.sent_by_attempt, runs, logs)
            problems += [
                f"request sent to an invalid entry: {what}" for what in self._decoy.requests
            ]
            problems += self._fatal_requests.check(list(ledger.sent_by_attempt.values()))
            problems += self._unexpected_exits()
        finally:
            await self._end()
        return Result(
            self._seed,
            problems,
            self._fault_log,
            len(ledger.sent_by_attempt),
            callers.served_turns,
            self._checks,
            self._fatal_requests.ended,
            self._folder,
        )

    async def _start(self) -> None:
        await self._store.start()
        await self._decoy.start()
        for service in SERVICES:
            for number in range(1, self._plan.endpoints_per_service + 1):
                endpoint = await start_endpoint(f"i-{service}-{number}", service)
                self._endpoints.append(endpoint)
                self._store.put("servers", endpoint.engine.instance, endpoint.entry())
        accounts = {} if self._accounts is None else {"tenants": self._accounts.tenants()}
        self._store.put("config", "main", CONFIGURATION | accounts)
        seeds = f'["{self._net}.10:8144","{self._net}.11:8144"]'
        entries, disks = self._size
        for number in range(disks):
            address = await self._store_proxy()
            hall = HALLS[number % len(HALLS)]
            self._disks.append(disk_daemon(self._folder, self._net, number, address, hall, seeds))
        for number in range(entries):
            address = await self._store_proxy()
            hall = HALLS[number % len(HALLS)]
            self._entries.append(
                entry_daemon(
                    self._folder,
                    self._net,
                    number,
                    address,
                    hall,
                    seeds,
                    BOUNDS if self._accounts else None,
                )
            )
        for daemon in (*self._disks, *self._entries):
            await daemon.start(first_start=True)
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._all_ready():  # noqa: ASYNC110 - polls real processes
                await asyncio.sleep(0.1)

    async def _store_proxy(self) -> str:
        proxy = Proxy("127.0.0.1", self._store.port)
        await proxy.start()
        self._store_proxies.append(proxy)
        return f"127.0.0.1:{proxy.port}"

    async def _all_ready(self) -> bool:
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1)) as session:
            for entry in self._entries:
                try:
                    async with session.get(f"http://{entry.ip}:8150/-/readyz") as response:
                        if response.status != 200:
                            return False
                except (aiohttp.ClientError, TimeoutError):
                    return False
        return True

    async def _inject_faults(self) -> list[str]:
        faults = self._faults = Faults(
            self._rng,
            self._store,
            self._store_proxies,
            self._endpoints,
            self._entries,
            self._disks,
            self._record,
            accounts=self._accounts,
        )
        endpoint_faults = self._endpoint_faults
        deadline_s = time.monotonic() + self._seconds
        series = self._plan.series(self._rng, faults, endpoint_faults)

        # A soak against a mutant must include the faults that its guard protects against.
        others = [one for one in faults.series() + endpoint_faults.series() if one not in series]
        series += [one for one in others if one.__name__ in self._extra_faults]

        async def repeat(fault: Fault) -> None:
            while time.monotonic() < deadline_s:
                await asyncio.sleep(self._rng.uniform(0.1, 1.5))
                await fault()

        await asyncio.gather(*(repeat(fault) for fault in series))
        self._faults = None
        self._checks = faults.checks
        return faults.problems

    async def _hurt_sender(self, body: bytes) -> None:
        """Hurts a host that has sent a request, or none."""
        hosts = [
            sent.at
            for sent in self._ledger.sent_by_attempt.values()
            if sent.body in body and not sent.is_ended and sent.body.startswith(FATAL)
        ]
        if self._faults is not None and hosts and self._rng.random() < HURT_SENDER_SHARE:
            await self._faults.hurt_sender(hosts[-1])

    async def _check_recovery(self, callers: Callers) -> list[str]:
        """Checks that every host gets ready and turns are served after the last fault."""
        for proxy in self._proxies():
            proxy.set_fault(ProxyFault.NONE)
        before = callers.served_turns
        deadline_s = time.monotonic() + RECOVERY_S
        while time.monotonic() < deadline_s:
            if await self._all_ready() and callers.served_turns > before + CALLERS:
                return []
            await asyncio.sleep(0.2)
        return [f"not recovered {RECOVERY_S} s after the last fault"]

    def _proxies(self) -> list[Proxy]:
        return [*self._store_proxies, *(endpoint.proxy for endpoint in self._endpoints)]

    def _unexpected_exits(self) -> list[str]:
        """Returns the processes that exited without being stopped."""
        return [
            f"{daemon.name} exited unexpectedly with {daemon.process.returncode}"
            for daemon in (*self._disks, *self._entries)
            if daemon.process is not None and daemon.process.returncode is not None
        ]

    def _record(self, what: str) -> None:
        self._fault_log.append(f"{time.monotonic() - self._started_s:7.2f} {what}")

    async def _end(self) -> None:
        for daemon in (*self._entries, *self._disks):
            if daemon.process is not None and daemon.process.returncode is None:
                await daemon.kill()
        for proxy in self._proxies():
            await proxy.stop()
        for endpoint in self._endpoints:
            await endpoint.engine.stop()
        await self._decoy.stop()
        await self._store.stop()


def play_seed(
    seed: int,
    seconds: float,
    folder: Path,
    net: str = "127.77.1",
    kind: str = "overlapping",
    also: Collection[str] = (),
) -> Result:
    """Runs one soak in the given folder; ``also`` names faults to inject besides the drawn ones."""
    return asyncio.run(Soak(seed, seconds, folder, net, kind, also).play())


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10, help="number of seeds")
    parser.add_argument("--first", type=int, default=0, help="the first seed; 0 for a random one")
    parser.add_argument(
        "--seconds", type=float, default=20.0, help="duration of fault injection in a soak"
    )
    parser.add_argument(
        "--net", default="127.77.1", help="first three octets of the hosts' loopback addresses"
    )
    parser.add_argument(
        "--kind", choices=PLAN_BY_KIND, default="overlapping", help="the fault plan"
    )
    parser.add_argument(
        "--also", nargs="*", default=[], help="faults to inject besides the drawn ones"
    )
    options = parser.parse_args()
    first = options.first or random.SystemRandom().randrange(1, 1_000_000)
    failed = 0
    for seed in range(first, first + options.seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result = play_seed(seed, options.seconds, folder, options.net, options.kind, options.also)
        verdict = "ok" if not result.problems else f"{len(result.problems)} PROBLEMS"
        summary = f"{result.requests} requests, {result.served_turns} turns, {result.checks} checks"
        ended = f", {result.ended} endpoints ended" if result.ended else ""
        print(f"seed {seed}: {summary} of versions{ended}, {verdict}")
        if result.problems:
            failed += 1
            print(*result.problems[:20], *result.fault_log, f"logs: {result.folder}", sep="\n  ")
        sys.stdout.flush()
    print(f"{options.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
