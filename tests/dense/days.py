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

LAST_OPERATION_S = 30.0
"""Latest start of an operation; the users' days last a little longer."""

FIRST_OPERATION_S = 2.0

FAULT_OFFSETS_S = (-0.6, -0.1, 0.0, 0.05, 0.4, 1.5)
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
    "config_change": lambda rng: {"how": rng.choice(("timeout", "idle", "weights"))},
    "roll_term": lambda rng: {"share": _share(rng), "gap_s": 1.0, "how": "busy"},
    "release": lambda rng: {"share": _share(rng), "gap_s": 1.0},
    "scale_in": lambda rng: {"share": 0.15},
    "retire": lambda rng: {"for_s": rng.choice((8.0, 10.0))},
    "replace_core": lambda rng: {"on": "store", "count": 1, "x": rng.choice((0.5, 1.0, 2.0))},
}

FAULTS: dict[str, Draw] = {
    "platform_down": lambda rng: {
        "for_s": _duration_s(rng),
        "how": rng.choice(("silent", "reset", "busy", "silent lapse", "nodes silent")),
    },
    "platform_slow": lambda rng: {"for_s": _duration_s(rng), "x": rng.choice((20.0, 60.0))},
    "platform_lost": lambda rng: {"for_s": _duration_s(rng), "x": 0.35, "how": "late"},
    "platform_compact": lambda rng: {"for_s": _duration_s(rng), "x": 4.0},
    "node_kill": lambda rng: {"share": _share(rng), "for_s": rng.choice((0.3, 2.0))},
    "herd_kill": lambda rng: {"share": 0.5, "for_s": 1.0, "how": rng.choice(("", "power"))},
    "node_cut": lambda rng: {"share": _share(rng), "for_s": _duration_s(rng)},
    "core_cut": lambda rng: {"count": 1, "for_s": _duration_s(rng), "how": "leader"},
    "answer_lost": lambda rng: {"share": 0.5, "x": 0.05, "for_s": _duration_s(rng)},
    "srv_crash": lambda rng: {
        "share": 0.17,
        "for_s": _duration_s(rng),
        "how": rng.choice(("", "dark")),
    },
    "srv_cut": lambda rng: {"share": 0.2, "for_s": _duration_s(rng), "how": "reborn"},
    "garble": lambda rng: {"service": "@s0", "share": 1.0, "x": 0.3, "for_s": _duration_s(rng)},
    "srv_flap": lambda rng: {"share": 0.15, "gap_s": 1.4, "for_s": _duration_s(rng)},
    "srv_slow": lambda rng: {"share": 0.16, "x": 5.0, "for_s": _duration_s(rng)},
    "burst": lambda rng: {"x": rng.choice((1.4, 2.0)), "for_s": _duration_s(rng)},
    "node_freeze": lambda rng: {"on": "store", "count": 1, "for_s": rng.choice((0.8, 3.2))},
}


def dense_day(seed: int, without: frozenset[str] = frozenset()) -> DenseDay:
    """Draws a day from a seed.

    ``without`` names kinds of faults that the site does not support.
    """
    rng = random.Random(seed)
    plan: list[Entry] = []
    faults: list[Entry] = []
    for _ in range(rng.randint(2, 4)):
        kind = rng.choice(list(OPERATIONS))
        at = rng.uniform(FIRST_OPERATION_S, LAST_OPERATION_S)
        plan.append(Entry(at, {"kind": kind, **OPERATIONS[kind](rng)}))
        faults += _faults_around(at, rng, without)
    return DenseDay(seed, tuple(plan), tuple(faults))


def _faults_around(at: float, rng: random.Random, without: frozenset[str]) -> Iterator[Entry]:
    """Draws faults around an operation; some of them occur twice."""
    known = [kind for kind in FAULTS if kind not in without]
    for kind in rng.sample(known, rng.randint(1, 3)):
        fields = {"kind": kind, **FAULTS[kind](rng)}
        start_s = at + rng.choice(FAULT_OFFSETS_S)
        yield Entry(start_s, fields)
        if rng.random() < 0.2:
            yield Entry(start_s + rng.choice((0.7, 3.0)), fields)


def _share(rng: random.Random) -> float:
    return rng.choice((0.15, 0.34, 0.5))


def _duration_s(rng: random.Random) -> float:
    """Draws the duration of a fault, shorter or longer than the timeouts of decisions."""
    return rng.choice((0.4, 1.5, 4.0, 8.0))


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
