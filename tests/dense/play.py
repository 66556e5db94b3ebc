"""``python -m tests.dense.play``: runs the days in ``deploy/days`` on a site of the users' bench.

Days that the bench rejects as unsuitable for the site are printed and skipped.
"""

import argparse
import os
from pathlib import Path

from tests.dense.bench import Bench
from tests.dense.hunt import CASES, ROOT


def main() -> int:
    """Prints the rows; returns 0 if no rule was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--bench", default=os.environ.get("FLEETBENCH", ""), help="program of the bench"
    )
    parser.add_argument("--site", default=os.environ.get("SITE", ""), help="a site file")
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument(
        "--root", type=Path, default=ROOT, help="the copy of the repository under test"
    )
    options = parser.parse_args()
    if not options.bench or not options.site:
        print("days: not run; set FLEETBENCH to the bench's program and SITE to a site file")
        return 0
    bench = Bench(options.bench, options.site, options.root, options.jobs)
    broken = 0
    for day in sorted(CASES.glob("*.toml")):
        played = bench.play(day, f"A day of our own: {day.stem}")
        broken += bool(played.broken_by_rule)
        print(f"{day.stem:34} {played}", flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    raise SystemExit(main())
