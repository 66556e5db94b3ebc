"""Client accounts on loopback: API keys, revocation, ownership of turns, limits over all hosts."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from bayhinge._internal.wire.hosts import ttypes as wire
from bayhinge.coordination.errors import StoreUnavailableError
from tests.lib.accounts import (
    ALL_KEYS,
    DESK,
    KEY_OF_DESK,
    KEY_OF_OTHERS,
    OTHERS,
    SECOND_KEY_OF_DESK,
    bearing,
    with_accounts,
)
from tests.lib.log_lines import collected_lines
from tests.lib.platform_engine import Run
from tests.lib.platform_site import PlatformSite, run_site
from tests.lib.platform_store import StoreFaults

pytestmark = pytest.mark.functional

REVOKE_S = 2.0

SLOW_STORE_S = 0.5
"""Longer than the age at which proofs are renewed."""

_versions = itertools.count(20)


def _run_with_accounts(folder: Path, scenario: Callable[[PlatformSite], Awaitable[Any]]) -> None:
    async def configure_and_run(site: PlatformSite) -> None:
        await _configure(site, DESK, OTHERS)
        await scenario(site)

    run_site(
        folder, configure_and_run, bounds={"revoke_strict": True, "revoke_ms": REVOKE_S * 1000}
    )


async def _configure(site: PlatformSite, *accounts: dict[str, Any]) -> None:
    version = next(_versions)
    site.store.put("config", "main", with_accounts(version, *accounts))
    gateways = [entry._gateway for entry in site.entry_by_name.values()]
    await site.until(lambda: all(one.configuration.version == version for one in gateways))
    await site.until(lambda: all(one.proofs.may_admit for one in gateways))


def _runs(site: PlatformSite) -> list[Run]:
    return [run for endpoint in (*site.engines, *site.services) for run in endpoint.runs]


def _header_values(run: Run, name: str) -> list[str]:
    return [value for header, value in run.headers if header.lower() == name]


def test_endpoints_receive_the_account_but_never_the_key(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        reply = await site.ask(
            "/look/x",
            Authorization=bearing(KEY_OF_DESK),
            bayhinge_tenant="others",
            Bayhinge_Tenant="x",
        )
        assert reply.status == 200
        assert (await site.turn(b"one", Authorization=bearing(SECOND_KEY_OF_DESK))).status == 200
        for run in _runs(site):
            assert _header_values(run, "bayhinge-tenant") == ["desk"]
            assert _header_values(run, "authorization") == []
        # The account's urgency overrides the route's, which is 0.
        assert _header_values(
            site.engines[0].runs[0] if site.engines[0].runs else site.engines[1].runs[0],
            "bayhinge-request-priority",
        ) == ["3"]

    _run_with_accounts(tmp_path, scenario)


def test_without_a_known_key_nothing_runs(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        assert (await site.ask("/look/x")).status == 401
        for authorization in (bearing("never a key"), f"Basic {KEY_OF_DESK}"):
            assert (await site.ask("/look/x", Authorization=authorization)).status == 401
        assert (await site.ask("/nowhere/x", Authorization=bearing(KEY_OF_DESK))).status == 404
        assert _runs(site) == []
        assert (await site.ask("/open/x")).status == 200
        assert (await site.ask("/open/x", Authorization=bearing("never a key"))).status == 200
        assert (await site.ask("/open/x", Authorization=bearing(KEY_OF_OTHERS))).status == 200
        assert [_header_values(run, "bayhinge-tenant") for run in _runs(site)] == [
            [],
            [],
            ["others"],
        ]
        assert all(_header_values(run, "authorization") == [] for run in _runs(site))

    _run_with_accounts(tmp_path, scenario)


def test_authorization_is_forwarded_when_no_accounts_are_configured(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        assert (await site.ask("/look/x", Authorization=bearing(KEY_OF_DESK))).status == 200
        assert _header_values(_runs(site)[0], "authorization") == [f"Bearer {KEY_OF_DESK}"]

    run_site(tmp_path, scenario)


def test_a_turn_is_visible_only_to_its_account(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        first = await site.turn(b"one ", Authorization=bearing(KEY_OF_DESK))
        assert (await site.turn(b"two ", first, Authorization=bearing(KEY_OF_OTHERS))).status == 404
        assert (
            await site.turn(b"two ", first, at="entry-1", Authorization=bearing(SECOND_KEY_OF_DESK))
        ).status == 200
        # Also when no disk has the whole chain and hosts assemble it from entries.
        for disk in site.disk_by_name.values():
            disk._disk.turns._index._turn_by_attempt.clear()
        assert (
            await site.turn(b"three", first, Authorization=bearing(KEY_OF_OTHERS))
        ).status == 404
        assert (await site.turn(b"three", first, Authorization=bearing(KEY_OF_DESK))).status == 200

    _run_with_accounts(tmp_path, scenario)


def test_a_turn_recorded_without_an_account_is_refused(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        entry = wire.TurnEntry(
            wire.EntryKind.TURN, "old", "p", 3, None, b"said\n", "i-llm-1", 60.0, None
        )
        for disk in site.disk_by_name.values():
            await disk._disk.write([entry])
        first = await site.turn(b"one ", Authorization=bearing(KEY_OF_DESK))
        unowned_turn = type(first)(200, b"", {}, True, "old")
        assert (
            await site.turn(b"two ", unowned_turn, Authorization=bearing(KEY_OF_DESK))
        ).status == 503

    _run_with_accounts(tmp_path, scenario)


def test_accounts_do_not_share_a_programs_budget(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        for _ in range(3):
            reply = await site.turn(b"x", budget=100, most=30, Authorization=bearing(KEY_OF_OTHERS))
            assert reply.status == 200
        statuses = [
            (await site.turn(b"x", budget=100, most=30, Authorization=bearing(KEY_OF_DESK))).status
            for _ in range(3)
        ]
        assert statuses == [200] * 3

    _run_with_accounts(tmp_path, scenario)


def test_a_revoked_key_is_rejected_and_a_new_key_is_accepted(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        await _configure(site, DESK | {"api_keys": [SECOND_KEY_OF_DESK]}, OTHERS)
        for at in site.entry_by_name:
            assert (
                await site.ask("/look/x", at=at, Authorization=bearing(KEY_OF_DESK))
            ).status == 401
            assert (
                await site.ask("/look/x", at=at, Authorization=bearing(SECOND_KEY_OF_DESK))
            ).status == 200

    _run_with_accounts(tmp_path, scenario)


def test_no_host_admits_keys_once_revocations_can_not_be_observed(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        site.store.faults.hangs_watches = True
        site.store.faults.refuses_with = 503
        # No host can observe this revocation.
        site.store.put("config", "main", with_accounts(next(_versions), OTHERS))
        await asyncio.sleep(REVOKE_S)
        for at in site.entry_by_name:
            reply = await site.ask("/look/x", at=at, Authorization=bearing(KEY_OF_DESK))
            assert reply.status == 503
            assert float(reply.headers["Retry-After"]) > 0
            assert (await site.ask("/open/x", at=at)).status == 200
        before = len(_runs(site))
        site.store.faults = StoreFaults()
        gateways = [entry._gateway for entry in site.entry_by_name.values()]
        await site.until(lambda: all(one.proofs.may_admit for one in gateways), limit_s=3.0)
        assert (await site.ask("/look/x", Authorization=bearing(KEY_OF_DESK))).status == 401
        assert len(_runs(site)) == before
        assert (await site.ask("/look/x", Authorization=bearing(KEY_OF_OTHERS))).status == 200

    _run_with_accounts(tmp_path, scenario)


def test_an_unreadable_configuration_admits_no_key(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        site.store.put("config", "main", {"version": "odd", "tenants": 7})
        gateways = [entry._gateway for entry in site.entry_by_name.values()]
        await site.until(lambda: all(one.configuration.unreadable.current for one in gateways))
        for at in site.entry_by_name:
            reply = await site.ask("/look/x", at=at, Authorization=bearing(KEY_OF_DESK))
            assert reply.status == 503
            assert (await site.ask("/open/x", at=at)).status == 200
        await _configure(site, DESK, OTHERS)
        assert (await site.ask("/look/x", Authorization=bearing(KEY_OF_DESK))).status == 200

    _run_with_accounts(tmp_path, scenario)


def test_a_host_that_the_store_rejects_uses_its_peers_freshness_proofs(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        proofs = site.entry_by_name["entry-1"]._gateway.proofs

        async def reject(key: str) -> None:
            raise StoreUnavailableError(key, "rejected")

        proofs._store.get = reject  # type: ignore[method-assign]
        for _ in range(12):
            await asyncio.sleep(REVOKE_S / 6)
            reply = await site.ask("/look/x", at="entry-1", Authorization=bearing(KEY_OF_DESK))
            assert reply.status == 200
        assert proofs.counts.from_peers > 0
        # It rejects a key as soon as its peers know of the revocation.
        await _configure(site, OTHERS)
        assert (
            await site.ask("/look/x", at="entry-1", Authorization=bearing(KEY_OF_DESK))
        ).status == 401

    _run_with_accounts(tmp_path, scenario)


def test_a_host_that_the_store_rejects_uses_proofs_that_are_due_at_its_peers(
    tmp_path: Path,
) -> None:
    """Guards against refusals for want of a proof where the store is slow for the other hosts."""

    async def scenario(site: PlatformSite) -> None:
        proofs_by_name = {name: entry._gateway.proofs for name, entry in site.entry_by_name.items()}

        async def reject(key: str) -> None:
            raise StoreUnavailableError(key, "rejected")

        def delayed(original: Callable[[str], Awaitable[Any]]) -> Callable[[str], Awaitable[Any]]:
            async def get(key: str) -> Any:
                stored = await original(key)
                await asyncio.sleep(SLOW_STORE_S)
                return stored

            return get

        for name, proofs in proofs_by_name.items():
            get = reject if name == "entry-1" else delayed(proofs._store.get)
            proofs._store.get = get  # type: ignore[method-assign, assignment]
        for _ in range(12):
            await asyncio.sleep(REVOKE_S / 6)
            reply = await site.ask("/look/x", at="entry-1", Authorization=bearing(KEY_OF_DESK))
            assert reply.status == 200
        assert proofs_by_name["entry-1"].counts.from_peers > 0

    _run_with_accounts(tmp_path, scenario)


def test_a_key_is_checked_again_before_a_delayed_request_is_sent(tmp_path: Path) -> None:
    """The key is revoked while the turn waits for its disks: no endpoint may run it."""

    async def scenario(site: PlatformSite) -> None:
        turn_recorder = site.entry_by_name["entry-0"]._gateway.turn_recorder
        original_open, may_open = turn_recorder.open, asyncio.Event()

        async def delayed_open(*arguments: Any) -> Any:
            await may_open.wait()
            return await original_open(*arguments)

        turn_recorder.open = delayed_open  # type: ignore[method-assign,assignment]
        waiting = asyncio.create_task(site.turn(b"one ", Authorization=bearing(KEY_OF_DESK)))
        await asyncio.sleep(0.1)
        await _configure(site, OTHERS)
        may_open.set()
        assert (await waiting).status == 401
        assert _runs(site) == []

    _run_with_accounts(tmp_path, scenario)


def test_no_key_is_logged(tmp_path: Path) -> None:
    with collected_lines() as lines:

        async def scenario(site: PlatformSite) -> None:
            await site.ask("/look/x", Authorization=bearing(KEY_OF_DESK))
            await site.ask("/look/x", Authorization=bearing("an-unknown-key-of-somebody"))
            await _configure(
                site, DESK | {"rate_per_s": "odd"}, OTHERS | {"name": 7}, {"api_keys": 3}
            )
            await site.ask("/look/x", Authorization=bearing(KEY_OF_DESK))
            await site.turn(b"one", Authorization=bearing(KEY_OF_OTHERS))

        _run_with_accounts(tmp_path, scenario)
    written = repr(lines)
    assert "bears an unknown key" in written
    for key in (*ALL_KEYS, "an-unknown-key-of-somebody"):
        assert key not in written


def test_a_rate_limit_holds_over_all_hosts_and_sets_retry_after(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        await _configure(site, DESK | {"rate_per_s": 10, "burst": 5}, OTHERS)
        # Until a new coordinator grants at its full rate.
        await asyncio.sleep(2.0)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        replies = []
        while loop.time() - began_s < 2.0:
            replies += await asyncio.gather(
                *(
                    site.ask("/look/x", at=at, Authorization=bearing(KEY_OF_DESK))
                    for at in site.entry_by_name
                )
            )
            assert (await site.ask("/look/x", Authorization=bearing(KEY_OF_OTHERS))).status == 200
        statuses = [reply.status for reply in replies]
        served, refused = statuses.count(200), statuses.count(429)
        assert served + refused == len(statuses)
        assert refused > 0
        assert 20 <= served <= 10 * (loop.time() - began_s) + 5 + 1
        waits = [float(one.headers["Retry-After"]) for one in replies if one.status == 429]
        assert all(0 < wait <= 2 for wait in waits)

    _run_with_accounts(tmp_path, scenario)


def test_requests_that_reach_no_endpoint_do_not_count_towards_the_limit(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        await _configure(site, DESK | {"rate_per_s": 0.1, "burst": 4}, OTHERS)
        await asyncio.sleep(0.3)
        for service in site.services:
            service.faults.full = 100
        for _ in range(10):
            assert (await site.ask("/look/x", Authorization=bearing(KEY_OF_DESK))).status == 503
        for service in site.services:
            service.faults.full = 0
        await asyncio.sleep(1.0)
        assert (await site.ask("/look/x", Authorization=bearing(KEY_OF_DESK))).status == 200

    _run_with_accounts(tmp_path, scenario)
