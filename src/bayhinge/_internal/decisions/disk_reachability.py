"""Detects from its own calls whether this host is partitioned from the disks. Pure.

A partitioned host still serves, as other hosts relay its calls to the disks. That costs an extra
hop per call, and failed attempts at relays that are partitioned too, so callers and relays prefer
other hosts.
"""

import attrs


@attrs.define(eq=False, repr=False)
class DiskReachability:
    """Counts the disks that failed to answer directly since the last direct answer.

    Attributes:
        tolerated: disks that may be lost at once; more silent disks mean a partition.
    """

    tolerated: int
    _silent_since_answer: set[str] = attrs.field(factory=set)

    def record_answer(self) -> None:
        """Records that a disk answered without a relay."""
        self._silent_since_answer.clear()

    def record_silence(self, disk: str) -> None:
        """Records that a disk did not answer directly."""
        self._silent_since_answer.add(disk)

    @property
    def is_partitioned(self) -> bool:
        """Whether more disks than ``tolerated`` were silent since the last direct answer."""
        return len(self._silent_since_answer) > self.tolerated
