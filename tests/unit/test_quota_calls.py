"""Guards against requests refused because hosts disagree on an account's quota coordinator."""

import asyncio
from bisect import bisect_left
from collections import Counter
from collections.abc import Awaitable, Callable

import pytest

from bayhinge._internal.decisions.quota_bucket import QuotaBucket
from bayhinge._internal.models.refusals import RefusalCode
from bayhinge._internal.wire.hosts import ttypes as wire
from tests.lib.place_hosts import run_virtual
from tests.lib.quota_hosts import MARGIN, QuotaSite

NAMES = [f"h{number}" for number in range(8)]
RATE_PER_S = 200.0

Scenario = Callable[[QuotaSite, str, str], Awaitable[None]]


def _run(scenario: Scenario) -> None:
    """Runs a scenario with the account's coordinator, and with a host that asks it."""

    async def play() -> None:
        site = QuotaSite(NAMES, RATE_PER_S)
        rounds = asyncio.get_running_loop().create_task(site.run_rounds())
        await asyncio.sleep(5.0)
        home = site.coordinator()
        await scenario(site, home, next(name for name in NAMES if name != home))
        rounds.cancel()

    run_virtual(play())


def _codes(site: QuotaSite) -> Counter[RefusalCode]:
    return Counter(code for host in site.host_by_name.values() for code in host.refused)


def test_a_coordinator_that_missed_one_call_is_not_given_up() -> None:
    """No heartbeat of it reaches the host for seconds, while the other hosts hear it."""

    async def scenario(site: QuotaSite, home: str, host: str) -> None:
        site.silent.add((host, home))
        await site.ask(host)
        site.silent.clear()
        await site.ask_at_rate(host, 20.0, 5.0)
        assert not _codes(site)

    _run(scenario)


def test_a_host_without_a_way_to_the_coordinator_is_served() -> None:
    async def scenario(site: QuotaSite, home: str, host: str) -> None:
        site.silent.add((host, home))
        await site.ask_at_rate(host, 20.0, 5.0)
        assert not _codes(site)

    _run(scenario)


def test_a_host_that_has_not_heard_the_coordinator_is_served() -> None:
    async def scenario(site: QuotaSite, home: str, host: str) -> None:
        site.unheard.add((home, host))
        await asyncio.sleep(1.0)
        await site.ask_at_rate(host, 20.0, 5.0)
        assert not _codes(site)

    _run(scenario)


def test_a_coordinator_that_leaves_is_replaced_at_once() -> None:
    """The others still have a heartbeat in which it is ready, and its callers stay connected."""

    async def scenario(site: QuotaSite, home: str, host: str) -> None:
        site.host_by_name[home].gossip.own_heartbeat.phase = wire.HostPhase.LEAVING
        await asyncio.sleep(1.0)
        await asyncio.gather(*(site.ask_at_rate(name, 20.0, 5.0) for name in (host, home)))
        assert not _codes(site)

    _run(scenario)


def test_a_killed_coordinator_is_replaced_before_its_heartbeats_expire() -> None:
    async def scenario(site: QuotaSite, home: str, _: str) -> None:
        site.dead.add(home)
        others = [name for name in NAMES if name != home]
        await asyncio.gather(*(site.ask_at_rate(name, 10.0, 5.0) for name in others))
        assert RefusalCode.OWNER_UNREACHABLE not in _codes(site)

    _run(scenario)


@pytest.mark.parametrize("cut", [1, 3, 7])
def test_the_limit_holds_while_hosts_have_no_way_to_the_coordinator(cut: int) -> None:
    async def scenario(site: QuotaSite, home: str, _: str) -> None:
        others = [name for name in NAMES if name != home]
        site.silent |= {(name, home) for name in others[:cut]}
        await asyncio.gather(*(site.ask_at_rate(name, RATE_PER_S / 4, 12.0) for name in NAMES))
        quota = site.account.quota
        assert quota is not None
        most = quota.rate_per_s * MARGIN.window_s + quota.burst + MARGIN.requests(quota)
        granted_s = sorted(at_s for host in site.host_by_name.values() for at_s in host.granted_s)
        for number, at_s in enumerate(granted_s):
            assert number + 1 - bisect_left(granted_s, at_s - MARGIN.window_s) <= most

    _run(scenario)


@pytest.mark.parametrize(
    ("loses_answers", "is_relayed"), [(False, False), (True, False), (True, True)]
)
def test_unused_tokens_are_returned_once_at_most(
    monkeypatch: pytest.MonkeyPatch, loses_answers: bool, is_relayed: bool
) -> None:
    """Guards against a refund that reaches a coordinator, and its successor once more."""
    returned: list[int] = []
    refund = QuotaBucket.refund

    def record(bucket: QuotaBucket, count: int) -> None:
        returned.append(count)
        refund(bucket, count)

    monkeypatch.setattr(QuotaBucket, "refund", record)

    async def scenario(site: QuotaSite, home: str, host: str) -> None:
        for _ in range(7):
            site.host_by_name[host].quotas.return_unused(site.account)
        if is_relayed:
            site.silent.add((host, home))
        if loses_answers:
            site.unanswered.update((name, home) for name in NAMES if name != home)
        await site.ask(host)
        assert not _codes(site)

    _run(scenario)
    # Where no answer came, they are given up rather than returned again.
    assert sum(returned) <= 7 if loses_answers else sum(returned) == 7
