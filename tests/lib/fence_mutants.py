"""``python -m tests.lib.fence_mutants --help``: mutation tests of the disk fence's model.

Removes one rule at a time from a scratch copy of the sources, draws event orders on it until an
invariant fails, and prints a table row with the number of draws for each seed.
"""

import argparse
import os
import re
import shutil
import subprocess
import sys
from pathlib import Path

from tests.dense.ablation import ROOT, Edit

FENCE = "decisions/disk_fence.py"
RUN_TIMEOUT_S = 600.0

EDITS_BY_RULE: dict[str, tuple[Edit, ...]] = {
    "the catching up of newcomers": (
        Edit(FENCE, "if has_caught_up or _contains(", "if True or _contains("),
    ),
    "versions on reservations": (
        Edit(FENCE, "if asked_version < self.version:", "if False:"),
        Edit(FENCE, "if asked_version > self.version:", "if False:"),
    ),
    "generations of disks": (
        Edit(FENCE, "member.generation == own.generation for", "member.host == own.host for"),
    ),
    "settling between changes": (
        Edit(FENCE, "return len(behind) <= unread_members_allowed(", "return True or bool("),
    ),
    "`tolerated + 1` in a shrunken set": (
        Edit("decisions/disk_quorum.py", ", min(members, tolerated + 1))", ")"),
    ),
}

SCRIPT = """
import sys
import hypothesis
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test
from tests.unit import test_disk_fence_drawn as drawn
begun, found, part = 0, None, 0
class Counted(drawn.Drawn):
    def __init__(self):
        global begun
        begun += 1
        super().__init__()
    def check_invariants(self, *rest, **named):
        global found
        try:
            super().check_invariants(*rest, **named)
        except AssertionError as error:
            found = found or (begun, str(error).splitlines()[0])
            raise
most, seed = int(sys.argv[1]), int(sys.argv[2])
draws = settings(drawn.SETTINGS, derandomize=False, database=None, phases=[Phase.generate],
                 report_multiple_bugs=False)
while begun < most and not found:
    Counted.start = drawn.STARTS[part % len(drawn.STARTS)]
    part += 1
    try:
        run_state_machine_as_test(hypothesis.seed(seed * 1000 + part)(Counted), settings=draws)
    except AssertionError:
        pass
print("DRAWS", *(found or (begun, "")))
"""


def draws_needed(folder: Path, seed: int, most: int) -> str:
    """Returns how many event orders were drawn until one violated an invariant."""
    completed = subprocess.run(
        [sys.executable, "-c", SCRIPT, str(most), str(seed)],
        cwd=ROOT,
        env=os.environ | {"PYTHONPATH": f"{folder / 'src'}:{ROOT}"},
        capture_output=True,
        text=True,
        check=False,
        timeout=RUN_TIMEOUT_S,
    )
    found = re.search(r"^DRAWS (\d+) ?(.*)$", completed.stdout, re.MULTILINE)
    if found is None:
        return completed.stderr.strip()[-200:]
    return f"{found[1]} ({found[2][:60]})" if found[2] else f"not found in {found[1]}"


def main() -> int:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--copy", type=Path, required=True, help="a scratch folder")
    parser.add_argument("--seeds", type=int, nargs="*", default=[1, 2, 3])
    parser.add_argument("--most", type=int, default=2000, help="most draws for a seed")
    parser.add_argument(
        "--only", nargs="*", default=[], help="rules to remove; all if none is given"
    )
    options = parser.parse_args()
    print(f"| without | {' | '.join(f'seed {seed}' for seed in options.seeds)} |")
    for rule in options.only or ["", *EDITS_BY_RULE]:
        shutil.rmtree(options.copy / "src", ignore_errors=True)
        shutil.copytree(ROOT / "src", options.copy / "src")
        for edit in EDITS_BY_RULE.get(rule, ()):
            edit.apply(options.copy)
        needed = [draws_needed(options.copy, seed, options.most) for seed in options.seeds]
        print(f"| {rule or '(nothing)'} | {' | '.join(needed)} |", flush=True)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
