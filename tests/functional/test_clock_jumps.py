"""The time of day may jump by hours, on one host and not on another; no decision may rest on it."""

import asyncio
import itertools
import time
from pathlib import Path

import orjson
import pytest

from tests.lib.platform_data import CONFIGURATION
from tests.lib.platform_site import PlatformSite, run_site

pytestmark = pytest.mark.functional

JUMPS_S = (0.0, 3600.0, -86_400.0, 7.0, -0.5)


@pytest.fixture
def odd_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    true_time_s, true_time_ns = time.time, time.time_ns
    jumps = itertools.cycle(JUMPS_S)
    monkeypatch.setattr(time, "time", lambda: true_time_s() + next(jumps))
    monkeypatch.setattr(time, "time_ns", lambda: true_time_ns() + int(next(jumps) * 1e9))


@pytest.mark.usefixtures("odd_clock")
def test_turns_budgets_and_news_do_not_rest_on_the_time_of_day(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        for service in site.services:
            service.troubles.pause_s = 0.4
        patient = await asyncio.gather(
            *(site.ask("/act/x", Bayhinge_Deadline_Ms="2000") for _ in range(4))
        )
        assert [reply.status for reply in patient] == [200] * 4
        for service in site.services:
            service.troubles.pause_s = 0.0
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
