"""Sends a request to endpoints until one answers or no retry is allowed."""

import asyncio
from collections.abc import Callable, Collection

import attrs
import eliot

from bayhinge._internal.decisions.answer_timeouts import (
    MAX_SILENCE_PERIODS,
    AnswerTimeouts,
    answer_timeouts_for,
    smoothed_answer_s,
)
from bayhinge._internal.decisions.endpoint_state import EndpointState
from bayhinge._internal.decisions.endpoint_table import EndpointTable
from bayhinge._internal.models.refusals import Refusal, RefusalCode, RefusedError, SendRecord
from bayhinge._internal.models.routed_requests import AnswerMetadata, RoutedRequest
from bayhinge._internal.models.routing import Route, RouteKind
from bayhinge._internal.network.endpoint_answer import (
    Answer,
    AnswerBeyondMemoryError,
    EndpointUnreachableError,
    IncompleteAnswerError,
    SilentEndpointError,
)
from bayhinge._internal.network.endpoint_connections import (
    EndpointConnection,
    EndpointConnectionPool,
)
from bayhinge._internal.services.gateway.active_runs import (
    ENDED_REASON,
    ActiveRun,
    ActiveRuns,
)
from bayhinge._internal.services.gateway.admission import AdmissionRevokedError
from bayhinge._internal.services.gateway.delivery import Delivery
from bayhinge._internal.services.gateway.endpoint_examiner import EndpointExaminer
from bayhinge._internal.services.gateway.endpoint_prober import EndpointProber
from bayhinge._internal.services.gateway.open_turn import OpenTurn
from bayhinge._internal.services.gateway.place_demand import NoPlaceError, demand_of
from bayhinge._internal.services.gateway.placement_preferences import preference_of
from bayhinge._internal.services.gateway.placer import LocalPlacer, Placer
from bayhinge._internal.services.gateway.platform_interface import CallFormat
from bayhinge._internal.services.gateway.send_guard import (
    SendEnd,
    SendGuard,
    guard_without_witnesses,
)
from bayhinge._internal.services.gateway.send_state import SendCounts, SendState
from bayhinge._internal.services.gateway.silent_endpoints import SilentEndpoints
from bayhinge._internal.services.gateway.speed_tracker import SpeedTracker
from bayhinge._internal.utils.stall_tolerant_timeouts import stall_tolerant_timeout

MAX_REJECTED_SENDS = 4
"""Maximum sends of a request that endpoints reject; each costs a round trip."""

LONE_PAUSE_S = 0.05
MAX_LONE_PAUSES = 6
"""Pauses in which a sound endpoint is waited for that no other request has reserved, 0.3 s in all.
In a crash wave there are more such requests than endpoints, and all of them have to be served."""

MAX_RESERVED = 8
"""Endpoints that are tried between two pauses."""

MAX_PASSED_OVER = 16
"""Answers to other requests that are passed over; endpoints send one too many at times."""

MAX_LOGGED_CHARS = 64
"""Of an id that an endpoint has sent."""

RETRY_AFTER_S = 0.3
"""Retry delay for a request that no endpoint accepted."""


class RequestRejectedError(Exception):
    """The endpoint rejected the request and guarantees that it did not run."""


class RequestSender:
    """Sends requests to the endpoints that a placer chooses.

    ``check_admission`` raises AdmissionRevokedError to stop a send.
    """

    def __init__(
        self,
        endpoint_table: EndpointTable,
        connection_pool: EndpointConnectionPool,
        calls: CallFormat,
        placer: Placer | None = None,
        runs: ActiveRuns | None = None,
        check_admission: Callable[[RoutedRequest], None] = lambda request: None,
        speeds: SpeedTracker | None = None,
        guard: SendGuard | None = None,
        silent_endpoints: SilentEndpoints | None = None,
    ) -> None:
        self._check_admission = check_admission
        self._endpoint_table = endpoint_table
        self._placer = placer or LocalPlacer(endpoint_table)
        self._connection_pool = connection_pool
        self._calls = calls
        examiner = EndpointExaminer(EndpointProber(connection_pool))
        self._guard = guard or guard_without_witnesses(endpoint_table, examiner)
        self._silent_endpoints = silent_endpoints or SilentEndpoints(connection_pool, examiner)
        self.counts = SendCounts()
        self._runs = runs or ActiveRuns()
        self._speeds = speeds or SpeedTracker(endpoint_table)
        self._usual_answer_s_by_service: dict[str, float] = {}

    async def send(
        self,
        service: str,
        route: Route,
        request: RoutedRequest,
        turn: OpenTurn | None,
        send_record: SendRecord,
        deadline_s: float,
        delivery: Delivery,
    ) -> None:
        """Sends a request and delivers the answer.

        Raises:
            RefusedError: no endpoint gave a deliverable answer.
        """
        body = request.body if turn is None else turn.history + request.body
        preference = preference_of(request, turn)
        if turn is not None:
            # It is part of the body now; its size is counted only once.
            turn.history = b""
        send_state = SendState(
            service,
            route,
            request,
            body,
            preference,
            demand_of(route, request, deadline_s, asyncio.get_running_loop().time()),
            send_record,
            deadline_s,
            delivery,
        )
        while True:
            run = await self._next_run(send_state)
            try:
                await self._send_to(run, send_state)
                return
            except AdmissionRevokedError as error:
                send_record.retract_send()
                raise RefusedError(self._admission_refusal(send_state, error)) from error
            except EndpointUnreachableError as error:
                send_record.retract_send()
                send_state.rejected += 1
                self._record_failure(run, send_state, str(error))
            except RequestRejectedError as error:
                send_record.retract_send()
                send_state.rejected += 1
                self._log("send.not_taken", run, send_state, str(error))
            except AnswerBeyondMemoryError as error:
                # Its events may count as forwarded without being sent, so it can't be resumed.
                raise RefusedError(
                    send_record.refusal(RefusalCode.OUTCOME_UNKNOWN, error.why)
                ) from error
            except IncompleteAnswerError as error:
                send_state.ran += 1
                self.counts.cut_in_event += error.cut_bytes > 0
                if isinstance(error, SilentEndpointError) and self._endpoint_table.is_current(
                    run.state
                ):
                    # Its idle connections may be dead too.
                    self._connection_pool.drop_idle(run.endpoint)
                self._record_failure(run, send_state, error.why, error.cut_bytes)
                self._raise_unless_repeatable(send_state, error)
            finally:
                self._guard.end(send_state)

    def _admission_refusal(self, send_state: SendState, error: AdmissionRevokedError) -> Refusal:
        if send_state.ran:
            return send_state.send_record.refusal(RefusalCode.OUTCOME_UNKNOWN, error.why)
        retry_after_s = None if error.code is RefusalCode.UNAUTHORIZED else RETRY_AFTER_S
        return send_state.send_record.refusal(error.code, error.why, retry_after_s=retry_after_s)

    async def _next_run(self, send_state: SendState) -> ActiveRun:
        """Returns the run of the next send, of which other hosts have been told."""
        try:
            await self._guard.claim(send_state)
            run = self._runs.begin(await self._place_next(send_state))
        except BaseException:
            self._guard.end(send_state)
            raise
        self._guard.begin(send_state, run)
        send_state.send_record.record_send()
        send_state.tried.append(run)
        return run

    async def _place_next(self, send_state: SendState) -> EndpointState:
        state = None
        if send_state.rejected < MAX_REJECTED_SENDS:
            place = self._place_alone if send_state.is_alone else self._place
            state = await place(send_state)
        if state is None:
            raise RefusedError(send_state.no_endpoint_refusal(RETRY_AFTER_S))
        return state

    async def _place_alone(self, send_state: SendState) -> EndpointState | None:
        """Returns a sound endpoint that no other request has reserved, or after a wait any."""
        reserved: set[str] = set()
        while send_state.lone_pauses < MAX_LONE_PAUSES:
            state = await self._place(send_state, reserved)
            if state is not None:
                endpoint = state.entry.instance
                if _is_sound(state) and await self._guard.reserve(send_state, endpoint):
                    return state
                self._placer.record_end(state, send_state.demand, None)
                reserved.add(endpoint)
            if state is None or len(reserved) >= MAX_RESERVED:
                reserved.clear()
                send_state.lone_pauses += 1
                await asyncio.sleep(LONE_PAUSE_S)
        return await self._place(send_state)

    async def _place(
        self, send_state: SendState, excluded: Collection[str] = ()
    ) -> EndpointState | None:
        """Returns the endpoint for the next send, after a wait for a place, or None.

        Endpoints that may have ended under the request are left out while there are others.
        """
        tried = {*self._tried_endpoints(send_state), *excluded}
        failed = send_state.tally.failed_endpoints
        if failed - tried:
            state = await self._place_beside(send_state, tried | failed)
            if state is not None:
                return state
        return await self._place_beside(send_state, tried)

    async def _place_beside(
        self, send_state: SendState, avoided: Collection[str]
    ) -> EndpointState | None:
        """Returns an endpoint that is not avoided, after a wait for a place, or None."""
        preference = attrs.evolve(
            send_state.preference, connected=self._connection_pool.connected_endpoints()
        )
        try:
            return await self._placer.place(
                send_state.service, preference, avoided, send_state.demand
            )
        except NoPlaceError as error:
            raise RefusedError(send_state.no_place_refusal(error)) from error

    def _tried_endpoints(self, send_state: SendState) -> list[str]:
        """Returns the endpoints whose current incarnation was tried already."""
        return [
            run.endpoint
            for run in send_state.tried
            if self._endpoint_table.find_incarnation(run.state.entry.incarnation) is not None
        ]

    async def _send_to(self, run: ActiveRun, send_state: SendState) -> None:
        connection: EndpointConnection | None = None
        is_complete = False
        end = SendEnd()
        began_s = asyncio.get_running_loop().time()
        send_state.delivery.on_read = lambda: self._free_place(
            run, send_state, asyncio.get_running_loop().time() - began_s
        )
        try:
            connection = await self._connection_pool.acquire(run.endpoint, run.state.entry.address)
            if run.is_ended:
                raise EndpointUnreachableError(ENDED_REASON)
            run.connection = connection
            answer, marks = await self._exchange(connection, run, send_state)
            is_complete = end.is_answered = True
            self._keep_or_close(connection, answer, marks)
            if marks.not_run or marks.wrong_instance:
                end.is_rejected = True
                raise RequestRejectedError(f"status {answer.status}")
            end.why = send_state.delivery.outcome
            run.state.record_success()
            self._speeds.record_answer(run, send_state.route, send_state.delivery)
        except asyncio.CancelledError:
            # The caller left, or the request's time is over.
            self._log("send.abandoned", run, send_state, "no whole answer until the request ended")
            raise
        except IncompleteAnswerError as error:
            end.why, end.is_answered = error.why, error.is_whole
            raise
        finally:
            self._free_place(run, send_state, None)
            if connection is not None and not is_complete:
                # Also makes the endpoint stop if the caller left or the deadline passed.
                connection.abort("given up")
            self._guard.record_end(run, send_state, end)
            if run.sent_s is not None and not end.is_answered:
                self._silent_endpoints.watch(run.state)

    def _free_place(self, run: ActiveRun, send_state: SendState, ran_s: float | None) -> None:
        """Frees a run's place once; ``ran_s`` is how long the endpoint took, None if it failed."""
        if run.has_place:
            run.has_place = False
            self._runs.end(run)
            self._placer.record_end(run.state, send_state.demand, ran_s)

    async def _exchange(
        self, connection: EndpointConnection, run: ActiveRun, send_state: SendState
    ) -> tuple[Answer, AnswerMetadata]:
        """Sends the request, and delivers the answer unless the endpoint rejected it."""
        request, route = send_state.request, send_state.route
        loop = asyncio.get_running_loop()
        may_repeat = route.may_repeat and send_state.ran + 1 < route.max_endpoints
        bounds = answer_timeouts_for(
            route,
            may_repeat and send_state.delivery.may_continue,
            self._usual_answer_s_by_service.get(send_state.service, 0.0),
        )
        head = self._calls.request_head(
            request,
            len(send_state.body),
            run.endpoint,
            send_state.deadline_s - loop.time(),
            route.urgency_of(request.account),
            send_state.delivery.resume_after,
        )
        self._check_admission(request)
        # Programs retry failed turns, so streams also use the shorter silence limit.
        connection.send(head, send_state.body, may_repeat or route.kind is RouteKind.STREAMING)
        self._speeds.begin(run)
        answer, marks = await self._answer_in_time(connection, run, send_state, bounds)
        if marks.not_run or marks.wrong_instance:
            if not await answer.skip_body():
                connection.abort("the body of a rejection goes on and on")
            return answer, marks
        send_state.delivery.run = run
        await send_state.delivery.deliver(answer, marks, may_repeat, bounds)
        return answer, marks

    def _keep_or_close(
        self, connection: EndpointConnection, answer: Answer, marks: AnswerMetadata
    ) -> None:
        if answer.closes_connection or marks.idle_s == 0:
            connection.abort("the endpoint closes it")
        elif marks.attempt is None:
            # The next refusal without an id could not be told from a late one to this request.
            connection.abort("it rejected a request without its id")
        else:
            self._connection_pool.release(connection, marks.idle_s)

    async def _answer_in_time(
        self,
        connection: EndpointConnection,
        run: ActiveRun,
        send_state: SendState,
        bounds: AnswerTimeouts,
    ) -> tuple[Answer, AnswerMetadata]:
        """Returns the head of the answer; suspects an endpoint that is silent on all connections.

        Raises:
            SilentEndpointError: it was silent for too long, and another endpoint may be tried.
        """
        sent_s = asyncio.get_running_loop().time()
        wait_count = 0
        while True:
            try:
                # After a stall, data that has arrived is read before the endpoint is suspected.
                async with stall_tolerant_timeout(bounds.silence_s):
                    answer, marks = await self._matching_answer(
                        connection, send_state.request.attempt
                    )
                self._record_answer_time(send_state.service, sent_s)
                return answer, marks
            except TimeoutError:
                wait_count += 1
            has_responded = self._connection_pool.has_received_since(run.endpoint, sent_s)
            should_give_up = wait_count >= MAX_SILENCE_PERIODS or not has_responded
            if should_give_up and bounds.may_fail_over and self._has_untried_endpoint(send_state):
                raise SilentEndpointError(f"no answer for {wait_count * bounds.silence_s:.3f} s")
            if wait_count == 1 and not has_responded:
                self.counts.suspected += 1
                self._record_failure(run, send_state, f"not heard for {bounds.silence_s:.3f} s")

    def _record_answer_time(self, service: str, sent_s: float) -> None:
        elapsed_s = asyncio.get_running_loop().time() - sent_s
        previous_s = self._usual_answer_s_by_service.get(service)
        self._usual_answer_s_by_service[service] = smoothed_answer_s(previous_s, elapsed_s)

    def _has_untried_endpoint(self, send_state: SendState) -> bool:
        """Whether an untried endpoint is left."""
        now = asyncio.get_running_loop().time()
        tried = self._tried_endpoints(send_state)
        return (
            self._endpoint_table.choose(send_state.service, send_state.preference, tried, now)
            is not None
        )

    async def _matching_answer(
        self, connection: EndpointConnection, attempt: str
    ) -> tuple[Answer, AnswerMetadata]:
        """Returns the answer with the request's id; skips answers to earlier requests."""
        for _ in range(MAX_PASSED_OVER):
            answer = await connection.next_answer()
            marks = self._calls.read_answer(answer.status, answer.reason, answer.headers)
            if marks.is_joined:
                raise IncompleteAnswerError("a cut answer and another one came as one")
            # A rejection may lack an id, but one with another request's id is not for this one.
            is_bare_refusal = marks.attempt is None and (marks.not_run or marks.wrong_instance)
            if is_bare_refusal and connection.send_count > 1:
                raise IncompleteAnswerError("a refusal without an id may be of an earlier request")
            if marks.attempt == attempt or is_bare_refusal:
                return answer, marks
            eliot.log_message(
                "answer.passed_over",
                attempt=attempt,
                found=(marks.attempt or "")[:MAX_LOGGED_CHARS],
                status=answer.status,
            )
            is_skipped = await answer.skip_body()
            if answer.closes_connection or not is_skipped:
                raise IncompleteAnswerError("the connection closed after another request's answer")
        raise IncompleteAnswerError(f"{MAX_PASSED_OVER} answers to other requests came first")

    def _raise_unless_repeatable(self, send_state: SendState, error: IncompleteAnswerError) -> None:
        may_repeat = send_state.route.may_repeat and send_state.delivery.may_continue
        if may_repeat and send_state.ran < send_state.route.max_endpoints:
            self.counts.retried += 1
            self.counts.resumed += send_state.delivery.resume_after is not None
            eliot.log_message(
                "send.again",
                attempt=send_state.request.attempt,
                request=send_state.fingerprint,
                resume_after=send_state.delivery.resume_after,
                sends_ran=send_state.ran,
            )
            return
        raise RefusedError(
            send_state.send_record.refusal(RefusalCode.OUTCOME_UNKNOWN, error.why)
        ) from error

    def _record_failure(
        self, run: ActiveRun, send_state: SendState, why: str, cut_bytes: int = 0
    ) -> None:
        run.state.record_failure(asyncio.get_running_loop().time())
        self._log("send.failed", run, send_state, why, cut_bytes)

    def _log(
        self, event: str, run: ActiveRun, send_state: SendState, why: str, cut_bytes: int = 0
    ) -> None:
        eliot.log_message(
            event,
            attempt=send_state.request.attempt,
            request=send_state.fingerprint,
            endpoint=run.endpoint,
            why=why,
            load=round(run.state.load, 2),
            sends_ran=send_state.ran,
            sends_untaken=send_state.rejected,
            cut_bytes=cut_bytes,
        )


def _is_sound(state: EndpointState) -> bool:
    """Whether nothing is known that speaks against an endpoint."""
    now = asyncio.get_running_loop().time()
    return not state.is_suspected and state.ejected_until_s <= now
