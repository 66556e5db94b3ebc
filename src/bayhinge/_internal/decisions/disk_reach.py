"""Whether this host is cut off from the disks, by what its own calls met. Pure.

Behind a cut, other hosts still pass a host's calls on, but each turn then takes two ways in
place of one, and a relay that is cut off as well costs a try. Such a host does not stop
serving; callers and relays are better off with others while there are any.
"""

import attrs


@attrs.define
class DiskReach:
    """Counts the disks that failed since one answered straight.

    Attributes:
        tolerated: disks that may be lost at once; more silent ones than that speak of a cut.
    """

    tolerated: int
    _silent_since_answer: set[str] = attrs.field(factory=set)

    def note_answer(self) -> None:
        """A disk answered without a relay."""
        self._silent_since_answer.clear()

    def note_silence(self, disk: str) -> None:
        """A disk did not answer straight."""
        self._silent_since_answer.add(disk)

    @property
    def is_cut_off(self) -> bool:
        """Whether more disks are silent than may be lost, and none has answered meanwhile."""
        return len(self._silent_since_answer) > self.tolerated
