"""Handles the calls of peers."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import orjson
from expression import Result

from bayhinge._internal.exceptions import FrameError
from bayhinge._internal.models.ids import parse_program_id
from bayhinge._internal.models.refusals import (
    Refusal,
    RefusalCode,
    RefusedError,
    not_run_refusal,
)
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.network.peers import PeerHandler
from bayhinge._internal.services.call_codec import decode_call, encode_item
from bayhinge._internal.services.host_parts import HostParts
from bayhinge._internal.services.local_queries import LocalQueries
from bayhinge._internal.services.program_opener import ProgramOpener
from bayhinge._internal.services.record_codec import state_from_adopted
from bayhinge._internal.services.remote_grants import done_from_wire, offer_from_wire
from bayhinge._internal.wire import ttypes as wire

MAX_CHANGES_PER_REPLY = 200
"""Configuration changes in one reply to a revision exchange."""


class PeerService(PeerHandler):
    """Handles the streams that peers open."""

    def __init__(self, parts: HostParts, opener: ProgramOpener, queries: LocalQueries) -> None:
        self._parts = parts
        self._opener = opener
        self._queries = queries
        self._answer_by_method: dict[str, Callable[[bytes], Awaitable[bytes]]] = {
            "grant": self._grant,
            "done": self._done,
            "gone": self._program_ended,
            "program": self._program,
            "open": self._open,
            "adopt": self._adopt,
            "news": self._exchange_revisions,
            "query": self._query,
        }

    async def handle(self, method: str, payload: bytes) -> AsyncIterator[bytes]:
        """See :class:`PeerHandler`."""
        if method == "call":
            async for item in self._parts.router.call(decode_call(payload)):
                yield encode_item(item)
        elif method == "collect":
            message = decode_message(wire.CollectRequest(), payload)
            async for item in self._parts.router.read_answer(
                message.account, message.program, message.index, message.offset, message.hops
            ):
                yield encode_item(item)
        else:
            yield await self._answer(method, payload)

    async def _answer(self, method: str, payload: bytes) -> bytes:
        answer = self._answer_by_method.get(method)
        if answer is None:
            why = f"method '{method[:40]}' is unknown; is this host's version older?"
            raise RefusedError(not_run_refusal(RefusalCode.BAD_REQUEST, why))
        return await answer(payload)

    async def _done(self, payload: bytes) -> bytes:
        message = decode_message(wire.GrantDone(), payload)
        self._parts.dispatcher.done(message.cell, done_from_wire(message))
        return b""

    async def _program_ended(self, payload: bytes) -> bytes:
        ended = decode_message(wire.ProgramGone(), payload)
        self._parts.dispatcher.program_ended(ended.cell, ended.program)
        return b""

    async def _program(self, payload: bytes) -> bytes:
        message = decode_message(wire.ProgramRequest(), payload)
        return _unwrap(
            await self._parts.router.command(
                message.verb, message.account, message.program, message.hops
            )
        )

    async def _adopt(self, payload: bytes) -> bytes:
        record = decode_message(wire.Record(), payload)
        if record.adopted is None:
            raise FrameError("the record holds no adopted program")
        state = state_from_adopted(record.adopted, asyncio.get_running_loop().time())
        await self._parts.adopter.adopt_handed_over(state)
        return b""

    async def _query(self, payload: bytes) -> bytes:
        query = decode_message(wire.OperatorQuery(), payload)
        return _unwrap(self._queries.answer(query.name, query.parameters))

    async def _grant(self, payload: bytes) -> bytes:
        request = decode_message(wire.GrantRequest(), payload)
        granted = await self._parts.dispatcher.request(request.cell, offer_from_wire(request))
        reply = wire.GrantReply(
            granted.grant, granted.endpoint, granted.address, granted.waited_s, granted.reason
        )
        return encode_message(reply)

    async def _open(self, payload: bytes) -> bytes:
        message = decode_message(wire.ProgramRequest(), payload)
        account = self._parts.accounts.find(message.account)
        if account.is_error():
            raise RefusedError(not_run_refusal(RefusalCode.FORBIDDEN, account.error))
        parent = None if parse_program_id(message.program) is None else message.program
        key = message.verb or None
        return orjson.dumps(_unwrap_text(await self._opener.open_here(account.ok, parent, key)))

    async def _exchange_revisions(self, payload: bytes) -> bytes:
        query = decode_message(wire.News(), payload)
        feed = self._parts.feed
        feed.observe_revision(query.revision)
        changes = feed.changes_after(query.revision, MAX_CHANGES_PER_REPLY)
        reply = wire.NewsReply(
            self._parts.journal.incarnation, feed.revision, query.revision + 1, changes
        )
        return encode_message(reply)


def _unwrap(result: Result[bytes, Refusal]) -> bytes:
    if result.is_error():
        raise RefusedError(result.error)
    return result.ok


def _unwrap_text(result: Result[str, Refusal]) -> str:
    if result.is_error():
        raise RefusedError(result.error)
    return result.ok
