"""The first prediction of each wait for a place, to be compared with the whole wait. Pure.

A waiting request asks again several times a second, each time with a new prediction. Only the first
one decides whether it is refused, so only its error matters.
"""

from collections.abc import Hashable

import attrs

SAME_ARRIVAL_S = 0.02
"""Calls of one caller whose waits began within this time belong to the same wait. The time is
computed from the age in each call, so it varies with the delay of the messages."""

KEEP_S = 1.0
"""A wait of which no call was seen for so long has ended; its calls follow each other closely."""


@attrs.define(eq=False)
class PredictedWait:
    """A wait for a place, which may take several calls.

    Times are in seconds of the coordinator's monotonic clock.

    Attributes:
        began_s: when its first call arrived here.
        predicted_s: the wait that was predicted then, in seconds.
    """

    began_s: float
    predicted_s: float
    _arrived_s: float
    _last_call_s: float

    def is_same(self, arrived_s: float) -> bool:
        """Returns whether a call with this begin of its wait belongs to this wait."""
        return abs(arrived_s - self._arrived_s) <= SAME_ARRIVAL_S

    def has_ended(self, now_s: float) -> bool:
        """Returns whether no further call is expected."""
        return self._last_call_s < now_s - KEEP_S

    def record_call(self, now_s: float) -> None:
        """Records a further call."""
        self._last_call_s = now_s


class FirstPredictions:
    """The waits at one coordinator, by caller."""

    def __init__(self) -> None:
        self._waits_by_caller: dict[Hashable, list[PredictedWait]] = {}
        self._swept_s = 0.0

    def find(self, caller: Hashable, arrived_s: float) -> PredictedWait | None:
        """Returns the wait to which a call belongs, or None if it is the first call."""
        for wait in self._waits_by_caller.get(caller, ()):
            if wait.is_same(arrived_s):
                return wait
        return None

    def record_call(
        self, caller: Hashable, arrived_s: float, predicted_s: float, now_s: float
    ) -> None:
        """Records a call that has to wait; ``predicted_s`` counts if it is the first one."""
        self._sweep(now_s)
        wait = self.find(caller, arrived_s)
        if wait is None:
            wait = PredictedWait(now_s, predicted_s, arrived_s, now_s)
            self._waits_by_caller.setdefault(caller, []).append(wait)
        wait.record_call(now_s)

    def _sweep(self, now_s: float) -> None:
        """Forgets the waits that have ended, at most once in ``KEEP_S``."""
        if now_s < self._swept_s + KEEP_S:
            return
        self._swept_s = now_s
        self._waits_by_caller = {
            caller: kept
            for caller, waits in self._waits_by_caller.items()
            if (kept := [wait for wait in waits if not wait.has_ended(now_s)])
        }
