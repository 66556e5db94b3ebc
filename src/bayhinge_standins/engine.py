"""A simulated LLM engine: continuous batching, prefix cache, streams, cancel, resume, orders.

Answers depend on the prompt alone, so a stream resumed at another engine continues with the
same text. It speaks the OpenAI chat protocol with the additional fields
``priority``, ``request_id``, ``program``, ``hold`` and ``resume_offset``.
"""

import asyncio
import contextlib
import hashlib
import heapq
import random
import uuid
from collections.abc import AsyncIterator, Iterator

import attrs
import orjson
from aiohttp import web

from bayhinge_standins.faults import EndpointFaults
from bayhinge_standins.http_service import StandinServer
from bayhinge_standins.prefix_cache import PrefixCache, PrefixPart

BYTES_PER_TOKEN = 4
EVENT_LAG_S = 0.5
WORDS = (
    *("price", "bond", "fund", "value", "desk", "slot", "embassy", "circular", "board"),
    *("review", "page", "sheet", "notice", "window", "dawn", "applicant", "office"),
    *("counter", "record", "exception", "cut-off", "manager", "member"),
)


@attrs.frozen
class EngineSpeed:
    """An engine's speed, in seconds and tokens.

    The time between tokens is ``step_base_s + step_per_sequence_s * batch``.
    """

    prefill_tokens_per_s: float = 20_000.0
    step_base_s: float = 0.012
    step_per_sequence_s: float = 0.0004
    cache_tokens: int = 1_500_000
    max_batch: int = 96
    default_max_tokens: int = 24

    def step_s(self, batch: int) -> float:
        """Returns the seconds between tokens at a batch size."""
        return self.step_base_s + self.step_per_sequence_s * batch


@attrs.define
class EngineRequestRecord:
    """The engine's record of one request; ``prompt_digest`` identifies the complete prompt."""

    request_id: str
    program: str
    prompt_digest: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int = 0
    finished: bool = False
    cancelled: bool = False


@attrs.define
class HeldCache:
    """Cached prefix held for a paused program."""

    program: str
    parts: list[PrefixPart]
    expires_at: float


@attrs.frozen
class CacheEvent:
    """A prefix that was added to the cache."""

    number: int
    digest: str
    at: float


class PriorityLock:
    """A lock that is granted to the waiter of the highest priority; FIFO among equals."""

    def __init__(self) -> None:
        self._is_held = False
        self._waiters: list[tuple[int, int, asyncio.Future[None]]] = []
        self._order = 0

    @contextlib.asynccontextmanager
    async def hold(self, priority: int) -> AsyncIterator[None]:
        """Holds the lock within a ``with`` block."""
        await self._acquire(priority)
        try:
            yield
        finally:
            self._hand_over()

    async def _acquire(self, priority: int) -> None:
        if not self._is_held:
            self._is_held = True
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._order += 1
        heapq.heappush(self._waiters, (-priority, self._order, waiter))
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._hand_over()
            raise

    def _hand_over(self) -> None:
        while self._waiters:
            _, _, waiter = heapq.heappop(self._waiters)
            if not waiter.done():
                waiter.set_result(None)
                return
        self._is_held = False


@attrs.define
class EngineOrders:
    """The models and role that the engine was ordered to run, and the latest fencing number."""

    fencing: int = 0
    models: list[str] = attrs.field(factory=list)
    role: str = "mixed"
    refused: int = 0


class EngineServer(StandinServer):
    """One engine on a real socket."""

    def __init__(
        self, name: str, model: str, speed: EngineSpeed | None = None, seed: int = 0, port: int = 0
    ) -> None:
        super().__init__(port)
        self.name = name
        self.speed = speed or EngineSpeed()
        self.faults = EndpointFaults()
        self.cache = PrefixCache(self.speed.cache_tokens)
        self.records: list[EngineRequestRecord] = []
        self.held_by_program: dict[str, HeldCache] = {}
        self.orders = EngineOrders(models=[model])
        self.events: list[CacheEvent] = []
        self._random = random.Random(seed)
        self._running: dict[str, asyncio.Task[None] | None] = {}
        self._cancelled: set[str] = set()
        self._prefill = PriorityLock()
        self._load_refreshed_at = 0.0
        self._load: dict[str, object] = {}

    def add_routes(self, app: web.Application) -> None:
        """Registers the engine's API."""
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_delete("/v1/requests/{id}", self._cancel)
        app.router.add_get("/v1/load", self._get_load)
        app.router.add_get("/v1/kv/events", self._get_events)
        app.router.add_get("/v1/kv/held", self._get_held)
        app.router.add_post("/v1/kv/release", self._release)
        app.router.add_post("/v1/kv/export", self._export)
        app.router.add_post("/v1/kv/import", self._import)
        app.router.add_post("/v1/orders", self._order)

    @property
    def running(self) -> int:
        """Number of requests in the batch."""
        return len(self._running)

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        await self._apply_faults(request)
        body = orjson.loads(await request.read())
        if body.get("model") not in self.orders.models:
            raise web.HTTPNotFound(text=f"model {body.get('model')!r} is not loaded")
        request_id = str(body.get("request_id") or uuid.UUID(int=self._random.getrandbits(128)))
        self._running[request_id] = None
        try:
            return await self._run(request, body, request_id)
        finally:
            self._running.pop(request_id, None)
            self._cancelled.discard(request_id)

    async def _run(
        self, request: web.Request, body: dict[str, object], request_id: str
    ) -> web.StreamResponse:
        parts = list(prompt_parts(body["messages"]))  # type: ignore[arg-type]
        prompt_tokens = sum(part.tokens for part in parts)
        cached = self.cache.match(parts)
        program = str(body.get("program", ""))
        record = EngineRequestRecord(request_id, program, parts[-1].digest, prompt_tokens, cached)
        self.records.append(record)
        self._publish(self.cache.pin(parts))
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        try:
            async with self._prefill.hold(int(str(body.get("priority") or 0))):
                seconds = (prompt_tokens - cached) / self.speed.prefill_tokens_per_s
                await asyncio.sleep(seconds * self.faults.slow_factor)
            await response.prepare(request)
            await self._decode(response, body, record, parts)
        finally:
            self.cache.unpin(parts)
            self._hold_cache(body, program, parts)
        return response

    async def _decode(
        self,
        response: web.StreamResponse,
        body: dict[str, object],
        record: EngineRequestRecord,
        parts: list[PrefixPart],
    ) -> None:
        limit = int(str(body.get("max_tokens") or self.speed.default_max_tokens))
        offset = int(str(body.get("resume_offset") or 0))
        position = 0
        for word in answer_words(parts[-1].digest, min(limit, self.speed.default_max_tokens)):
            position += len(word)
            if position <= offset:
                continue
            await asyncio.sleep(self.speed.step_s(self.running) * self.faults.slow_factor)
            if record.request_id in self._cancelled:
                record.cancelled = True
                return
            await self._maybe_break(response, record)
            await response.write(_chunk({"content": word}, None))
            record.completion_tokens += 1
        record.finished = True
        await response.write(_chunk({}, "stop"))
        await response.write(_usage_chunk(record))
        await response.write(b"data: [DONE]\n\n")

    async def _maybe_break(self, response: web.StreamResponse, record: EngineRequestRecord) -> None:
        after = self.faults.break_stream_after
        if after is not None and record.completion_tokens >= after:
            if not self.faults.breaks_every_stream:
                self.faults.break_stream_after = None
            raise ConnectionResetError("injected fault: stream broken")

    async def _apply_faults(self, request: web.Request) -> None:
        if self.faults.down and request.transport is not None:
            request.transport.abort()
        if self.faults.draining:
            raise web.HTTPServiceUnavailable(headers={"X-Draining": "true"})
        if self.faults.hang:
            await asyncio.Event().wait()

    def _hold_cache(self, body: dict[str, object], program: str, parts: list[PrefixPart]) -> None:
        hold_s = float(str(body.get("hold") or 0))
        if hold_s <= 0:
            return
        self._drop_held(program)
        self.cache.pin(parts)
        expires_at = asyncio.get_running_loop().time() + hold_s
        self.held_by_program[program] = HeldCache(program, parts, expires_at)

    def _drop_held(self, program: str) -> bool:
        held = self.held_by_program.pop(program, None)
        if held is not None:
            self.cache.unpin(held.parts)
        return held is not None

    def _publish(self, added: list[PrefixPart]) -> None:
        for part in added:
            if self._random.random() >= self.faults.drop_cache_events:
                now = asyncio.get_running_loop().time()
                self.events.append(CacheEvent(len(self.events), part.digest, now))

    async def _cancel(self, request: web.Request) -> web.Response:
        request_id = request.match_info["id"]
        if request_id not in self._running:
            raise web.HTTPNotFound
        self._cancelled.add(request_id)
        return web.Response(status=202)

    async def _get_load(self, request: web.Request) -> web.Response:
        await self._apply_faults(request)
        now = asyncio.get_running_loop().time()
        # The report lags like that of real engines: it is refreshed once a second.
        if now - self._load_refreshed_at >= 1.0 or not self._load:
            self._load_refreshed_at = now
            self._load = {
                "running": self.running,
                "cache_used_tokens": self.cache.used_tokens,
                "cache_capacity_tokens": self.cache.capacity_tokens,
                "models": self.orders.models,
            }
        return web.json_response(self._load)

    async def _get_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", "-1"))
        horizon = asyncio.get_running_loop().time() - EVENT_LAG_S
        # Events are delayed like those of real engines; `drop_cache_events` leaves gaps.
        visible = [event for event in self.events[after + 1 :] if event.at <= horizon]
        return web.json_response(
            {"events": [{"n": event.number, "digest": event.digest} for event in visible]}
        )

    async def _get_held(self, request: web.Request) -> web.Response:
        held = [
            {"program": held.program, "tokens": sum(part.tokens for part in held.parts)}
            for held in self.held_by_program.values()
        ]
        return web.json_response({"held": held})

    async def _release(self, request: web.Request) -> web.Response:
        body = await request.json()
        released = self._drop_held(str(body["program"]))
        return web.json_response({"released": released})

    async def _export(self, request: web.Request) -> web.Response:
        body = await request.json()
        held = self.held_by_program.get(str(body["program"]))
        if held is None:
            raise web.HTTPNotFound
        parts = [[part.digest, part.tokens] for part in held.parts]
        return web.json_response({"program": held.program, "parts": parts})

    async def _import(self, request: web.Request) -> web.Response:
        body = await request.json()
        parts = [PrefixPart(digest, tokens) for digest, tokens in body["parts"]]
        self.cache.pin(parts)
        self.cache.unpin(parts)
        return web.json_response({"tokens": sum(part.tokens for part in parts)})

    async def _order(self, request: web.Request) -> web.Response:
        body = await request.json()
        fencing = int(body["fencing"])
        if fencing < self.orders.fencing and not self.faults.ignore_fencing:
            self.orders.refused += 1
            raise web.HTTPConflict(text=f"fencing number {fencing} is outdated")
        self.orders.fencing = max(self.orders.fencing, fencing)
        if body["order"] == "load_model":
            self.orders.models = [str(body["value"])]
            self.cache.clear()
        if body["order"] == "change_role":
            self.orders.role = str(body["value"])
        return web.json_response({"fencing": self.orders.fencing})


def prompt_parts(messages: list[dict[str, object]]) -> Iterator[PrefixPart]:
    """Yields a prompt's messages as prefix parts."""
    digest = hashlib.blake2b(digest_size=12)
    for message in messages:
        data = orjson.dumps(message, option=orjson.OPT_SORT_KEYS)
        digest.update(data)
        yield PrefixPart(digest.hexdigest(), max(1, len(data) // BYTES_PER_TOKEN))


def answer_words(prompt_digest: str, count: int) -> Iterator[str]:
    """Yields the words of the answer to a prompt; the same prompt gets the same answer."""
    rng = random.Random(prompt_digest)
    for position in range(count):
        word = rng.choice(WORDS)
        yield word if position == 0 else f" {word}"


def answer_text(messages: list[dict[str, object]], count: int) -> str:
    """Returns the complete answer that any engine gives to these messages."""
    parts = list(prompt_parts(messages))
    return "".join(answer_words(parts[-1].digest, count))


def _chunk(delta: dict[str, object], finish_reason: str | None) -> bytes:
    choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
    body = {"object": "chat.completion.chunk", "choices": [choice]}
    return b"data: " + orjson.dumps(body) + b"\n\n"


def _usage_chunk(record: EngineRequestRecord) -> bytes:
    usage = {
        "prompt_tokens": record.prompt_tokens,
        "completion_tokens": record.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": record.cached_tokens},
    }
    body = {"object": "chat.completion.chunk", "choices": [], "usage": usage}
    return b"data: " + orjson.dumps(body) + b"\n\n"
