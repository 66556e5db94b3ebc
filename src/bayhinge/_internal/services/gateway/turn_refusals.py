"""Refusals of turns that can't be opened."""

from bayhinge._internal.models.refusals import (
    Figure,
    RefusalCode,
    RefusedError,
    not_run_refusal,
)
from bayhinge._internal.services.gateway.open_turn import OpenTurn

DISK_ANSWER_S = 0.45
"""Time for enough disks to answer before a turn is refused."""

RETRY_AFTER_S = 0.6
"""Retry delay of a refused turn; a restarted disk is back within about a second."""


def budget_exceeded(turn: OpenTurn, budget: int, committed: int) -> RefusedError:
    """Returns the refusal of a turn that exceeds the program's budget."""
    return RefusedError(
        not_run_refusal(
            RefusalCode.BUDGET_EXCEEDED,
            "the turn exceeds the program's token budget",
            Figure("budget_tokens", budget),
            Figure("committed_tokens", committed),
            Figure("turn_tokens", turn.reserved),
        )
    )


def too_few_disks(answered: int, needed: int) -> RefusedError:
    """Returns the refusal of a turn for which too few disks answered."""
    return RefusedError(
        not_run_refusal(
            RefusalCode.STORE_UNAVAILABLE,
            "too few disks answered to read or reserve the program's turns",
            Figure("answered", answered),
            Figure("needed", needed),
            retry_after_s=RETRY_AFTER_S,
        )
    )
