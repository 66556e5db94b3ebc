"""Refusals: the typed error for every call that gets no answer.

The run state of a refusal is derived by :class:`SendRecord` from the requests that were sent for
the call. A call that was refused before any were sent has not run.
"""

from enum import StrEnum

import attrs
import orjson

from bayhinge._internal import status_codes


class RunState(StrEnum):
    """Whether the work of a refused call was executed."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class RefusalCode(StrEnum):
    """Why a call was refused.

    Attributes:
        INDEX_GAP: an earlier call of the program is missing.
        HISTORY_DIFFERS: the call's messages don't continue the recorded history.
        NOT_RECORDED: the turn or answer that the call refers to is not stored.
        PROGRAM_LIMIT: the program has used up the calls or tokens that its account allows.
        PATIENCE_EXCEEDED: the time that the caller was willing to wait is over.
        CONFIG_UNKNOWN: the host can't confirm its configuration, or can't read the account.
        OWNER_UNREACHABLE: the host in charge of the program, its queue or its quota did not
            answer or has changed.
        NO_PLACE: all endpoints of the service are full, and none would have a place in time.
        ENDS_ENDPOINTS: too many endpoints have ended while they ran the request.
        HOST_MEMORY: the host's memory budget has no room for the request.
        BODY_STALLED: the request's body has stopped arriving, and others wait for its memory.
    """

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    UNKNOWN_PROGRAM = "unknown_program"
    PROGRAM_ENDED = "program_ended"
    INDEX_GAP = "index_gap"
    INDEX_REUSED = "index_reused"
    HISTORY_DIFFERS = "history_differs"
    NOT_RECORDED = "not_recorded"
    BUDGET_EXCEEDED = "budget_exceeded"
    PROGRAM_LIMIT = "program_limit"
    LOOP_DETECTED = "loop_detected"
    OVERLOADED = "overloaded"
    QUOTA_EXCEEDED = "quota_exceeded"
    PATIENCE_EXCEEDED = "patience_exceeded"
    NO_ENDPOINT = "no_endpoint"
    NO_PLACE = "no_place"
    HOST_MEMORY = "host_memory"
    BODY_STALLED = "body_stalled"
    ENDPOINT_FAILED = "endpoint_failed"
    ENDS_ENDPOINTS = "ends_endpoints"
    OUTCOME_UNKNOWN = "outcome_unknown"
    STORE_UNAVAILABLE = "store_unavailable"
    CONFIG_UNKNOWN = "config_unknown"
    OWNER_UNREACHABLE = "owner_unreachable"
    HOST_LEAVING = "host_leaving"
    CANCELLED = "cancelled"


STATUS_BY_CODE: dict[RefusalCode, int] = {
    RefusalCode.BAD_REQUEST: status_codes.HTTP_BAD_REQUEST,
    RefusalCode.TOO_LARGE: status_codes.HTTP_TOO_LARGE,
    RefusalCode.UNAUTHORIZED: status_codes.HTTP_UNAUTHORIZED,
    RefusalCode.FORBIDDEN: status_codes.HTTP_FORBIDDEN,
    RefusalCode.UNKNOWN_PROGRAM: status_codes.HTTP_NOT_FOUND,
    RefusalCode.PROGRAM_ENDED: status_codes.HTTP_GONE,
    RefusalCode.INDEX_GAP: status_codes.HTTP_CONFLICT,
    RefusalCode.INDEX_REUSED: status_codes.HTTP_CONFLICT,
    RefusalCode.HISTORY_DIFFERS: status_codes.HTTP_CONFLICT,
    RefusalCode.NOT_RECORDED: status_codes.HTTP_NOT_FOUND,
    RefusalCode.BUDGET_EXCEEDED: status_codes.HTTP_PAYMENT_REQUIRED,
    RefusalCode.PROGRAM_LIMIT: status_codes.HTTP_FORBIDDEN,
    RefusalCode.LOOP_DETECTED: status_codes.HTTP_FORBIDDEN,
    RefusalCode.OVERLOADED: status_codes.HTTP_TOO_MANY_REQUESTS,
    RefusalCode.QUOTA_EXCEEDED: status_codes.HTTP_TOO_MANY_REQUESTS,
    RefusalCode.PATIENCE_EXCEEDED: status_codes.HTTP_TOO_MANY_REQUESTS,
    RefusalCode.NO_ENDPOINT: status_codes.HTTP_UNAVAILABLE,
    RefusalCode.NO_PLACE: status_codes.HTTP_UNAVAILABLE,
    RefusalCode.HOST_MEMORY: status_codes.HTTP_UNAVAILABLE,
    RefusalCode.BODY_STALLED: status_codes.HTTP_REQUEST_TIMEOUT,
    RefusalCode.ENDPOINT_FAILED: status_codes.HTTP_BAD_GATEWAY,
    RefusalCode.ENDS_ENDPOINTS: status_codes.HTTP_BAD_GATEWAY,
    RefusalCode.OUTCOME_UNKNOWN: status_codes.HTTP_BAD_GATEWAY,
    RefusalCode.STORE_UNAVAILABLE: status_codes.HTTP_UNAVAILABLE,
    RefusalCode.CONFIG_UNKNOWN: status_codes.HTTP_UNAVAILABLE,
    RefusalCode.OWNER_UNREACHABLE: status_codes.HTTP_UNAVAILABLE,
    RefusalCode.HOST_LEAVING: status_codes.HTTP_UNAVAILABLE,
    RefusalCode.CANCELLED: status_codes.HTTP_CONFLICT,
}


@attrs.frozen
class Figure:
    """A number that a decision was based on, with its unit in the name (``waited_s``)."""

    name: str
    value: float


@attrs.frozen
class Refusal:
    """The error answer to a call that was not served.

    Attributes:
        figures: the figures that the refusal is based on.
        retry_after_s: when to retry; None if there is no advice, as when a retry is useless.
    """

    code: RefusalCode
    run_state: RunState
    why: str
    figures: tuple[Figure, ...] = ()
    retry_after_s: float | None = None

    @property
    def http_status(self) -> int:
        """The HTTP status for the code."""
        return STATUS_BY_CODE[self.code]

    def to_json(self) -> bytes:
        """Returns the JSON error document; see :func:`refusal_from_json`.

        It is sent to callers and between hosts, and stored in records.
        """
        error: dict[str, object] = {
            "code": self.code.value,
            "type": "bayhinge_refusal",
            "message": self.why,
            "run_state": self.run_state.value,
            "figures": {figure.name: figure.value for figure in self.figures},
            "retry_after_s": self.retry_after_s,
        }
        return orjson.dumps({"error": error})


def refusal_from_json(data: bytes) -> Refusal:
    """Parses an error document received from another host or read from a record."""
    error = orjson.loads(data)["error"]
    figures = tuple(Figure(name, value) for name, value in error["figures"].items())
    return Refusal(
        RefusalCode(error["code"]),
        RunState(error["run_state"]),
        error["message"],
        figures,
        error["retry_after_s"],
    )


class RefusedError(Exception):
    """Carries a refusal up to the handler that sends it."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(f"{refusal.code}: {refusal.why}")
        self.refusal = refusal


def not_run_refusal(
    code: RefusalCode,
    why: str,
    *figures: Figure,
    retry_after_s: float | None = None,
) -> Refusal:
    """Returns a refusal of a call that can't have run, such as one that was not accepted."""
    return Refusal(code, RunState.NOT_RUN, why, figures, retry_after_s)


@attrs.define
class SendRecord:
    """Counts the requests sent for one call, to derive the run state of a refusal.

    Attributes:
        sends: requests that may have reached an endpoint.
        answered: an endpoint has returned a complete answer.
        started_before: a previous owner recorded the start of this call.
    """

    sends: int = 0
    answered: bool = False
    started_before: bool = False

    def record_send(self) -> None:
        """Counts a send; must be called before any byte goes to an endpoint."""
        self.sends += 1

    def retract_send(self) -> None:
        """Reverts a send that can't have arrived, such as after a refused connection."""
        self.sends -= 1

    @property
    def run_state(self) -> RunState:
        """The run state as far as is known."""
        if self.answered:
            return RunState.RAN
        if self.sends or self.started_before:
            return RunState.MAY_HAVE_RUN
        return RunState.NOT_RUN

    def refusal(
        self,
        code: RefusalCode,
        why: str,
        *figures: Figure,
        retry_after_s: float | None = None,
    ) -> Refusal:
        """Returns a refusal with the current run state."""
        return Refusal(code, self.run_state, why, figures, retry_after_s)
