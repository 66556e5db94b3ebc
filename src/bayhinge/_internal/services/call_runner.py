"""Runs one accepted call: requests an endpoint, sends the call, and retries it."""

import asyncio
import uuid
from collections.abc import Awaitable, Callable, Coroutine

import attrs
import orjson
import xxhash

from bayhinge._internal import status_codes
from bayhinge._internal.decisions.known_sends import RequestKey
from bayhinge._internal.decisions.offers import CallCompletion, Offer, Outcome
from bayhinge._internal.exceptions import EndpointError
from bayhinge._internal.models.accounts import ClientAccount
from bayhinge._internal.models.calls import AnswerEnd, Call, ModelCall, ServiceCall, Usage
from bayhinge._internal.models.events import Mechanism
from bayhinge._internal.models.messages import build_request_body, estimate_tokens, merge_tool_calls
from bayhinge._internal.models.programs import LostEndpoint, ProgramState
from bayhinge._internal.models.refusals import Figure, RefusalCode, RefusedError, SendRecord
from bayhinge._internal.models.settings import Settings
from bayhinge._internal.network.endpoint_client import EndpointClient, EngineChunk, EngineRequest
from bayhinge._internal.services.answers import LiveAnswer
from bayhinge._internal.services.ended_calls import EndedCalls
from bayhinge._internal.services.grants import GrantedEndpoint, GrantSource
from bayhinge._internal.services.timeline import Timeline

MAX_ATTEMPTS = 4
"""Sends of one repeatable call, including the first."""

ENDED = ("endpoint ended", "it broke the call off and refuses connections")
IN_DOUBT = ("endpoint in doubt", "it failed the call and may be about to end")
"""What the timeline says of endpoints that are lost, and why."""

FIRST_BACKOFF_S = 0.05
RETRY_AFTER_S = 2.0
"""``retry_after_s`` of refusals."""


@attrs.frozen
class PreparedCall:
    """A call with everything that is needed to send it.

    ``prompt`` is the whole message list of a model call, encoded. ``deadline`` is on the
    loop's clock. ``extend_budget`` reserves more tokens before a model call is sent again,
    or refuses the call. ``record_lost`` makes durable which endpoint was lost under it.
    """

    state: ProgramState
    account: ClientAccount
    call: Call
    index: int
    prompt: tuple[bytes, ...]
    deadline: float
    extend_budget: Callable[[int, SendRecord], Awaitable[None]] | None = None
    record_lost: Callable[[LostEndpoint], Awaitable[None]] | None = None


@attrs.frozen
class CallResult:
    """The result of a call; ``spend`` includes the tokens of failed attempts."""

    end: AnswerEnd
    endpoint: str
    service_s: float
    spend: int = 0


DEFAULT_FINISH_REASON = "stop"
"""The finish reason of an answer whose engine gives none."""


@attrs.define
class _Progress:
    """The state of a call over all its attempts."""

    send_record: SendRecord = attrs.field(factory=SendRecord)
    avoid: set[str] = attrs.field(factory=set)
    tool_calls: list[dict[str, object]] = attrs.field(factory=list)
    usage: Usage = attrs.field(factory=Usage)
    finish_reason: str = DEFAULT_FINISH_REASON
    attempts: int = 0
    failed_tokens: int = 0

    def begin_attempt(self) -> None:
        """Clears everything but text that a failed attempt has collected."""
        self.send_record.record_send()
        self.attempts += 1
        self.tool_calls.clear()
        self.usage = Usage()
        self.finish_reason = DEFAULT_FINISH_REASON


BeforeSend = Callable[[str, SendRecord], Awaitable[None]]
"""Makes a call's start durable; called with the endpoint and the call's attempts."""


class CallRunner:
    """Sends calls to endpoints."""

    def __init__(
        self,
        incarnation: str,
        settings: Settings,
        grants: GrantSource,
        endpoints: EndpointClient,
        timeline: Timeline,
        random_unit: Callable[[], float],
    ) -> None:
        self._incarnation = incarnation
        self._settings = settings
        self._grants = grants
        self._endpoints = endpoints
        self._timeline = timeline
        self._random_unit = random_unit
        self._background: set[asyncio.Task[None]] = set()
        self._ended_calls = EndedCalls(endpoints)

    async def run_model(self, prepared: PreparedCall, live: LiveAnswer) -> CallResult:
        """Runs a model call; resumes its stream at another engine after a failure.

        Raises:
            RefusedError: the call got no complete answer.
        """
        work = prepared.call.work
        assert isinstance(work, ModelCall)
        pool = self._settings.pool_of_model(work.model)
        progress = _Progress()
        if pool is None:
            why = f"no pool serves model '{work.model}'"
            raise RefusedError(progress.send_record.refusal(RefusalCode.NO_ENDPOINT, why))
        while True:
            granted = await self._request_endpoint(pool.name, prepared, progress)
            try:
                result = await self._stream(prepared, work, granted, live, progress)
                self._ended_calls.record_answer(_key_of(prepared))
                return result
            except EndpointError as error:
                await self._after_failure(prepared, granted, progress, error)

    async def run_service(
        self,
        prepared: PreparedCall,
        before_send: BeforeSend | None,
    ) -> CallResult:
        """Runs a service call.

        Args:
            prepared: the call.
            before_send: awaited before each send of a call that may not be repeated.

        Raises:
            RefusedError: the call got no complete answer.
        """
        work = prepared.call.work
        assert isinstance(work, ServiceCall)
        progress = _Progress()
        if work.service not in self._settings.services_by_name:
            why = f"service '{work.service}' does not exist"
            raise RefusedError(progress.send_record.refusal(RefusalCode.NO_ENDPOINT, why))
        while True:
            granted = await self._request_endpoint(work.service, prepared, progress)
            try:
                result = await self._send_service(prepared, work, granted, progress, before_send)
                self._ended_calls.record_answer(_key_of(prepared))
                return result
            except EndpointError as error:
                await self._after_failure(prepared, granted, progress, error)

    async def _request_endpoint(
        self, pool: str, prepared: PreparedCall, progress: _Progress
    ) -> GrantedEndpoint:
        recorded = (
            lost for lost in prepared.state.lost_endpoints if lost.digest == prepared.call.digest
        )
        await self._ended_calls.check(_key_of(prepared), recorded, prepared.deadline)
        now = asyncio.get_running_loop().time()
        patience_s = prepared.deadline - now
        if patience_s <= 0:
            why = "the caller's patience ran out before an endpoint answered"
            figures = (Figure("tries", progress.attempts),)
            raise RefusedError(
                progress.send_record.refusal(
                    RefusalCode.PATIENCE_EXCEEDED, why, *figures, retry_after_s=RETRY_AFTER_S
                )
            )
        try:
            granted = await self._grants.request(pool, self._offer(prepared, progress, patience_s))
        except RefusedError as error:
            refusal = attrs.evolve(error.refusal, run_state=progress.send_record.run_state)
            raise RefusedError(refusal) from error
        return granted

    def _offer(self, prepared: PreparedCall, progress: _Progress, patience_s: float) -> Offer:
        work = prepared.call.work
        is_model = isinstance(work, ModelCall)
        first = prepared.prompt[0] if is_model and prepared.prompt else b""
        shared = estimate_tokens([first]) if first else 0
        return Offer(
            grant=f"{self._incarnation}/{uuid.UUID(int=int(self._random_unit() * 2**53))}",
            incarnation=self._incarnation,
            program=str(prepared.state.program_id),
            account=prepared.account.name,
            index=prepared.index,
            prompt_tokens=estimate_tokens(prepared.prompt),
            max_tokens=work.max_tokens if isinstance(work, ModelCall) else 0,
            attained_s=prepared.state.attained_s,
            priority=prepared.account.priority,
            patience_s=patience_s,
            weight=prepared.account.weight,
            shared_prefix=_prefix_key(first),
            shared_tokens=shared,
            avoid=frozenset(progress.avoid),
        )

    async def _stream(
        self,
        prepared: PreparedCall,
        work: ModelCall,
        granted: GrantedEndpoint,
        live: LiveAnswer,
        progress: _Progress,
    ) -> CallResult:
        request = self._engine_request(prepared, work, granted, live.length)
        loop = asyncio.get_running_loop()
        started = loop.time()
        first_token_s = 0.0
        outcome = Outcome.CANCELLED
        progress.begin_attempt()
        pieces = 0
        try:
            async for piece in self._endpoints.complete(granted.endpoint, granted.address, request):
                if piece.text and not first_token_s:
                    first_token_s = loop.time() - started
                pieces += bool(piece.text)
                self._apply_piece(piece, live, progress)
            outcome = Outcome.FINISHED
        except EndpointError as error:
            outcome = _outcome_of(error)
            if error.may_have_run:
                await self._charge_failed_attempt(prepared, progress, pieces)
            else:
                progress.send_record.retract_send()
            raise
        finally:
            if outcome is Outcome.CANCELLED:
                # The caller disconnected or the program was cancelled: free the engine at once.
                self._spawn(self._endpoints.cancel(granted.address, request.request_id))
            seconds = loop.time() - started
            usage = progress.usage
            done = CallCompletion(
                granted.grant,
                outcome,
                usage.prompt_tokens,
                usage.cached_tokens,
                usage.completion_tokens,
                first_token_s,
                seconds - first_token_s,
            )
            self._grants.done(granted, done)
        progress.send_record.answered = True
        end = _model_end(prepared, work, progress)
        spend = progress.usage.total + progress.failed_tokens
        return CallResult(end, granted.endpoint, loop.time() - started, spend)

    async def _charge_failed_attempt(
        self, prepared: PreparedCall, progress: _Progress, pieces: int
    ) -> None:
        """Counts the tokens of a failed attempt, and reserves as many for the next one."""
        cost = estimate_tokens(prepared.prompt) + pieces
        progress.failed_tokens += cost
        if prepared.extend_budget is not None:
            await prepared.extend_budget(cost, progress.send_record)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _engine_request(
        self, prepared: PreparedCall, work: ModelCall, granted: GrantedEndpoint, offset: int
    ) -> EngineRequest:
        request_id = granted.grant.rpartition("/")[2]
        fields = {
            **work.options,
            "model": work.model,
            "max_tokens": work.max_tokens,
            "stream": True,
            "stream_options": {"include_usage": True},
            "priority": prepared.account.priority,
            "request_id": request_id,
            "program": str(prepared.state.program_id),
        }
        if offset:
            fields["resume_offset"] = offset
        return EngineRequest(request_id, build_request_body(fields, prepared.prompt))

    def _apply_piece(self, piece: EngineChunk, live: LiveAnswer, progress: _Progress) -> None:
        live.add(piece.text)
        if piece.tool_calls is not None:
            merge_tool_calls(progress.tool_calls, piece.tool_calls)
        if piece.finish_reason is not None:
            progress.finish_reason = piece.finish_reason
        if piece.usage is not None:
            progress.usage = piece.usage

    async def _send_service(
        self,
        prepared: PreparedCall,
        work: ServiceCall,
        granted: GrantedEndpoint,
        progress: _Progress,
        before_send: BeforeSend | None,
    ) -> CallResult:
        loop = asyncio.get_running_loop()
        started = loop.time()
        settings = self._settings.services_by_name[work.service]
        outcome = Outcome.CANCELLED
        try:
            if before_send is not None:
                await before_send(granted.endpoint, progress.send_record)
            timeout_s = min(settings.timeout_seconds, max(0.05, prepared.deadline - loop.time()))
            progress.send_record.record_send()
            progress.attempts += 1
            answer = await self._endpoints.call_service(
                granted.endpoint, granted.address, work, timeout_s
            )
            outcome = Outcome.FINISHED
        except EndpointError as error:
            outcome = _outcome_of(error)
            if not error.may_have_run:
                progress.send_record.retract_send()
            raise
        except RefusedError:
            outcome = Outcome.CANCELLED
            raise
        finally:
            self._grants.done(granted, CallCompletion(granted.grant, outcome))
        progress.send_record.answered = True
        end = AnswerEnd(
            prepared.index,
            answer.status,
            answer.content_type,
            answer.body,
            DEFAULT_FINISH_REASON,
            Usage(),
            None,
            work.service,
        )
        return CallResult(end, granted.endpoint, loop.time() - started)

    async def _after_failure(
        self,
        prepared: PreparedCall,
        granted: GrantedEndpoint,
        progress: _Progress,
        error: EndpointError,
    ) -> None:
        """Waits before the next attempt, or refuses the call if there must be none."""
        progress.avoid.add(error.endpoint)
        send_record = progress.send_record
        self._record(
            prepared,
            "attempt failed",
            error.why,
            Figure("tries", progress.attempts),
            Figure("may_have_run", float(error.may_have_run)),
            endpoint=error.endpoint,
        )
        if error.may_have_run and not error.draining:
            await self._record_lost(prepared, granted)
        if error.may_have_run and not prepared.call.repeatable:
            why = (
                f"endpoint {error.endpoint} gave no answer ({error.why}); "
                "the call may not be repeated, and it may have run"
            )
            raise RefusedError(send_record.refusal(RefusalCode.OUTCOME_UNKNOWN, why)) from error
        if progress.attempts >= MAX_ATTEMPTS or len(progress.avoid) > MAX_ATTEMPTS:
            why = f"endpoints failed {progress.attempts} times, the last one: {error.why}"
            figures = (Figure("tries", progress.attempts),)
            raise RefusedError(
                send_record.refusal(
                    RefusalCode.ENDPOINT_FAILED, why, *figures, retry_after_s=RETRY_AFTER_S
                )
            ) from error
        if not error.draining:
            max_s = FIRST_BACKOFF_S * 2**progress.attempts
            await asyncio.sleep(max_s * (0.5 + self._random_unit() / 2))

    async def _record_lost(self, prepared: PreparedCall, granted: GrantedEndpoint) -> None:
        """Counts an endpoint that failed a call."""
        key = _key_of(prepared)
        lost = await self._ended_calls.record_failure(key, prepared.call.digest, granted)
        what, why = ENDED if lost.has_ended else IN_DOUBT
        figure = Figure("endpoints_lost", self._ended_calls.lost_count(key))
        self._record(prepared, what, why, figure, endpoint=granted.endpoint)
        if prepared.record_lost is not None:
            await prepared.record_lost(lost)

    def _record(
        self, prepared: PreparedCall, what: str, why: str, *figures: Figure, endpoint: str = ""
    ) -> None:
        self._timeline.record(
            Mechanism.ENDPOINT,
            what,
            why,
            *figures,
            program=str(prepared.state.program_id),
            account=prepared.account.name,
            endpoint=endpoint,
            index=prepared.index,
        )


def _model_end(prepared: PreparedCall, work: ModelCall, progress: _Progress) -> AnswerEnd:
    calls = orjson.dumps(progress.tool_calls) if progress.tool_calls else None
    return AnswerEnd(
        prepared.index,
        status_codes.HTTP_OK,
        "application/json",
        b"",
        progress.finish_reason,
        progress.usage,
        calls,
        work.model,
    )


def _outcome_of(error: EndpointError) -> Outcome:
    if error.draining:
        return Outcome.DRAINING
    return Outcome.FAILED if error.may_have_run else Outcome.NOT_SENT


def _key_of(prepared: PreparedCall) -> RequestKey:
    name = f"{prepared.state.program_id}/{prepared.index}/{prepared.call.digest}"
    return RequestKey(name, has_program=True)


def _prefix_key(first_message: bytes) -> str:
    """Returns a key for the prompt prefix that programs of one template share.

    The prefix is the first message.
    """
    return xxhash.xxh3_64_hexdigest(first_message) if first_message else ""
