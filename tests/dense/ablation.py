"""``python -m tests.dense.ablation --help``: ablation study of the mechanisms on one day.

Runs one day with all mechanisms, then with each of them disabled in turn, in the clone given by
``--copy``, whose sources are replaced. Prints one row for each run; a mechanism whose row is no
worse than the spread of the first rows is a candidate for removal.
"""

import argparse
import re
import shutil
import subprocess
from collections.abc import Iterator
from pathlib import Path

import attrs

ROOT = Path(__file__).parents[2]
INTERNAL = Path("src/bayhinge/_internal")
_ROW = re.compile(r"^\S+ +\d+/\d+ +\S+ +(?P<worth>-?[\d.]+) +(?P<served>[\d.]+) ", re.MULTILINE)


class EditTargetError(Exception):
    """The text of an edit is not in the sources exactly once; the table must be updated."""


@attrs.frozen
class Edit:
    """Replaces the text ``old``, which must occur exactly once in a file, by ``new``."""

    path: str
    old: str
    new: str

    def apply(self, root: Path) -> None:
        """Edits the file in a copy of the repository.

        Raises:
            EditTargetError: the text does not occur, or more than once.
        """
        path = root / INTERNAL / self.path
        text = path.read_text()
        if text.count(self.old) != 1:
            raise EditTargetError(f"{self.path}: '{self.old}' stands {text.count(self.old)} times")
        path.write_text(text.replace(self.old, self.new))


WEIGHTS = "decisions/placement_weights.py"

EDITS_BY_MECHANISM: dict[str, tuple[Edit, ...]] = {
    "homes": (
        Edit(
            "services/gateway/placement.py",
            "if coordinator is None or hall ==",
            "if True or hall ==",
        ),
    ),
    "complaints": (
        Edit(WEIGHTS, "FAILURE_REPORT_SHARE = 0.15", "FAILURE_REPORT_SHARE = 0.0"),
        Edit(WEIGHTS, "FAILURE_REPORT_REQUESTS = 2.0", "FAILURE_REPORT_REQUESTS = 0.0"),
        Edit(WEIGHTS, "MIN_FAILURE_REPORTS = 2", "MIN_FAILURE_REPORTS = 1000"),
    ),
    "ejection": (
        Edit("decisions/endpoint_state.py", "FIRST_EJECTION_S = 1.0", "FIRST_EJECTION_S = 0.0"),
    ),
    "doubt": (
        Edit("decisions/answer_timeouts.py", "TYPICAL_LATENCIES = 4.0", "TYPICAL_LATENCIES = 1e9"),
        Edit("decisions/answer_timeouts.py", "MIN_SILENCE_S = 0.1", "MIN_SILENCE_S = 1e9"),
    ),
    "own cache": (
        Edit(WEIGHTS, "OWN_CACHE_SHARE = 0.3", "OWN_CACHE_SHARE = 0.0"),
        Edit(
            WEIGHTS,
            "return max(OWN_CACHE_SHARE, _as_share(kept_tokens",
            "return max(0.0, _as_share(0 * kept_tokens",
        ),
    ),
    "shared parts": (
        Edit(
            "decisions/endpoint_table.py", "        if preference.shared_part:", "        if False:"
        ),
    ),
    "whole requests": (
        Edit(WEIGHTS, "TOKENS_PER_REQUEST = 1000.0", "TOKENS_PER_REQUEST = 1e9"),
        Edit(WEIGHTS, "OTHER_HALL_REQUESTS = 2.0", "OTHER_HALL_REQUESTS = 0.0"),
    ),
    "own hall first": (
        Edit(WEIGHTS, "OTHER_HALL_SHARE = 0.15", "OTHER_HALL_SHARE = 0.0"),
        Edit(WEIGHTS, "OTHER_HALL_REQUESTS = 2.0", "OTHER_HALL_REQUESTS = 0.0"),
    ),
    "relays": (
        Edit("services/gateway/disk_link.py", "        if relay is None:", "        if True:"),
    ),
    "cut hosts not told": (
        Edit(
            "decisions/disk_reachability.py",
            "return len(self._silent_since_answer) >",
            "return 0 >",
        ),
    ),
    "waits for disks": (
        Edit("services/gateway/turn_refusals.py", "DISK_ANSWER_S = 0.45", "DISK_ANSWER_S = 0.05"),
    ),
    "first news": (
        Edit(
            "services/gateway/initial_sync.py",
            "INITIAL_SYNC_WAIT_S = 1.5",
            "INITIAL_SYNC_WAIT_S = 0.0",
        ),
    ),
}


@attrs.frozen
class AblationRun:
    """Result of one run of the day."""

    mechanism: str
    worth: float | None
    served: float | None

    def __str__(self) -> str:
        """Returns a table row."""
        if self.worth is None:
            return f"{self.mechanism:20} did not end"
        return f"{self.mechanism:20} worth {self.worth:.3f}  served {self.served:.3f}"


def copy_without(mechanism: str, folder: Path) -> None:
    """Copies the repository's sources to ``folder`` and disables one mechanism ('' for none)."""
    shutil.rmtree(folder / "src", ignore_errors=True)
    shutil.copytree(ROOT / "src", folder / "src")
    for edit in EDITS_BY_MECHANISM.get(mechanism, ()):
        edit.apply(folder)


def ablation_runs(options: argparse.Namespace) -> Iterator[AblationRun]:
    """Runs the day ``--spread`` times with all mechanisms, then once without each."""
    names = options.only or list(EDITS_BY_MECHANISM)
    for mechanism in [""] * options.spread + names:
        copy_without(mechanism, options.copy)
        why = (
            f"Ablation: {f'without {mechanism}' if mechanism else 'all mechanisms'}, {options.day}"
        )
        command = [options.bench, "run", options.site, options.day, "--jobs", str(options.jobs)]
        command += ["--seed", options.seed] if options.seed else []
        command += ["--no-cpu"] if options.uncharged else []
        completed = subprocess.run(
            [*command, "--why", why],
            cwd=options.copy,
            capture_output=True,
            text=True,
            check=False,
        )
        row = _ROW.search(completed.stdout)
        worth, served = (float(row["worth"]), float(row["served"])) if row else (None, None)
        yield AblationRun(mechanism or "(all)", worth, served)


def main() -> int:
    """Prints the rows."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", required=True, help="program of the users' bench")
    parser.add_argument("--site", required=True)
    parser.add_argument("--day", required=True, help="name or file of the day")
    parser.add_argument("--seed", default="")
    parser.add_argument(
        "--copy",
        type=Path,
        required=True,
        help="a clone of the repository; its sources are overwritten",
    )
    parser.add_argument("--spread", type=int, default=2, help="number of runs with all mechanisms")
    parser.add_argument("--uncharged", action="store_true", help="don't charge processor time")
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument(
        "--only", nargs="*", default=[], help="mechanisms to disable; all if none is given"
    )
    for result in ablation_runs(parser.parse_args()):
        print(result, flush=True)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
