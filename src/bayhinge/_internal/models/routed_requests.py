"""Requests that are passed on along a route, decoded once where they come in."""

from enum import StrEnum

import attrs

from bayhinge._internal.models.account_keys import RoutedAccount

RawHeaders = tuple[tuple[bytes, bytes], ...]
"""Header names and values as they were sent, in order, with repeats."""


class RequestField(StrEnum):
    """What a finding about a request's head concerns."""

    TURN = "turn"
    RESUME = "resume"


@attrs.frozen
class HeaderFinding:
    """Something in a request's head that can't be used; ``why`` names the place and the value."""

    field: RequestField
    why: str


@attrs.frozen
class PromptPart:
    """A part of a prompt that other requests may share."""

    name: str
    tokens: int


@attrs.frozen
class TurnContext:
    """What a request of an agent program says of its program.

    Attributes:
        token_budget: tokens that all turns of the program may emit, or None.
        most_tokens: the most that this turn emits.
        previous: the turn that this one goes on from, or None at the start.
    """

    program: str
    token_budget: int | None
    most_tokens: int
    previous: str | None


@attrs.frozen
class RoutedRequest:
    """One request as a caller sent it.

    Attributes:
        target: the raw path and query.
        headers: what is passed on; headers of one connection are left out already.
        attempt: the caller's id of this attempt.
        patience_s: how long the caller waits, in seconds.
        turn: set on requests of agent programs.
        parts: the prompt's parts, in order.
        resume_after: the last event that the caller has of a stream that broke off, or None.
        findings: what can't be used, each with the field that it leaves unset.
        credentials: the headers that bear a key. They go on only where no configuration of client
            accounts makes keys ours to check.
        key_sha256: the digest of the one key that the caller showed; None where it showed none,
            several, or something else.
        account: whose request this is, once its key was checked.
    """

    method: str
    target: str
    host: str
    headers: RawHeaders
    attempt: str
    patience_s: float | None = None
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
        """Whose request this is; empty where no key was asked for."""
        return "" if self.account is None else self.account.name

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@attrs.frozen
class AnswerMarks:
    """What the headers of an endpoint's answer say.

    Attributes:
        attempt: the request that it answers, or None.
        is_signed: it bears the endpoint's signature.
        not_run: the endpoint promises that the request did not run.
        wrong_instance: another instance has the address now; the request did not run.
        is_encoded: the body is encoded, so it isn't the endpoint's own.
        idle_s: how long the endpoint keeps the connection, or None.
    """

    attempt: str | None
    is_signed: bool
    not_run: bool
    wrong_instance: bool
    is_encoded: bool
    idle_s: float | None
