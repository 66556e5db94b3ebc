"""Endpoints that stay silent are suspected early; requests fail over where that is allowed."""

import asyncio
import time
from pathlib import Path

import pytest

from bayhinge._internal.decisions.answer_timeouts import SILENCE_OBJECTIVES
from tests.lib.asked_endpoints import keep_one_service, wait_for_called_endpoint
from tests.lib.platform_engine import EngineFaults
from tests.lib.platform_site import PlatformSite, run_site

pytestmark = pytest.mark.functional

LOOK_OBJECTIVE_S = 0.4
CHAT_OBJECTIVE_S = 0.2
REACH_ENDPOINT_S = 6.0
"""A request must reach an endpoint within this time."""


def test_a_lookup_fails_over_from_a_silent_endpoint(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        for service in site.services:
            service.faults = EngineFaults(pause_s=30.0)
        began = asyncio.get_running_loop().time()
        asking = asyncio.create_task(site.ask("/look/x", method="GET"))
        await wait_for_called_endpoint(site.services, REACH_ENDPOINT_S)
        assert (await asking).status == 200
        took_s = asyncio.get_running_loop().time() - began
        assert took_s < SILENCE_OBJECTIVES * LOOK_OBJECTIVE_S + 0.3

    run_site(tmp_path, scenario)


def test_a_slow_endpoint_without_an_alternative_is_waited_for(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        await keep_one_service(site)
        site.services[0].faults = EngineFaults(pause_s=1.2)
        assert (await site.ask("/look/x", method="GET")).status == 200
        assert len(site.services[0].runs) == 1

    run_site(tmp_path, scenario)


def test_a_silent_endpoint_is_avoided_while_an_at_most_once_request_waits_there(
    tmp_path: Path,
) -> None:
    async def scenario(site: PlatformSite) -> None:
        for engine in site.engines:
            engine.faults = EngineFaults(pause_s=30.0)
        waiting = asyncio.create_task(site.turn(b"hello"))
        silent_engine = await wait_for_called_endpoint(site.engines, REACH_ENDPOINT_S)
        await asyncio.sleep(SILENCE_OBJECTIVES * CHAT_OBJECTIVE_S + 0.1)
        for engine in site.engines:
            if engine is not silent_engine:
                engine.faults = EngineFaults(pause_s=0.1)
        # By load alone, the silent engine would get most of these.
        replies = await asyncio.gather(
            *(site.turn(b"x", program=f"p{number}") for number in range(6))
        )
        assert [reply.status for reply in replies] == [200] * 6
        assert len(silent_engine.runs) == 1
        assert not waiting.done(), "it runs once, and may still be answered"
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)

    run_site(tmp_path, scenario)


def test_a_stalled_host_suspects_no_endpoint(tmp_path: Path) -> None:
    """The whole process stalls, so the answers arrive right after the stall."""

    async def scenario(site: PlatformSite) -> None:
        for service in site.services:
            service.faults = EngineFaults(pause_s=0.02)
        gateway = site.entry_by_name["entry-0"]._gateway
        for _ in range(3):
            assert (await site.ask("/look/x", method="GET")).status == 200
        bound_s = SILENCE_OBJECTIVES * LOOK_OBJECTIVE_S
        asking = [asyncio.create_task(site.ask("/look/x", method="GET")) for _ in range(6)]
        await asyncio.sleep(0.01)
        asyncio.get_running_loop().call_soon(time.sleep, bound_s + 0.1)
        assert [reply.status for reply in await asyncio.gather(*asking)] == [200] * 6
        assert gateway.requests.send_counts.suspected == 0
        assert all(state.failures == 0 for state in gateway.endpoint_table.all())

    run_site(tmp_path, scenario)
