"""Delivers event streams as they arrive; the stream's end is sent once the turn is durable.

On a resumable route, one answer may combine the runs of several endpoints: it has the head of the
first run, and each whole event once. On other routes an answer is one run, forwarded byte by byte.
"""

import asyncio
from collections.abc import AsyncIterator

from bayhinge._internal import status_codes
from bayhinge._internal.decisions.answer_timeouts import AnswerTimeouts
from bayhinge._internal.decisions.endpoint_speeds import EventPace
from bayhinge._internal.decisions.memory_budget import MemoryHolder
from bayhinge._internal.models.routed_requests import AnswerMetadata, RoutedRequest
from bayhinge._internal.models.routing import Route
from bayhinge._internal.network.endpoint_answer import (
    Answer,
    IncompleteAnswerError,
    SilentEndpointError,
)
from bayhinge._internal.network.event_stream import EndlessStreamError, EventReader, StreamEvent
from bayhinge._internal.network.routed_front import Exchange
from bayhinge._internal.network.stream_splice import SplicedEvents, StreamSplice
from bayhinge._internal.services.gateway.delivery import Delivery, is_success
from bayhinge._internal.services.gateway.held_memory import UNBOUNDED, RequestMemory
from bayhinge._internal.services.gateway.open_turn import OpenTurn
from bayhinge._internal.services.gateway.platform_interface import CallFormat
from bayhinge._internal.services.gateway.turn_recorder import TurnRecorder
from bayhinge._internal.services.gateway.unread_answer import UnreadAnswer
from bayhinge._internal.utils.stall_tolerant_timeouts import stall_tolerant_timeout

EVENT_BYTES = 200
"""Counted for each event beyond its data: the objects that hold it."""


class StreamDelivery(Delivery):
    """Delivers streams of engines."""

    def __init__(
        self,
        exchange: Exchange,
        calls: CallFormat,
        turn_recorder: TurnRecorder,
        turn: OpenTurn | None,
        request: RoutedRequest,
        tokens_per_event: int,
        route: Route,
        memory: RequestMemory = UNBOUNDED,
    ) -> None:
        super().__init__()
        self._exchange = exchange
        self._calls = calls
        self._turn_recorder = turn_recorder
        self._turn = turn
        self._new_input = request.body
        self._tokens_per_event = tokens_per_event
        self._route = route
        self._splice = StreamSplice(request.resume_after) if route.is_resumable else None
        self._is_recorded_later = turn is not None and turn.is_retained
        self._events: list[StreamEvent] = []
        self._memory = memory
        self._events_room = memory.room(MemoryHolder.EVENTS)
        self._unread = UnreadAnswer(exchange, memory)

    @property
    def resume_after(self) -> int | None:
        """See :class:`Delivery`."""
        return None if self._splice is None else self._splice.last

    @property
    def may_continue(self) -> bool:
        """See :class:`Delivery`."""
        return self._splice is not None and self._splice.can_resume

    async def deliver(
        self, answer: Answer, marks: AnswerMetadata, may_repeat: bool, bounds: AnswerTimeouts
    ) -> None:
        """See :class:`Delivery`."""
        if not is_success(answer.status):
            await self._deliver_failure(answer, may_repeat)
            return
        if not marks.is_signed or marks.is_encoded:
            raise IncompleteAnswerError("the answer is unsigned or encoded")
        self.pace = EventPace()
        if self._splice is None:
            await self._deliver_bytes(answer)
        else:
            await self._deliver_events(answer, self._splice, bounds)
        self.on_read()
        await self._record()
        await self._exchange.finish()
        self.outcome = "served"

    async def _deliver_failure(self, answer: Answer, may_repeat: bool) -> None:
        body = await self._memory.read_answer(answer)
        is_retryable = may_repeat and answer.status >= status_codes.HTTP_SERVER_ERROR
        if is_retryable or self._exchange.headers_sent:
            raise IncompleteAnswerError(f"status {answer.status}", is_whole=True)
        self.outcome = f"status_{answer.status}"
        await self._exchange.respond(
            answer.status, self._calls.answer_headers(answer.headers), body
        )

    async def _deliver_bytes(self, answer: Answer) -> None:
        await self._begin(answer)
        reader = EventReader()
        try:
            async for piece in answer.read_pieces():
                await self._count(reader.feed(piece))
                await self._write(piece)
        except EndlessStreamError as error:
            raise IncompleteAnswerError(str(error)) from error
        finally:
            if not reader.is_between_events:
                # Charge an event that the caller has in part; otherwise streams that keep breaking
                # off would exceed the program's budget.
                self.tokens_delivered += self._tokens_per_event
        if not reader.is_between_events:
            raise IncompleteAnswerError("the stream ended within an event")

    async def _deliver_events(
        self, answer: Answer, splice: StreamSplice, bounds: AnswerTimeouts
    ) -> None:
        """Delivers whole events; the head is sent with the first one.

        A run that breaks off before its first whole event has sent nothing, so the next run's head
        is used.
        """
        run = splice.begin_run()
        try:
            async for piece in _read_pieces(answer, bounds):
                await self._deliver_piece(answer, run.feed(piece))
            if not run.is_between_events:
                raise IncompleteAnswerError("the stream ended within an event")
            await self._deliver_piece(answer, run.end())
        except EndlessStreamError as error:
            raise IncompleteAnswerError(str(error)) from error
        except IncompleteAnswerError as error:
            error.cut_bytes = run.cut_bytes
            raise
        if not self._exchange.headers_sent:
            await self._begin(answer)

    async def _deliver_piece(self, answer: Answer, spliced: SplicedEvents) -> None:
        if spliced.text:
            if not self._exchange.headers_sent:
                await self._begin(answer)
            await self._count(spliced.events)
            await self._write(spliced.text)
        if spliced.gap is not None:
            raise IncompleteAnswerError(spliced.gap)

    async def _begin(self, answer: Answer) -> None:
        await self._exchange.begin(answer.status, self._calls.answer_headers(answer.headers))
        self._unread.begin()

    async def _write(self, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        await self._unread.write(data)
        if self.pace is not None:
            self.pace.record_pause(loop.time() - began_s)

    async def _count(self, events: tuple[StreamEvent, ...] | list[StreamEvent]) -> None:
        """Counts events, before they are sent, and keeps them if the turn is recorded."""
        if self.pace is not None:
            self.pace.record_events(len(events), asyncio.get_running_loop().time())
        self.tokens_delivered += len(events) * self._tokens_per_event
        if self._is_recorded_later:
            self._events += events
            await self._events_room.take(sum(EVENT_BYTES + len(event.data) for event in events))

    async def _record(self) -> None:
        if self._turn is None or not self._turn.is_retained:
            return
        pieces = [self._new_input, *(event.data + b"\n" for event in self._events)]
        self._events.clear()
        text = b"".join(pieces)
        del pieces
        await self._turn_recorder.close(
            self._turn,
            text,
            self.tokens_delivered,
            self.incarnation,
            self._route.turn_retention_s,
        )
        self.is_recorded = True


async def _read_pieces(answer: Answer, bounds: AnswerTimeouts) -> AsyncIterator[bytes]:
    """Yields an answer's bytes as they come.

    Raises:
        IncompleteAnswerError: the answer broke off, or paused for longer than its bounds allow.
    """
    pieces = answer.read_pieces()
    while True:
        try:
            async with stall_tolerant_timeout(bounds.pause_s):
                piece = await anext(pieces, b"")
        except TimeoutError:
            raise SilentEndpointError(f"no event for {bounds.pause_s:.3f} s") from None
        if not piece:
            return
        yield piece
