"""A cell's view of one endpoint: running calls, resident programs, health."""

from collections import OrderedDict
from enum import StrEnum

import attrs

from bayhinge._internal.decisions.offers import Offer

EJECT_AFTER_FAILURES = 3
FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 60.0


class Standing(StrEnum):
    """Whether an endpoint accepts new work."""

    LIVE = "live"
    LEAVING = "leaving"
    EJECTED = "ejected"
    PROBING = "probing"


@attrs.define
class RunningCall:
    """A granted call that has not ended."""

    offer: Offer
    started_at: float
    cached_tokens: int


@attrs.define
class ResidentProgram:
    """A program whose prefix the endpoint is assumed to have in cache."""

    tokens: int
    last_used: float
    running: int = 0


@attrs.define
class EndpointView:
    """A cell's model of one endpoint, mainly derived from the calls it sent there.

    A resident program is *active* while a call of it runs, *recent* for some time after that, and
    then *idle*: still cached, but the first to be evicted. Recent and idle programs are kept in
    least recently used order, like the engine's own eviction, with running token sums.

    Attributes:
        exact_limit: the concurrency limit before rounding down.
        capacity_tokens: the engine's memory for prefixes and running calls.
        prefill_until: when the prefill of the sent prompts is expected to end.
    """

    name: str
    hall: str
    address: str
    exact_limit: float
    capacity_tokens: int
    standing: Standing = Standing.LIVE
    running_by_grant: dict[str, RunningCall] = attrs.field(factory=dict)
    active_by_program: dict[str, ResidentProgram] = attrs.field(factory=dict)
    recent_by_program: OrderedDict[str, ResidentProgram] = attrs.field(factory=OrderedDict)
    idle_by_program: OrderedDict[str, ResidentProgram] = attrs.field(factory=OrderedDict)
    shared_tokens_by_prefix: dict[str, int] = attrs.field(factory=dict)
    active_tokens: int = 0
    recent_tokens: int = 0
    idle_tokens: int = 0
    prefill_until: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0

    @property
    def limit(self) -> int:
        """The concurrency limit."""
        return int(self.exact_limit)

    @property
    def has_slot(self) -> bool:
        """Whether another call may start now."""
        if self.standing is Standing.PROBING:
            return not self.running_by_grant
        return self.standing is Standing.LIVE and len(self.running_by_grant) < self.limit

    @property
    def resident_tokens(self) -> int:
        """Tokens that the engine is assumed to have in cache."""
        return self.active_tokens + self.recent_tokens + self.idle_tokens

    @property
    def resident_programs(self) -> int:
        """Number of programs that the engine is assumed to have in cache."""
        held = (self.active_by_program, self.recent_by_program, self.idle_by_program)
        return sum(len(programs) for programs in held)

    def resident(self, program: str) -> ResidentProgram | None:
        """Returns a program's cache state at the endpoint, or None."""
        return (
            self.active_by_program.get(program)
            or self.recent_by_program.get(program)
            or self.idle_by_program.get(program)
        )

    def cached_tokens(self, offer: Offer) -> int:
        """Returns the tokens of an offer's prompt that are assumed to be cached."""
        resident = self.resident(offer.program)
        own = 0 if resident is None else resident.tokens
        shared = self.shared_tokens_by_prefix.get(offer.shared_prefix, 0)
        return min(offer.prompt_tokens, max(own, shared))

    def demote_idle(self, horizon: float) -> None:
        """Moves recent programs that were last used before ``horizon`` to the idle ones."""
        while self.recent_by_program:
            program, resident = next(iter(self.recent_by_program.items()))
            if resident.last_used >= horizon:
                return
            del self.recent_by_program[program]
            self.recent_tokens -= resident.tokens
            self.idle_by_program[program] = resident
            self.idle_tokens += resident.tokens

    def start(self, offer: Offer, now: float, prefill_s: float) -> None:
        """Records the start of a granted call."""
        cached = self.cached_tokens(offer)
        self.running_by_grant[offer.grant] = RunningCall(offer, now, cached)
        self.prefill_until = max(self.prefill_until, now) + prefill_s
        resident = self._activate(offer.program, now)
        resident.running += 1
        self._resize(resident, offer.prompt_tokens)
        if offer.shared_prefix:
            self.shared_tokens_by_prefix[offer.shared_prefix] = offer.shared_tokens
        self._forget_evicted()

    def finish(self, grant: str, tokens: int, now: float) -> RunningCall | None:
        """Records the end of a call; ``tokens`` is the program's new prefix, 0 if unknown."""
        call = self.running_by_grant.pop(grant, None)
        if call is None:
            return None
        program = call.offer.program
        resident = self.active_by_program.get(program)
        if resident is None:
            return call
        if tokens:
            self._resize(resident, tokens)
        resident.running -= 1
        resident.last_used = now
        if not resident.running:
            del self.active_by_program[program]
            self.active_tokens -= resident.tokens
            self.recent_by_program[program] = resident
            self.recent_tokens += resident.tokens
        self._forget_evicted()
        return call

    def drop(self, program: str) -> bool:
        """Forgets an ended program; returns whether it was resident and not running."""
        if (resident := self.recent_by_program.pop(program, None)) is not None:
            self.recent_tokens -= resident.tokens
        elif (resident := self.idle_by_program.pop(program, None)) is not None:
            self.idle_tokens -= resident.tokens
        return resident is not None

    def forget_cached(self) -> None:
        """Forgets all cached prefixes, as after a restart of the endpoint."""
        self.active_by_program.clear()
        self.recent_by_program.clear()
        self.idle_by_program.clear()
        self.shared_tokens_by_prefix.clear()
        self.active_tokens = self.recent_tokens = self.idle_tokens = 0

    def _activate(self, program: str, now: float) -> ResidentProgram:
        resident = self.active_by_program.get(program)
        if resident is not None:
            return resident
        resident = self.resident(program) or ResidentProgram(0, now)
        self.drop(program)
        self.active_by_program[program] = resident
        self.active_tokens += resident.tokens
        return resident

    def _resize(self, resident: ResidentProgram, tokens: int) -> None:
        self.active_tokens += tokens - resident.tokens
        resident.tokens = tokens

    def _forget_evicted(self) -> None:
        """Mirrors the engine's eviction: the least recently used program goes first."""
        while self.resident_tokens > self.capacity_tokens:
            if self.idle_by_program:
                _, resident = self.idle_by_program.popitem(last=False)
                self.idle_tokens -= resident.tokens
            elif self.recent_by_program:
                _, resident = self.recent_by_program.popitem(last=False)
                self.recent_tokens -= resident.tokens
            else:
                return
