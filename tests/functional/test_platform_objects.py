"""Store objects at hosts on loopback: configuration and entries, also during outages."""

import asyncio
from pathlib import Path

import orjson
import pytest

from tests.lib.platform_data import CONFIGURATION
from tests.lib.platform_site import PlatformSite, run_site

pytestmark = pytest.mark.functional


def test_a_new_configuration_is_in_force_everywhere_and_never_reverts(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        newer = orjson.loads(orjson.dumps(CONFIGURATION)) | {"version": 9}
        newer["routes"][3]["path_prefix"] = "/do/"
        site.store.put("config", "main", newer)
        await asyncio.sleep(0.5)
        for entry in site.entry_by_name:
            assert (await site.ask("/do/x", at=entry)).status == 200
            assert (await site.ask("/act/x", at=entry)).status == 404
        site.store.put("config", "main", CONFIGURATION)
        await asyncio.sleep(0.5)
        assert (await site.ask("/do/x")).status == 200

    run_site(tmp_path, scenario)


def test_an_invalid_configuration_changes_nothing(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        invalid = orjson.loads(orjson.dumps(CONFIGURATION)) | {"version": 9}
        invalid["routes"][0]["path_prefix"] = None
        invalid["routes"][3]["path_prefix"] = "/do/"
        site.store.put("config", "main", invalid)
        await asyncio.sleep(0.6)
        for entry in site.entry_by_name:
            assert (await site.ask("/act/x", at=entry)).status == 200
            assert (await site.ask("/do/x", at=entry)).status == 404

    run_site(tmp_path, scenario)


def test_a_host_whose_watch_hangs_receives_updates_from_its_peers(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        # All open watches hang; a host that starts reads the update and passes it on.
        site.store.faults.hangs_watches = True
        await asyncio.sleep(0.1)
        newer = orjson.loads(orjson.dumps(CONFIGURATION)) | {"version": 9}
        newer["routes"][3]["path_prefix"] = "/do/"
        site.store.put("config", "main", newer)
        await site.start_entry("entry-2")
        await asyncio.sleep(1.5)
        for entry in site.entry_by_name:
            assert (await site.ask("/do/x", at=entry)).status == 200

    run_site(tmp_path, scenario)


def test_a_draining_endpoint_gets_no_new_requests(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        first, second = site.services
        site.store.put("servers", first.instance, first.entry("draining"))
        await asyncio.sleep(0.5)
        before = len(first.runs)
        for _ in range(6):
            assert (await site.ask("/act/x")).status == 200
        assert len(first.runs) == before
        site.store.remove("servers", second.instance)
        await asyncio.sleep(2.5)
        reply = await site.ask("/act/x")
        assert reply.status == 503
        assert "Retry-After" in reply.headers

    run_site(tmp_path, scenario)


def test_an_outage_of_the_store_removes_no_host_or_endpoint(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        site.store.faults.down = True
        await asyncio.sleep(3.0)
        for entry in site.entry_by_name:
            assert (await site.turn(b"x", at=entry)).status == 200
            assert (await site.ask("/act/x", at=entry)).status == 200
            assert await site.ready(entry) == 200

    run_site(tmp_path, scenario)


def test_entries_that_are_missing_for_a_second_fail_no_request(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        endpoints = (*site.engines, *site.services)
        for endpoint in endpoints:
            site.store.remove("servers", endpoint.instance)
        for _ in range(10):
            assert (await site.ask("/act/x")).status == 200
            await asyncio.sleep(0.1)
        for endpoint in endpoints:
            site.store.put("servers", endpoint.instance, endpoint.entry())
        await asyncio.sleep(2.0)
        assert (await site.ask("/act/x")).status == 200

    run_site(tmp_path, scenario)


def test_all_hosts_restart_while_the_store_is_down(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        first = await site.turn(b"one ")
        prefixes = {"config/", "servers/"}
        await site.until(
            lambda: all(
                disk._disk.objects.revision_by_prefix.keys() >= prefixes
                for disk in site.disk_by_name.values()
            )
        )
        site.store.faults.down = True
        for name in list(site.entry_by_name):
            await site.crash_entry(name)
        for name in list(site.disk_by_name):
            await site.stop_disk(name)
            await site.start_disk(name, first_start=False)
        for number in range(2):
            await site.start_entry(f"entry-{number}")
        await site.until(lambda: site.is_ready("entry-0"), limit_s=4.0)
        await asyncio.sleep(0.5)
        second = await site.turn(b"two ", first)
        assert (second.status, second.is_whole) == (200, True)
        assert (await site.ask("/act/x")).status == 200

    run_site(tmp_path, scenario)
