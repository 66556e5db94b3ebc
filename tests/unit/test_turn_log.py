"""The disk's log: synced entries are durable, and only a torn tail is truncated."""

import os
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bayhinge._internal.decisions.turn_retention import MIN_RETENTION_S
from bayhinge._internal.models.endpoint_entries import EndpointIncarnation
from bayhinge._internal.services.disks import turn_log
from bayhinge._internal.services.disks.turn_index import entry_key
from bayhinge._internal.services.disks.turn_log import Chain, TurnLog
from bayhinge._internal.wire.hosts.ttypes import EntryKind, TurnEntry


def turn(
    attempt: str, previous: str | None = None, text: bytes = b"", tokens: int = 3
) -> TurnEntry:
    return TurnEntry(EntryKind.TURN, attempt, "program", tokens, previous, text, "e-1", 60.0)


def reserved(attempt: str, tokens: int) -> TurnEntry:
    return TurnEntry(EntryKind.RESERVED, attempt, "program", tokens)


def test_a_chain_is_joined_from_its_oldest_turn_on(tmp_path: Path) -> None:
    log = TurnLog(tmp_path)
    log.append([turn("c", "b", b"three"), turn("a", None, b"one "), turn("b", "a", b"two ")])
    programs = frozenset({"program"})
    assert log.chain("c") == Chain(b"one two three", EndpointIncarnation("e-1"), programs=programs)
    assert log.chain("x") == Chain(missing="x")
    log.append([turn("z", "y", b"")])
    assert log.chain("z") == Chain(missing="y")


def test_a_chain_names_the_incarnation_that_ran_its_last_turn(tmp_path: Path) -> None:
    log = TurnLog(tmp_path)
    last = turn("b", "a", b"two")
    last.endpoint_born_ms = 1_700_000_000_000
    log.append([turn("a", None, b"one "), last])
    incarnation = EndpointIncarnation("e-1", 1_700_000_000_000)
    assert log.chain("b").run_at == incarnation
    assert log.chain("a").run_at == EndpointIncarnation("e-1")
    log.close()
    assert TurnLog(tmp_path).chain("b").run_at == incarnation


def test_synced_entries_are_there_after_a_restart(tmp_path: Path) -> None:
    log = TurnLog(tmp_path)
    log.append([reserved("a", 40), reserved("b", 50), turn("a", None, b"one", tokens=7)])
    log.close()
    reopened = TurnLog(tmp_path)
    assert reopened.generation == log.generation
    assert not reopened.is_fresh
    assert reopened.chain("a").text == b"one"
    ledger = reopened.ledger("program")
    assert ledger.open_by_attempt == {"a": 40, "b": 50}
    assert ledger.settled_by_attempt == {"a": 7}
    assert reopened.keys_after(0, 10) == log.keys_after(0, 10)


def test_a_duplicate_entry_changes_nothing(tmp_path: Path) -> None:
    log = TurnLog(tmp_path)
    log.append([turn("a", None, b"one"), turn("a", None, b"one")])
    log.append([turn("a", None, b"one")])
    assert log.position == 1
    assert log.entry_count == 1


@settings(max_examples=60, deadline=None)
@given(cut=st.integers(0, 400), noise=st.binary(max_size=12))
def test_a_torn_tail_is_truncated_and_earlier_entries_stay(
    tmp_path_factory: pytest.TempPathFactory, cut: int, noise: bytes
) -> None:
    folder = tmp_path_factory.mktemp("torn")
    log = TurnLog(folder)
    log.append([turn("a", None, b"x" * 50)])
    log.sync()
    synced_end = log._end
    log.append([turn("b", "a", b"y" * 50), turn("c", "b", b"z" * 50)])
    segment = next(folder.glob(f"*{turn_log.SEGMENT_SUFFIX}"))
    data = segment.read_bytes()
    segment.write_bytes(data[: max(synced_end, len(data) - cut)] + noise)
    reopened = TurnLog(folder)
    assert reopened.chain("a").text == b"x" * 50
    present = [name for name in "abc" if reopened.has(entry_key(turn(name)))]
    assert present in (["a"], ["a", "b"], ["a", "b", "c"])
    reopened.append([turn("d", "a", b"new")])
    reopened.close()
    assert TurnLog(folder).chain("d").text == b"x" * 50 + b"new"


def test_an_empty_folder_is_a_new_generation(tmp_path: Path) -> None:
    first, second = TurnLog(tmp_path / "a"), TurnLog(tmp_path / "b")
    assert first.is_fresh
    assert first.generation != second.generation
    assert not first.is_joined
    first.mark_joined()
    first.close()
    assert TurnLog(tmp_path / "a").is_joined


def test_all_segments_are_read(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(turn_log, "SEGMENT_BYTES", 300)
    log = TurnLog(tmp_path)
    previous = None
    for number in range(20):
        log.append([turn(f"t{number}", previous, b"%02d" % number)])
        previous = f"t{number}"
    log.close()
    assert len(list(tmp_path.glob(f"*{turn_log.SEGMENT_SUFFIX}"))) > 2
    text = TurnLog(tmp_path).chain("t19").text
    assert text == b"".join(b"%02d" % number for number in range(20))


def test_a_write_that_the_disk_refuses_leaves_the_log_readable(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    log = TurnLog(tmp_path)
    log.append([turn("a", None, b"one")])
    real_write = os.write
    monkeypatch.setattr(os, "write", lambda file, data: real_write(file, data[:9]))
    with pytest.raises(OSError, match="only 9 of"):
        log.append([turn("b", "a", b"two")])
    monkeypatch.undo()
    assert not log.has(entry_key(turn("b")))
    log.append([turn("c", "a", b"three")])
    log.close()
    assert TurnLog(tmp_path).chain("c").text == b"onethree"


def test_segments_without_live_programs_are_removed_oldest_first(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(turn_log, "SEGMENT_BYTES", 200)
    log = TurnLog(tmp_path)
    log.expire(1000.0)
    for number in range(6):
        log.append([TurnEntry(EntryKind.TURN, f"old{number}", "old", 3, None, b"x" * 80)])
    log.expire(1050.0)
    # Another program continues from the last turn of the old one, and so retains all of it.
    log.append([TurnEntry(EntryKind.TURN, "new0", "new", 3, "old5", b"y" * 80, "", 60.0)])
    log.append([TurnEntry(EntryKind.TURN, "new1", "new", 3, "new0", b"y" * 80, "", 60.0)])
    assert log.expire(1000.0 + MIN_RETENTION_S + 1) == 0
    assert log.chain("new1").missing is None
    # Once they are unreferenced, the old segments are removed; the newest stays open.
    assert log.expire(1051.0 + MIN_RETENTION_S) > 0
    assert not log.has(entry_key(turn("old0")))
    assert log.first_position > 0
    assert log.position == 8
    assert len(log.keys_after(0, 100)) == log.entry_count == 8 - log.first_position
    log.append([turn("later", None, b"z")])
    log.close()
    assert TurnLog(tmp_path).chain("later").text == b"z"


def test_after_a_restart_no_segment_is_removed_too_soon(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(turn_log, "SEGMENT_BYTES", 100)
    log = TurnLog(tmp_path)
    log.expire(5000.0)
    for number in range(4):
        log.append([turn(f"t{number}", None, b"x" * 80)])
    log.close()
    reopened = TurnLog(tmp_path, now_s=90_000.0)
    assert reopened.expire(90_000.0 + MIN_RETENTION_S / 2) == 0
    assert reopened.has(entry_key(turn("t0")))
    assert reopened.expire(90_001.0 + MIN_RETENTION_S) > 0


def test_what_a_failed_sync_should_have_kept_is_forgotten_and_can_be_written_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    log = TurnLog(tmp_path)
    log.append([turn("a1")])
    log.sync()
    open_turn = reserved("a2", 30)
    log.append([open_turn, turn("a3")])
    synced_to = log.position

    def refuse(file: int) -> None:
        raise OSError(5, "the disk failed")

    with monkeypatch.context() as patch:
        patch.setattr(os, "fdatasync", refuse)
        with pytest.raises(OSError, match="the disk failed"):
            log.sync()
    # A later sync succeeds, but confirms nothing that the failed one lost.
    log.sync()
    assert not log.has(entry_key(open_turn))
    assert log.ledger("program").open_by_attempt == {}
    assert log.chain("a3").missing == "a3"
    log.append([turn("a3")])
    log.sync()
    assert [key for key, _ in log.keys_after(synced_to, 10)] == [entry_key(turn("a3"))]
    reopened = TurnLog(tmp_path)
    assert reopened.chain("a3").missing is None
    assert reopened.cut_bytes == 0
    assert not reopened.has(entry_key(open_turn))
