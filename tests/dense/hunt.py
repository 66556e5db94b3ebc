"""``python -m tests.dense.hunt --help``: runs drawn days and keeps those that violate a rule.

A day that violates a rule is shrunk to one that still violates one of the same rules, and written
to ``deploy/days`` with its seed and a line for the cause; ``tests.dense.play`` runs it there.
"""

import argparse
import os
from pathlib import Path

from tests.dense.bench import Bench, DayResult
from tests.dense.cut_down import MOST_PLAYS, cut_down
from tests.dense.days import DenseDay, dense_day

ROOT = Path(__file__).parents[2]
CASES = ROOT / "deploy/days"
DRAWN = Path("build/dense")

BENCH_SEEDS = (0, 1, 2)
"""Seeds to run a smaller day with; 0 is its own. Removing an entry changes all later draws, so that
one seed alone often misses the failure."""


def case_text(day: DenseDay, found: DayResult, site: str, drawn_size: int) -> str:
    """Returns the file of a kept day, with the violated rules and the site in its head."""
    rules = ", ".join(f"{rule} ({times})" for rule, times in sorted(found.broken_by_rule.items()))
    return (
        f"# Breaks {rules} on {Path(site).stem}. Drawn with seed {day.seed}, and cut down from\n"
        f"# {drawn_size} to {day.size} entries by `python -m tests.dense.hunt`.\n"
        f"# Cause: not traced yet.\n{day.toml()}"
    )


def hunt_one(bench: Bench, seed: int, without: set[str], most_plays: int = MOST_PLAYS) -> str:
    """Runs one drawn day, keeps it if it violates a rule, and returns a table row.

    Kinds of faults that the site does not support are added to ``without``.
    """
    day, found = _draw_and_run(bench, seed, without)
    if not found.broken_by_rule:
        return f"{day.name}  {found}"
    rules = found.broken_by_rule.keys()

    def still_fails(smaller: DenseDay) -> bool:
        return any(
            rules & _run_day(bench, smaller, "cut down", bench_seed).broken_by_rule.keys()
            for bench_seed in BENCH_SEEDS
        )

    smallest = cut_down(day, still_fails, most_plays)
    path = CASES / f"{day.name}.toml"
    path.write_text(case_text(smallest, found, bench.site, day.size))
    return f"{day.name}  {found}; {day.size} entries cut down to {smallest.size}: {path}"


def _draw_and_run(bench: Bench, seed: int, without: set[str]) -> tuple[DenseDay, DayResult]:
    while True:
        day = dense_day(seed, frozenset(without))
        found = _run_day(bench, day, "as drawn")
        if not found.unsupported_kind or found.unsupported_kind in without:
            return day, found
        without.add(found.unsupported_kind)


def _run_day(bench: Bench, day: DenseDay, how: str, bench_seed: int = 0) -> DayResult:
    folder = bench.root / DRAWN
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{day.name}.toml"
    path.write_text(day.toml())
    return bench.play(path, f"Dense day {day.seed}, {how}, {day.size} entries", bench_seed)


def main() -> int:
    """Prints the rows; returns 0 if no rule was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--bench", default=os.environ.get("FLEETBENCH", ""), help="program of the bench"
    )
    parser.add_argument("--site", default=os.environ.get("SITE", ""), help="a site file")
    parser.add_argument("--days", type=int, default=20, help="how many days to draw")
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument(
        "--root", type=Path, default=ROOT, help="the copy of the repository under test"
    )
    parser.add_argument(
        "--most-plays", type=int, default=MOST_PLAYS, help="most runs for shrinking a day"
    )
    options = parser.parse_args()
    if not options.bench or not options.site:
        print("dense: not played; set FLEETBENCH to the bench's program and SITE to a site file")
        return 0
    bench = Bench(options.bench, options.site, options.root, options.jobs)
    without: set[str] = set()
    broken = 0
    for seed in range(options.first, options.first + options.days):
        row = hunt_one(bench, seed, without, options.most_plays)
        broken += "entries cut down" in row
        print(row, flush=True)
    print(f"{options.days} days, {broken} broke a rule; not known on this site: {sorted(without)}")
    return 1 if broken else 0


if __name__ == "__main__":
    raise SystemExit(main())
