"""What an owner works with, and the small state that it keeps for each program."""

import asyncio
from collections.abc import Callable

import attrs

from bayhinge._internal.commands.accept_call import RunningView
from bayhinge._internal.models.programs import ProgramState
from bayhinge._internal.models.refusals import (
    CallAttempt,
    Figure,
    Refusal,
    RefusalCode,
    refuse_unaccepted,
)
from bayhinge._internal.models.settings import Settings
from bayhinge._internal.services.account_directory import AccountSource
from bayhinge._internal.services.answers import LiveAnswer
from bayhinge._internal.services.call_runner import CallRunner
from bayhinge._internal.services.grants import GrantSource
from bayhinge._internal.services.histories import HistoryCache
from bayhinge._internal.services.timeline import Timeline
from bayhinge.coordination.clock import Clock
from bayhinge.coordination.errors import CoordinationError, FencedError
from bayhinge.coordination.escrow import Escrow
from bayhinge.coordination.journal import Journal
from bayhinge.coordination.journal_reader import JournalReader

STORE_RETRY_S = 2.0
"""When to come back after the store was away."""


@attrs.define
class RunningCall:
    """The one call of a program that runs now."""

    view: RunningView
    live: LiveAnswer
    task: asyncio.Task[None] | None = None


@attrs.define
class OwnedProgram:
    """A program at its owner: its state, its running call, and who waits for a turn.

    ``is_moving`` holds new calls back while a planned stop hands the program over;
    ``has_moved`` sends them on to its new owner.
    """

    state: ProgramState
    is_moving: bool = False
    has_moved: bool = False
    running: RunningCall | None = None
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    used_pools: set[str] = attrs.field(factory=set)

    def wake(self) -> None:
        """Wakes the calls that wait for their turn."""
        self.changed.set()
        self.changed = asyncio.Event()


@attrs.define
class OwnerParts:
    """What an owner works with."""

    settings: Settings
    journal: Journal
    reader: JournalReader
    escrow: Escrow
    accounts: AccountSource
    runner: CallRunner
    grants: GrantSource
    histories: HistoryCache
    timeline: Timeline
    clock: Clock
    random_unit: Callable[[], float]


def refuse_for_store(attempt: CallAttempt, error: CoordinationError) -> Refusal:
    """Makes the refusal for a store that failed, or a journal that is another's now."""
    if isinstance(error, FencedError):
        why = "this host has lost the program to another one; ask for its address again"
        return attempt.refuse(RefusalCode.OWNER_UNREACHABLE, why, retry_after_s=0.1)
    return attempt.refuse(
        RefusalCode.STORE_UNAVAILABLE,
        f"the platform's object store is needed for this call: {error}",
        retry_after_s=STORE_RETRY_S,
    )


def refuse_moved() -> Refusal:
    """Makes the refusal that sends a call on to the program's new owner."""
    why = "this host has handed the program over; ask for its address again"
    return refuse_unaccepted(RefusalCode.OWNER_UNREACHABLE, why, retry_after_s=0.1)


def refuse_stale_config() -> Refusal:
    """Makes the refusal of a host that can't vouch for its configuration."""
    return refuse_unaccepted(
        RefusalCode.CONFIG_UNKNOWN,
        "this host has not heard the newest configuration for a while, so it begins no programs",
        retry_after_s=STORE_RETRY_S,
    )


def refuse_unrecorded() -> Refusal:
    """Makes the refusal of a program whose beginning can't be recorded now."""
    return refuse_unaccepted(
        RefusalCode.STORE_UNAVAILABLE,
        "the platform's object store does not answer, so the program's beginning can't be recorded",
        retry_after_s=STORE_RETRY_S,
    )


def refuse_too_many(count: int, limit: int) -> Refusal:
    """Makes the refusal of one program more than the account may have under way."""
    return refuse_unaccepted(
        RefusalCode.OVERLOADED,
        "the client account has as many programs under way on this host as it may",
        Figure("programs", count),
        Figure("max_programs", limit),
        retry_after_s=STORE_RETRY_S,
    )
