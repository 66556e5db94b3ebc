"""What the scheduler of a cell is asked, and what it answers."""

from enum import StrEnum

import attrs

from bayhinge._internal.models.refusals import Figure, RefusalCode


@attrs.frozen
class Offer:
    """A call that asks for an endpoint.

    Attributes:
        grant: the name of this request, unique over all hosts.
        incarnation: the owner's start of process, which answers for the grant.
        started_at: when the program began, by the home's clock, in seconds.
        prompt_tokens: tokens of the whole prompt, history included.
        max_tokens: the longest answer.
        attained_s: endpoint seconds that the program has had so far.
        patience_s: how long the caller is willing to wait for a start.
        weight: the client account's share against others.
        shared_prefix: names a prefix that many programs share; empty for none.
        avoid: endpoints that failed this call before.
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

    A placement policy that lets it wait for one endpoint's memory notes the endpoint,
    the memory that was held there, and when to look again whatever happens.
    """

    offer: Offer
    arrived_at: float
    program_since: float
    deadline: float
    waits_for: str = ""
    held_tokens: int = 0
    look_again_at: float = 0.0


@attrs.frozen
class Reason:
    """Why something was decided, with the figures it rests on."""

    text: str
    figures: tuple[Figure, ...] = ()


class Action:
    """Base class of what the scheduler wants done."""


@attrs.frozen
class Grant(Action):
    """The call may start at the endpoint now."""

    offer: Offer
    endpoint: str
    waited_s: float
    reason: Reason


@attrs.frozen
class Reject(Action):
    """The call is refused; it was sent nowhere."""

    offer: Offer
    code: RefusalCode
    reason: Reason
    retry_after_s: float


@attrs.frozen
class Release(Action):
    """The endpoint should free what it holds for a program."""

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
class Done:
    """The end of a granted call, as its owner reports it.

    ``first_token_s`` runs from the send to the first token, ``decode_s`` from there on.
    """

    grant: str
    outcome: Outcome
    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0
    first_token_s: float = 0.0
    decode_s: float = 0.0
