"""Requests to entry hosts on loopback: routes, refusals, retries, limits, and metrics."""

import asyncio
from pathlib import Path

import pytest

from tests.lib.platform_site import PlatformSite, run_site

pytestmark = pytest.mark.functional


def test_a_request_is_forwarded_unaltered(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        reply = await site.ask("/act/a%2Fb?x=%20&y", b"\x00raw", Bayhinge_Affinity_Key="17")
        assert (reply.status, reply.body) == (200, b"answer to \x00raw")
        assert reply.headers["Bayhinge-Server-Seal"].startswith("seal-i-app")
        (run,) = [run for service in site.services for run in service.runs]
        assert (run.method, run.target, run.body) == ("POST", "/act/a%2Fb?x=%20&y", b"\x00raw")
        names = [name for name, _ in run.headers]
        assert "Bayhinge-Affinity-Key" in names
        assert names.count("Host") == 1
        assert "User-Agent" in names, "the caller's headers are forwarded"
        assert 0 < int(dict(run.headers)["Bayhinge-Deadline-Ms"]) <= 1500

    run_site(tmp_path, scenario)


def test_an_unknown_route_is_404_and_a_missing_attempt_id_is_400(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        assert (await site.ask("/nowhere/x")).status == 404
        url = f"{site.address('entry-0')}/act/x"
        async with site.session.post(url, headers={"Host": "desk.example"}) as response:
            assert response.status == 400
        assert not any(service.runs for service in site.services)

    run_site(tmp_path, scenario)


def test_a_body_over_the_limit_is_refused(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        assert (await site.ask("/act/x", b"x" * 100_001)).status == 413
        assert (await site.ask("/act/x", b"x" * 100_000)).status == 200

    run_site(tmp_path, scenario)


def test_an_at_most_once_request_runs_once_and_a_lost_answer_is_not_retryable(
    tmp_path: Path,
) -> None:
    async def scenario(site: PlatformSite) -> None:
        for service in site.services:
            service.faults.loses_answers = 1
        reply = await site.ask("/act/x", b"pay")
        assert reply.status == 502
        assert "Retry-After" not in reply.headers
        assert sum(len(service.runs) for service in site.services) == 1

    run_site(tmp_path, scenario)


def test_a_repeatable_request_is_retried_at_another_endpoint(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        site.services[0].faults.loses_answers = 1
        site.services[1].faults.loses_answers = 0
        replies = [await site.ask("/look/x", method="GET") for _ in range(4)]
        assert [reply.status for reply in replies] == [200] * 4
        assert len(site.services[0].runs) >= 1

    run_site(tmp_path, scenario)


def test_requests_to_full_endpoints_are_refused_as_not_run_with_retry_after(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        for service in site.services:
            service.faults.full = 1
        reply = await site.ask("/act/x", b"pay")
        assert reply.status == 503
        assert float(reply.headers["Retry-After"]) > 0
        assert not any(service.runs for service in site.services)
        assert (await site.ask("/act/x", b"pay")).status == 200

    run_site(tmp_path, scenario)


def test_a_timeout_is_answered_at_once_and_cancels_the_run(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        for service in site.services:
            service.faults.pause_s = 5.0
        began = asyncio.get_running_loop().time()
        reply = await site.ask("/act/x", b"pay", Bayhinge_Deadline_Ms="400")
        assert reply.status == 504
        assert asyncio.get_running_loop().time() - began < 0.8
        runs = [run for service in site.services for run in service.runs]
        await site.until(lambda: all(run.was_cancelled for run in runs))

    run_site(tmp_path, scenario)


def test_a_caller_that_disconnects_cancels_the_run(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        for engine in site.engines:
            engine.faults.pause_s = 5.0
        turn = asyncio.create_task(site.turn(b"hello "))
        await site.until(lambda: any(engine.runs for engine in site.engines))
        turn.cancel()
        runs = [run for engine in site.engines for run in engine.runs]
        await site.until(lambda: all(run.was_cancelled for run in runs), limit_s=1.0)

    run_site(tmp_path, scenario)


def test_the_metrics_page_counts_by_outcome_and_shows_the_age_of_the_state(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        await site.ask("/act/x")
        await site.ask("/nowhere/")
        url = site.address("entry-0").replace(":8149", ":9464") + "/metrics"
        async with site.session.get(url) as response:
            page = (await response.read()).decode()
        assert "bayhinge_requests_served_total 1.0" in page
        assert "bayhinge_requests_unknown_program_total 1.0" in page
        assert "bayhinge_configuration_version 7.0" in page
        assert "bayhinge_disks_in_set 3.0" in page
        assert "bayhinge_store_age_seconds_config" in page
        assert "bayhinge_request_served_quantile_seconds" in page

    run_site(tmp_path, scenario)
