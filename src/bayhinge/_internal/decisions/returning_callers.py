"""Recognizes callers that return after a refusal, so that they keep the age of their first try.

Pure. The age is the coordinator's own, so a caller can't claim one.
"""

import attrs

MAX_RETURN_S = 5.0
"""Time after a refusal within which a caller may return; longer than any advised retry."""

MAX_CALLERS = 10_000
"""Callers that are remembered; of more, those refused first are forgotten. Bounds memory."""

SAME_REQUEST_S = 0.1
"""Difference of arrivals up to which two calls are of the same request. A waiting request calls
repeatedly, with arrivals that differ by the delay of the messages."""


@attrs.define
class _Caller:
    """A refused caller.

    Attributes:
        arrived_s: when its wait began.
        refused_s: when it was refused; requests that arrived before are others.
        expires_s: when it is forgotten.
        returned_s: the arrival of the request with which it returned, or None.
    """

    arrived_s: float
    refused_s: float
    expires_s: float
    returned_s: float | None = None

    def is_request(self, arrived_s: float) -> bool:
        """Whether the caller has returned with a request that arrived at this time."""
        return self.returned_s is not None and abs(self.returned_s - arrived_s) <= SAME_REQUEST_S


class ReturningCallers:
    """First arrivals of refused callers.

    A refusal counts for one returning request only: without a program, callers of an account share
    a key.
    """

    def __init__(self) -> None:
        self._caller_by_key: dict[int, _Caller] = {}

    def __len__(self) -> int:
        return len(self._caller_by_key)

    def record_refusal(self, caller_key: int, arrived_s: float, now_s: float) -> None:
        """Remembers the arrival of a refused caller, also of one that had returned."""
        self._forget_expired(now_s)
        known = self._caller_by_key.pop(caller_key, None)
        if known is not None and known.is_request(arrived_s):
            arrived_s = known.arrived_s
        if len(self._caller_by_key) >= MAX_CALLERS:
            del self._caller_by_key[next(iter(self._caller_by_key))]
        self._caller_by_key[caller_key] = _Caller(arrived_s, now_s, now_s + MAX_RETURN_S)

    def arrival(self, caller_key: int, arrived_s: float, now_s: float) -> float:
        """Returns when a caller's wait began: at its refused first try, or at ``arrived_s``.

        Asked again for the same request while it waits, it returns the same time.
        """
        self._forget_expired(now_s)
        caller = self._caller_by_key.get(caller_key)
        if caller is None or caller.expires_s <= now_s:
            return arrived_s
        if caller.returned_s is None and arrived_s >= caller.refused_s:
            caller.returned_s = arrived_s
        elif not caller.is_request(arrived_s):
            return arrived_s
        # Last in the order of expiry now.
        caller.expires_s = now_s + MAX_RETURN_S
        self._caller_by_key[caller_key] = self._caller_by_key.pop(caller_key)
        return min(arrived_s, caller.arrived_s)

    def _forget_expired(self, now_s: float) -> None:
        """Forgets expired callers; the first to expire come first."""
        while self._caller_by_key:
            key, caller = next(iter(self._caller_by_key.items()))
            if caller.expires_s > now_s:
                return
            del self._caller_by_key[key]
