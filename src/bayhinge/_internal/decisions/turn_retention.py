"""How long a disk keeps a program's entries. Pure.

A turn counts from the end of its answer on, and is kept with its chain from then on. What it goes
on from is therefore needed while it runs, and for its own retention afterwards.
"""

import attrs

MIN_RETENTION_S = 90.0
"""Minimum time for which entries are kept after the last use of their program."""

KEEP_MARGIN_S = 30.0
"""Entries are kept for so much longer than asked for: a turn that begins at the end of that time
needs them until it has ended and all disks know of it."""

SHORT_RUN_S = KEEP_MARGIN_S / 2
"""A turn that may run for longer tells the disks before it runs what it goes on from."""


@attrs.frozen
class TurnTimes:
    """Bounds of one turn, in seconds.

    Attributes:
        run_s: how long it may run.
        keep_s: how long it is kept after its end.
    """

    run_s: float = 0.0
    keep_s: float = 0.0

    @property
    def needs_chain_s(self) -> float:
        """How long the turn needs its chain, counted from its start."""
        return self.run_s + self.keep_s

    @property
    def is_long(self) -> bool:
        """Whether its chain may be removed before it ends, unless the disks are told."""
        return self.run_s > SHORT_RUN_S


def needed_s(keep_s: float) -> float:
    """Returns how long a program is needed after an entry that asks for ``keep_s`` seconds."""
    return max(MIN_RETENTION_S, keep_s + KEEP_MARGIN_S)
