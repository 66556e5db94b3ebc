"""Sends a request to endpoints until one has answered or it must be given up."""

import asyncio
from collections.abc import Callable

import attrs
import eliot

from bayhinge._internal.decisions.answer_bounds import (
    MOST_WAITS,
    AnswerBounds,
    bounds_of,
    usual_answer_s,
)
from bayhinge._internal.decisions.endpoint_book import EndpointBook, Wish
from bayhinge._internal.models.refusals import CallAttempt, Refusal, RefusalCode, RefusedError
from bayhinge._internal.models.routed_requests import AnswerMarks, RoutedRequest
from bayhinge._internal.models.routing import Route, RouteKind
from bayhinge._internal.network.endpoint_answer import (
    Answer,
    BrokenAnswerError,
    SilentEndpointError,
    UnreachableError,
)
from bayhinge._internal.network.endpoint_link import EndpointConnection, EndpointLinks
from bayhinge._internal.services.gateway.admission import NoLongerAdmittedError
from bayhinge._internal.services.gateway.delivery import Delivery
from bayhinge._internal.services.gateway.open_turn import OpenTurn
from bayhinge._internal.services.gateway.outside import CallFormat
from bayhinge._internal.services.gateway.placement import OwnPlacer, Placer
from bayhinge._internal.services.gateway.runs_under_way import (
    WHY_OVER,
    RunsUnderWay,
    RunUnderWay,
)
from bayhinge._internal.services.gateway.wishes import wish_of
from bayhinge._internal.utils.running_time import running_timeout

MOST_UNTAKEN_SENDS = 4
"""Endpoints that are asked although none has taken the request; each costs a round trip."""

RETRY_AFTER_S = 0.3
"""When a request that no endpoint took should come again."""


class NotTakenError(Exception):
    """The endpoint promises that the request did not run."""


@attrs.define
class _Sending:
    """One request under way.

    Attributes:
        tried: what was asked already. A later start of the same endpoint was not.
        ran: sends that may have run.
        untaken: sends of which it is sure that they did not run.
    """

    service: str
    route: Route
    request: RoutedRequest
    body: bytes
    wish: Wish
    attempt: CallAttempt
    deadline_s: float
    delivery: Delivery
    tried: list[RunUnderWay] = attrs.field(factory=list)
    ran: int = 0
    untaken: int = 0


@attrs.define
class SendCounts:
    """What became of requests beyond their first send.

    Attributes:
        doubted: endpoints that were not heard for too long while a request waited.
        again: requests that went to another endpoint after one that may have run them.
        resumed: those of them that went on behind an event.
        cut: runs that broke off within an event.
    """

    doubted: int = 0
    again: int = 0
    resumed: int = 0
    cut: int = 0


class Sender:
    """Chooses endpoints and speaks to them."""

    def __init__(
        self,
        book: EndpointBook,
        links: EndpointLinks,
        calls: CallFormat,
        placer: Placer | None = None,
        runs: RunsUnderWay | None = None,
        check: Callable[[RoutedRequest], None] = lambda request: None,
    ) -> None:
        """Takes the endpoints, the connections, the format of calls, who chooses, and the runs.

        ``check`` raises NoLongerAdmittedError where a request may not be sent any more.
        """
        self._check = check
        self._book = book
        self._placer = placer or OwnPlacer(book)
        self._links = links
        self._calls = calls
        self.counts = SendCounts()
        self._runs = runs or RunsUnderWay()
        self._usual_answer_s_by_service: dict[str, float] = {}

    async def send(
        self,
        service: str,
        route: Route,
        request: RoutedRequest,
        turn: OpenTurn | None,
        attempt: CallAttempt,
        deadline_s: float,
        delivery: Delivery,
    ) -> None:
        """Sends a request and delivers the answer.

        Raises:
            RefusedError: no endpoint gave an answer that can be delivered.
        """
        body = request.body if turn is None else turn.history + request.body
        sending = _Sending(
            service,
            route,
            request,
            body,
            wish_of(request, turn),
            attempt,
            deadline_s,
            delivery,
        )
        while True:
            run = await self._next_run(sending)
            try:
                await self._send_to(run, sending)
                return
            except NoLongerAdmittedError as error:
                attempt.note_unsent()
                raise RefusedError(self._refuse_late(sending, error)) from error
            except UnreachableError as error:
                attempt.note_unsent()
                sending.untaken += 1
                self._note_failure(run, sending, str(error))
            except NotTakenError as error:
                attempt.note_unsent()
                sending.untaken += 1
                self._log("send.not_taken", run, sending, str(error))
            except BrokenAnswerError as error:
                sending.ran += 1
                self.counts.cut += error.cut_bytes > 0
                if isinstance(error, SilentEndpointError) and self._book.is_current(run.belief):
                    # What is kept open to it may be as dead as the connection that was used.
                    self._links.drop_idle(run.endpoint)
                self._note_failure(run, sending, error.why, error.cut_bytes)
                self._give_up_unless_repeatable(sending, error)

    def _refuse_late(self, sending: _Sending, error: NoLongerAdmittedError) -> Refusal:
        if sending.ran:
            return sending.attempt.refuse(RefusalCode.OUTCOME_UNKNOWN, error.why)
        retry_after_s = None if error.code is RefusalCode.UNAUTHORIZED else RETRY_AFTER_S
        return sending.attempt.refuse(error.code, error.why, retry_after_s=retry_after_s)

    async def _next_run(self, sending: _Sending) -> RunUnderWay:
        belief = None
        if sending.untaken < MOST_UNTAKEN_SENDS:
            tried = self._still_tried(sending)
            wish = attrs.evolve(sending.wish, connected=self._links.connected())
            belief = await self._placer.place(sending.service, wish, tried)
        if belief is None:
            code = RefusalCode.OUTCOME_UNKNOWN if sending.ran else RefusalCode.NO_ENDPOINT
            why = f"none of {len(sending.tried)} endpoint(s) of the service took the request"
            raise RefusedError(sending.attempt.refuse(code, why, retry_after_s=RETRY_AFTER_S))
        sending.attempt.note_send()
        run = self._runs.begin(belief)
        sending.tried.append(run)
        return run

    def _still_tried(self, sending: _Sending) -> list[str]:
        """Returns the endpoints whose present starts were asked already."""
        return [
            run.endpoint
            for run in sending.tried
            if self._book.find_start(run.belief.entry.start) is not None
        ]

    async def _send_to(self, run: RunUnderWay, sending: _Sending) -> None:
        connection: EndpointConnection | None = None
        is_clean = False
        try:
            connection = await self._links.acquire(run.endpoint, run.belief.entry.address)
            if run.is_over:
                raise UnreachableError(WHY_OVER)
            run.connection = connection
            answer, marks = await self._exchange(connection, run, sending)
            is_clean = True
            self._keep_or_close(connection, answer, marks)
            if marks.not_run or marks.wrong_instance:
                raise NotTakenError(f"status {answer.status}")
            run.belief.note_success()
        finally:
            self._runs.end(run)
            self._placer.note_ended(run.belief)
            if connection is not None and not is_clean:
                # Also tells the endpoint to stop: the caller has left or the time is over.
                connection.abort("given up")

    async def _exchange(
        self, connection: EndpointConnection, run: RunUnderWay, sending: _Sending
    ) -> tuple[Answer, AnswerMarks]:
        """Sends, and reads the answer to its end; delivers it unless the request did not run."""
        request, route = sending.request, sending.route
        loop = asyncio.get_running_loop()
        may_repeat = route.may_repeat and sending.ran + 1 < route.max_endpoints
        bounds = bounds_of(
            route,
            may_repeat and sending.delivery.may_go_on,
            self._usual_answer_s_by_service.get(sending.service, 0.0),
        )
        head = self._calls.request_head(
            request,
            len(sending.body),
            run.endpoint,
            sending.deadline_s - loop.time(),
            route.urgency_of(request.account),
            sending.delivery.resume_after,
        )
        self._check(request)
        # A program asks for a turn again that failed, so a turn may end early as well.
        connection.send(head, sending.body, may_repeat or route.kind is RouteKind.STREAMING)
        answer, marks = await self._answer_in_time(connection, run, sending, bounds)
        if marks.not_run or marks.wrong_instance:
            await answer.read_body()
            return answer, marks
        sending.delivery.run = run
        await sending.delivery.deliver(answer, marks, may_repeat, bounds)
        return answer, marks

    def _keep_or_close(
        self, connection: EndpointConnection, answer: Answer, marks: AnswerMarks
    ) -> None:
        if answer.closes_connection or marks.idle_s == 0:
            connection.abort("the endpoint closes it")
        else:
            self._links.release(connection, marks.idle_s)

    async def _answer_in_time(
        self,
        connection: EndpointConnection,
        run: RunUnderWay,
        sending: _Sending,
        bounds: AnswerBounds,
    ) -> tuple[Answer, AnswerMarks]:
        """Returns the head of the answer; doubts an endpoint that says nothing to anybody here.

        Raises:
            SilentEndpointError: it said nothing for too long, and another one may be asked.
        """
        sent_s = asyncio.get_running_loop().time()
        waits = 0
        while True:
            try:
                # What came while this host stood still is read before anybody is doubted.
                async with running_timeout(bounds.unheard_s):
                    answer, marks = await self._own_answer(connection, sending.request.attempt)
                self._note_answer(sending.service, sent_s)
                return answer, marks
            except TimeoutError:
                waits += 1
            is_heard = self._links.was_heard_since(run.endpoint, sent_s)
            should_leave = waits >= MOST_WAITS or not is_heard
            if should_leave and bounds.may_leave and self._has_other(sending):
                raise SilentEndpointError(f"no answer for {waits * bounds.unheard_s:.3f} s")
            if waits == 1 and not is_heard:
                self.counts.doubted += 1
                self._note_failure(run, sending, f"not heard for {bounds.unheard_s:.3f} s")

    def _note_answer(self, service: str, sent_s: float) -> None:
        took_s = asyncio.get_running_loop().time() - sent_s
        before_s = self._usual_answer_s_by_service.get(service)
        self._usual_answer_s_by_service[service] = usual_answer_s(before_s, took_s)

    def _has_other(self, sending: _Sending) -> bool:
        """Whether an endpoint is left that was not asked yet."""
        now = asyncio.get_running_loop().time()
        tried = self._still_tried(sending)
        return self._book.choose(sending.service, sending.wish, tried, now) is not None

    async def _own_answer(
        self, connection: EndpointConnection, attempt: str
    ) -> tuple[Answer, AnswerMarks]:
        """Returns the answer that bears the request's id; passes over those of earlier ones."""
        while True:
            answer = await connection.next_answer()
            marks = self._calls.read_answer(answer.status, answer.headers)
            # A refusal may bear no id; one that bears another request's says nothing of this one.
            is_bare_refusal = marks.attempt is None and (marks.not_run or marks.wrong_instance)
            if marks.attempt == attempt or is_bare_refusal:
                return answer, marks
            eliot.log_message(
                "answer.passed_over", attempt=attempt, found=marks.attempt, status=answer.status
            )
            await answer.read_body()
            if answer.closes_connection:
                raise BrokenAnswerError("the connection ended behind another request's answer")

    def _give_up_unless_repeatable(self, sending: _Sending, error: BrokenAnswerError) -> None:
        may_repeat = sending.route.may_repeat and sending.delivery.may_go_on
        if may_repeat and sending.ran < sending.route.max_endpoints:
            self.counts.again += 1
            self.counts.resumed += sending.delivery.resume_after is not None
            eliot.log_message(
                "send.again",
                attempt=sending.request.attempt,
                resume_after=sending.delivery.resume_after,
                sends_ran=sending.ran,
            )
            return
        raise RefusedError(
            sending.attempt.refuse(RefusalCode.OUTCOME_UNKNOWN, error.why)
        ) from error

    def _note_failure(
        self, run: RunUnderWay, sending: _Sending, why: str, cut_bytes: int = 0
    ) -> None:
        run.belief.note_failure(asyncio.get_running_loop().time())
        self._log("send.failed", run, sending, why, cut_bytes)

    def _log(
        self, what: str, run: RunUnderWay, sending: _Sending, why: str, cut_bytes: int = 0
    ) -> None:
        eliot.log_message(
            what,
            attempt=sending.request.attempt,
            endpoint=run.endpoint,
            why=why,
            load=round(run.belief.load, 2),
            sends_ran=sending.ran,
            sends_untaken=sending.untaken,
            cut_bytes=cut_bytes,
        )
