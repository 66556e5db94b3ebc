"""Days that break a rule are cut down to what breaks it, and what the bench says is read."""

import tomllib
from pathlib import Path
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.dense import hunt
from tests.dense.bench import Bench, BenchError, Played, read_entry, read_refusal
from tests.dense.cut_down import cut_down
from tests.dense.days import DenseDay, Entry, dense_day
from tests.dense.hunt import LUCKS

ENTRY: dict[str, Any] = {"rules": {"MIXED": 4}, "figure": 0.8378, "served": 0.9486}


def day_of(size: int, planned: int) -> DenseDay:
    entries = tuple(Entry(float(number), {"kind": f"k{number}"}) for number in range(size))
    return DenseDay(1, entries[:planned], entries[planned:])


def kinds(day: DenseDay) -> set[str]:
    return {str(entry.fields["kind"]) for entry in (*day.plan, *day.faults)}


@given(st.integers(1, 20), st.data())
def test_what_is_left_is_what_the_failure_needs(size: int, data: st.DataObject) -> None:
    day = day_of(size, data.draw(st.integers(0, size)))
    needed = data.draw(st.sets(st.sampled_from(sorted(kinds(day))), min_size=1))
    shortest = cut_down(day, lambda shorter: needed <= kinds(shorter), most_plays=1000)
    assert kinds(shortest) == needed
    assert shortest.seed == day.seed


@given(st.integers(1, 20), st.integers(0, 10))
def test_plays_are_bounded_and_what_is_left_still_fails(size: int, most: int) -> None:
    played: list[DenseDay] = []

    def still_fails(shorter: DenseDay) -> bool:
        played.append(shorter)
        return "k0" in kinds(shorter)

    shortest = cut_down(day_of(size, 0), still_fails, most)
    assert len(played) <= most
    assert "k0" in kinds(shortest)


def test_what_the_bench_says_is_read() -> None:
    assert read_entry(orjson.dumps({"days": [ENTRY]})) == Played({"MIXED": 4}, 0.8378, 0.9486)
    with pytest.raises(BenchError):
        read_entry(orjson.dumps({"days": []}))
    lacks = read_refusal("built in 1 s\nfleetbench: srv_flap: contract health is not open\n")
    assert lacks is not None
    assert lacks.lacking == "srv_flap"
    other = read_refusal("fleetbench: srv_crash: no service thess-a\n")
    assert other is not None
    assert (other.lacking, other.refusal) == ("", "srv_crash: no service thess-a")
    assert read_refusal("killed") is None


def bench_that_lacks_flapping(folder: Path, seen: list[str]) -> Bench:
    """Returns a bench whose days break MIXED wherever something is planned."""

    class Played1(Bench):
        def play(self, day: Path, why: str, luck: int = 0) -> Played:
            text = day.read_text()
            seen.append(text)
            if "srv_flap" in text:
                return Played({}, refusal="srv_flap: not open", lacking="srv_flap")
            is_planned = bool(tomllib.loads(text)["day"][0]["plan"])
            # A shorter day shows it with other luck than its own only.
            is_shown = is_planned and ("as drawn" in why or luck == LUCKS[-1])
            return Played({"MIXED": 1} if is_shown else {}, 0.5, 0.5)

    return Played1("", "sites/some.toml", folder)


def test_a_case_is_kept_with_its_seed_and_a_line_for_its_cause(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(hunt, "CASES", tmp_path)
    seed = next(seed for seed in range(1, 99) if "srv_flap" in dense_day(seed).toml())
    seen: list[str] = []
    without: set[str] = set()
    row = hunt.hunt_one(bench_that_lacks_flapping(tmp_path, seen), seed, without)
    assert without == {"srv_flap"}
    assert "cut down to 1" in row
    text = (tmp_path / f"dense-{seed}.toml").read_text()
    kept = tomllib.loads(text)["day"][0]
    assert (kept["seed"], len(kept["plan"]), kept["faults"]) == (seed, 1, [])
    assert f"seed {seed}" in text
    assert "Breaks MIXED (1) on some" in text
    assert "# Cause: not traced yet." in text
