"""Calls as the owner handles them."""

from enum import StrEnum
from typing import Any

import attrs

from bayhinge._internal.models.ids import ProgramId


class CallKind(StrEnum):
    """What a call goes to."""

    MODEL = "model"
    SERVICE = "service"


class MessagesMode(StrEnum):
    """What a caller's message list holds.

    Attributes:
        WHOLE: the whole conversation, which must extend the recorded history.
        NEW: only what is new.
        REWRITE: a whole conversation that replaces the recorded one.
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
    """A caller's call to its program.

    ``index`` None stands for the next one; ``resume_offset`` counts characters of
    the answer's text that the caller has already.
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
        """True where the work may be run again."""
        return isinstance(self.work, ModelCall) or self.work.repeatable


@attrs.frozen
class Usage:
    """Tokens of one model call."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0

    @property
    def total(self) -> int:
        """Tokens that count against budgets."""
        return self.prompt_tokens + self.completion_tokens


@attrs.frozen
class AnswerPart:
    """A piece of a model's text, at its offset in characters."""

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
"""What an answer's stream consists of: parts of text, then one end."""


@attrs.frozen
class IncomingCall:
    """A caller's call as it came, not yet read.

    ``body`` is a chat completion request, or what a plain service is to get.
    ``path`` and ``http_method`` matter to plain services alone.
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
