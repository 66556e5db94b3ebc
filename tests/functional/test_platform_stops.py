"""Entry host addresses for callers, and planned stops of entry hosts, on loopback."""

import asyncio
from pathlib import Path

import pytest

from tests.lib.platform_site import PlatformSite, run_site

pytestmark = pytest.mark.functional


def test_addresses_are_those_of_ready_hosts_with_the_callers_hall_first(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        await site.until(lambda: True)
        addresses: list[str] = []
        for _ in range(40):
            addresses = await site.resolve("entry-0", hall="south")
            if len(addresses) == 2:
                break
            await asyncio.sleep(0.1)
        assert [f"http://{address}" for address in addresses] == [
            site.address("entry-1"),
            site.address("entry-0"),
        ]

    run_site(tmp_path, scenario)


def test_a_planned_stop_fails_no_request_and_removes_the_address_at_once(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        for engine in site.engines:
            engine.faults.pause_s = 0.8
        turn = asyncio.create_task(site.turn(b"long ", at="entry-0"))
        await site.until(lambda: any(engine.runs for engine in site.engines))
        program = site.entry_by_name.pop("entry-0")
        stopping = asyncio.create_task(program.stop())
        await asyncio.sleep(0.4)
        assert await site.ready("entry-0") == 503
        assert await site.resolve("entry-1") == [site.address("entry-1").removeprefix("http://")]
        # Callers that still cache the address are served until it expires.
        late = await site.ask("/act/x", at="entry-0")
        assert late.status == 200
        assert late.headers.get("Connection", "").lower() == "close"
        reply = await turn
        assert (reply.status, reply.is_whole) == (200, True)
        await stopping

    run_site(tmp_path, scenario)


def test_a_planned_stop_waits_for_a_turn_that_outlasts_cached_addresses(tmp_path: Path) -> None:
    """Callers cache addresses for 3 s; this turn takes 4 s of its 5 s limit."""

    async def scenario(site: PlatformSite) -> None:
        for engine in site.engines:
            engine.faults.pause_s = 1.0
        turn = asyncio.create_task(site.turn(b"longer ", at="entry-0"))
        await site.until(lambda: any(engine.runs for engine in site.engines))
        await site.entry_by_name.pop("entry-0").stop()
        reply = await turn
        assert (reply.status, reply.is_whole) == (200, True)

    run_site(tmp_path, scenario)
