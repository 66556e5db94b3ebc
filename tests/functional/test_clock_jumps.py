"""Wall clocks that jump by hours on single hosts; no decision may depend on the wall clock."""

import asyncio
import itertools
import time
from pathlib import Path

import orjson
import pytest

from bayhinge._internal.services.disks import turn_log
from tests.lib.jumping_clock import JUMPS_BY_KIND, jump
from tests.lib.platform_data import CONFIGURATION
from tests.lib.platform_site import PlatformSite, run_site

pytestmark = pytest.mark.functional


@pytest.fixture(params=JUMPS_BY_KIND)
def jumping_clock(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    jump(monkeypatch, request.param)


@pytest.mark.usefixtures("jumping_clock")
def test_turns_budgets_and_updates_do_not_depend_on_the_wall_clock(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        for service in site.services:
            service.faults.pause_s = 0.4
        replies = await asyncio.gather(
            *(site.ask("/act/x", Bayhinge_Deadline_Ms="2000") for _ in range(4))
        )
        assert [reply.status for reply in replies] == [200] * 4
        for service in site.services:
            service.faults.pause_s = 0.0
            for run in service.runs:
                assert 1000 <= int(dict(run.headers)["Bayhinge-Deadline-Ms"]) <= 2000
        first = await site.turn(b"one ", budget=60, most=20)
        second = await site.turn(b"two ", first, budget=60, most=20)
        assert (second.status, second.is_whole) == (200, True)
        spent = await site.turn(b"three ", second, budget=40, most=39)
        assert spent.status == 402
        newer = orjson.loads(orjson.dumps(CONFIGURATION)) | {"version": 9}
        newer["routes"][3]["path_prefix"] = "/do/"
        site.store.put("config", "main", newer)
        await asyncio.sleep(0.6)
        for entry in site.entry_by_name:
            assert (await site.ask("/do/x", at=entry)).status == 200
        leaving, staying = site.services
        site.store.put("servers", leaving.instance, leaving.entry("draining"))
        await asyncio.sleep(0.6)
        before = len(leaving.runs)
        replies = await asyncio.gather(*(site.ask("/do/x") for _ in range(6)))
        assert [reply.status for reply in replies] == [200] * 6
        assert len(leaving.runs) == before
        assert len(staying.runs) >= 6

    run_site(tmp_path, scenario)


@pytest.mark.usefixtures("jumping_clock")
def test_retained_turns_do_not_expire_by_the_wall_clock(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    expire_calls_s: dict[int, list[float]] = {}
    expire = turn_log.TurnLog.expire

    def recording_expire(log: turn_log.TurnLog, now_s: float) -> int:
        expire_calls_s.setdefault(id(log), []).append(now_s)
        return expire(log, now_s)

    monkeypatch.setattr(turn_log.TurnLog, "expire", recording_expire)

    async def scenario(site: PlatformSite) -> None:
        first = await site.turn(b"one ", program="p-1")
        # Disks check for expired turns about once a second.
        await asyncio.sleep(4.0)
        second = await site.turn(b"two ", first, program="p-1")
        assert (second.status, second.is_whole) == (200, True)

    run_site(tmp_path, scenario)
    assert len(expire_calls_s) == 3
    for calls_s in expire_calls_s.values():
        assert len(calls_s) >= 3
        assert all(0.0 < later - sooner < 5.0 for sooner, later in itertools.pairwise(calls_s))


@pytest.mark.usefixtures("jumping_clock")
def test_connections_are_reused_and_a_planned_stop_fails_no_request(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        connection_pool = site.entry_by_name["entry-0"]._gateway.connection_pool
        for _ in range(20):
            assert (await site.ask("/act/x")).status == 200
        assert connection_pool.counts.reused >= 15
        for engine in site.engines:
            engine.faults.pause_s = 1.1
        asking = asyncio.create_task(site.turn(b"long ", at="entry-0"))
        await site.until(lambda: any(engine.runs for engine in site.engines))
        program = site.entry_by_name.pop("entry-0")
        began_s = time.monotonic()
        await program.stop()
        assert (await asking).is_whole
        assert 3.0 <= time.monotonic() - began_s <= 7.0

    run_site(tmp_path, scenario)
