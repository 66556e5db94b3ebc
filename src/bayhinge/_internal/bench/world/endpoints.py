"""In-memory engines and services, with injectable faults and records of what they did."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator

import attrs
import orjson

from bayhinge._internal.bench.world.network import Gate
from bayhinge._internal.exceptions import EndpointError
from bayhinge._internal.models.calls import ServiceCall, Usage
from bayhinge._internal.models.endpoints import Endpoint, EndpointLoad, ListedEndpointState
from bayhinge._internal.network.endpoint_client import (
    EndpointClient,
    EngineChunk,
    EngineRequest,
    ServiceAnswer,
    SignOfLife,
)
from bayhinge._internal.network.endpoint_list import EndpointList
from bayhinge_standins.engine import answer_words, prompt_parts
from bayhinge_standins.faults import EndpointFaults

TOKEN_S = 0.02
SERVICE_S = 0.05
HANG_TIMEOUT_S = 5.0
ANSWER_TOKENS = 10
ADDRESS_PREFIX = "at-"


@attrs.frozen
class EngineRecord:
    """One request that an engine received."""

    program: str
    endpoint: str
    messages: tuple[str, ...]
    digest: str
    tokens: int
    request_id: str


@attrs.define
class EndpointRecords:
    """What engines and services did, shared by all hosts of a world."""

    engine_requests: list[EngineRecord] = attrs.field(factory=list)
    engine_tokens_by_program: Counter[str] = attrs.field(factory=Counter)
    effects: Counter[str] = attrs.field(factory=Counter)
    lookups: Counter[str] = attrs.field(factory=Counter)
    cancelled: list[str] = attrs.field(factory=list)
    released: list[str] = attrs.field(factory=list)
    held: set[str] = attrs.field(factory=set)


class SimulatedEndpoints:
    """All endpoints of a world."""

    def __init__(self) -> None:
        self.records = EndpointRecords()
        self.faults_by_endpoint: dict[str, EndpointFaults] = {}
        self.listed: list[Endpoint] = []
        self.running: Counter[str] = Counter()

    def add(self, name: str, pool: str, hall: str) -> None:
        """Adds a live endpoint to the list."""
        self.faults_by_endpoint[name] = EndpointFaults()
        self.listed.append(
            Endpoint(name, pool, hall, f"{ADDRESS_PREFIX}{name}", ListedEndpointState.LIVE)
        )

    def mark_leaving(self, name: str) -> None:
        """Lists an endpoint as leaving."""
        self.listed = [
            attrs.evolve(item, state=ListedEndpointState.LEAVING) if item.name == name else item
            for item in self.listed
        ]


class SimulatedEndpointList(EndpointList):
    """The endpoint list as a host reads it."""

    def __init__(self, world: SimulatedEndpoints) -> None:
        self._world = world

    async def fetch(self) -> list[Endpoint] | None:
        """See :class:`EndpointList`."""
        return list(self._world.listed)


class SimulatedEndpointClient(EndpointClient):
    """A host's client for all endpoints."""

    def __init__(self, world: SimulatedEndpoints, gate: Gate) -> None:
        self._world = world
        self._gate = gate

    async def complete(
        self, endpoint: str, address: str, request: EngineRequest
    ) -> AsyncIterator[EngineChunk]:
        """See :class:`EndpointClient`."""
        await self._gate.pass_through()
        faults = self._world.faults_by_endpoint[endpoint]
        self._check_reachable(endpoint, faults)
        body = orjson.loads(request.body)
        parts = list(prompt_parts(body["messages"]))
        texts = tuple(str(message["content"]) for message in body["messages"])
        prompt_tokens = sum(part.tokens for part in parts)
        records = self._world.records
        records.engine_requests.append(
            EngineRecord(
                str(body["program"]),
                endpoint,
                texts,
                parts[-1].digest,
                prompt_tokens,
                request.request_id,
            )
        )
        records.engine_tokens_by_program[body["program"]] += prompt_tokens
        if faults.ends:
            faults.down = True
            raise EndpointError(endpoint, "the connection broke", may_have_run=True)
        if faults.hang:
            await asyncio.sleep(HANG_TIMEOUT_S)
            raise EndpointError(endpoint, "no response in time", may_have_run=True)
        count = min(ANSWER_TOKENS, int(body["max_tokens"]))
        skipped, sent = int(body.get("resume_offset", 0)), 0
        position = 0
        for word in answer_words(parts[-1].digest, count):
            position += len(word)
            if position <= skipped:
                continue
            await asyncio.sleep(TOKEN_S * faults.slow_factor)
            if faults.break_stream_after is not None and sent >= faults.break_stream_after:
                if not faults.breaks_every_stream:
                    faults.break_stream_after = None
                raise EndpointError(endpoint, "the stream broke", may_have_run=True)
            await self._gate.pass_through()
            sent += 1
            records.engine_tokens_by_program[body["program"]] += 1
            yield EngineChunk(word)
        yield EngineChunk("", None, "stop", Usage(prompt_tokens, sent, 0))

    async def examine(self, address: str) -> SignOfLife:
        """See :class:`EndpointClient`."""
        await self._gate.pass_through()
        faults = self._world.faults_by_endpoint[address.removeprefix(ADDRESS_PREFIX)]
        if faults.down:
            return SignOfLife.REFUSED
        return SignOfLife.SILENT if faults.hang else SignOfLife.ANSWERED

    async def cancel(self, address: str, request_id: str) -> None:
        """See :class:`EndpointClient`."""
        await self._gate.pass_through()
        self._world.records.cancelled.append(request_id)

    async def release(self, address: str, program: str) -> None:
        """See :class:`EndpointClient`."""
        await self._gate.pass_through()
        self._world.records.released.append(program)
        self._world.records.held.discard(program)

    async def held(self, address: str) -> list[str] | None:
        """See :class:`EndpointClient`."""
        await self._gate.pass_through()
        return sorted(self._world.records.held)

    async def load(self, address: str) -> EndpointLoad | None:
        """See :class:`EndpointClient`."""
        await self._gate.pass_through()
        return None

    async def call_service(
        self, endpoint: str, address: str, call: ServiceCall, timeout_s: float
    ) -> ServiceAnswer:
        """See :class:`EndpointClient`."""
        await self._gate.pass_through()
        faults = self._world.faults_by_endpoint[endpoint]
        self._check_reachable(endpoint, faults)
        if faults.die_before_acting:
            raise EndpointError(endpoint, "the connection broke", may_have_run=True)
        if faults.hang:
            await asyncio.sleep(timeout_s)
            raise EndpointError(endpoint, "no answer in time", may_have_run=True)
        await asyncio.sleep(SERVICE_S * faults.slow_factor)
        self._act(call)
        await self._gate.pass_through()
        if faults.die_after_acting:
            raise EndpointError(endpoint, "the connection broke", may_have_run=True)
        return ServiceAnswer(200, "application/json", orjson.dumps({"path": call.path}))

    def _act(self, call: ServiceCall) -> None:
        if call.http_method == "POST":
            self._world.records.effects[call.path.rpartition("/")[2]] += 1
        else:
            self._world.records.lookups[call.path] += 1

    def _check_reachable(self, endpoint: str, faults: EndpointFaults) -> None:
        if faults.down:
            raise EndpointError(endpoint, "connection refused", may_have_run=False)
        if faults.draining:
            raise EndpointError(endpoint, "endpoint is draining", may_have_run=False, draining=True)
