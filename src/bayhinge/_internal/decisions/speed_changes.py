"""Tells endpoints that are slow for a while from those that are slow for good. Pure.

The distinction is for operators. Placement gives both less work in proportion. Endpoints that fail
are ejected, whatever their speed.
"""

from collections.abc import Set
from enum import StrEnum

import attrs

SLOW_RATIO = 1.5
"""Relative duration from which on an endpoint is called slow."""

USUAL_RATIO = 1.25
"""Relative duration below which a slow endpoint is no longer called slow; the gap keeps noise out
of the log."""

SLOW_FOR_GOOD_S = 60.0
"""Time after which an endpoint that was slow throughout is called slow for good. Longer than a
pause of an endpoint's machine or a burst."""

MIN_CHANGE_PERIOD_S = 5.0
"""Shortest time between two changes of an endpoint; bounds the number of log lines."""


class SpeedState(StrEnum):
    """An endpoint's speed, compared with its service and with its own past."""

    USUAL = "usual"
    SLOW_FOR_A_WHILE = "slow_for_a_while"
    SLOW_FOR_GOOD = "slow_for_good"


@attrs.frozen
class SpeedChange:
    """A change of an endpoint's speed.

    Attributes:
        lasted_s: how long the state before had lasted, in seconds; None if it was the first.
    """

    state: SpeedState
    before: SpeedState
    lasted_s: float | None


@attrs.define
class _Known:
    """The state of one endpoint.

    Attributes:
        changed_s: when it last changed, or None before the first change.
        slow_since_s: when it last left the usual state.
    """

    state: SpeedState = SpeedState.USUAL
    changed_s: float | None = None
    slow_since_s: float = 0.0


class SpeedChanges:
    """The states of endpoints, by their relative durations over time."""

    def __init__(self) -> None:
        self._known_by_endpoint: dict[str, _Known] = {}

    def update(self, endpoint: str, ratio: float, now_s: float) -> SpeedChange | None:
        """Applies the current ratio of an endpoint; returns a change of its state, or None."""
        known = self._known_by_endpoint.get(endpoint)
        if known is None:
            if ratio < SLOW_RATIO:
                return None
            known = self._known_by_endpoint[endpoint] = _Known()
        state = _next_state(known, ratio, now_s)
        lasted_s = None if known.changed_s is None else now_s - known.changed_s
        if state is known.state or (lasted_s is not None and lasted_s < MIN_CHANGE_PERIOD_S):
            return None
        change = SpeedChange(state, known.state, lasted_s)
        if known.state is SpeedState.USUAL:
            known.slow_since_s = now_s
        known.state, known.changed_s = state, now_s
        return change

    def forget_endpoint(self, endpoint: str) -> None:
        """Drops the state of an endpoint that has restarted."""
        self._known_by_endpoint.pop(endpoint, None)

    def retain_only(self, endpoints: Set[str]) -> None:
        """Drops the states of all other endpoints."""
        for endpoint in self._known_by_endpoint.keys() - endpoints:
            del self._known_by_endpoint[endpoint]


def _next_state(known: _Known, ratio: float, now_s: float) -> SpeedState:
    """Returns the state of an endpoint with this relative duration now."""
    if known.state is SpeedState.USUAL:
        return SpeedState.SLOW_FOR_A_WHILE if ratio >= SLOW_RATIO else SpeedState.USUAL
    if ratio < USUAL_RATIO:
        return SpeedState.USUAL
    if now_s - known.slow_since_s >= SLOW_FOR_GOOD_S:
        return SpeedState.SLOW_FOR_GOOD
    return known.state
