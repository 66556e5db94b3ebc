"""Guards against late changes and failed requests shortly after a silent outage of the store."""

import asyncio
import random
from pathlib import Path

import attrs
import orjson
import pytest

from tests.lib.platform_data import CONFIGURATION
from tests.lib.platform_engine import PlatformEngine
from tests.lib.platform_site import PlatformSite

pytestmark = pytest.mark.functional

APPLY_S = 2.0
"""A configuration must be in force within this time after the store accepted it."""

RECONNECT_S = 3.0
"""A host must reach the store again within this time after an outage."""

DRAIN_S = 2.0
"""A draining endpoint accepts requests for this time after its entry says so."""

STOP_SENDING_S = 1.0
"""A draining endpoint must get no new requests after this time, as there are others."""

ENDPOINTS_PER_SERVICE = 7
"""Makes a share of 0.15 at least one endpoint."""

REQUEST_INTERVAL_S = 0.05


@attrs.frozen
class OutageSchedule:
    """Times in seconds from the start of traffic, and the share of endpoints that is replaced."""

    outage_at_s: float = 6.0
    outage_s: float = 3.3
    first_change_at_s: float = 13.0
    replace_at_s: float = 15.0
    share: float = 0.15
    second_change_at_s: float = 17.0


def draw_schedule(seed: int) -> OutageSchedule:
    """Draws a variation of the default; a change may follow right after the outage."""
    draw = random.Random(seed)
    outage_at_s, outage_s = draw.uniform(0.5, 6.0), draw.uniform(1.0, 8.0)
    first_change_at_s = outage_at_s + outage_s + draw.choice((0.05, 1.0, 3.7))
    replace_at_s = first_change_at_s + draw.uniform(0.0, 2.0)
    second_change_at_s = replace_at_s + draw.uniform(0.0, 2.0)
    share = draw.uniform(0.15, 0.5)
    return OutageSchedule(
        outage_at_s, outage_s, first_change_at_s, replace_at_s, share, second_change_at_s
    )


@attrs.define
class ScheduleRun:
    """One schedule on one site."""

    site: PlatformSite
    schedule: OutageSchedule
    began_s: float
    failures: list[str] = attrs.field(factory=list)
    served: int = 0

    async def sleep_until(self, time_s: float) -> None:
        wait_s = self.began_s + time_s - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, wait_s))

    async def interrupt_store(self) -> None:
        await self.sleep_until(self.schedule.outage_at_s)
        self.site.store.stop_answering()
        await asyncio.sleep(self.schedule.outage_s)
        self.site.store.resume_answering()

    async def add_route(self, version: int, at_s: float) -> None:
        """Adds a route and checks that each host serves it in time."""
        await self.sleep_until(at_s)
        configuration = orjson.loads(orjson.dumps(CONFIGURATION)) | {"version": version}
        lookup_route = next(route for route in configuration["routes"] if route["name"] == "r-look")
        for number in range(8, version + 1):
            new = {"name": f"r-{number}", "path_prefix": f"/new-{number}/"}
            configuration["routes"].append(lookup_route | new)
        self.site.store.put("config", "main", configuration)
        reconnected_s = self.schedule.outage_at_s + self.schedule.outage_s + RECONNECT_S
        await self.sleep_until(max(at_s, reconnected_s) + APPLY_S)
        for entry in self.site.entry_by_name:
            reply = await self.site.ask(f"/new-{version}/x", at=entry)
            if reply.status != 200:
                self.failures.append(f"{entry}: version {version} is not in force")

    async def replace_endpoints(self, endpoints: list[PlatformEngine]) -> None:
        """Replaces a share of a service's endpoints one by one."""
        await self.sleep_until(self.schedule.replace_at_s)
        count = max(1, round(self.schedule.share * len(endpoints)))
        for number, old in enumerate(endpoints[:count]):
            new = PlatformEngine(f"{old.instance}-new", old.service)
            await new.start()
            endpoints.append(new)
            self.site.store.put("servers", new.instance, new.entry())
            await asyncio.sleep(0.3)
            self.site.store.put("servers", old.instance, old.entry("draining"))
            await asyncio.sleep(STOP_SENDING_S)
            ran = len(old.runs)
            await asyncio.sleep(DRAIN_S - STOP_SENDING_S if number == 0 else 0.3)
            self.site.store.remove("servers", old.instance)
            await asyncio.sleep(0.5)
            if len(old.runs) != ran:
                self.failures.append(f"{old.instance} is draining and still gets requests")
            await old.stop()

    async def send_requests(self, until_s: float) -> None:
        """Sends both kinds of request to each host in turn."""
        loop = asyncio.get_running_loop()
        entries = list(self.site.entry_by_name)
        sent = 0
        while loop.time() < self.began_s + until_s:
            sent += 1
            path = "/chat/x" if sent % 2 else "/look/x"
            reply = await self.site.ask(path, b"hello", at=entries[sent // 2 % len(entries)])
            if reply.status != 200 or not reply.is_whole:
                time_s = loop.time() - self.began_s
                self.failures.append(f"{path} at {time_s:.2f} s: {reply.status}")
            self.served += 1
            await asyncio.sleep(REQUEST_INTERVAL_S)


async def run_schedule(folder: Path, schedule: OutageSchedule) -> ScheduleRun:
    site = PlatformSite(folder)
    for endpoints in (site.engines, site.services):
        service = endpoints[0].service
        for number in range(len(endpoints) + 1, ENDPOINTS_PER_SERVICE + 1):
            endpoints.append(PlatformEngine(f"i-{service}-{number}", service))
    try:
        await site.start()
        result = ScheduleRun(site, schedule, asyncio.get_running_loop().time())
        async with asyncio.timeout(40):
            await asyncio.gather(
                result.interrupt_store(),
                result.add_route(8, schedule.first_change_at_s),
                result.replace_endpoints(site.engines),
                result.replace_endpoints(site.services),
                result.add_route(9, schedule.second_change_at_s),
                result.send_requests(schedule.second_change_at_s + 4.0),
            )
        return result
    finally:
        await site.stop()


def test_changes_after_an_outage_are_in_force_and_no_request_fails(tmp_path: Path) -> None:
    schedules = [OutageSchedule(), *(draw_schedule(seed) for seed in range(1, 6))]

    async def main() -> list[ScheduleRun]:
        folders = [tmp_path / str(number) for number in range(len(schedules))]
        for folder in folders:
            folder.mkdir()
        return await asyncio.gather(
            *(
                run_schedule(folder, schedule)
                for folder, schedule in zip(folders, schedules, strict=True)
            )
        )

    results = asyncio.run(main())
    assert [(result.schedule, result.failures) for result in results if result.failures] == []
    # A quarter of the requests of one run on an idle machine.
    assert min(result.served for result in results) > 20
