"""Requests beyond the slots of all endpoints, with real sockets: they wait, or are refused."""

import asyncio
from pathlib import Path
from typing import Any

import orjson
import pytest

from bayhinge._internal.services.gateway import coordinator_client, placement
from bayhinge._internal.services.gateway.metrics import entry_metrics
from tests.lib.log_lines import collected_lines, lines_of_type
from tests.lib.platform_site import PlatformSite, run_site

pytestmark = pytest.mark.functional

SLOTS = 8
"""Slots of each of the two endpoints in their entries."""

MAX_PLACES = 2 * SLOTS * 3 // 2
"""Places of both: the slots, and an overcommit of at most half of them."""


LONG_TIMEOUT_S = 10.0
"""Timeout of routes, of coordinators' answers and of conditions where a busy machine must not
matter. A host that gets no answer asks the next coordinator, which does not know all grants of the
first."""

BUSY_MARGIN_S = 1.0
"""Part of a caller's time that is left for a refusal, so that a busy machine gets it there."""


def running(site: PlatformSite) -> int:
    """Returns the number of requests that began to run so far."""
    return sum(len(service.runs) for service in site.services)


def waiting(site: PlatformSite) -> int:
    """Returns the number of requests that wait for a place at any host."""
    return sum(entry._gateway.placer.wait_counts.waiting for entry in site.entry_by_name.values())


def north_coordinators(site: PlatformSite) -> set[str]:
    """Returns the hosts that are the northern hall's coordinator in the view of any host."""
    coordinators = [
        entry._gateway.placer._coordinators.coordinator_of("north")
        for entry in site.entry_by_name.values()
    ]
    return {"" if one is None else one.host for one in coordinators}


def test_requests_beyond_the_slots_of_all_endpoints_wait_and_are_served(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests sent to full endpoints, and waits that are lost or not counted."""
    monkeypatch.setattr(coordinator_client, "ANSWER_S", LONG_TIMEOUT_S)

    async def scenario(site: PlatformSite) -> None:
        await site.set_route_timeouts(round(LONG_TIMEOUT_S * 1000))
        # Two coordinators grant twice the places until each has heard of the other.
        await site.until(lambda: len(north_coordinators(site)) == 1, LONG_TIMEOUT_S)
        may_end = asyncio.Event()

        async def run_until_allowed(*_: Any) -> None:
            await may_end.wait()

        for service in site.services:
            service.begin_run = run_until_allowed  # type: ignore[method-assign, assignment]
        asked = [
            asyncio.ensure_future(site.ask("/act/x", b"pay", at=f"entry-{n % 2 * 2}"))
            for n in range(40)
        ]
        await site.until(lambda: running(site) + waiting(site) == len(asked), LONG_TIMEOUT_S)
        # Sent to the endpoints, more would wait in their own queues, where nobody orders them.
        assert running(site) <= MAX_PLACES
        may_end.set()
        assert {reply.status for reply in await asyncio.gather(*asked)} == {200}
        assert running(site) == 40
        counts = [entry._gateway.placer.wait_counts for entry in site.entry_by_name.values()]
        assert sum(one.waited for one in counts) >= 40 - MAX_PLACES
        assert waiting(site) == 0
        waited = next(
            one for one in site.entry_by_name.values() if one._gateway.placer.wait_counts.waited
        )
        page = entry_metrics(waited._gateway).decode()
        for name in ("place_waiting", "place_waited_total", "place_refused_as_time_over_total"):
            assert name in page

    run_site(tmp_path, scenario, entries=3)


def test_a_request_without_a_place_in_its_time_is_refused_as_not_run(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a refusal of a request that ran, or one without its figures and log line."""
    monkeypatch.setattr(coordinator_client, "ANSWER_S", LONG_TIMEOUT_S)
    monkeypatch.setattr(placement, "END_MARGIN_S", BUSY_MARGIN_S)

    async def scenario(site: PlatformSite) -> None:
        await site.set_route_timeouts(round(LONG_TIMEOUT_S * 1000))
        await site.until(lambda: len(north_coordinators(site)) == 1, LONG_TIMEOUT_S)
        for service in site.services:
            service.faults.pause_s = LONG_TIMEOUT_S
        asked = [asyncio.ensure_future(site.ask("/act/x", b"pay")) for _ in range(30)]
        await site.until(lambda: running(site) + waiting(site) == len(asked), LONG_TIMEOUT_S)
        ran = running(site)
        with collected_lines() as lines:
            reply = await site.ask("/act/x", b"pay", at="entry-1", Bayhinge_Deadline_Ms="1500")
        assert reply.status == 503
        assert float(reply.headers["Retry-After"]) > 0
        error = orjson.loads(reply.body)["error"]
        assert (error["code"], error["run_state"]) == ("no_place", "not_run")
        assert set(error["figures"]) == {"waited_s", "expected_wait_s", "waiting_ahead"}
        assert running(site) == ran
        [line] = lines_of_type(lines, "place.refused")
        assert line["attempt"] == reply.attempt
        for task in asked:
            task.cancel()
        await asyncio.gather(*asked, return_exceptions=True)

    run_site(tmp_path, scenario, entries=2)


def test_a_place_is_free_once_the_endpoint_has_sent_its_answer(tmp_path: Path) -> None:
    """Guards against places that slow disks or slow callers keep in use at an idle endpoint."""

    async def scenario(site: PlatformSite) -> None:
        gateway = site.entry_by_name["entry-0"]._gateway
        recorder, original_close = gateway.turn_recorder, gateway.turn_recorder.close
        is_recording, may_end = asyncio.Event(), asyncio.Event()

        async def slow_close(*arguments: Any) -> None:
            is_recording.set()
            await may_end.wait()
            await original_close(*arguments)

        recorder.close = slow_close  # type: ignore[method-assign, assignment]
        turn = asyncio.ensure_future(site.turn(b"one ", at="entry-0"))
        await asyncio.wait_for(is_recording.wait(), 3.0)
        assert gateway.endpoint_table.running_here() == {}
        assert not turn.done()
        may_end.set()
        assert (await turn).status == 200
        assert gateway.endpoint_table.running_here() == {}

    run_site(tmp_path, scenario)
