"""A turn under way, as all who open, run and close it know it."""

import attrs

from bayhinge._internal.models.endpoint_entries import EndpointStart
from bayhinge._internal.models.routed_requests import TurnContext


@attrs.define
class OpenTurn:
    """A turn under way.

    Attributes:
        history: the texts of the chain, from the oldest on.
        read_at: the start of an engine that ran the turn before, and so has read the history.
        reserved: tokens set aside, or 0 where the program has no budget.
        is_kept: what is said will be asked for again; otherwise only its tokens are counted.
        account: the client account whose turn it is; empty where no key was asked for.
    """

    attempt: str
    context: TurnContext
    history: bytes
    last_engine: EndpointStart
    reserved: int
    is_retained: bool = True
    account: str = ""
