"""Inputs of a cell's scheduler, and the actions that it returns."""

from enum import StrEnum

import attrs

from bayhinge._internal.models.refusals import Figure, RefusalCode


@attrs.frozen
class Offer:
    """A call that is offered to the scheduler for placement.

    Attributes:
        grant: identifier of the requested grant, chosen by the owner; unique over all hosts.
        incarnation: incarnation of the owner, which is responsible for the grant.
        prompt_tokens: tokens of the whole prompt, history included.
        max_tokens: the longest answer.
        attained_s: endpoint time that the program has used so far.
        patience_s: how long the call may wait for its start.
        weight: the client account's weight for fair sharing.
        shared_prefix: identifier of a prefix that many programs share; empty for none.
        avoid: endpoints at which this call failed before.
    """

    grant: str
    incarnation: str
    program: str
    account: str
    index: int
    prompt_tokens: int
    max_tokens: int
    attained_s: float = 0.0
    priority: int = 5
    patience_s: float = 60.0
    weight: float = 1.0
    shared_prefix: str = ""
    shared_tokens: int = 0
    avoid: frozenset[str] = frozenset()


@attrs.define
class Waiting:
    """An offer in the queue.

    Attributes:
        waits_for: endpoint whose memory a placement policy lets the call wait for.
        held_tokens: tokens that were held there when the wait began.
        recheck_at: when to evaluate the placement again in any case.
    """

    offer: Offer
    arrived_at: float
    program_since: float
    deadline: float
    waits_for: str = ""
    held_tokens: int = 0
    recheck_at: float = 0.0


@attrs.frozen
class Reason:
    """The reason for a decision, with the figures it is based on."""

    text: str
    figures: tuple[Figure, ...] = ()


class Action:
    """Base class of the actions that the scheduler requests."""


@attrs.frozen
class Grant(Action):
    """The call may start at the endpoint now."""

    offer: Offer
    endpoint: str
    waited_s: float
    reason: Reason


@attrs.frozen
class Reject(Action):
    """The call is rejected; it was not sent anywhere."""

    offer: Offer
    code: RefusalCode
    reason: Reason
    retry_after_s: float


@attrs.frozen
class Release(Action):
    """The endpoint should free the memory of a program."""

    program: str
    endpoint: str
    reason: Reason


@attrs.frozen
class Transition(Action):
    """An endpoint's standing has changed."""

    endpoint: str
    what: str
    reason: Reason


class Outcome(StrEnum):
    """How a granted call ended."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    FAILED = "failed"
    DRAINING = "draining"


@attrs.frozen
class CallCompletion:
    """The end of a granted call, as reported by its owner.

    Attributes:
        first_token_s: seconds from the send to the first token.
        decode_s: seconds from the first token to the end.
    """

    grant: str
    outcome: Outcome
    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0
    first_token_s: float = 0.0
    decode_s: float = 0.0
