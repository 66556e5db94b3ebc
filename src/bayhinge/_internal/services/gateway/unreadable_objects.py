"""Counts unreadable objects in the store, and logs them at a limited rate."""

import asyncio

import eliot

from bayhinge._internal.exceptions import UnreadableObjectError
from bayhinge._internal.utils.log_output import LineBudget

MAX_LOG_LINES_PER_S = 20
"""Maximum log lines per second; further objects are only counted."""

MAX_TRACKED_KEYS = 1000
"""Maximum keys whose findings are remembered, since writers may leave any number of them."""

MAX_LOGGED_KEY_LENGTH = 120
MAX_LOGGED_FINDINGS = 20
"""Maximum characters of a key, and findings of one object, in a log line."""


class UnreadableObjects:
    """The unreadable objects of one kind."""

    def __init__(self, event: str) -> None:
        self._event = event
        self._budget = LineBudget(MAX_LOG_LINES_PER_S)
        self._findings_by_key: dict[str, tuple[str, ...]] = {}
        self.total = 0

    @property
    def current(self) -> int:
        """The number of unreadable objects, at most :data:`MAX_TRACKED_KEYS`."""
        return len(self._findings_by_key)

    def record(self, error: UnreadableObjectError) -> None:
        """Counts an object; logs it if its findings are new and the log rate permits."""
        self.total += 1
        if self._findings_by_key.get(error.key) == error.findings:
            return
        if error.key in self._findings_by_key or len(self._findings_by_key) < MAX_TRACKED_KEYS:
            self._findings_by_key[error.key] = error.findings
        if self._budget.try_acquire(asyncio.get_running_loop().time()):
            eliot.log_message(
                self._event,
                key=error.key[:MAX_LOGGED_KEY_LENGTH],
                findings=list(error.findings[:MAX_LOGGED_FINDINGS]),
                further_findings=max(0, len(error.findings) - MAX_LOGGED_FINDINGS),
                untold=self._budget.suppressed,
            )

    def resolve(self, key: str) -> None:
        """Records that an object is readable again, or removed."""
        self._findings_by_key.pop(key, None)

    def retain_only(self, keys: set[str]) -> None:
        """Forgets all objects but those of a complete list of keys."""
        for key in self._findings_by_key.keys() - keys:
            del self._findings_by_key[key]
