"""Runs day files on the users' bench and reads the results from its journal entries."""

import re
import subprocess
from pathlib import Path

import attrs
import orjson

_LACKS_KIND = re.compile(r"^fleetbench: (?P<kind>\w+): contract \w+ is not open", re.MULTILINE)
_REFUSAL = re.compile(r"^fleetbench: (?P<why>.+)$", re.MULTILINE)


class BenchError(Exception):
    """The bench neither ran the day nor rejected it as unsuitable for the site."""


@attrs.frozen
class DayResult:
    """Result of one run of a day.

    Attributes:
        broken_by_rule: number of violations of each violated rule.
        refusal: why the bench rejected the day; empty if it was run.
        lacking: the kind of fault that the site does not support, if that is the reason.
    """

    broken_by_rule: dict[str, int]
    worth: float | None = None
    served: float | None = None
    refusal: str = ""
    unsupported_kind: str = ""

    def __str__(self) -> str:
        """Returns a table row."""
        if self.refusal:
            return f"left out: {self.refusal}"
        rules = ", ".join(f"{rule} {times}" for rule, times in sorted(self.broken_by_rule.items()))
        return f"worth {self.worth:.3f}  served {self.served:.3f}  {rules or 'no rule broken'}"


def read_entry(entry: bytes) -> DayResult:
    """Parses the journal entry of a run.

    Raises:
        BenchError: the entry contains no day.
    """
    days = orjson.loads(entry)["days"]
    if not days:
        raise BenchError("the journal's entry holds no day")
    day = days[0]
    return DayResult(dict(day["rules"]), day["figure"], day["served"])


def read_refusal(output: str) -> DayResult | None:
    """Returns the rejection of a day that the bench's output reports; None if there is none."""
    rejected = _REFUSAL.search(output)
    if rejected is None:
        return None
    lacks = _LACKS_KIND.search(output)
    return DayResult({}, refusal=rejected["why"], unsupported_kind=lacks["kind"] if lacks else "")


@attrs.frozen
class Bench:
    """The bench's program, a site, and the copy of the repository under test.

    A run rebuilds the copy, so there must be only one run at a time in it.
    """

    program: str
    site: str
    root: Path
    jobs: int = 2

    def play(self, day: Path, why: str, bench_seed: int = 0) -> DayResult:
        """Runs a day file once, with its own seed or with ``bench_seed`` instead.

        Raises:
            BenchError: the bench neither ran the day nor rejected it.
        """
        before = self._entries()
        command = [self.program, "run", self.site, str(day), "--jobs", str(self.jobs)]
        command += ["--seed", str(bench_seed)] if bench_seed else []
        completed = subprocess.run(
            [*command, "--why", why], cwd=self.root, capture_output=True, text=True, check=False
        )
        new = sorted(self._entries() - before)
        if new:
            return read_entry(new[-1].read_bytes())
        rejected = read_refusal(completed.stdout + completed.stderr)
        if rejected is None:
            raise BenchError(f"{day.name}: {(completed.stdout + completed.stderr)[-300:]}")
        return rejected

    def _entries(self) -> set[Path]:
        return set((self.root / "journal").glob("*.json"))
