"""Conversion between the platform's HTTP headers and the types of the models package."""

import math
import re

from bayhinge._internal.models.account_keys import hash_key
from bayhinge._internal.models.routed_requests import (
    AnswerMetadata,
    HeaderFinding,
    PromptPart,
    RawHeaders,
    RequestField,
    RoutedRequest,
    TurnContext,
)
from bayhinge._internal.services.gateway.platform_interface import CallFormat

STATUS_LINE = re.compile(rb"HTTP/1\.[01] \d{3}")
"""The beginning of an answer."""

ATTEMPT = b"bayhinge-attempt-id"
DEADLINE = b"bayhinge-deadline-ms"
PROGRAM_DEADLINE = b"bayhinge-program-deadline-ms"
SIGNATURE = b"bayhinge-server-seal"
NOT_RUN = b"bayhinge-not-executed"
PREVIOUS = b"bayhinge-previous-turn"
PROGRAM = b"bayhinge-program-id"
BUDGET = b"bayhinge-token-budget"
USAGE = b"bayhinge-token-usage"
PARTS = b"bayhinge-prompt-prefix"
AFFINITY = b"bayhinge-affinity-key"
INSTANCE = b"bayhinge-instance-id"
RESUME = b"last-event-id"
CREDENTIALS = b"authorization"
ACCOUNT = b"bayhinge-tenant"

MAX_COUNT = 2**53
"""Larger counts of tokens or events are clamped to this, so that sums fit into 64 bits."""

RESERVED_HEADERS = frozenset(
    {
        DEADLINE,
        b"bayhinge-expect-instance",
        b"bayhinge-expect-version",
        b"bayhinge-request-priority",
        b"bayhinge-pin-ms",
        b"bayhinge-kv-hold",
        b"bayhinge-kv-backup",
        b"kv-fetch",
        b"kv-from",
        RESUME,
        ACCOUNT,
    }
)
"""Headers that callers can't pass on to endpoints; `request_head` sets five of them itself."""

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
"""Hop-by-hop headers, and Content-Length, which is set anew."""

_NEVER_FORWARDED = HOP_BY_HOP_HEADERS | RESERVED_HEADERS

_CONNECTION_OPTIONS = frozenset({b"", b"keep-alive", b"close"})

_TURN = RequestField.TURN
_RESUME = RequestField.RESUME
_MAX_DIGITS = 18
_MAX_SHOWN_BYTES = 40

MISDIRECTED = 421
LOWEST_URGENCY = 9


class PlatformCallFormat(CallFormat):
    """See :class:`CallFormat`."""

    def read_request(self, method: str, target: str, headers: RawHeaders) -> RoutedRequest | None:
        """See :class:`CallFormat`."""
        value_by_name: dict[bytes, bytes] = {}
        kept: list[tuple[bytes, bytes]] = []
        credentials: list[tuple[bytes, bytes]] = []
        for header in headers:
            name = header[0].lower()
            value_by_name[name] = header[1]
            if name == CREDENTIALS:
                credentials.append(header)
            elif name not in _NEVER_FORWARDED:
                kept.append(header)
        attempt = value_by_name.get(ATTEMPT, b"").decode("latin-1")
        if not attempt:
            return None
        dropped = _names_in(value_by_name.get(b"connection", b""))
        if dropped:
            kept = [header for header in kept if header[0].lower() not in dropped]
        deadline_ms = _parse_number(value_by_name.get(DEADLINE))
        program_ms = _parse_number(value_by_name.get(PROGRAM_DEADLINE))
        host = value_by_name.get(b"host", b"").decode("latin-1")
        findings: list[HeaderFinding] = []
        return RoutedRequest(
            method=method,
            target=target,
            host=host.partition(":")[0].lower(),
            headers=tuple(kept),
            attempt=attempt,
            patience_s=None if deadline_ms is None else deadline_ms / 1000,
            program_left_s=None if program_ms is None else program_ms / 1000,
            turn=_parse_turn(value_by_name, findings),
            parts=_parse_prompt_parts(value_by_name.get(PARTS, b"")),
            affinity=value_by_name.get(AFFINITY, b"").decode("latin-1") or None,
            resume_after=_parse_count(
                value_by_name.get(RESUME), "Last-Event-Id", _RESUME, findings
            ),
            findings=tuple(findings),
            credentials=tuple(credentials) if CREDENTIALS not in dropped else (),
            key_sha256=_key_digest(tuple(credentials)),
        )

    def request_head(
        self,
        request: RoutedRequest,
        body_bytes: int,
        endpoint: str,
        time_left_s: float,
        urgency: int,
        resume_after: int | None = None,
    ) -> bytes:
        """See :class:`CallFormat`."""
        lines = [f"{request.method} {request.target} HTTP/1.1".encode("utf-8", "surrogateescape")]
        lines += [name + b": " + value for name, value in request.headers]
        lines += [
            f"Bayhinge-Deadline-Ms: {max(1, int(time_left_s * 1000))}".encode(),
            f"Bayhinge-Expect-Instance: {endpoint}".encode(),
        ]
        if request.account is not None:
            lines.append(f"Bayhinge-Tenant: {request.account.name}".encode("latin-1"))
        if request.turn is not None or request.parts:
            level = min(LOWEST_URGENCY, urgency)
            lines.append(f"Bayhinge-Request-Priority: {level}".encode())
        if resume_after is not None:
            lines.append(f"Last-Event-Id: {resume_after}".encode())
        # RFC 9110: methods that usually have a body state its length even if it is 0.
        if body_bytes or request.method not in {"GET", "HEAD", "DELETE"}:
            lines.append(f"Content-Length: {body_bytes}".encode())
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def read_answer(self, status: int, reason: str, headers: RawHeaders) -> AnswerMetadata:
        """See :class:`CallFormat`."""
        value_by_name = {name.lower(): value for name, value in headers}
        attempt = value_by_name.get(ATTEMPT)
        return AnswerMetadata(
            attempt=None if attempt is None else attempt.decode("latin-1"),
            is_signed=SIGNATURE in value_by_name,
            not_run=NOT_RUN in value_by_name,
            wrong_instance=status == MISDIRECTED,
            is_encoded=b"content-encoding" in value_by_name,
            idle_s=_parse_keepalive_timeout(value_by_name.get(b"keep-alive")),
            is_joined=_is_joined(reason, headers),
        )

    def health_check_head(self, path: str, address: str) -> bytes:
        """See :class:`CallFormat`."""
        return f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()

    def read_health_check(self, headers: RawHeaders) -> str | None:
        """See :class:`CallFormat`."""
        found = [value for name, value in headers if name.lower() == INSTANCE]
        return found[0].decode("latin-1") if found else None

    def answer_headers(self, headers: RawHeaders) -> RawHeaders:
        """See :class:`CallFormat`."""
        dropped = HOP_BY_HOP_HEADERS | {b"date", b"server"}
        return tuple(header for header in headers if header[0].lower() not in dropped)

    def refusal_headers(self, attempt: str | None, retry_after_s: float | None) -> RawHeaders:
        """See :class:`CallFormat`."""
        headers = [(b"Content-Type", b"application/json")]
        if attempt is not None:
            headers.append((b"Bayhinge-Attempt-Id", attempt.encode("latin-1")))
        if retry_after_s is not None:
            headers.append((b"Retry-After", f"{retry_after_s:.3f}".encode()))
        return tuple(headers)


def _is_joined(reason: str, headers: RawHeaders) -> bool:
    """Whether a head began as that of an answer that was cut, and goes on as that of the next."""
    ids = sum(name.lower() == ATTEMPT for name, _ in headers)
    texts = [reason.encode("utf-8", "surrogateescape"), *(value for _, value in headers)]
    return ids > 1 or any(STATUS_LINE.search(text) for text in texts)


def _key_digest(credentials: RawHeaders) -> str | None:
    """Returns the digest of the caller's bearer key, or None unless there is exactly one."""
    if len(credentials) != 1:
        return None
    scheme, _, key = credentials[0][1].strip().partition(b" ")
    key = key.strip()
    if scheme.lower() != b"bearer" or not key:
        return None
    return hash_key(key.decode("utf-8", "surrogateescape"))


def _names_in(connection: bytes) -> frozenset[bytes]:
    """Returns the headers that a Connection header names, beside its usual options."""
    option = connection.strip().lower()
    if option in _CONNECTION_OPTIONS:
        return frozenset()
    return frozenset(name.strip() for name in option.split(b","))


def _parse_number(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def _parse_count(
    value: bytes | None, name: str, field: RequestField, findings: list[HeaderFinding]
) -> int | None:
    """Parses a whole number; an invalid value yields None and adds a finding."""
    if value is None:
        return None
    text = value.strip()
    if text.isdigit():
        # Long digit strings are not parsed, since int() takes quadratic time.
        return MAX_COUNT if len(text) > _MAX_DIGITS else min(MAX_COUNT, int(text))
    shown = text[:_MAX_SHOWN_BYTES].decode("latin-1")
    findings.append(HeaderFinding(field, f"{name}: '{shown}' is not a whole number"))
    return None


def _parse_turn(
    value_by_name: dict[bytes, bytes], findings: list[HeaderFinding]
) -> TurnContext | None:
    program = value_by_name.get(PROGRAM)
    if program is None:
        return None
    budget = _parse_count(value_by_name.get(BUDGET), "Bayhinge-Token-Budget", _TURN, findings)
    usage = value_by_name.get(USAGE, b"")
    _, _, most = usage.partition(b",")
    max_output_tokens = _parse_count(most or None, "Bayhinge-Token-Usage", _TURN, findings)
    if max_output_tokens is None and budget is not None and not findings:
        why = "Bayhinge-Token-Usage: a turn with a token budget must state its output token limit"
        findings.append(HeaderFinding(_TURN, why))
    previous = value_by_name.get(PREVIOUS)
    return TurnContext(
        program=program.decode("latin-1"),
        token_budget=budget,
        max_output_tokens=max_output_tokens or 0,
        previous=None if previous is None else previous.decode("latin-1"),
    )


def _parse_prompt_parts(value: bytes) -> tuple[PromptPart, ...]:
    parts: list[PromptPart] = []
    for item in value.decode("latin-1").split(","):
        name, _, tokens = item.strip().partition(":")
        if name and tokens.isdecimal() and len(tokens) <= _MAX_DIGITS:
            parts.append(PromptPart(name, int(tokens)))
    return tuple(parts)


def _parse_keepalive_timeout(value: bytes | None) -> float | None:
    if value is None:
        return None
    for item in value.decode("latin-1").split(","):
        name, _, number = item.strip().partition("=")
        if name.lower() == "timeout" and number.strip().isdecimal():
            return float(number)
    return None
