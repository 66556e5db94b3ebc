"""Unusual site settings: a hall without hosts, and hosts whose only seed is themselves."""

import asyncio
from pathlib import Path

import pytest

from bayhinge._internal.services.gateway import hall_coordinators
from tests.lib.log_lines import Line, lines_of_type
from tests.lib.platform_engine import PlatformEngine
from tests.lib.platform_site import PlatformSite, run_site

pytestmark = pytest.mark.functional


def test_a_hall_without_hosts_is_logged_once_and_its_endpoints_are_used(
    tmp_path: Path, lines: list[Line], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(hall_coordinators, "EMPTY_HALL_AFTER_S", 1.0)

    async def scenario(site: PlatformSite) -> None:
        # The settings name a hall that has an endpoint and no host; another one has neither.
        remote_endpoint = PlatformEngine("i-far", "app")
        await remote_endpoint.start()
        site.services.append(remote_endpoint)
        site.store.put("servers", "i-far", remote_endpoint.entry() | {"zone": "west"})
        for other in site.services[:2]:
            site.store.remove("servers", other.instance)
        await asyncio.sleep(3.0)
        for entry in site.entry_by_name:
            assert (await site.ask("/act/x", at=entry)).status == 200
        assert len(remote_endpoint.runs) == 2
        assert len(await site.resolve(hall="west")) == 2
        empty = lines_of_type(lines, "hall.without_hosts")
        assert sorted(line["hall"] for line in empty) == ["east", "east", "west", "west"]

    run_site(tmp_path, scenario, halls=("north", "south", "west", "east"))
    assert not lines_of_type(lines, "duty.failed")


def test_a_hall_that_loses_its_hosts_is_logged_and_so_is_their_return(
    tmp_path: Path, lines: list[Line], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(hall_coordinators, "EMPTY_HALL_AFTER_S", 1.0)

    async def scenario(site: PlatformSite) -> None:
        await asyncio.sleep(1.5)
        assert not lines_of_type(lines, "hall.without_hosts")
        await site.crash_entry("entry-1")
        await site.until(lambda: len(lines_of_type(lines, "hall.without_hosts")) == 1, 10.0)
        await site.start_entry("entry-1")
        await site.until(lambda: len(lines_of_type(lines, "hall.has_hosts")) == 1)
        assert lines_of_type(lines, "hall.has_hosts")[0]["hall"] == "south"
        assert (await site.ask("/act/x")).status == 200

    run_site(tmp_path, scenario)


def test_hosts_whose_only_seed_is_themselves_find_each_other_through_the_store(
    tmp_path: Path, lines: list[Line]
) -> None:
    async def scenario(site: PlatformSite) -> None:
        names = [f"entry-{number}" for number in range(2, 5)]

        async def start(name: str) -> None:
            site.seeds = f'["{site.ip(name)}:8144"]'
            await site.start_entry(name)

        await asyncio.gather(*(start(name) for name in names))
        gossips = [site.entry_by_name[name]._gateway.gossip for name in names]
        await site.until(lambda: all(gossip.knows_others() for gossip in gossips), 12.0)
        for name in names:
            assert (await site.ask("/act/x", at=name)).status == 200
        own = lines_of_type(lines, "hosts.seeds_are_this_host")
        assert {line["host"] for line in own} == set(names)

    run_site(tmp_path, scenario, entries=0, disks=0)
    assert not lines_of_type(lines, "duty.failed")
