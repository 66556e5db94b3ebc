"""What a disk host says to reservations while the set of disks changes."""

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
from tests.unit.test_left_behind_disks import SETTINGS

OTHERS = [
    wire.DiskMember(f"disk-{n}", n, f"127.0.0.{n}:5", hall)
    for n, hall in ((2, "south"), (3, "east"), (4, "north"))
]
TAKEN, HOST_IS_BEHIND = wire.FenceVerdict.TAKEN, wire.FenceVerdict.HOST_IS_BEHIND
DISK_IS_BEHIND, NOT_YET = wire.FenceVerdict.DISK_IS_BEHIND, wire.FenceVerdict.NOT_YET

Ask = Callable[[int | None], Awaitable[wire.FenceVerdict]]


def play(tmp_path: Path, scenario: Callable[[DiskHost, Ask], Awaitable[None]]) -> None:
    """Gives the scenario a disk host without its network, and a way to ask it."""

    async def main() -> None:
        host = DiskHost(attrs.evolve(SETTINGS, data_folder=str(tmp_path)), cast(ObjectStore, None))
        host.gossip.send_now = lambda: None  # type: ignore[method-assign]
        answers = DiskRequestHandler(host)
        attempts = iter(range(100))

        async def ask(version: int | None) -> wire.FenceVerdict:
            entry = wire.TurnEntry(wire.EntryKind.RESERVED, f"a{next(attempts)}", "program", 5)
            query = wire.ReserveTurn(entry, None, False, version)
            answer = await answers.answer(methods.RESERVE, encode_message(query))
            reply = decode_message(wire.ReserveReply(), answer)
            took = len(host.turns.ledger("program").open_by_attempt)
            assert (reply.verdict == TAKEN) == (entry.attempt in reply.open_by_attempt), took
            return reply.verdict

        await scenario(host, ask)

    asyncio.run(main())


def test_a_reservation_counts_under_one_version_alone(tmp_path: Path) -> None:
    async def scenario(host: DiskHost, ask: Ask) -> None:
        members = [host.me, *OTHERS[:2]]
        assert await ask(1) == DISK_IS_BEHIND
        host.apply_disk_set(wire.DiskSet(3, members, members))
        assert await ask(3) == TAKEN
        assert await ask(2) == HOST_IS_BEHIND
        assert await ask(4) == DISK_IS_BEHIND
        assert await ask(None) == TAKEN, "a host of an earlier release"

    play(tmp_path, scenario)


def test_a_disk_that_lost_its_folder_does_not_count_under_its_old_name(tmp_path: Path) -> None:
    """It answered under its old address with an empty ledger, and was one of the needed disks."""

    async def scenario(host: DiskHost, ask: Ask) -> None:
        before = member_of(host.me, generation=99)
        members = [before, *OTHERS[:2]]
        host.apply_disk_set(wire.DiskSet(1, members, members))
        assert await ask(1) == NOT_YET

    play(tmp_path, scenario)


def test_a_newcomer_takes_nothing_before_it_has_read_the_others_under_its_version(
    tmp_path: Path,
) -> None:
    async def scenario(host: DiskHost, ask: Ask) -> None:
        before = OTHERS
        host.apply_disk_set(wire.DiskSet(2, [*OTHERS[:2], host.me], before))
        assert await ask(2) == NOT_YET
        host.fence.record_read(OTHERS[0], 1, True)
        host.fence.record_read(OTHERS[1], 1, True)
        assert await ask(2) == NOT_YET, "they did not know of the change"
        host.fence.record_read(OTHERS[0], 2, True)
        assert await ask(2) == NOT_YET, "of three one may be unread"
        host.fence.record_read(OTHERS[1], 2, True)
        assert await ask(2) == TAKEN
        assert host.fence.has_settled

    play(tmp_path, scenario)


def test_a_set_changes_again_only_when_it_has_settled(tmp_path: Path) -> None:
    async def scenario(host: DiskHost, ask: Ask) -> None:
        host.apply_disk_set(wire.DiskSet(2, [host.me, *OTHERS], [host.me, *OTHERS[:2]]))
        host.fence.record_read(OTHERS[0], 2, False)
        host.fence.record_read(OTHERS[1], 2, True)
        assert host.fence.has_caught_up
        assert not host.fence.has_settled
        host.fence.record_read(OTHERS[0], 2, True)
        assert host.fence.has_settled

    play(tmp_path, scenario)


def test_a_disk_that_can_not_catch_up_takes_reservations_after_a_while(tmp_path: Path) -> None:
    async def scenario(host: DiskHost, ask: Ask) -> None:
        host.apply_disk_set(wire.DiskSet(2, [*OTHERS[:2], host.me], OTHERS))
        assert await ask(2) == NOT_YET
        host.fence._since_s -= CATCH_UP_LIMIT_S + 0.1
        assert await ask(2) == TAKEN
        assert host.fence.has_settled

    play(tmp_path, scenario)


def test_what_it_has_caught_up_with_outlives_a_start(tmp_path: Path) -> None:
    changed: list[wire.DiskSet] = []

    async def before(host: DiskHost, ask: Ask) -> None:
        changed.append(wire.DiskSet(2, [*OTHERS[:2], host.me], OTHERS))
        host.apply_disk_set(changed[0])
        host.fence.record_read(OTHERS[0], 2, True)
        host.fence.record_read(OTHERS[1], 2, True)
        assert await ask(2) == TAKEN

    async def after(host: DiskHost, ask: Ask) -> None:
        host.fence.apply(changed[0], host.me)
        assert host.fence.has_caught_up
        host.apply_disk_set(wire.DiskSet(3, changed[0].members, OTHERS))
        assert not host.fence.has_caught_up

    play(tmp_path, before)
    play(tmp_path, after)


def test_a_reservation_is_looked_at_again_once_it_is_written(tmp_path: Path) -> None:
    """The set may change while the disk syncs: the answer must not count under the old version."""

    async def scenario(host: DiskHost, ask: Ask) -> None:
        members = [host.me, *OTHERS[:2]]
        host.apply_disk_set(wire.DiskSet(1, members, members))
        assert await ask(1) == TAKEN
        write = host.write

        async def write_slowly(entries: list[wire.TurnEntry]) -> None:
            await write(entries)
            host.apply_disk_set(wire.DiskSet(2, [host.me, *OTHERS], members))

        host.write = write_slowly  # type: ignore[method-assign]
        entry = wire.TurnEntry(wire.EntryKind.RESERVED, "slow", "program", 5)
        query = encode_message(wire.ReserveTurn(entry, None, False, 1))
        answer = await DiskRequestHandler(host).answer(methods.RESERVE, query)
        assert decode_message(wire.ReserveReply(), answer).verdict == HOST_IS_BEHIND

    play(tmp_path, scenario)


def member_of(member: wire.DiskMember, generation: int) -> wire.DiskMember:
    return wire.DiskMember(member.host, generation, member.address, member.hall)
