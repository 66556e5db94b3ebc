"""The components of an owner, the state of owned programs, and common refusals."""

import asyncio
from collections.abc import Callable

import attrs

from bayhinge._internal.commands.accept_call import RunningCallView
from bayhinge._internal.models.programs import ProgramState
from bayhinge._internal.models.refusals import (
    Figure,
    Refusal,
    RefusalCode,
    SendRecord,
    not_run_refusal,
)
from bayhinge._internal.models.settings import Settings
from bayhinge._internal.services.account_directory import AccountSource
from bayhinge._internal.services.answers import LiveAnswer
from bayhinge._internal.services.call_runner import CallRunner
from bayhinge._internal.services.grants import GrantSource
from bayhinge._internal.services.history_cache import HistoryCache
from bayhinge._internal.services.timeline import Timeline
from bayhinge.coordination.clock import Clock
from bayhinge.coordination.errors import CoordinationError, FencedError
from bayhinge.coordination.escrow import Escrow
from bayhinge.coordination.journal import Journal
from bayhinge.coordination.journal_reader import JournalReader

STORE_RETRY_AFTER_S = 2.0
"""``retry_after_s`` of refusals while the store is unavailable."""


@attrs.define
class RunningCall:
    """The running call of a program; there is at most one."""

    view: RunningCallView
    live: LiveAnswer
    task: asyncio.Task[None] | None = None


@attrs.define
class OwnedProgram:
    """A program at its owner.

    ``is_moving`` makes new calls wait while a planned stop hands the program over;
    ``has_moved`` forwards them to its new owner. ``changed`` wakes waiting calls.
    """

    state: ProgramState
    is_moving: bool = False
    has_moved: bool = False
    running: RunningCall | None = None
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    used_pools: set[str] = attrs.field(factory=set)

    def wake(self) -> None:
        """Wakes the waiting calls."""
        self.changed.set()
        self.changed = asyncio.Event()


@attrs.define
class OwnerParts:
    """The components of an owner."""

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


def store_refusal(send_record: SendRecord, error: CoordinationError) -> Refusal:
    """Returns the refusal for a failed store or a fenced journal."""
    if isinstance(error, FencedError):
        why = "another host has taken the program over; look up its address again"
        return send_record.refusal(RefusalCode.OWNER_UNREACHABLE, why, retry_after_s=0.1)
    return send_record.refusal(
        RefusalCode.STORE_UNAVAILABLE,
        f"the platform's object store is needed for this call: {error}",
        retry_after_s=STORE_RETRY_AFTER_S,
    )


def moved_refusal() -> Refusal:
    """Returns the refusal that makes routers look up the program's new owner."""
    why = "this host has handed the program over; look up its address again"
    return not_run_refusal(RefusalCode.OWNER_UNREACHABLE, why, retry_after_s=0.1)


def stale_config_refusal() -> Refusal:
    """Returns the refusal of a host whose configuration may be stale."""
    return not_run_refusal(
        RefusalCode.CONFIG_UNKNOWN,
        "this host's configuration may be stale, so it opens no programs",
        retry_after_s=STORE_RETRY_AFTER_S,
    )


def unrecorded_refusal() -> Refusal:
    """Returns the refusal of a program whose opening can't be recorded."""
    return not_run_refusal(
        RefusalCode.STORE_UNAVAILABLE,
        "the platform's object store does not answer, so the program's opening can't be recorded",
        retry_after_s=STORE_RETRY_AFTER_S,
    )


def too_many_programs_refusal(count: int, limit: int) -> Refusal:
    """Returns the refusal of a program beyond the account's limit."""
    return not_run_refusal(
        RefusalCode.OVERLOADED,
        "the client account has reached its limit of running programs on this host",
        Figure("programs", count),
        Figure("max_programs", limit),
        retry_after_s=STORE_RETRY_AFTER_S,
    )
