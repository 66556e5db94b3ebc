"""Plays day files on the users' bench, and reads what a play came to from its journal entry."""

import re
import subprocess
from pathlib import Path

import attrs
import orjson

_LACKS_KIND = re.compile(r"^fleetbench: (?P<kind>\w+): contract \w+ is not open", re.MULTILINE)
_REFUSAL = re.compile(r"^fleetbench: (?P<why>.+)$", re.MULTILINE)


class BenchError(Exception):
    """The bench ended without a play, and not because the day does not fit the site."""


@attrs.frozen
class Played:
    """What one play of a day came to.

    Attributes:
        broken_by_rule: how often each rule was broken; empty where all held.
        refusal: why the bench left the day out; empty where it was played.
        lacking: the kind of fault that the site does not know, if that is why.
    """

    broken_by_rule: dict[str, int]
    worth: float | None = None
    served: float | None = None
    refusal: str = ""
    lacking: str = ""

    def __str__(self) -> str:
        """Returns a row."""
        if self.refusal:
            return f"left out: {self.refusal}"
        rules = ", ".join(f"{rule} {times}" for rule, times in sorted(self.broken_by_rule.items()))
        return f"worth {self.worth:.3f}  served {self.served:.3f}  {rules or 'no rule broken'}"


def read_entry(entry: bytes) -> Played:
    """Returns what the journal's entry of a run says.

    Raises:
        BenchError: the entry holds no day that was played.
    """
    days = orjson.loads(entry)["days"]
    if not days:
        raise BenchError("the journal's entry holds no day")
    day = days[0]
    return Played(dict(day["rules"]), day["figure"], day["served"])


def read_refusal(said: str) -> Played | None:
    """Returns a play that was left out, if what the bench said is why a day does not fit."""
    refused = _REFUSAL.search(said)
    if refused is None:
        return None
    lacks = _LACKS_KIND.search(said)
    return Played({}, refusal=refused["why"], lacking=lacks["kind"] if lacks else "")


@attrs.frozen
class Bench:
    """The bench's program, a site, and the repository's copy that is played.

    A play builds anew in the copy's folder, under the hosts of any other play there: one at a time.
    """

    program: str
    site: str
    root: Path
    jobs: int = 2

    def play(self, day: Path, why: str, luck: int = 0) -> Played:
        """Plays a day file once, with its own seed or with ``luck`` in place of it.

        Raises:
            BenchError: it ended otherwise than by a play or a refusal of the day.
        """
        before = self._entries()
        command = [self.program, "run", self.site, str(day), "--jobs", str(self.jobs)]
        command += ["--seed", str(luck)] if luck else []
        ended = subprocess.run(
            [*command, "--why", why], cwd=self.root, capture_output=True, text=True, check=False
        )
        new = sorted(self._entries() - before)
        if new:
            return read_entry(new[-1].read_bytes())
        refused = read_refusal(ended.stdout + ended.stderr)
        if refused is None:
            raise BenchError(f"{day.name}: {(ended.stdout + ended.stderr)[-300:]}")
        return refused

    def _entries(self) -> set[Path]:
        return set((self.root / "journal").glob("*.json"))
