"""Implements the HTTP front's handler with the parts of this host."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator, Mapping

import attrs
import orjson
from expression import Error, Ok, Result

from bayhinge._internal.exceptions import PeerFailureError, PeerUnreachableError
from bayhinge._internal.models.accounts import ClientAccount, key_matches
from bayhinge._internal.models.calls import AnswerItem, IncomingCall
from bayhinge._internal.models.ids import parse_program_id
from bayhinge._internal.models.refusals import Refusal, RefusedError
from bayhinge._internal.models.settings import ServiceSettings
from bayhinge._internal.models.views import AddressView
from bayhinge._internal.network.frames import encode_message
from bayhinge._internal.network.front_handler import ConfigAnswer, ConfigEdit, FrontHandler
from bayhinge._internal.services.config_editor import ConfigEditor
from bayhinge._internal.services.host_parts import HostParts
from bayhinge._internal.services.local_queries import (
    MERGED_QUERIES,
    LocalQueries,
    event_filter,
)
from bayhinge._internal.services.metrics_page import metrics_page
from bayhinge._internal.services.program_opener import ProgramOpener
from bayhinge._internal.wire import ttypes as wire
from bayhinge.coordination.errors import StoreError
from bayhinge.coordination.membership import HostInfo
from bayhinge.coordination.rendezvous import rank

PEER_QUERY_TIMEOUT_S = 2.0
"""How long one silent peer may delay an operator's query."""

NON_GAUGE_FIELDS = frozenset({"host", "latency_ms"})


class FrontService(FrontHandler):
    """Serves the front's requests."""

    def __init__(
        self,
        parts: HostParts,
        opener: ProgramOpener,
        queries: LocalQueries,
        connection_gauges: Callable[[], Mapping[str, float]],
    ) -> None:
        self._parts = parts
        self._connection_gauges = connection_gauges
        self._opener = opener
        self._queries = queries
        self._editor = ConfigEditor(parts.feed)
        self._background: set[asyncio.Task[None]] = set()

    def find_account(self, key: str) -> ClientAccount | None:
        """See :class:`FrontHandler`."""
        return self._parts.accounts.find_by_key(key) if key else None

    def is_operator(self, key: str) -> bool:
        """See :class:`FrontHandler`."""
        return bool(key) and key_matches(key, self._parts.settings.operators.key_sha256)

    def find_service(self, name: str) -> ServiceSettings | None:
        """See :class:`FrontHandler`."""
        return self._parts.settings.services_by_name.get(name)

    def models(self) -> list[str]:
        """See :class:`FrontHandler`."""
        pools = self._parts.settings.pools_by_name.values()
        return sorted({model for pool in pools for model in pool.models})

    async def open_single_call_program(self, account: ClientAccount) -> Result[str, Refusal]:
        """See :class:`FrontHandler`."""
        return await self._opener.open_single_call_program(account)

    async def end_single_call_program(
        self, account: ClientAccount, program: str, reason: str
    ) -> None:
        """See :class:`FrontHandler`."""
        # In the background: the caller has its answer and need not wait for durability.
        verb = "end" if reason == "its one call has ended" else "cancel"
        task = asyncio.create_task(self._end_program(verb, account.name, program))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _end_program(self, verb: str, account: str, program: str) -> None:
        await self._parts.router.command(verb, account, program)

    async def open_program(
        self, account: ClientAccount, parent: str | None, idempotency_key: str | None
    ) -> Result[bytes, Refusal]:
        """See :class:`FrontHandler`."""
        opened = await self._opener.open(account, parent, idempotency_key)
        if opened.is_error():
            return Error(opened.error)
        return await self._parts.router.command("show", account.name, opened.ok)

    async def program_command(
        self, verb: str, account: str, program: str
    ) -> Result[bytes, Refusal]:
        """See :class:`FrontHandler`."""
        return await self._parts.router.command(verb, account, program)

    def call(self, incoming: IncomingCall) -> AsyncIterator[AnswerItem]:
        """See :class:`FrontHandler`."""
        return self._parts.router.call(incoming)

    def read_answer(
        self, account: str, program: str, index: int, offset: int
    ) -> AsyncIterator[AnswerItem]:
        """See :class:`FrontHandler`."""
        return self._parts.router.read_answer(account, program, index, offset)

    async def addresses(self, program: str | None) -> AddressView:
        """See :class:`FrontHandler`."""
        membership = self._parts.membership
        serving = {info.incarnation: info for info in membership.serving()}
        owner = await self._find_owner(program)
        order = rank(program or membership.me.incarnation, serving)
        if owner in serving:
            order.remove(owner)
            order.insert(0, owner)
        # Hosts of the own hall come first; the sort is stable, so each group keeps its rank.
        if not program:
            order.sort(key=lambda name: serving[name].hall != membership.me.hall)
        addresses = tuple(f"http://{serving[name].public_address}" for name in order)
        keep_s = self._parts.settings.membership.address_keep_seconds
        owner_address = f"http://{serving[owner].public_address}" if owner in serving else None
        return AddressView(addresses, keep_s, owner_address)

    async def _find_owner(self, program: str | None) -> str:
        program_id = parse_program_id(program or "")
        if program_id is None:
            return ""
        try:
            location = await self._parts.locator.locate(program_id)
        except (StoreError, RefusedError):
            return ""
        return "" if location is None else location.incarnation

    async def operator_query(
        self, name: str, parameters: Mapping[str, str]
    ) -> Result[bytes, Refusal]:
        """See :class:`FrontHandler`."""
        own = self._queries.answer(name, parameters)
        if own.is_error() or name not in MERGED_QUERIES:
            return own
        me = self._parts.membership.me.incarnation
        peers = [info for info in self._parts.membership.alive() if info.incarnation != me]
        message = encode_message(wire.OperatorQuery(name, dict(parameters)))
        answers = await asyncio.gather(*(self._query_peer(info, message) for info in peers))
        items = [item for answer in [own.ok, *answers] for item in orjson.loads(answer)]
        return Ok(orjson.dumps(list(_merged(name, items))))

    async def _query_peer(self, peer: HostInfo, message: bytes) -> bytes:
        try:
            async with asyncio.timeout(PEER_QUERY_TIMEOUT_S):
                return await self._parts.peers.call(peer.peer_address, "query", message)
        except (PeerUnreachableError, PeerFailureError, TimeoutError):
            return b"[]"

    async def follow_events(self, parameters: Mapping[str, str]) -> AsyncIterator[bytes]:
        """See :class:`FrontHandler`."""
        async for event in self._parts.timeline.follow(event_filter(parameters)):
            yield orjson.dumps(event.to_fields())

    async def edit_config(self, edit: ConfigEdit) -> ConfigAnswer:
        """See :class:`FrontHandler`."""
        return await self._editor.edit(edit)

    def metrics(self) -> bytes:
        """See :class:`FrontHandler`."""
        stats = self._queries.stats()
        names = [field.name for field in attrs.fields(type(stats))]
        gauges = {
            name: float(getattr(stats, name)) for name in names if name not in NON_GAUGE_FIELDS
        }
        return metrics_page(self._parts.latencies, gauges | dict(self._connection_gauges()))

    def record_latency(self, what: str, seconds: float) -> None:
        """See :class:`FrontHandler`."""
        self._parts.latencies.add(what, seconds)


def _merged(name: str, items: list[dict[str, object]]) -> Iterator[dict[str, object]]:
    """Sorts events of all hosts by the stamps of their hybrid clocks."""
    if name == "events":
        return iter(sorted(items, key=lambda item: (item["stamp"], item["host"])))
    return iter(items)
