"""Errors of the coordination library.

Each message says what happened, why, and what to do about it.
"""


class CoordinationError(Exception):
    """Base class of all errors of this library."""


class StoreError(CoordinationError):
    """An object store operation failed."""


class StoreUnavailableError(StoreError):
    """The store did not answer, so a write may or may not have taken effect.

    Callers find out by reading the key back; see ``Journal``.

    Attributes:
        operation: the operation and its key, such as ``create journal/x/1``.
    """

    def __init__(self, operation: str, why: str) -> None:
        super().__init__(
            f"The object store did not answer '{operation}': {why}. "
            "A write may have taken effect; read the key back before writing again."
        )
        self.operation = operation


class StoreRateLimitedError(StoreError):
    """The store's rate limit rejected the call, which did not take effect."""

    def __init__(self, operation: str, retry_after_s: float) -> None:
        super().__init__(
            f"The object store rejected '{operation}': its rate limit was exceeded. "
            f"Retry after {retry_after_s:.2f} s, or lower the writes per second in the settings."
        )
        self.retry_after_s = retry_after_s


class AlreadyExistsError(StoreError):
    """A create failed because the key already exists."""

    def __init__(self, key: str) -> None:
        super().__init__(f"Object '{key}' already exists. Read it, then update it by version.")
        self.key = key


class VersionConflictError(StoreError):
    """A conditional update or delete failed because the version has changed."""

    def __init__(self, key: str, expected: int) -> None:
        super().__init__(
            f"Object '{key}' is no longer at version {expected}: another client changed it. "
            "Read it again and retry the change."
        )
        self.key = key
        self.expected = expected


class WatchEndedError(StoreError):
    """A watch can't resume from its revision; list the prefix and start a new one."""

    def __init__(self, prefix: str, why: str) -> None:
        super().__init__(f"The watch of '{prefix}' ended: {why}. List the prefix and watch again.")


class HistoryLostError(WatchEndedError):
    """The store no longer keeps the changes after the requested revision (compacted)."""


class CorruptObjectError(CoordinationError):
    """An object can't be decoded; it is left unchanged."""

    def __init__(self, key: str, why: str) -> None:
        super().__init__(
            f"Object '{key}' can't be read: {why}. It was left unchanged; inspect it with the "
            "platform's tools, and move it out of this prefix if another program wrote it."
        )
        self.key = key
        self.why = why


class FencedError(CoordinationError):
    """Another process has taken over; this one must stop acting in the role.

    ``subject`` starts the message: what was taken over, such as ``Journal 'a~1'``.

    Attributes:
        by: the incarnation that took it over.
    """

    def __init__(self, subject: str, by: str) -> None:
        super().__init__(
            f"{subject} was taken over by {by}, so this process may no longer write to it. "
            "No action is needed: the process gives up the role, and callers are redirected."
        )
        self.by = by


class JournalFullError(CoordinationError):
    """Too many records are waiting to be written; new work must be rejected."""

    def __init__(self, waiting_bytes: int, cap_bytes: int) -> None:
        super().__init__(
            f"{waiting_bytes} bytes of records are waiting for the object store, and the limit is "
            f"{cap_bytes}. Restore the object store, or raise spool_bytes in the settings."
        )


class BudgetExceededError(CoordinationError):
    """A reservation would exceed the budget."""

    def __init__(self, ledger: str, wanted: int, available: int) -> None:
        super().__init__(
            f"Budget '{ledger}' has {available} units left, and {wanted} were requested. "
            "Request less, wait for running calls to settle, or raise the budget."
        )
        self.wanted = wanted
        self.available = available


class ConfigConflictError(CoordinationError):
    """An edit is based on a revision that is not the newest of its object.

    Attributes:
        base: the revision that was edited.
        current: the newest revision; 0 if the object never existed.
        current_text: the text at the newest revision; empty if it is deleted or never existed.
    """

    def __init__(self, kind: str, name: str, base: int, current: int, current_text: str) -> None:
        super().__init__(
            f"{kind} '{name}': the edit is based on revision {base}, but the object is at revision "
            f"{current} (0: it does not exist). Review the difference and apply the edit again."
        )
        self.base = base
        self.current = current
        self.current_text = current_text
