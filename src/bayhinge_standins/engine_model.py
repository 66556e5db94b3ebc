"""A discrete-event model of an engine with continuous batching and a prefix cache.

A step gives every decoding sequence one token and prefills at most one chunk of one prompt.
It takes ``base + per_sequence * batch + chunk / prefill_rate``. Steps between two changes of
the batch take equally long and are simulated at once.
"""

import heapq
from collections import OrderedDict, deque

import attrs


@attrs.frozen
class ModelSpeed:
    """Speed and memory of one engine, in seconds and tokens."""

    step_base_s: float = 0.008
    step_per_sequence_s: float = 0.00022
    prefill_tokens_per_s: float = 60_000.0
    chunk_tokens: int = 2048
    cache_tokens: int = 1_500_000
    max_batch: int = 96


@attrs.define(eq=False)
class ModelRequest:
    """One request.

    Attributes:
        shared_prefix: name of a prefix that other programs share; empty for none.
        computed_tokens: leading prompt tokens that an engine has computed for the program before.
    """

    request_id: str
    program: str
    prompt_tokens: int
    answer_tokens: int
    shared_prefix: str = ""
    shared_tokens: int = 0
    computed_tokens: int = 0
    submitted_at: float = 0.0
    started_at: float = 0.0
    first_token_at: float = 0.0
    finished_at: float = 0.0
    cached_tokens: int = 0


@attrs.define
class _Cached:
    tokens: int
    pins: int = 0


class ModelCache:
    """An LRU cache of prefix lengths by owner; pinned entries are not evicted."""

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        self.used_tokens = 0
        self.pinned_tokens = 0
        self._entries: OrderedDict[str, _Cached] = OrderedDict()

    def tokens(self, owner: str) -> int:
        """Returns the cached tokens of an owner."""
        entry = self._entries.get(owner)
        return 0 if entry is None else entry.tokens

    def pin(self, owner: str, tokens: int) -> None:
        """Grows an entry to at least ``tokens`` and retains it until :meth:`unpin`."""
        entry = self._entries.setdefault(owner, _Cached(0))
        entry.pins += 1
        if entry.pins == 1:
            self.pinned_tokens += entry.tokens
        self.grow(owner, tokens)
        self._entries.move_to_end(owner)

    def grow(self, owner: str, tokens: int) -> None:
        """Grows an entry to at least ``tokens``."""
        entry = self._entries[owner]
        growth = max(0, tokens - entry.tokens)
        self.used_tokens += growth
        self.pinned_tokens += growth if entry.pins else 0
        entry.tokens = max(entry.tokens, tokens)
        self._evict()

    def unpin(self, owner: str) -> None:
        """Allows an entry to be evicted once it has no other pins."""
        entry = self._entries[owner]
        entry.pins -= 1
        if not entry.pins:
            self.pinned_tokens -= entry.tokens
        self._entries.move_to_end(owner)
        self._evict()

    def drop(self, owner: str) -> None:
        """Evicts an entry at once, unless it is pinned."""
        entry = self._entries.get(owner)
        if entry is not None and not entry.pins:
            del self._entries[owner]
            self.used_tokens -= entry.tokens

    def clear(self) -> None:
        """Removes all entries."""
        self._entries.clear()
        self.used_tokens = 0
        self.pinned_tokens = 0

    def _evict(self) -> None:
        if self.used_tokens <= self.capacity_tokens:
            return
        for owner in list(self._entries):
            self.drop(owner)
            if self.used_tokens <= self.capacity_tokens:
                return


class EngineModel:
    """One engine; the caller advances it from event to event."""

    def __init__(self, name: str, speed: ModelSpeed) -> None:
        self.name = name
        self.speed = speed
        self.cache = ModelCache(speed.cache_tokens)
        self.prefilled_tokens = 0
        self.recomputed_tokens = 0
        self.slow_factor = 1.0
        self._waiting: deque[ModelRequest] = deque()
        self._prefilling: deque[ModelRequest] = deque()
        self._prefill_remaining = 0
        self._decoding: list[tuple[int, int, ModelRequest]] = []
        self._steps = 0
        self._clock = 0.0
        self._order = 0

    @property
    def running(self) -> int:
        """Number of requests in the engine, including its queue."""
        return len(self._waiting) + len(self._prefilling) + len(self._decoding)

    def submit(self, request: ModelRequest, now: float) -> list[ModelRequest]:
        """Queues a request; returns the requests that finished by ``now``."""
        finished = self.advance(now)
        request.submitted_at = now
        self._waiting.append(request)
        self._admit(now)
        return finished

    def cancel_all(self) -> list[ModelRequest]:
        """Drops all requests and the cache, as a crash does; returns the requests."""
        dropped = [*self._waiting, *self._prefilling, *(item[2] for item in self._decoding)]
        self._waiting.clear()
        self._prefilling.clear()
        self._decoding.clear()
        self._prefill_remaining = 0
        self.cache.clear()
        return dropped

    def next_event(self) -> float | None:
        """Returns the time of the batch's next change, or None if idle."""
        steps = self._steps_to_change()
        return None if steps is None else self._clock + steps * self._step_s()

    def advance(self, now: float) -> list[ModelRequest]:
        """Runs until ``now`` and returns the requests that finished."""
        finished: list[ModelRequest] = []
        while True:
            steps = self._steps_to_change()
            if steps is None:
                self._clock = max(self._clock, now)
                return finished
            step_s = self._step_s()
            possible = int((now - self._clock) / step_s + 1e-9)
            if possible <= 0:
                return finished
            count = min(steps, possible)
            self._run_steps(count, step_s)
            finished.extend(self._collect_finished())

    def _step_s(self) -> float:
        speed = self.speed
        chunk = min(speed.chunk_tokens, self._prefill_remaining) if self._prefilling else 0
        batch = len(self._decoding) + bool(self._prefilling)
        seconds = (
            speed.step_base_s
            + speed.step_per_sequence_s * batch
            + chunk / speed.prefill_tokens_per_s
        )
        return seconds * self.slow_factor

    def _steps_to_change(self) -> int | None:
        candidates: list[int] = []
        if self._prefilling:
            whole = self._prefill_remaining // self.speed.chunk_tokens
            # The last, smaller chunk takes a separate step.
            candidates.append(max(1, whole))
        if self._decoding:
            candidates.append(max(1, self._decoding[0][0] - self._steps))
        return min(candidates) if candidates else None

    def _run_steps(self, count: int, step_s: float) -> None:
        self._clock += count * step_s
        self._steps += count
        if self._prefilling:
            self._prefill_remaining -= count * self.speed.chunk_tokens

    def _collect_finished(self) -> list[ModelRequest]:
        finished: list[ModelRequest] = []
        while self._decoding and self._decoding[0][0] <= self._steps:
            request = heapq.heappop(self._decoding)[2]
            request.finished_at = self._clock
            self.cache.grow(request.program, _unshared_tokens(request) + request.answer_tokens)
            self.cache.unpin(request.program)
            finished.append(request)
        if self._prefilling and self._prefill_remaining <= 0:
            self._begin_decode(self._prefilling.popleft())
            self._next_prefill()
        if finished:
            self._admit(self._clock)
        return finished

    def _begin_decode(self, request: ModelRequest) -> None:
        request.first_token_at = self._clock
        self._order += 1
        end_step = self._steps + max(1, request.answer_tokens)
        heapq.heappush(self._decoding, (end_step, self._order, request))

    def _admit(self, now: float) -> None:
        while self._waiting and len(self._decoding) + len(self._prefilling) < self.speed.max_batch:
            if not self._has_memory(self._waiting[0]):
                return
            request = self._waiting.popleft()
            request.started_at = now
            self._reserve_cache(request)
            self._prefilling.append(request)
            if len(self._prefilling) == 1:
                self._next_prefill()

    def _has_memory(self, request: ModelRequest) -> bool:
        """Tells whether a request fits the memory; an idle engine accepts any."""
        needed = request.prompt_tokens + request.answer_tokens
        is_idle = not self._decoding and not self._prefilling
        return is_idle or self.cache.pinned_tokens + needed <= self.cache.capacity_tokens

    def _reserve_cache(self, request: ModelRequest) -> None:
        request.cached_tokens = self._match(request)
        new_tokens = request.prompt_tokens - request.cached_tokens
        self.prefilled_tokens += new_tokens
        self.recomputed_tokens += max(0, request.computed_tokens - request.cached_tokens)
        if request.shared_prefix:
            self.cache.pin(f"shared/{request.shared_prefix}", request.shared_tokens)
            self.cache.unpin(f"shared/{request.shared_prefix}")
        self.cache.pin(request.program, _unshared_tokens(request))

    def _match(self, request: ModelRequest) -> int:
        own = self.cache.tokens(request.program)
        if not request.shared_prefix:
            return min(request.prompt_tokens, own)
        shared = self.cache.tokens(f"shared/{request.shared_prefix}")
        # A program's own prefix is useless without the shared one in front of it.
        return min(request.prompt_tokens, shared + own) if shared else 0

    def _next_prefill(self) -> None:
        if self._prefilling:
            request = self._prefilling[0]
            self._prefill_remaining = max(1, request.prompt_tokens - request.cached_tokens)


def _unshared_tokens(request: ModelRequest) -> int:
    """Returns the number of prompt tokens after the shared prefix."""
    return request.prompt_tokens - (request.shared_tokens if request.shared_prefix else 0)
