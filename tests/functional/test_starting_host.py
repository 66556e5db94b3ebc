"""A starting host accepts requests at once; they wait for its initial sync."""

import asyncio
from pathlib import Path

import pytest

from bayhinge._internal.services.gateway.initial_sync import INITIAL_SYNC_WAIT_S
from tests.lib.platform_site import PlatformSite, run_site

pytestmark = pytest.mark.functional


def test_a_turn_sent_during_the_hosts_start_is_served(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        first = await site.turn(b"one ")
        await site.start_entry("entry-2")
        reply = await site.turn(b"two ", first, at="entry-2")
        assert (reply.status, reply.is_whole) == (200, True)

    run_site(tmp_path, scenario)


def test_a_turn_is_served_by_a_host_that_starts_while_the_store_is_down(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        first = await site.turn(b"one ")
        site.store.faults.down = True
        await site.start_entry("entry-2")
        reply = await site.turn(b"two ", first, at="entry-2")
        assert (reply.status, reply.is_whole) == (200, True)

    run_site(tmp_path, scenario)


def test_a_host_without_an_initial_sync_refuses_turns_in_time(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        site.store.faults.silent = True
        for name in list(site.entry_by_name):
            await site.crash_entry(name)
        for name in list(site.disk_by_name):
            await site.stop_disk(name)
        await site.start_entry("entry-0")
        loop = asyncio.get_running_loop()
        began = loop.time()
        reply = await site.turn(b"one ")
        assert reply.status == 503
        assert float(reply.headers["Retry-After"]) > 0
        assert INITIAL_SYNC_WAIT_S - 0.1 <= loop.time() - began < INITIAL_SYNC_WAIT_S + 0.5
        impatient = await site.turn(b"one ", Bayhinge_Deadline_Ms="200")
        assert impatient.status in {429, 503}
        assert loop.time() - began < INITIAL_SYNC_WAIT_S + 1.0

    run_site(tmp_path, scenario)
