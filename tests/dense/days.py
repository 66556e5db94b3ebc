"""``python -m tests.dense.days --into FOLDER``: draws days whose faults overlap operations.

Targets faults during an operation: a configuration change in progress, a disk that leaves or joins,
a host that starts. Each day has a few operations, and for each of them faults that begin shortly
before it, during it or at its end. The files have the format of the users' bench.
"""

import argparse
import random
from collections.abc import Callable, Iterator
from pathlib import Path

import attrs

LENGTH_S = 30.0
"""Latest start of an operation; the users' days last a little longer."""

FIRST_S = 2.0

NEARNESS_S = (-0.6, -0.1, 0.0, 0.05, 0.4, 1.5)
"""Start of a fault relative to its operation: from shortly before it to its middle."""


@attrs.frozen
class Entry:
    """One event of a day: its time in seconds, and its fields in the bench's format."""

    at: float
    fields: dict[str, str | float | int]

    def toml(self) -> str:
        """Returns the entry as an inline table."""
        shown = {"at": round(max(0.5, self.at), 2), **self.fields}
        return "{ " + ", ".join(f"{name} = {_value(value)}" for name, value in shown.items()) + " }"


@attrs.frozen
class DenseDay:
    """A day of operations (``plan``) and faults."""

    seed: int
    plan: tuple[Entry, ...]
    faults: tuple[Entry, ...]

    @property
    def name(self) -> str:
        """The name of the day and of its file."""
        return f"dense-{self.seed}"

    @property
    def size(self) -> int:
        """Number of entries."""
        return len(self.plan) + len(self.faults)

    def without(self, numbers: frozenset[int]) -> "DenseDay":
        """Returns the day without the entries with these indices into ``plan + faults``."""
        plan = tuple(entry for at, entry in enumerate(self.plan) if at not in numbers)
        first = len(self.plan)
        faults = tuple(entry for at, entry in enumerate(self.faults, first) if at not in numbers)
        return DenseDay(self.seed, plan, faults)

    def toml(self) -> str:
        """Returns the day as TOML."""
        lines = [f'[[day]]\nname = "{self.name}"\nslot = "trouble"\nseed = {self.seed}']
        for name, entries in (("plan", self.plan), ("faults", self.faults)):
            shown = "".join(f"  {entry.toml()},\n" for entry in entries)
            lines.append(f"{name} = [\n{shown}]")
        return "\n".join(lines) + "\n"


Draw = Callable[[random.Random], dict[str, str | float | int]]

OPERATIONS: dict[str, Draw] = {
    "config_change": lambda draw: {"how": draw.choice(("timeout", "idle", "weights"))},
    "roll_term": lambda draw: {"share": _share(draw), "gap_s": 1.0, "how": "busy"},
    "release": lambda draw: {"share": _share(draw), "gap_s": 1.0},
    "scale_in": lambda draw: {"share": 0.15},
    "retire": lambda draw: {"for_s": draw.choice((8.0, 10.0))},
    "replace_core": lambda draw: {"on": "store", "count": 1, "x": draw.choice((0.5, 1.0, 2.0))},
}

FAULTS: dict[str, Draw] = {
    "platform_down": lambda draw: {
        "for_s": _span(draw),
        "how": draw.choice(("silent", "reset", "busy", "silent lapse", "nodes silent")),
    },
    "platform_slow": lambda draw: {"for_s": _span(draw), "x": draw.choice((20.0, 60.0))},
    "platform_lost": lambda draw: {"for_s": _span(draw), "x": 0.35, "how": "late"},
    "platform_compact": lambda draw: {"for_s": _span(draw), "x": 4.0},
    "node_kill": lambda draw: {"share": _share(draw), "for_s": draw.choice((0.3, 2.0))},
    "herd_kill": lambda draw: {"share": 0.5, "for_s": 1.0, "how": draw.choice(("", "power"))},
    "node_cut": lambda draw: {"share": _share(draw), "for_s": _span(draw)},
    "core_cut": lambda draw: {"count": 1, "for_s": _span(draw), "how": "leader"},
    "answer_lost": lambda draw: {"share": 0.5, "x": 0.05, "for_s": _span(draw)},
    "srv_crash": lambda draw: {
        "share": 0.17,
        "for_s": _span(draw),
        "how": draw.choice(("", "dark")),
    },
    "srv_cut": lambda draw: {"share": 0.2, "for_s": _span(draw), "how": "reborn"},
    "garble": lambda draw: {"service": "@s0", "share": 1.0, "x": 0.3, "for_s": _span(draw)},
    "srv_flap": lambda draw: {"share": 0.15, "gap_s": 1.4, "for_s": _span(draw)},
    "srv_slow": lambda draw: {"share": 0.16, "x": 5.0, "for_s": _span(draw)},
    "burst": lambda draw: {"x": draw.choice((1.4, 2.0)), "for_s": _span(draw)},
    "node_freeze": lambda draw: {"on": "store", "count": 1, "for_s": draw.choice((0.8, 3.2))},
}


def dense_day(seed: int, without: frozenset[str] = frozenset()) -> DenseDay:
    """Draws a day from a seed.

    ``without`` names kinds of faults that the site does not support.
    """
    draw = random.Random(seed)
    plan: list[Entry] = []
    faults: list[Entry] = []
    for _ in range(draw.randint(2, 4)):
        kind = draw.choice(list(OPERATIONS))
        at = draw.uniform(FIRST_S, LENGTH_S)
        plan.append(Entry(at, {"kind": kind, **OPERATIONS[kind](draw)}))
        faults += _faults_about(at, draw, without)
    return DenseDay(seed, tuple(plan), tuple(faults))


def _faults_about(at: float, draw: random.Random, without: frozenset[str]) -> Iterator[Entry]:
    """Draws faults around an operation; some of them occur twice."""
    known = [kind for kind in FAULTS if kind not in without]
    for kind in draw.sample(known, draw.randint(1, 3)):
        fields = {"kind": kind, **FAULTS[kind](draw)}
        begins = at + draw.choice(NEARNESS_S)
        yield Entry(begins, fields)
        if draw.random() < 0.2:
            yield Entry(begins + draw.choice((0.7, 3.0)), fields)


def _share(draw: random.Random) -> float:
    return draw.choice((0.15, 0.34, 0.5))


def _span(draw: random.Random) -> float:
    """Draws the duration of a fault, shorter or longer than the timeouts of decisions."""
    return draw.choice((0.4, 1.5, 4.0, 8.0))


def _value(value: str | float) -> str:
    return f'"{value}"' if isinstance(value, str) else str(value)


def main() -> int:
    """Writes day files."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--days", type=int, default=20, help="how many days to draw")
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--into", type=Path, required=True, help="the output folder")
    parser.add_argument(
        "--without", nargs="*", default=[], help="kinds of faults that the site does not support"
    )
    options = parser.parse_args()
    options.into.mkdir(parents=True, exist_ok=True)
    for seed in range(options.first, options.first + options.days):
        day = dense_day(seed, frozenset(options.without))
        (options.into / f"dense-{seed}.toml").write_text(day.toml())
    print(f"{options.days} days written, seeds {options.first} on")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
