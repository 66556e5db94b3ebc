"""How a disk host answers reservations while the set of disks changes."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import cast

import attrs

from bayhinge._internal.decisions.disk_fence import CATCH_UP_LIMIT_S
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.services import methods
from bayhinge._internal.services.disks.disk_host import DiskHost
from bayhinge._internal.services.disks.disk_request_handler import DiskRequestHandler
from bayhinge._internal.wire.hosts import ttypes as wire
from bayhinge.coordination.store import ObjectStore
from tests.unit.test_failed_attempts_disks import SETTINGS

OTHERS = [
    wire.DiskMember(f"disk-{n}", n, f"127.0.0.{n}:5", hall)
    for n, hall in ((2, "south"), (3, "east"), (4, "north"))
]
TAKEN, HOST_IS_BEHIND = wire.FenceVerdict.TAKEN, wire.FenceVerdict.HOST_IS_BEHIND
DISK_IS_BEHIND, NOT_YET = wire.FenceVerdict.DISK_IS_BEHIND, wire.FenceVerdict.NOT_YET

Reserve = Callable[[int | None], Awaitable[wire.FenceVerdict]]


def run_with_disk_host(
    tmp_path: Path, scenario: Callable[[DiskHost, Reserve], Awaitable[None]]
) -> None:
    """Runs a scenario with a disk host without network, and a function that reserves turns."""

    async def main() -> None:
        host = DiskHost(attrs.evolve(SETTINGS, data_folder=str(tmp_path)), cast(ObjectStore, None))
        host.gossip.send_now = lambda: None  # type: ignore[method-assign]
        handler = DiskRequestHandler(host)
        attempts = iter(range(100))

        async def reserve(version: int | None) -> wire.FenceVerdict:
            entry = wire.TurnEntry(wire.EntryKind.RESERVED, f"a{next(attempts)}", "program", 5)
            query = wire.ReserveTurn(entry, None, False, version)
            answer = await handler.answer(methods.RESERVE, encode_message(query))
            reply = decode_message(wire.ReserveReply(), answer)
            open_count = len(host.turns.ledger("program").open_by_attempt)
            assert (reply.verdict == TAKEN) == (entry.attempt in reply.open_by_attempt), open_count
            return reply.verdict

        await scenario(host, reserve)

    asyncio.run(main())


def test_a_reservation_counts_only_under_the_disk_s_version(tmp_path: Path) -> None:
    async def scenario(host: DiskHost, reserve: Reserve) -> None:
        members = [host.me, *OTHERS[:2]]
        assert await reserve(1) == DISK_IS_BEHIND
        host.apply_disk_set(wire.DiskSet(3, members, members))
        assert await reserve(3) == TAKEN
        assert await reserve(2) == HOST_IS_BEHIND
        assert await reserve(4) == DISK_IS_BEHIND
        assert await reserve(None) == TAKEN, "a host of an earlier release"

    run_with_disk_host(tmp_path, scenario)


def test_a_disk_that_lost_its_folder_does_not_count_under_its_old_name(tmp_path: Path) -> None:
    """Guards against counting a disk with an empty ledger towards the quorum."""

    async def scenario(host: DiskHost, reserve: Reserve) -> None:
        before = with_generation(host.me, generation=99)
        members = [before, *OTHERS[:2]]
        host.apply_disk_set(wire.DiskSet(1, members, members))
        assert await reserve(1) == NOT_YET

    run_with_disk_host(tmp_path, scenario)


def test_a_new_disk_rejects_reservations_until_it_has_read_the_others_at_its_version(
    tmp_path: Path,
) -> None:
    async def scenario(host: DiskHost, reserve: Reserve) -> None:
        before = OTHERS
        host.apply_disk_set(wire.DiskSet(2, [*OTHERS[:2], host.me], before))
        assert await reserve(2) == NOT_YET
        host.fence.record_read(OTHERS[0], 1, True)
        host.fence.record_read(OTHERS[1], 1, True)
        assert await reserve(2) == NOT_YET, "they did not know of the change"
        host.fence.record_read(OTHERS[0], 2, True)
        assert await reserve(2) == NOT_YET, "of three one may be unread"
        host.fence.record_read(OTHERS[1], 2, True)
        assert await reserve(2) == TAKEN
        assert host.fence.has_settled

    run_with_disk_host(tmp_path, scenario)


def test_a_set_changes_again_only_when_it_has_settled(tmp_path: Path) -> None:
    async def scenario(host: DiskHost, reserve: Reserve) -> None:
        host.apply_disk_set(wire.DiskSet(2, [host.me, *OTHERS], [host.me, *OTHERS[:2]]))
        host.fence.record_read(OTHERS[0], 2, False)
        host.fence.record_read(OTHERS[1], 2, True)
        assert host.fence.has_caught_up
        assert not host.fence.has_settled
        host.fence.record_read(OTHERS[0], 2, True)
        assert host.fence.has_settled

    run_with_disk_host(tmp_path, scenario)


def test_a_disk_that_can_not_catch_up_accepts_reservations_after_the_limit(tmp_path: Path) -> None:
    async def scenario(host: DiskHost, reserve: Reserve) -> None:
        host.apply_disk_set(wire.DiskSet(2, [*OTHERS[:2], host.me], OTHERS))
        assert await reserve(2) == NOT_YET
        host.fence._since_s -= CATCH_UP_LIMIT_S + 0.1
        assert await reserve(2) == TAKEN
        assert host.fence.has_settled

    run_with_disk_host(tmp_path, scenario)


def test_catching_up_survives_a_restart(tmp_path: Path) -> None:
    changed: list[wire.DiskSet] = []

    async def before(host: DiskHost, reserve: Reserve) -> None:
        changed.append(wire.DiskSet(2, [*OTHERS[:2], host.me], OTHERS))
        host.apply_disk_set(changed[0])
        host.fence.record_read(OTHERS[0], 2, True)
        host.fence.record_read(OTHERS[1], 2, True)
        assert await reserve(2) == TAKEN

    async def after(host: DiskHost, reserve: Reserve) -> None:
        host.fence.apply(changed[0], host.me)
        assert host.fence.has_caught_up
        host.apply_disk_set(wire.DiskSet(3, changed[0].members, OTHERS))
        assert not host.fence.has_caught_up

    run_with_disk_host(tmp_path, before)
    run_with_disk_host(tmp_path, after)


def test_a_reservation_is_looked_at_again_once_it_is_written(tmp_path: Path) -> None:
    """The set may change while the disk syncs: the answer must not count under the old version."""

    async def scenario(host: DiskHost, reserve: Reserve) -> None:
        members = [host.me, *OTHERS[:2]]
        host.apply_disk_set(wire.DiskSet(1, members, members))
        assert await reserve(1) == TAKEN
        write = host.write

        async def write_slowly(entries: list[wire.TurnEntry]) -> None:
            await write(entries)
            host.apply_disk_set(wire.DiskSet(2, [host.me, *OTHERS], members))

        host.write = write_slowly  # type: ignore[method-assign]
        entry = wire.TurnEntry(wire.EntryKind.RESERVED, "slow", "program", 5)
        query = encode_message(wire.ReserveTurn(entry, None, False, 1))
        answer = await DiskRequestHandler(host).answer(methods.RESERVE, query)
        assert decode_message(wire.ReserveReply(), answer).verdict == HOST_IS_BEHIND

    run_with_disk_host(tmp_path, scenario)


def with_generation(member: wire.DiskMember, generation: int) -> wire.DiskMember:
    return wire.DiskMember(member.host, generation, member.address, member.hall)
