"""Failed writes and interrupted copies leave a disk host in a consistent state."""

import asyncio
import contextlib
import os
from pathlib import Path
from typing import cast

import attrs
import pytest

from bayhinge._internal.models.site_settings import SiteSettings
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.services import methods
from bayhinge._internal.services.disks.disk_host import DiskHost
from bayhinge._internal.services.disks.turn_index import entry_key
from bayhinge._internal.services.disks.turn_log import TurnLog
from bayhinge._internal.utils.durable_files import replace_synced
from bayhinge._internal.wire.hosts import ttypes as wire
from bayhinge._internal.wire.hosts.ttypes import EntryKind, TurnEntry
from bayhinge.coordination.store import ObjectStore
from tests.unit.test_turn_log import turn


def fail(*_: object) -> None:
    raise OSError(5, "the disk failed")


def test_a_failed_sync_of_a_settlement_keeps_the_turn(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against losing a synced turn when the sync of its settlement fails."""
    log = TurnLog(tmp_path)
    log.append([turn("a", None, b"said")])
    log.sync()
    log.append([TurnEntry(EntryKind.SETTLED, "a", "program", 3)])
    with monkeypatch.context() as patch:
        patch.setattr(os, "fdatasync", fail)
        with pytest.raises(OSError, match="the disk failed"):
            log.sync()
    assert log.has(entry_key(turn("a")))
    assert log.ledger("program").settled_by_attempt == {"a": 3}
    assert log.chain("a").missing is None


def test_a_partial_write_that_can_not_be_truncated_does_not_damage_later_ones(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A write is cut short and truncating the file fails too; the next write succeeds."""
    log = TurnLog(tmp_path)
    log.append([turn("a", None, b"one")])
    log.sync()
    write = os.write
    with monkeypatch.context() as patch:
        patch.setattr(os, "write", lambda file, data: write(file, data[:20]))
        patch.setattr(os, "ftruncate", fail)
        with pytest.raises(OSError, match="the disk failed"):
            log.append([turn("b", None, b"two")])
    log.append([turn("c", None, b"three")])
    log.sync()
    assert TurnLog(tmp_path).chain("c").text == b"three"
    assert log.chain("c").text == b"three"


def test_a_partially_written_file_does_not_replace_the_old_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "servers.objects"
    replace_synced(path, b"old and whole")
    write = os.write
    with monkeypatch.context() as patch:
        patch.setattr(os, "write", lambda file, data: write(file, data[:5]))
        with contextlib.suppress(OSError):
            replace_synced(path, b"new and whole")
    assert path.read_bytes() in {b"old and whole", b"new and whole"}


SETTINGS = SiteSettings(
    host="disk-1",
    hall="north",
    region="r",
    ip="127.0.0.1",
    region_by_hall={"north": "r"},
    front_address="127.0.0.1:1",
    ready_address="127.0.0.1:2",
    directory_address="127.0.0.1:3",
    gossip_port=4,
    peer_port=5,
    seeds=(),
    data_folder="",
    is_first_start=False,
    tolerated_disks=1,
    store_address="127.0.0.1:6",
    address_keep_s=1.0,
    grace_s=5.0,
)


def test_a_change_of_the_set_during_a_copy_restarts_reading_the_other_log(
    tmp_path: Path,
) -> None:
    """Guards against skipping entries that belong here only since the change of the set."""
    other = wire.DiskMember("disk-2", 7, "127.0.0.2:5", "north")
    before = [wire.DiskMember(f"disk-{n}", n, f"127.0.0.{n}:5", "north") for n in (3, 4)]

    async def main() -> None:
        host = DiskHost(attrs.evolve(SETTINGS, data_folder=str(tmp_path)), cast(ObjectStore, None))
        host.gossip.send_now = lambda: None  # type: ignore[method-assign]
        host.apply_disk_set(wire.DiskSet(1, [host.me, other, *before]))
        may_answer = asyncio.Event()
        queried_positions: list[int] = []

        async def call(address: str, method: str, payload: bytes) -> bytes | None:
            if method == methods.ENTRIES:
                entries = [turn("kept-here-now")]
                return encode_message(wire.EntriesReply(entries))
            query = decode_message(wire.KeysQuery(), payload)
            queried_positions.append(query.after)
            if len(queried_positions) == 1:
                # Computed under set 1, in which the program's replicas are elsewhere.
                await may_answer.wait()
                return encode_message(wire.KeysReply(7, 1, False, [], 1))
            keys = [entry_key(turn("kept-here-now"))] if query.after == 0 else []
            return encode_message(wire.KeysReply(7, 1, False, keys, 2))

        host.call = call  # type: ignore[method-assign]
        copying = asyncio.create_task(host._copy_from(other))
        await asyncio.sleep(0)
        host.apply_disk_set(wire.DiskSet(2, [host.me, other]))
        may_answer.set()
        await copying
        await host._copy_from(other)
        host.turns.sync()
        assert host.turns.has(entry_key(turn("kept-here-now"))), queried_positions

    asyncio.run(main())
