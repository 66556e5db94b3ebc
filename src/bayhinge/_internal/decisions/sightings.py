"""When the hosts of one hall were last heard by anybody, as hosts tell each other. Pure.

A host of a large hall is greeted by each other one only every some seconds, while one that falls
silent should leave the callers' lists sooner. By their own ears alone hosts know a part of their
hall, each another part, so callers are told of different hosts by each. Ages add what others
heard: they only grow, so what nobody hears any more is old everywhere at the same time.
"""

from collections.abc import Mapping

AGES_A_SECOND = 100
"""Ages are told in hundredths of a second."""

LISTED_PERIODS = 3.6
"""Callers are told of hosts that somebody heard within so many rounds of hellos. With ages told,
999 of 1,000 hosts that are well were heard within 2.6 rounds, in halls of 16 to 44 hosts (played in
virtual time, no hello lost)."""

LEAST_LISTED_S = 1.5
LONGEST_LISTED_S = 3.5
"""Bounds on that time. The least is five rounds of a small site, where some hellos may be lost. The
longest is less than 350 hosts need: a list there lacks one host in fifty."""

LONGEST_AGE_S = 10.0
"""Older ones are not told: more than twice the time for which callers are told of a silent host."""

_START_BITS = 32


def start_of(incarnation: int) -> int:
    """Returns the name of a host's start in hellos: the low 32 bits, as a signed number."""
    low = incarnation & (1 << _START_BITS) - 1
    return low - (1 << _START_BITS) if low >> _START_BITS - 1 else low


def listed_s(period_s: float) -> float:
    """Returns for how long callers are told of a silent host, by the time between two rounds."""
    return min(LONGEST_LISTED_S, max(LEAST_LISTED_S, LISTED_PERIODS * period_s))


class Sightings:
    """The newest moment at which each start of a host was heard by anybody."""

    def __init__(self) -> None:
        """Starts with nothing heard."""
        self._seen_s_by_start: dict[int, float] = {}

    def see(self, start: int, now_s: float) -> None:
        """This host heard another one say that it takes callers."""
        self._seen_s_by_start[start] = now_s

    def leave(self, start: int) -> None:
        """This host heard another one say that it takes no callers."""
        self._seen_s_by_start.pop(start, None)

    def hear(self, age_by_start: Mapping[int, int], now_s: float) -> None:
        """Takes in what another host tells; the way of its hello is not counted."""
        for start, age in age_by_start.items():
            seen_s = now_s - max(0, age) / AGES_A_SECOND
            if seen_s > self._seen_s_by_start.get(start, 0.0):
                self._seen_s_by_start[start] = seen_s

    def seen_s(self, start: int) -> float:
        """Returns when a start was last heard, on the clock of ``now_s``; 0 if it never was."""
        return self._seen_s_by_start.get(start, 0.0)

    def ages(self, now_s: float) -> dict[int, int]:
        """Returns what to tell others, and forgets what is too old to be told."""
        oldest_s = now_s - LONGEST_AGE_S
        self._seen_s_by_start = {
            start: seen_s for start, seen_s in self._seen_s_by_start.items() if seen_s >= oldest_s
        }
        return {
            start: round((now_s - seen_s) * AGES_A_SECOND)
            for start, seen_s in self._seen_s_by_start.items()
        }
