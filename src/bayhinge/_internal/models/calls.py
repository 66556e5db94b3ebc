"""Calls of a program and their answers, as the program's owner handles them."""

from enum import StrEnum
from typing import Any

import attrs

from bayhinge._internal.models.ids import ProgramId


class CallKind(StrEnum):
    """The kind of a call's target."""

    MODEL = "model"
    SERVICE = "service"


class MessagesMode(StrEnum):
    """How the message list of a call relates to the recorded history.

    Attributes:
        WHOLE: the whole conversation, which must extend the recorded history.
        NEW: only the new messages.
        REWRITE: a whole conversation that replaces the recorded history.
    """

    WHOLE = "whole"
    NEW = "new"
    REWRITE = "rewrite"


@attrs.frozen
class ModelCall:
    """A parsed chat completion request."""

    model: str
    messages: tuple[bytes, ...]
    mode: MessagesMode
    max_tokens: int
    options: dict[str, Any]


@attrs.frozen
class ServiceCall:
    """A call to a plain service."""

    service: str
    http_method: str
    path: str
    body: bytes
    content_type: str
    repeatable: bool


@attrs.frozen
class Call:
    """A parsed call of a program.

    Attributes:
        index: the call's position in the program; None means the next one.
        resume_offset: characters of the answer's text that the caller has already received.
    """

    account: str
    program: ProgramId
    index: int | None
    digest: str
    idempotency_key: str | None
    patience_s: float
    work: ModelCall | ServiceCall
    resume_offset: int = 0

    @property
    def repeatable(self) -> bool:
        """Whether the call may be executed more than once."""
        return isinstance(self.work, ModelCall) or self.work.repeatable


@attrs.frozen
class Usage:
    """Token counts of one model call."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0

    @property
    def total(self) -> int:
        """The tokens charged to budgets."""
        return self.prompt_tokens + self.completion_tokens


@attrs.frozen
class AnswerPart:
    """A piece of a model's text and its offset in characters."""

    offset: int
    text: str


@attrs.frozen
class AnswerEnd:
    """The end of an answer: everything but its text."""

    index: int
    status: int
    content_type: str
    body: bytes
    finish_reason: str
    usage: Usage
    tool_calls: bytes | None
    model: str


AnswerItem = AnswerPart | AnswerEnd
"""An item of an answer's stream: any number of parts, then one end."""


@attrs.frozen
class IncomingCall:
    """A call as received over HTTP, with its body not yet parsed.

    Attributes:
        body: a chat completion request, or the request body for a plain service.
        http_method: used for plain services only.
        path: used for plain services only.
        hops: how many hosts have forwarded the call.
    """

    account: str
    program: str
    index: int | None
    kind: CallKind
    target: str
    http_method: str
    path: str
    body: bytes
    content_type: str
    patience_s: float
    idempotency_key: str | None
    repeatable: bool
    mode: MessagesMode
    resume_offset: int
    hops: int = 0
