"""Objects of other writers that can't be read: counted all, told of within bounds."""

import asyncio

import eliot

from bayhinge._internal.exceptions import UnreadableObjectError
from bayhinge._internal.utils.log_output import LineBudget

LINES_PER_S = 20
"""Lines of one second; further objects are counted. A host writes some 100 lines a second."""

MOST_KEYS = 1000
"""Keys whose findings are remembered; a writer may leave any number of them."""

SHOWN_KEY = 120
SHOWN_FINDINGS = 20
"""Signs of a key, and findings of one object, that a line shows."""


class UnreadableObjects:
    """What of one kind can't be read now, and how often that was met."""

    def __init__(self, line: str) -> None:
        """Takes the type of its log lines."""
        self._line = line
        self._budget = LineBudget(LINES_PER_S)
        self._findings_by_key: dict[str, tuple[str, ...]] = {}
        self.met = 0

    @property
    def now(self) -> int:
        """Returns how many can't be read now, at most :data:`MOST_KEYS`."""
        return len(self._findings_by_key)

    def note(self, error: UnreadableObjectError) -> None:
        """Counts one; tells of it where its findings are new, and the second still has room."""
        self.met += 1
        if self._findings_by_key.get(error.key) == error.findings:
            return
        if error.key in self._findings_by_key or len(self._findings_by_key) < MOST_KEYS:
            self._findings_by_key[error.key] = error.findings
        if self._budget.takes(asyncio.get_running_loop().time()):
            eliot.log_message(
                self._line,
                key=error.key[:SHOWN_KEY],
                findings=list(error.findings[:SHOWN_FINDINGS]),
                further_findings=max(0, len(error.findings) - SHOWN_FINDINGS),
                untold=self._budget.thinned,
            )

    def clear(self, key: str) -> None:
        """An object is well, or gone."""
        self._findings_by_key.pop(key, None)

    def keep_only(self, keys: set[str]) -> None:
        """Forgets objects that are not in a complete list."""
        for key in self._findings_by_key.keys() - keys:
            del self._findings_by_key[key]
