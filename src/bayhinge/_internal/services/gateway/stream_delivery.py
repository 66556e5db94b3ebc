"""Delivers streams: events go out as they come, the end only once the turn lasts."""

from bayhinge._internal.models.routed_requests import AnswerMarks
from bayhinge._internal.models.routing import Route
from bayhinge._internal.network.endpoint_link import Answer, BrokenAnswerError
from bayhinge._internal.network.event_stream import EventReader, StreamEvent
from bayhinge._internal.network.routed_front import Exchange
from bayhinge._internal.services.gateway.outside import CallFormat
from bayhinge._internal.services.gateway.sending import Delivery, is_success
from bayhinge._internal.services.gateway.turn_keeper import OpenTurn, TurnKeeper


class StreamDelivery(Delivery):
    """For requests of engines."""

    def __init__(
        self,
        exchange: Exchange,
        calls: CallFormat,
        keeper: TurnKeeper,
        turn: OpenTurn | None,
        new_input: bytes,
        tokens_per_event: int,
        route: Route,
    ) -> None:
        """Takes the caller's exchange, the turn to record, and what its events count for."""
        super().__init__()
        self._exchange = exchange
        self._calls = calls
        self._keeper = keeper
        self._turn = turn
        self._new_input = new_input
        self._tokens_per_event = tokens_per_event
        self._route = route
        self._events: list[StreamEvent] = []

    async def deliver(self, answer: Answer, marks: AnswerMarks, may_repeat: bool) -> None:
        """See :class:`Delivery`."""
        if not is_success(answer.status):
            body = await answer.read_body()
            self.outcome = f"status_{answer.status}"
            headers = self._calls.answer_headers(answer.headers)
            await self._exchange.respond(answer.status, headers, body)
            return
        if not marks.is_signed or marks.is_encoded:
            raise BrokenAnswerError("the answer is not the endpoint's own")
        await self._exchange.begin(answer.status, self._calls.answer_headers(answer.headers))
        reader = EventReader()
        try:
            async for piece in answer.read_pieces():
                self._count(reader.feed(piece))
                await self._exchange.write(piece)
            if not reader.is_between_events:
                raise BrokenAnswerError("the stream ended within an event")
        except BrokenAnswerError:
            # What was sent must not look whole; the caller may ask again.
            self.outcome = "broken_off"
            self._exchange.break_off()
            return
        await self._record()
        await self._exchange.finish()
        self.outcome = "served"

    def _count(self, events: list[StreamEvent]) -> None:
        self._events += events
        self.tokens_handed_out += len(events) * self._tokens_per_event

    async def _record(self) -> None:
        if self._turn is None:
            return
        said = b"".join(event.data + b"\n" for event in self._events)
        await self._keeper.close(
            self._turn,
            self._new_input + said,
            self.tokens_handed_out,
            self.endpoint,
            self._route.keep_turns_s,
        )
        self.is_recorded = True
