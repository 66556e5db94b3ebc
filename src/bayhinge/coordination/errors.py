"""Errors of the coordination library.

Each error says what happened, why, and how to mend it.
"""


class CoordinationError(Exception):
    """Base class of every error of this library."""


class StoreError(CoordinationError):
    """The object store did not do what was asked."""


class StoreUnavailableError(StoreError):
    """The store did not answer, so a write may or may not have taken effect.

    Callers settle a write by reading its key back; see ``Journal``.
    """

    def __init__(self, operation: str, why: str) -> None:
        """Names the operation (``create journal/x/1``) and the transport's reason."""
        super().__init__(
            f"The object store did not answer '{operation}': {why}. "
            "A write may have taken effect; read the key back before writing again."
        )
        self.operation = operation


class StoreRateLimitedError(StoreError):
    """The store refused the call because too many are made; it did not take effect."""

    def __init__(self, operation: str, retry_after_s: float) -> None:
        """Takes the operation and the seconds after which to try again."""
        super().__init__(
            f"The object store refused '{operation}': its rate limit is reached. "
            f"Try again in {retry_after_s:.2f} s, or lower the writes per second in the settings."
        )
        self.retry_after_s = retry_after_s


class AlreadyExistsError(StoreError):
    """A create found the key taken."""

    def __init__(self, key: str) -> None:
        """Takes the key that exists."""
        super().__init__(f"Object '{key}' exists already. Read it, then update it by version.")
        self.key = key


class VersionConflictError(StoreError):
    """A conditional update or delete found another version."""

    def __init__(self, key: str, expected: int) -> None:
        """Takes the key and the version that the caller expected."""
        super().__init__(
            f"Object '{key}' is no longer at version {expected}: somebody else changed it. "
            "Read it again and repeat the change."
        )
        self.key = key
        self.expected = expected


class WatchEndedError(StoreError):
    """A watch can't go on from where it stood; list again and start a new one."""

    def __init__(self, prefix: str, why: str) -> None:
        """Takes the watched prefix and the reason."""
        super().__init__(f"The watch of '{prefix}' ended: {why}. List the prefix and watch again.")


class HistoryLostError(WatchEndedError):
    """The store has forgotten the changes that a watch asked for."""


class CorruptObjectError(CoordinationError):
    """An object under our prefix can't be read; it is left as it is."""

    def __init__(self, key: str, why: str) -> None:
        """Takes the object's key and what is wrong with it."""
        super().__init__(
            f"Object '{key}' can't be read: {why}. It was left as it is; "
            "look at it with the platform's tools, and move it away if it isn't ours."
        )
        self.key = key
        self.why = why


class FencedError(CoordinationError):
    """Another host has taken over; this one must stop acting in the role."""

    def __init__(self, subject: str, by: str) -> None:
        """Takes what was taken over (a journal, a lease) and by whom."""
        super().__init__(
            f"{subject} was taken over by {by}, so this process may not write to it. "
            "Nothing needs mending: the process gives up the role, and callers are sent on."
        )
        self.by = by


class JournalFullError(CoordinationError):
    """Too many records wait for the store; new work must be refused."""

    def __init__(self, waiting_bytes: int, cap_bytes: int) -> None:
        """Takes the bytes that wait and the cap on them."""
        super().__init__(
            f"{waiting_bytes} bytes of records wait for the object store, and the cap is "
            f"{cap_bytes}. Bring the store back, or raise spool_bytes in the settings."
        )


class BudgetExceededError(CoordinationError):
    """A reservation would pass the budget."""

    def __init__(self, ledger: str, wanted: int, available: int) -> None:
        """Takes the ledger's name, the units wanted and the units still free."""
        super().__init__(
            f"Budget '{ledger}' has {available} units left, and {wanted} were asked for. "
            "Ask for less, wait for running calls to settle, or raise the budget."
        )
        self.wanted = wanted
        self.available = available


class ConfigConflictError(CoordinationError):
    """An edit was made on a revision that is no longer the newest of its object."""

    def __init__(self, kind: str, name: str, base: int, current: int, current_text: str) -> None:
        """Takes the object, the revision edited, and the newest revision with its text."""
        super().__init__(
            f"{kind} '{name}' was changed meanwhile: the edit is based on revision {base}, "
            f"the newest is {current}. Look at the difference and apply the edit again."
        )
        self.base = base
        self.current = current
        self.current_text = current_text
