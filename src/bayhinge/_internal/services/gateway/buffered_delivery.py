"""Delivers answers that are buffered whole before they are sent."""

import asyncio

from bayhinge._internal import status_codes
from bayhinge._internal.decisions.answer_timeouts import AnswerTimeouts
from bayhinge._internal.models.routed_requests import AnswerMetadata
from bayhinge._internal.network.endpoint_answer import Answer, IncompleteAnswerError
from bayhinge._internal.network.routed_front import Exchange
from bayhinge._internal.services.gateway.delivery import Delivery, is_success
from bayhinge._internal.services.gateway.held_memory import UNBOUNDED, RequestMemory
from bayhinge._internal.services.gateway.platform_interface import CallFormat


class BufferedDelivery(Delivery):
    """Delivers answers of plain services."""

    def __init__(
        self, exchange: Exchange, calls: CallFormat, memory: RequestMemory = UNBOUNDED
    ) -> None:
        super().__init__()
        self._exchange = exchange
        self._calls = calls
        self._memory = memory

    async def deliver(
        self, answer: Answer, marks: AnswerMetadata, may_repeat: bool, bounds: AnswerTimeouts
    ) -> None:
        """See :class:`Delivery`."""
        body = await self._memory.read_answer(answer)
        self.read_s = asyncio.get_running_loop().time()
        self.on_read()
        if is_success(answer.status) and (not marks.is_signed or marks.is_encoded):
            raise IncompleteAnswerError("the answer is unsigned or encoded", is_whole=True)
        if may_repeat and answer.status >= status_codes.HTTP_SERVER_ERROR:
            raise IncompleteAnswerError(f"status {answer.status}", is_whole=True)
        if self._memory.is_bounded:
            self._exchange.watch_caller()
        self.outcome = "served" if is_success(answer.status) else f"status_{answer.status}"
        await self._exchange.respond(
            answer.status, self._calls.answer_headers(answer.headers), body
        )
