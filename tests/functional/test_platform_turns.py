"""Turns retained by disk hosts, on loopback: histories, budgets, and disks that leave and join."""

import asyncio
from pathlib import Path

import pytest

from bayhinge._internal.exceptions import PeerUnreachableError
from bayhinge._internal.wire.hosts.ttypes import HostPhase, HostRole
from tests.lib.platform_site import PlatformSite, run_site

pytestmark = pytest.mark.functional


def test_turns_are_rebuilt_byte_for_byte_at_any_host(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        first = await site.turn(b"one\n", at="entry-0")
        assert (first.status, first.is_whole) == (200, True)
        second = await site.turn(b"two\x00", first, at="entry-1")
        third = await site.turn(b"three", second, at="entry-0")
        child = await site.turn(b"child", first, at="entry-1")
        bodies = {run.attempt: run.body for engine in site.engines for run in engine.runs}
        assert bodies[second.attempt] == b"one\n" + first.said + b"two\x00"
        assert bodies[third.attempt] == bodies[second.attempt] + second.said + b"three"
        assert bodies[child.attempt] == b"one\n" + first.said + b"child"
        # All turns of a chain go to the engine that has its prefix cached.
        engines = {reply.headers["Bayhinge-Server-Seal"] for reply in (first, second, third, child)}
        assert len(engines) == 1

    run_site(tmp_path, scenario)


def test_an_unknown_turn_is_404_only_if_every_disk_confirms_it(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        first = await site.turn(b"one ")
        unknown_turn = type(first)(200, b"", {}, True, "never-was")
        assert (await site.turn(b"two ", unknown_turn)).status == 404
        await site.stop_disk("disk-2")
        reply = await site.turn(b"two ", unknown_turn)
        assert reply.status == 503
        assert float(reply.headers["Retry-After"]) > 0
        assert (await site.turn(b"two ", first)).status == 200

    run_site(tmp_path, scenario)


def test_a_budget_holds_for_concurrent_turns_on_two_hosts(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        replies = await asyncio.gather(
            *(
                site.turn(b"x", at=f"entry-{number % 2}", budget=100, most=30)
                for number in range(12)
            )
        )
        statuses = sorted(reply.status for reply in replies)
        served = statuses.count(200)
        assert served <= 3, statuses
        assert statuses.count(402) == 12 - served
        ran = [run.attempt for engine in site.engines for run in engine.runs]
        refused = {reply.attempt for reply in replies if reply.status == 402}
        assert not refused & set(ran)
        # Settled turns are charged what they used: three events of three tokens each.
        assert (await site.turn(b"x", budget=100, most=30)).status == 200

    run_site(tmp_path, scenario)


def test_a_refused_turn_gives_its_reservation_back(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        for engine in site.engines:
            engine.faults.full = 3
        for _ in range(3):
            assert (await site.turn(b"x", budget=60, most=50)).status == 503
        await asyncio.sleep(0.1)
        assert (await site.turn(b"x", budget=60, most=50)).status == 200

    run_site(tmp_path, scenario)


def test_a_broken_stream_is_incomplete_and_charged_for_delivered_tokens(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        for engine in site.engines:
            engine.faults.breaks_after = 2
        broken = await site.turn(b"x", budget=100, most=90)
        assert not broken.is_whole
        assert broken.said == b"r1e1\nr1e2\n"
        for engine in site.engines:
            engine.faults.breaks_after = None
        await asyncio.sleep(0.1)
        # It was not recorded as a turn, so no turn can continue it.
        assert (await site.turn(b"y", broken, budget=None)).status == 404
        # Two events of three tokens were delivered.
        assert (await site.turn(b"x", budget=100, most=94)).status == 200

    run_site(tmp_path, scenario)


def test_turns_survive_a_lost_disk_and_its_replacement_copies_them(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        first = await site.turn(b"one ")
        await site.stop_disk("disk-0")
        second = await site.turn(b"two ", first)
        assert second.status == 200
        # The disk restarts empty at its old address, copies the turns, and rejoins the set.
        fresh = await site.start_disk("disk-0", first_start=False, generation=1)
        host = fresh._disk
        await site.until(host._is_member)
        assert host.turns.chain(second.attempt).text == b"one " + first.said + b"two " + second.said
        await site.until(
            lambda: (
                site.entry_by_name["entry-0"]._gateway.disks.disk_set.version
                == host.disk_set.version
            )
        )
        # Another disk may stop once the new member has copied from the others under the new set.
        await site.until(lambda: host.fence.has_caught_up)
        await site.stop_disk("disk-1")
        assert (await site.turn(b"three", second)).status == 200

    run_site(tmp_path, scenario)


def test_a_turn_waits_for_disks_that_restart(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        first = await site.turn(b"hello")
        for name in ("disk-0", "disk-1"):
            await site.stop_disk(name)
        turn = asyncio.ensure_future(site.turn(b"more", first))
        await asyncio.sleep(0.1)
        assert not turn.done(), "two of three disks refuse at once"
        await site.start_disk("disk-0", first_start=False)
        assert (await turn).status == 200

    run_site(tmp_path, scenario)


def test_without_two_disks_no_turn_completes(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        await site.stop_disk("disk-0")
        await site.stop_disk("disk-1")
        assert (await site.turn(b"x", budget=None, Bayhinge_Deadline_Ms="900")).is_whole is False
        refused = await site.turn(b"x")
        assert refused.status == 503
        again = await site.start_disk("disk-1", first_start=False)
        assert not again._disk.turns.is_fresh
        await asyncio.sleep(1.2)
        assert (await site.turn(b"x")).status == 200

    run_site(tmp_path, scenario)


def test_a_retired_disk_hands_over_all_turns_before_it_reports_completion(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        first = await site.turn(b"one ")
        site.retire("disk-1")
        await site.until(lambda: site.store.status("retirements", "disk-1") is not None)
        await site.until(
            lambda: site.store.status("retirements", "disk-1") == {"state": "completed"}
        )
        await site.stop_disk("disk-1")
        for name in ("disk-0", "disk-2"):
            turns = site.disk_by_name[name]._disk.turns
            assert turns.chain(first.attempt).missing is None
        assert (await site.turn(b"two ", first)).status == 200

    run_site(tmp_path, scenario)


def test_a_host_partitioned_from_the_disks_relays_through_a_peer(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        first = await site.turn(b"one ", at="entry-1")
        gateway = site.entry_by_name["entry-0"]._gateway
        peers = gateway.peers
        disks = {member.address for member in gateway.disks.disk_set.members}
        original_get_link = peers._get_link  # type: ignore[attr-defined]

        # Without a link, and with calls that need one, the host is partitioned.
        async def get_link(address: str):  # type: ignore[no-untyped-def]
            if address in disks:
                raise PeerUnreachableError(address, "partitioned", sent=False)
            return await original_get_link(address)

        await site.until(
            lambda: any(
                heartbeat.phase == HostPhase.READY
                for heartbeat in gateway.gossip.recent_heartbeats(HostRole.ENTRY)
            )
        )
        peers._get_link = get_link  # type: ignore[attr-defined]
        # Calls on open connections don't ask for a link; this one makes them ask.
        peers.start_call = lambda *call: asyncio.ensure_future(peers.call(*call))  # type: ignore[method-assign]
        second = await site.turn(b"two ", first, at="entry-0")
        assert (second.status, second.is_whole) == (200, True)
        assert gateway.turn_recorder._link.relayed >= 2

    run_site(tmp_path, scenario)


def test_a_caller_that_disconnects_during_a_reservation_leaves_none_behind(
    tmp_path: Path,
) -> None:
    async def scenario(site: PlatformSite) -> None:
        gateway = site.entry_by_name["entry-0"]._gateway
        original_call = gateway.disk_link.call
        call_answered = asyncio.Event()

        async def slow_call(member, method, message):  # type: ignore[no-untyped-def]
            answer = await original_call(member, method, message)
            call_answered.set()
            if method == "reserve-turn":
                await asyncio.sleep(0.3)
            return answer

        gateway.disk_link.call = slow_call  # type: ignore[method-assign]
        turn = asyncio.create_task(site.turn(b"x", budget=60, most=50))
        await call_answered.wait()
        turn.cancel()
        gateway.disk_link.call = original_call  # type: ignore[method-assign]
        await asyncio.sleep(0.6)
        assert (await site.turn(b"x", budget=60, most=50)).status == 200

    run_site(tmp_path, scenario)
