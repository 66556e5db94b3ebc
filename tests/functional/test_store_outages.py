"""Guards against late changes after an outage: a watch sent during it is never answered."""

import asyncio
from pathlib import Path

import orjson
import pytest

from tests.lib.platform_data import CONFIGURATION
from tests.lib.platform_site import PlatformSite, run_site

pytestmark = pytest.mark.functional

APPLY_S = 2.0
"""A configuration must be in force within this time after the store accepted it."""

RECONNECT_S = 3.0
"""A host must reach the store again within this time after an outage."""


def put_version(site: PlatformSite, version: int) -> None:
    spec = orjson.loads(orjson.dumps(CONFIGURATION)) | {"version": version}
    site.store.put("config", "main", spec)


def is_everywhere(site: PlatformSite, version: int) -> bool:
    tables = [entry._gateway.configuration.table for entry in site.entry_by_name.values()]
    return all(table is not None and table.version == version for table in tables)


async def restart_all_watches(site: PlatformSite) -> None:
    """Makes a change, so that all watches restart at the same time."""
    put_version(site, 8)
    await site.until(lambda: is_everywhere(site, 8))
    # A watch that returned changes pauses for up to 0.8 s.
    await asyncio.sleep(1.0)


async def seconds_until_everywhere(site: PlatformSite, version: int) -> float:
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    put_version(site, version)
    await site.until(lambda: is_everywhere(site, version), limit_s=12.0)
    return loop.time() - began_s


def test_a_change_right_after_a_long_outage_is_in_force_in_time(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        await restart_all_watches(site)
        site.store.stop_answering()
        followers = [
            entry._gateway.followers_by_prefix["config/"] for entry in site.entry_by_name.values()
        ]
        await site.until(
            lambda: all(follower.health.failing_since_s is not None for follower in followers),
            limit_s=10.0,
        )
        # Both retry within the outage: after at most 0.75 s and the pause of busy watches.
        await asyncio.sleep(1.7)
        site.store.resume_answering()
        assert await seconds_until_everywhere(site, 9) < APPLY_S

    run_site(tmp_path, scenario)


def test_a_change_right_after_an_outage_that_no_watch_noticed_is_in_force_in_time(
    tmp_path: Path,
) -> None:
    async def scenario(site: PlatformSite) -> None:
        await restart_all_watches(site)
        site.store.stop_answering()
        await asyncio.sleep(0.5)
        site.store.resume_answering()
        assert await seconds_until_everywhere(site, 9) < RECONNECT_S

    run_site(tmp_path, scenario)


def test_entries_that_expired_in_an_outage_have_time_to_return_after_it(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        endpoints = (*site.engines, *site.services)
        site.store.stop_answering()
        for endpoint in endpoints:
            site.store.remove("servers", endpoint.instance)
        followers = [
            follower
            for entry in site.entry_by_name.values()
            for follower in entry._gateway.followers_by_prefix.values()
        ]
        await site.until(lambda: any(follower.is_failing for follower in followers), limit_s=10.0)
        await asyncio.sleep(1.0)
        site.store.resume_answering()
        # Running endpoints that reach the store re-register within about two seconds.
        loop = asyncio.get_running_loop()
        until_s = loop.time() + 2.3
        statuses: list[int] = []
        while loop.time() < until_s:
            statuses += [(await site.ask("/act/x", at=name)).status for name in site.entry_by_name]
            await asyncio.sleep(0.05)
        for endpoint in endpoints:
            site.store.put("servers", endpoint.instance, endpoint.entry())
        await asyncio.sleep(1.0)
        statuses += [(await site.ask("/act/x", at=name)).status for name in site.entry_by_name]
        assert set(statuses) == {200}

    run_site(tmp_path, scenario)


def test_a_host_that_starts_in_an_outage_applies_a_later_change_in_time(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        # Disk hosts keep the newest objects and send them to hosts that start.
        await site.until(
            lambda: all(
                disk._disk.objects.revision_by_prefix.keys() >= {"config/", "servers/"}
                for disk in site.disk_by_name.values()
            )
        )
        site.store.stop_answering()
        for name in ("entry-0", "entry-1"):
            await site.crash_entry(name)
        for name in ("entry-0", "entry-1"):
            await site.start_entry(name)
        await site.until(lambda: all(site.is_ready(name) for name in site.entry_by_name))
        # Their first calls time out after a second and are retried within 0.75 s.
        await asyncio.sleep(2.0)
        site.store.resume_answering()
        assert await seconds_until_everywhere(site, 9) < APPLY_S

    run_site(tmp_path, scenario)
