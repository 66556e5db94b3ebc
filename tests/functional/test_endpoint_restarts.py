"""Guards against calls that wait on still open connections to an endpoint's former incarnation."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import orjson
import pytest

from bayhinge._internal.decisions.endpoint_incarnations import CLOCK_SKEW_S
from bayhinge._internal.models.endpoint_entries import EndpointIncarnation
from tests.lib.asked_endpoints import keep_one_service, wait_for_called_endpoint
from tests.lib.log_lines import collected_lines, lines_of_type
from tests.lib.platform_engine import EngineFaults, PlatformEngine
from tests.lib.platform_site import PlatformSite, Reply, run_site

pytestmark = pytest.mark.functional

PROMPT_S = 0.7
"""Time for an update to reach a host and for a request to end or to fail over. Watches pause for up
to 0.2 s after a change, and other hosts receive it some tenths of a second later."""

AFTER_SKEW_S = CLOCK_SKEW_S + 0.15
"""An incarnation that begins this long after an event is recognized as later."""

LONG_PAUSE_S = 30.0


def now_ms() -> int:
    return int(time.time() * 1000)


def announce(site: PlatformSite, endpoint: PlatformEngine) -> None:
    site.store.put("servers", endpoint.instance, endpoint.entry())


async def wait_until_known(site: PlatformSite, endpoint: PlatformEngine) -> None:
    """Waits until every entry host knows an endpoint's newest incarnation and address."""

    def is_known_everywhere() -> bool:
        entries = [
            entry._gateway.endpoint_table.last_entry(endpoint.instance)
            for entry in site.entry_by_name.values()
        ]
        return all(
            entry is not None
            and entry.born_ms == endpoint.born_ms
            and entry.address.endswith(f":{endpoint.port}")
            for entry in entries
        )

    await site.until(is_known_everywhere)


async def announce_incarnations(site: PlatformSite) -> None:
    """Announces an incarnation of every endpoint and waits until all hosts know them."""
    endpoints = [*site.engines, *site.services]
    for endpoint in endpoints:
        endpoint.born_ms = now_ms() - 60_000
        announce(site, endpoint)
    for endpoint in endpoints:
        await wait_until_known(site, endpoint)


async def start_waiting_turn(site: PlatformSite) -> tuple[asyncio.Task[Reply], PlatformEngine]:
    """Returns a turn that waits at an endpoint, and that endpoint."""
    for engine in site.engines:
        engine.faults = EngineFaults(pause_s=LONG_PAUSE_S)
    waiting = asyncio.create_task(site.turn(b"hello", at="entry-0"))
    engine = await wait_for_called_endpoint(site.engines)
    await asyncio.sleep(AFTER_SKEW_S)
    engine.faults = EngineFaults()
    return waiting, engine


async def wait_for_prompt_answer(waiting: asyncio.Task[Reply]) -> Reply:
    """Returns an answer that must arrive within ``PROMPT_S``."""
    finished, _ = await asyncio.wait([waiting], timeout=PROMPT_S)
    assert finished, "it still waits at an ended incarnation"
    return await waiting


async def concurrent_turn_statuses(site: PlatformSite, count: int) -> list[int]:
    """Returns the statuses of concurrent turns, which need all endpoints."""
    for engine in site.engines:
        engine.faults = EngineFaults(pause_s=0.1)
    requests = (
        site.turn(b"x", program=f"p{number}", at=f"entry-{number % 2}") for number in range(count)
    )
    return [reply.status for reply in await asyncio.gather(*requests)]


def assert_may_have_run(reply: Reply) -> None:
    assert reply.status == 502
    assert orjson.loads(reply.body)["error"]["run_state"] == "may_have_run"
    assert "Retry-After" not in reply.headers


def run_with_incarnations(
    tmp_path: Path, scenario: Callable[[PlatformSite], Awaitable[None]]
) -> None:
    async def main(site: PlatformSite) -> None:
        await announce_incarnations(site)
        await scenario(site)

    run_site(tmp_path, main)


def test_a_turn_waiting_at_a_former_incarnation_ends_at_once_and_may_have_run(
    tmp_path: Path,
) -> None:
    async def scenario(site: PlatformSite) -> None:
        waiting, engine = await start_waiting_turn(site)
        await engine.restart(now_ms())
        announce(site, engine)
        assert_may_have_run(await wait_for_prompt_answer(waiting))
        endpoint_table = site.entry_by_name["entry-0"]._gateway.endpoint_table
        assert not endpoint_table.ejected(asyncio.get_running_loop().time()), (
            "the failure belongs to the former incarnation"
        )
        assert await concurrent_turn_statuses(site, 4) == [200] * 4

    run_with_incarnations(tmp_path, scenario)


def test_a_lookup_waiting_at_a_former_incarnation_fails_over_at_once(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        # Opens connections that are older than the restart.
        for service in site.services:
            service.faults = EngineFaults(pause_s=0.1)
        await asyncio.gather(*(site.ask("/look/x", method="GET") for _ in range(4)))
        await asyncio.sleep(AFTER_SKEW_S)
        for service in site.services:
            service.runs.clear()
            service.faults = EngineFaults(pause_s=LONG_PAUSE_S)
        waiting = asyncio.create_task(site.ask("/look/x", method="GET"))
        service = await wait_for_called_endpoint(site.services)
        began_s = asyncio.get_running_loop().time()
        await service.restart(now_ms())
        service.faults = EngineFaults()
        announce(site, service)
        assert (await waiting).status == 200
        # Failover from a silent endpoint would take twice the latency objective.
        assert asyncio.get_running_loop().time() - began_s < PROMPT_S

    run_with_incarnations(tmp_path, scenario)


def test_a_stream_interrupted_by_a_restart_ends_at_once_and_incomplete(
    tmp_path: Path,
) -> None:
    async def scenario(site: PlatformSite) -> None:
        # The connection is older than the restart; its last data is not.
        for engine in site.engines:
            engine.faults = EngineFaults(pause_s=0.1)
        await asyncio.gather(*(site.turn(b"x", program=f"q{number}") for number in range(4)))
        await asyncio.sleep(AFTER_SKEW_S)
        for engine in site.engines:
            engine.runs.clear()
            engine.faults = EngineFaults(silent_after=2)
        waiting = asyncio.create_task(site.turn(b"hello"))
        engine = await wait_for_called_endpoint(site.engines)
        await site.until(lambda: len(engine.runs[0].made) == 2)
        await engine.restart(now_ms())
        engine.faults = EngineFaults()
        announce(site, engine)
        reply = await wait_for_prompt_answer(waiting)
        assert (reply.status, reply.is_whole) == (200, False)
        assert reply.body == b"".join(engine.runs[0].made)

    run_with_incarnations(tmp_path, scenario)


def test_a_lookup_may_be_retried_at_the_new_incarnation(
    tmp_path: Path,
) -> None:
    async def scenario(site: PlatformSite) -> None:
        await keep_one_service(site)
        (service,) = site.services
        assert (await site.ask("/look/x", method="GET")).status == 200
        await asyncio.sleep(AFTER_SKEW_S)
        service.runs.clear()
        service.faults = EngineFaults(pause_s=LONG_PAUSE_S)
        waiting = asyncio.create_task(site.ask("/look/x", method="GET"))
        await wait_for_called_endpoint(site.services)
        await service.restart(now_ms())
        service.faults = EngineFaults()
        announce(site, service)
        assert (await wait_for_prompt_answer(waiting)).status == 200
        assert len(service.runs) == 2

    run_with_incarnations(tmp_path, scenario)


def test_a_request_sent_to_the_new_incarnation_before_its_entry_arrives_continues(
    tmp_path: Path,
) -> None:
    async def scenario(site: PlatformSite) -> None:
        for engine in site.engines:
            await engine.restart(now_ms())
            engine.faults = EngineFaults(pause_s=0.3)
        await asyncio.sleep(AFTER_SKEW_S)
        waiting = asyncio.create_task(site.turn(b"hello"))
        engine = await wait_for_called_endpoint(site.engines)
        for one in site.engines:
            announce(site, one)
        await wait_until_known(site, engine)
        endpoint_table = site.entry_by_name["entry-0"]._gateway.endpoint_table
        state = endpoint_table.find(engine.instance)
        assert state is not None and state.running_here == 1
        reply = await waiting
        assert (reply.status, reply.is_whole) == (200, True)
        assert sum(len(one.runs) for one in site.engines) == 1
        assert state.running_here == 0
        # The recorded turn names the incarnation that ran it.
        places = [
            disk._disk.turns.chain(reply.attempt).run_at for disk in site.disk_by_name.values()
        ]
        assert EndpointIncarnation(engine.instance, engine.born_ms) in places

    run_with_incarnations(tmp_path, scenario)


def test_idle_connections_to_a_former_incarnation_are_not_reused(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        assert (await site.ask("/act/x", b"pay")).status == 200
        service = await wait_for_called_endpoint(site.services)
        await asyncio.sleep(AFTER_SKEW_S)
        await service.restart(now_ms())
        announce(site, service)
        await wait_until_known(site, service)
        site.services.remove(service)
        site.services.insert(0, service)
        await keep_one_service(site)
        assert (
            await wait_for_prompt_answer(asyncio.create_task(site.ask("/act/x", b"pay")))
        ).status == 200
        assert len(service.runs) == 2

    run_with_incarnations(tmp_path, scenario)


def test_a_restart_under_the_same_id_at_another_address(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        waiting, engine = await start_waiting_turn(site)
        await engine.restart(now_ms(), moves=True)
        announce(site, engine)
        assert_may_have_run(await wait_for_prompt_answer(waiting))
        await wait_until_known(site, engine)
        engine.runs.clear()
        assert await concurrent_turn_statuses(site, 8) == [200] * 8
        assert engine.runs

    run_with_incarnations(tmp_path, scenario)


def test_a_restart_under_another_id_at_the_same_address(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        waiting, engine = await start_waiting_turn(site)
        await engine.restart(now_ms())
        former, engine.instance = engine.instance, "i-llm-9"
        announce(site, engine)
        assert_may_have_run(await wait_for_prompt_answer(waiting))
        assert await concurrent_turn_statuses(site, 8) == [200] * 8
        endpoint_tables = [entry._gateway.endpoint_table for entry in site.entry_by_name.values()]
        assert all(endpoint_table.find(former) for endpoint_table in endpoint_tables), (
            "its entry is not removed yet"
        )

    run_with_incarnations(tmp_path, scenario)


def test_a_restart_elsewhere_while_a_new_endpoint_reuses_the_address(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        waiting, engine = await start_waiting_turn(site)
        left_port = engine.port
        await engine.restart(now_ms(), moves=True)
        newcomer = PlatformEngine("i-llm-9", "llm")
        newcomer.port, newcomer.born_ms = left_port, now_ms() + 1
        await newcomer.start()
        site.engines.append(newcomer)
        announce(site, newcomer)
        assert_may_have_run(await wait_for_prompt_answer(waiting))
        announce(site, engine)
        await wait_until_known(site, engine)
        assert await concurrent_turn_statuses(site, 9) == [200] * 9
        assert all(one.runs for one in site.engines)

    run_with_incarnations(tmp_path, scenario)


def test_two_restarts_within_a_heartbeat_and_a_late_entry_of_the_first(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        waiting, engine = await start_waiting_turn(site)
        await engine.restart(now_ms(), moves=True)
        between = engine.entry()
        await engine.restart(now_ms() + 1, moves=True)
        announce(site, engine)
        assert_may_have_run(await wait_for_prompt_answer(waiting))
        await wait_until_known(site, engine)
        with collected_lines() as lines:
            site.store.put("servers", engine.instance, between)
            await site.until(lambda: len(lines_of_type(lines, "endpoint.outdated")) >= 2)
        await wait_until_known(site, engine)
        assert await concurrent_turn_statuses(site, 6) == [200] * 6

    run_with_incarnations(tmp_path, scenario)


def test_a_restart_while_the_store_is_unavailable(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        waiting, engine = await start_waiting_turn(site)
        site.store.stop_answering()
        await asyncio.sleep(0.3)
        await engine.restart(now_ms(), moves=True)
        # No host can know yet; requests that are not tied to it are served elsewhere.
        assert await concurrent_turn_statuses(site, 3) == [200] * 3
        assert not waiting.done()
        site.store.resume_answering()
        announce(site, engine)
        await asyncio.wait([waiting], timeout=2.5)
        assert waiting.done(), "it still waits at an ended incarnation"
        assert_may_have_run(await waiting)
        await wait_until_known(site, engine)
        engine.runs.clear()
        assert await concurrent_turn_statuses(site, 6) == [200] * 6
        assert engine.runs

    run_with_incarnations(tmp_path, scenario)


def test_a_restart_logs_how_many_runs_it_ended(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        waiting, engine = await start_waiting_turn(site)
        former_ms = engine.born_ms
        await engine.restart(now_ms())
        with collected_lines() as lines:
            announce(site, engine)
            await wait_for_prompt_answer(waiting)
        restarts = lines_of_type(lines, "endpoint.restarted")
        assert {line["endpoint"] for line in restarts} == {engine.instance}
        assert {line["former_born_ms"] for line in restarts} == {former_ms}
        assert max(int(str(line["runs_over"])) for line in restarts) == 1

    run_with_incarnations(tmp_path, scenario)
