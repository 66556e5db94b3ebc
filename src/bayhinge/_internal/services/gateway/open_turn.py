"""A turn that is open, shared by the parts that reserve, run and record it."""

import attrs

from bayhinge._internal.models.endpoint_entries import EndpointIncarnation
from bayhinge._internal.models.routed_requests import TurnContext


@attrs.define(eq=False, repr=False)
class OpenTurn:
    """An open turn of a program.

    Attributes:
        history: concatenated texts of the earlier turns, oldest first.
        last_engine: incarnation of an engine that ran the previous turn, and may have it cached.
        reserved: tokens reserved, or 0 if the program has no budget.
        is_retained: the turn is recorded for later ones; otherwise only its tokens are counted.
        account: the client account that owns the turn; empty if no key is required.
        history_programs: the programs whose turns are in the history.
        has_told_uses: the disks of these programs know that this turn needs them.
    """

    attempt: str
    context: TurnContext
    history: bytes
    last_engine: EndpointIncarnation
    reserved: int
    is_retained: bool = True
    account: str = ""
    history_programs: set[str] = attrs.field(factory=set)
    has_told_uses: bool = False
