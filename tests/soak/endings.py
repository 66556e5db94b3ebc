"""Searches all combinations of ways in which endpoints end under a request, by hand.

``python -m tests.soak.endings --first 1 --cases 200 --jobs 4``
"""

import argparse
import multiprocessing
import os
import sys
import tempfile
from pathlib import Path

from tests.lib.drawn_endings import findings, play
from tests.lib.end_cases import EndCase, draw, simpler


def judge(case: EndCase) -> list[str]:
    """Plays a case; returns what is wrong."""
    with tempfile.TemporaryDirectory() as folder:
        try:
            return findings(case, play(Path(folder), case))
        except (OSError, TimeoutError, AssertionError) as error:
            return [f"not played: {type(error).__name__} {error}"]


def judge_seed(seed: int) -> tuple[int, list[str]]:
    """Plays the case of a seed."""
    return seed, judge(draw(seed))


def shrink(case: EndCase) -> EndCase:
    """Returns the simplest case on the way to the usual one that still fails."""
    for each in simpler(case):
        if judge(each):
            return shrink(each)
    return case


def main() -> None:
    """Plays the cases of some seeds, and shrinks those that fail."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--cases", type=int, default=100)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--no-shrink", action="store_true")
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.cases)
    failed: list[int] = []
    with multiprocessing.get_context("spawn").Pool(options.jobs, initializer=_be_quiet) as pool:
        for seed, found in pool.imap_unordered(judge_seed, seeds):
            if found:
                failed.append(seed)
                print(f"seed {seed}: {'; '.join(found)}: {draw(seed)}", flush=True)
    print(f"{len(failed)} of {len(seeds)} failed: {sorted(failed)}", flush=True)
    for seed in [] if options.no_shrink else sorted(failed):
        print(f"seed {seed}, shrunk: {shrink(draw(seed))}", flush=True)
    sys.exit(bool(failed))


def _be_quiet() -> None:
    """Keeps the hosts' logs off the terminal."""
    os.dup2(os.open(os.devnull, os.O_WRONLY), 1)


if __name__ == "__main__":
    main()
