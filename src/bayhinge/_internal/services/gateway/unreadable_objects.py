"""Objects of other writers that can't be read: counted all, told of within bounds."""

import asyncio

import eliot

from bayhinge._internal.exceptions import UnreadableObjectError
from bayhinge._internal.utils.log_output import LineBudget

MAX_LOG_LINES_PER_S = 20
"""Lines of one second; further objects are counted. A host writes some 100 lines a second."""

MAX_TRACKED_KEYS = 1000
"""Keys whose findings are remembered; a writer may leave any number of them."""

MAX_LOGGED_KEY_LENGTH = 120
MAX_LOGGED_FINDINGS = 20
"""Signs of a key, and findings of one object, that a line shows."""


class UnreadableObjects:
    """What of one kind can't be read now, and how often that was met."""

    def __init__(self, event: str) -> None:
        """Takes the type of its log lines."""
        self._event = event
        self._budget = LineBudget(MAX_LOG_LINES_PER_S)
        self._findings_by_key: dict[str, tuple[str, ...]] = {}
        self.total = 0

    @property
    def current(self) -> int:
        """Returns how many can't be read now, at most :data:`MAX_TRACKED_KEYS`."""
        return len(self._findings_by_key)

    def record(self, error: UnreadableObjectError) -> None:
        """Counts one; tells of it where its findings are new, and the second still has room."""
        self.total += 1
        if self._findings_by_key.get(error.key) == error.findings:
            return
        if error.key in self._findings_by_key or len(self._findings_by_key) < MAX_TRACKED_KEYS:
            self._findings_by_key[error.key] = error.findings
        if self._budget.takes(asyncio.get_running_loop().time()):
            eliot.log_message(
                self._event,
                key=error.key[:MAX_LOGGED_KEY_LENGTH],
                findings=list(error.findings[:MAX_LOGGED_FINDINGS]),
                further_findings=max(0, len(error.findings) - MAX_LOGGED_FINDINGS),
                untold=self._budget.thinned,
            )

    def resolve(self, key: str) -> None:
        """An object is well, or gone."""
        self._findings_by_key.pop(key, None)

    def retain_only(self, keys: set[str]) -> None:
        """Forgets objects that are not in a complete list."""
        for key in self._findings_by_key.keys() - keys:
            del self._findings_by_key[key]
