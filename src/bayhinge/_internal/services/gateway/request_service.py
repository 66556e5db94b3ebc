"""Handles requests of callers: routing, admission, turns, sending and refusals."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import eliot

from bayhinge._internal import status_codes
from bayhinge._internal.decisions.memory_budget import MemoryHolder
from bayhinge._internal.decisions.turn_retention import TurnTimes
from bayhinge._internal.models.refusals import (
    Refusal,
    RefusalCode,
    RefusedError,
    RunState,
    SendRecord,
    not_run_refusal,
)
from bayhinge._internal.models.routed_requests import RequestField, RoutedRequest
from bayhinge._internal.models.routing import InvalidRoute, Route, RouteKind, RoutingTable
from bayhinge._internal.network.memory_room import BodyTooLongError
from bayhinge._internal.network.routed_front import Exchange, ExchangeHandler
from bayhinge._internal.services.gateway.admission import Admission
from bayhinge._internal.services.gateway.buffered_delivery import BufferedDelivery
from bayhinge._internal.services.gateway.delivery import Delivery
from bayhinge._internal.services.gateway.held_memory import HeldMemory, RequestMemory
from bayhinge._internal.services.gateway.initial_sync import InitialSync, initial_sync_deadline
from bayhinge._internal.services.gateway.open_turn import OpenTurn
from bayhinge._internal.services.gateway.place_demand import begins_program
from bayhinge._internal.services.gateway.platform_interface import CallFormat
from bayhinge._internal.services.gateway.quotas import Quotas
from bayhinge._internal.services.gateway.request_sender import RETRY_AFTER_S, RequestSender
from bayhinge._internal.services.gateway.store_listeners import ConfigurationState
from bayhinge._internal.services.gateway.stream_delivery import StreamDelivery
from bayhinge._internal.services.gateway.turn_recorder import TurnRecorder
from bayhinge._internal.services.latencies import Latencies

STATUS_BY_RUN_STATE = {
    RunState.NOT_RUN: status_codes.HTTP_UNAVAILABLE,
    RunState.MAY_HAVE_RUN: status_codes.HTTP_GATEWAY_TIMEOUT,
    RunState.RAN: status_codes.HTTP_GATEWAY_TIMEOUT,
}
"""Status of a request that timed out; 503 is only for requests that certainly did not run."""

NO_CONFIGURATION_RETRY_S = 0.5


@attrs.define(eq=False, repr=False)
class RequestCounts:
    """Counts of received requests, and of ended ones by outcome."""

    received: int = 0
    ended_by_outcome: dict[str, int] = attrs.field(factory=dict)

    def end(self, outcome: str) -> None:
        """Counts an ended request."""
        self.ended_by_outcome[outcome] = self.ended_by_outcome.get(outcome, 0) + 1


DISKS_WAIT_S = 0.5
"""Longest wait of a request that keeps no turn for its host, which has just started, to know the
disks."""


class RequestService(ExchangeHandler):
    """Handles the requests of callers."""

    def __init__(
        self,
        configuration: ConfigurationState,
        calls: CallFormat,
        sender: RequestSender,
        turn_recorder: TurnRecorder,
        admission: Admission,
        quotas: Quotas,
        latencies: Latencies,
        endpoint_sync: InitialSync,
        disk_sync: InitialSync,
        memory: HeldMemory | None = None,
    ) -> None:
        self._memory = memory or HeldMemory()
        self._endpoint_sync = endpoint_sync
        self._disk_sync = disk_sync
        self._configuration = configuration
        self._calls = calls
        self._sender = sender
        self.send_counts = sender.counts
        self._turn_recorder = turn_recorder
        self._admission = admission
        self._quotas = quotas
        self._latencies = latencies
        self._random = random.Random()
        self.counts = RequestCounts()

    async def handle(self, exchange: Exchange) -> None:
        """See :class:`ExchangeHandler`."""
        self.counts.received += 1
        request: RoutedRequest | None = None
        try:
            request = self._calls.read_request(exchange.method, exchange.target, exchange.headers)
            if request is None:
                raise RefusedError(
                    not_run_refusal(RefusalCode.BAD_REQUEST, "the request has no attempt id")
                )
            table = await self._require_table(request, exchange)
            await self._serve(exchange, table, request)
        except RefusedError as error:
            if exchange.headers_sent:
                # Abort the connection, so that the caller does not take the answer for complete.
                exchange.abort()
                self._record_end(request, "broken_off", "", exchange, error.refusal.why)
                return
            await self._refuse(exchange, request, error.refusal)
        except asyncio.CancelledError:
            self._record_end(request, "caller_left", "", exchange)
            raise

    async def _require_table(self, request: RoutedRequest, exchange: Exchange) -> RoutingTable:
        """Returns the configuration, after waiting for the initial sync of a new host."""
        sync_deadline_s = initial_sync_deadline(exchange.began_s, request.patience_s)
        await self._configuration.initial_sync.wait(request.attempt, sync_deadline_s)
        table = self._configuration.table
        if table is None:
            raise RefusedError(
                not_run_refusal(
                    RefusalCode.CONFIG_UNKNOWN,
                    "no configuration has arrived yet",
                    retry_after_s=NO_CONFIGURATION_RETRY_S,
                )
            )
        return table

    async def _serve(self, exchange: Exchange, table: RoutingTable, request: RoutedRequest) -> None:
        route = table.find(request.host, request.path)
        if route is None:
            raise RefusedError(
                not_run_refusal(
                    RefusalCode.UNKNOWN_PROGRAM,
                    f"no route leads to {request.host}{request.path}",
                )
            )
        if isinstance(route, InvalidRoute):
            raise RefusedError(
                not_run_refusal(
                    RefusalCode.CONFIG_UNKNOWN,
                    f"route '{route.name}' is unreadable: {route.why}",
                    retry_after_s=NO_CONFIGURATION_RETRY_S,
                )
            )
        patience_s = route.time_for(request.patience_s)
        deadline_s = exchange.began_s + patience_s
        send_record = SendRecord()
        try:
            with self._memory.open(request.attempt, route.urgency) as memory:
                async with asyncio.timeout_at(deadline_s):
                    request = await self._admission.admit(table, route, request)
                    _validate_head(route, request)
                    memory.claim.urgency = route.urgency_of(request.account)
                    async with self._within_quota(route, request, send_record):
                        request = await self._read_body(exchange, table, request, memory)
                        await self._forward(
                            exchange, table, route, request, send_record, deadline_s, memory
                        )
        except TimeoutError:
            raise RefusedError(
                send_record.refusal(
                    RefusalCode.PATIENCE_EXCEEDED,
                    f"no answer within {patience_s:.3f} s",
                    retry_after_s=RETRY_AFTER_S,
                )
            ) from None

    @asynccontextmanager
    async def _within_quota(
        self, route: Route, request: RoutedRequest, send_record: SendRecord
    ) -> AsyncIterator[None]:
        """Acquires a quota token of the account, and returns it if the request did not run."""
        account = request.account
        if account is None:
            yield
            return
        await self._quotas.acquire(account, begins_program(route, request))
        try:
            yield
        finally:
            if send_record.run_state is RunState.NOT_RUN:
                self._quotas.return_unused(account)

    async def _read_body(
        self,
        exchange: Exchange,
        table: RoutingTable,
        request: RoutedRequest,
        memory: RequestMemory,
    ) -> RoutedRequest:
        try:
            body = await exchange.read_body(table.limits.body_bytes, memory.room(MemoryHolder.BODY))
        except BodyTooLongError:
            exchange.closes_connection()
            raise RefusedError(
                not_run_refusal(
                    RefusalCode.TOO_LARGE,
                    f"the body is longer than {table.limits.body_bytes} bytes",
                )
            ) from None
        return attrs.evolve(request, body=body)

    async def _forward(
        self,
        exchange: Exchange,
        table: RoutingTable,
        route: Route,
        request: RoutedRequest,
        send_record: SendRecord,
        deadline_s: float,
        memory: RequestMemory,
    ) -> None:
        sync_deadline_s = initial_sync_deadline(exchange.began_s, request.patience_s)
        await self._endpoint_sync.wait(request.attempt, sync_deadline_s)
        # A disk host has to know of its sends, as all entry hosts may have just started.
        disks_until_s = min(sync_deadline_s, exchange.began_s + DISKS_WAIT_S)
        await self._disk_sync.wait(request.attempt, disks_until_s)
        turn = await self._open_turn(route, request, sync_deadline_s, memory)
        service = route.choose_service(self._random)
        delivery = self._delivery(exchange, table, route, service, request, turn, memory)
        try:
            await self._sender.send(
                service, route, request, turn, send_record, deadline_s, delivery
            )
        finally:
            if turn is not None and not delivery.is_recorded:
                self._turn_recorder.settle(turn, delivery.tokens_delivered)
        self._record_end(request, delivery.outcome, delivery.endpoint, exchange)

    async def _open_turn(
        self, route: Route, request: RoutedRequest, sync_deadline_s: float, memory: RequestMemory
    ) -> OpenTurn | None:
        """Opens a program's turn if the route retains turns, or the program has a budget."""
        context = request.turn
        if route.kind is not RouteKind.STREAMING or context is None:
            return None
        if route.retains_turns or context.token_budget is not None:
            await self._disk_sync.wait(request.attempt, sync_deadline_s)
            run_s = route.time_for(request.patience_s)
            return await self._turn_recorder.open(
                request.attempt,
                context,
                route.retains_turns,
                request.account_name,
                memory,
                TurnTimes(run_s, route.turn_retention_s),
            )
        return None

    def _delivery(
        self,
        exchange: Exchange,
        table: RoutingTable,
        route: Route,
        service: str,
        request: RoutedRequest,
        turn: OpenTurn | None,
        memory: RequestMemory,
    ) -> Delivery:
        if route.kind is not RouteKind.STREAMING:
            return BufferedDelivery(exchange, self._calls, memory)
        spec = table.services_by_name.get(service)
        tokens_per_event = spec.engine.tokens_per_event if spec and spec.engine else 1
        return StreamDelivery(
            exchange,
            self._calls,
            self._turn_recorder,
            turn,
            request,
            tokens_per_event,
            route,
            memory,
        )

    async def _refuse(
        self, exchange: Exchange, request: RoutedRequest | None, refusal: Refusal
    ) -> None:
        status = refusal.http_status
        if refusal.code is RefusalCode.PATIENCE_EXCEEDED:
            status = STATUS_BY_RUN_STATE[refusal.run_state]
        attempt = None if request is None else request.attempt
        retry_after_s = refusal.retry_after_s if refusal.run_state is RunState.NOT_RUN else None
        eliot.log_message(
            "request.refused",
            attempt=attempt,
            program=request.turn.program if request is not None and request.turn else None,
            status=status,
            code=refusal.code.value,
            run_state=refusal.run_state.value,
            why=refusal.why,
            figures={figure.name: figure.value for figure in refusal.figures},
            retry_after_s=retry_after_s,
            configuration=self._configuration.table.version if self._configuration.table else 0,
        )
        self.counts.end(refusal.code.value)
        headers = self._calls.refusal_headers(attempt, retry_after_s)
        await exchange.respond(status, headers, refusal.to_json())

    def _record_end(
        self,
        request: RoutedRequest | None,
        outcome: str,
        endpoint: str,
        exchange: Exchange,
        why: str | None = None,
    ) -> None:
        elapsed_s = asyncio.get_running_loop().time() - exchange.began_s
        self.counts.end(outcome)
        self._latencies.add(f"request_{outcome}", elapsed_s)
        table = self._configuration.table
        eliot.log_message(
            "request.served" if outcome == "served" else "request.ended",
            attempt=None if request is None else request.attempt,
            program=request.turn.program if request is not None and request.turn else None,
            outcome=outcome,
            endpoint=endpoint,
            why=why,
            took_ms=round(elapsed_s * 1000, 1),
            configuration=0 if table is None else table.version,
        )


def _validate_head(route: Route, request: RoutedRequest) -> None:
    """Refuses a request with invalid headers.

    Raises:
        RefusedError: with all findings that matter on this route.
    """
    if route.kind is not RouteKind.STREAMING:
        return
    findings = [
        finding.why
        for finding in request.findings
        if finding.field is not RequestField.RESUME or route.is_resumable
    ]
    if route.retains_turns and route.is_resumable and request.resume_after is not None:
        # The recorded turn would lack the events that the caller has from an earlier attempt.
        findings.append("a retained turn can't be resumed by its caller; send it again in full")
    if findings:
        raise RefusedError(not_run_refusal(RefusalCode.BAD_REQUEST, "; ".join(findings)))
