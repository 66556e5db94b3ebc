"""Builds the views of programs that the APIs return."""

from bayhinge._internal.models.programs import ProgramState
from bayhinge._internal.models.views import ProgramView


def view_program(state: ProgramState, owner: str, running_call: int | None) -> ProgramView:
    """Returns the view of a program for callers and operators."""
    return ProgramView(
        id=str(state.program_id),
        account=state.account,
        parent=state.parent,
        owner=owner,
        opened_at_ms=state.opened_at_ms,
        next_call=state.next_index,
        spent_tokens=state.spend,
        messages=state.message_count,
        running_call=running_call,
        ended=state.ended,
    )
