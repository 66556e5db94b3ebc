"""Requests to be forwarded along a route, decoded once on receipt."""

from enum import StrEnum

import attrs

from bayhinge._internal.models.account_keys import RoutedAccount

RawHeaders = tuple[tuple[bytes, bytes], ...]
"""Header names and values as received, in order and including duplicates."""


class RequestField(StrEnum):
    """The part of a request that a header finding concerns."""

    TURN = "turn"
    RESUME = "resume"


@attrs.frozen(eq=False, repr=False)
class HeaderFinding:
    """An invalid request header; ``why`` names the header and the value."""

    field: RequestField
    why: str


@attrs.frozen
class PromptPart:
    """A section of a prompt that other requests may share, for prefix caching."""

    name: str
    tokens: int


@attrs.frozen
class TurnContext:
    """The program context of a request that is a turn of an agent program.

    Attributes:
        token_budget: output token limit over all turns of the program, or None.
        max_output_tokens: output token limit of this turn.
        previous: the id of the turn that this one continues, or None for the first.
    """

    program: str
    token_budget: int | None
    max_output_tokens: int
    previous: str | None


@attrs.frozen
class RoutedRequest:
    """One request as a caller sent it.

    Attributes:
        target: the raw path and query.
        headers: the headers to forward, without hop-by-hop headers.
        attempt: the caller's id of this attempt.
        patience_s: how long the caller waits, in seconds.
        program_left_s: time until the request's program should be over, in seconds, or None.
        turn: set on requests of agent programs.
        parts: the prompt's parts, in order.
        resume_after: the number of the last event that the caller received of an interrupted
            stream, or None.
        findings: the invalid headers; the fields that they would set are unset.
        credentials: the authorization headers. They are forwarded only if the configuration has no
            client accounts, since otherwise the keys are checked here.
        key_sha256: the digest of the caller's key; None unless it sent exactly one bearer key.
        account: the authenticated account, once the key was checked.
    """

    method: str
    target: str
    host: str
    headers: RawHeaders
    attempt: str
    patience_s: float | None = None
    program_left_s: float | None = None
    turn: TurnContext | None = None
    parts: tuple[PromptPart, ...] = ()
    affinity: str | None = None
    resume_after: int | None = None
    findings: tuple[HeaderFinding, ...] = ()
    body: bytes = b""
    credentials: RawHeaders = attrs.field(default=(), repr=False)
    key_sha256: str | None = None
    account: RoutedAccount | None = None

    @property
    def account_name(self) -> str:
        """The name of the authenticated account, or empty if no key is required."""
        return "" if self.account is None else self.account.name

    @property
    def path(self) -> str:
        """The target without the query."""
        return self.target.partition("?")[0]


@attrs.frozen(eq=False, repr=False)
class AnswerMetadata:
    """Metadata from the headers of an endpoint's answer.

    Attributes:
        attempt: the id of the attempt that it answers, or None.
        is_signed: it carries the endpoint's signature.
        not_run: the endpoint guarantees that the request was not executed.
        wrong_instance: another instance now has the address; the request was not executed.
        is_encoded: the body has a content encoding, so the endpoint itself did not produce it.
        idle_s: the endpoint's keep-alive timeout in seconds, or None.
        is_joined: it is the cut head of one answer with another answer behind it.
    """

    attempt: str | None
    is_signed: bool
    not_run: bool
    wrong_instance: bool
    is_encoded: bool
    idle_s: float | None
    is_joined: bool = False
