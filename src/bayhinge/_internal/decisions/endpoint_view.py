"""What a cell knows of one endpoint: running calls, resident programs, health."""

from collections import OrderedDict
from enum import StrEnum

import attrs

from bayhinge._internal.decisions.offers import Offer

EJECT_AFTER_FAILURES = 3
FIRST_EJECTION_S = 2.0
LONGEST_EJECTION_S = 60.0


class Standing(StrEnum):
    """Whether an endpoint gets new work."""

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
class Resident:
    """A program whose prefix the endpoint is believed to hold."""

    tokens: int
    last_used: float
    running: int = 0


@attrs.define
class EndpointView:
    """One endpoint as the cell sees it, from its own sends first.

    A resident program is *active* while a call of it runs, *recent* for some time
    after that, and then *idle*: the engine still holds it, and may drop it for others.
    Each of the three is kept in least recently used order, as the engine's own eviction
    goes, so that all sums are at hand without a scan.

    Attributes:
        exact_limit: how many calls may run at once, steered in fractions.
        capacity_tokens: the engine's memory for prefixes and running calls.
        prefill_until: when the prompts that were sent will have been read.
    """

    name: str
    hall: str
    address: str
    exact_limit: float
    capacity_tokens: int
    standing: Standing = Standing.LIVE
    running_by_grant: dict[str, RunningCall] = attrs.field(factory=dict)
    active_by_program: dict[str, Resident] = attrs.field(factory=dict)
    recent_by_program: OrderedDict[str, Resident] = attrs.field(factory=OrderedDict)
    idle_by_program: OrderedDict[str, Resident] = attrs.field(factory=OrderedDict)
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
        """How many calls may run at once."""
        return int(self.exact_limit)

    @property
    def has_slot(self) -> bool:
        """True where another call may start now."""
        if self.standing is Standing.PROBING:
            return not self.running_by_grant
        return self.standing is Standing.LIVE and len(self.running_by_grant) < self.limit

    @property
    def resident_tokens(self) -> int:
        """Tokens that the engine is believed to hold."""
        return self.active_tokens + self.recent_tokens + self.idle_tokens

    @property
    def resident_programs(self) -> int:
        """Programs that the engine is believed to hold."""
        held = (self.active_by_program, self.recent_by_program, self.idle_by_program)
        return sum(len(programs) for programs in held)

    def resident(self, program: str) -> Resident | None:
        """Returns what the endpoint holds of a program, or None."""
        return (
            self.active_by_program.get(program)
            or self.recent_by_program.get(program)
            or self.idle_by_program.get(program)
        )

    def cached_tokens(self, offer: Offer) -> int:
        """Returns the tokens of an offer's prompt that are believed to be cached."""
        resident = self.resident(offer.program)
        own = 0 if resident is None else resident.tokens
        shared = self.shared_tokens_by_prefix.get(offer.shared_prefix, 0)
        return min(offer.prompt_tokens, max(own, shared))

    def age(self, horizon: float) -> None:
        """Counts programs as idle that were last used before ``horizon``."""
        while self.recent_by_program:
            program, resident = next(iter(self.recent_by_program.items()))
            if resident.last_used >= horizon:
                return
            del self.recent_by_program[program]
            self.recent_tokens -= resident.tokens
            self.idle_by_program[program] = resident
            self.idle_tokens += resident.tokens

    def start(self, offer: Offer, now: float, prefill_s: float) -> None:
        """Books a granted call."""
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
        """Ends a granted call; ``tokens`` is the program's prefix now, 0 if unknown."""
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
        """Forgets a program that is gone; returns whether it was resident and not running."""
        if (resident := self.recent_by_program.pop(program, None)) is not None:
            self.recent_tokens -= resident.tokens
        elif (resident := self.idle_by_program.pop(program, None)) is not None:
            self.idle_tokens -= resident.tokens
        return resident is not None

    def forget_all(self) -> None:
        """Forgets what was cached, as after the endpoint's restart."""
        self.active_by_program.clear()
        self.recent_by_program.clear()
        self.idle_by_program.clear()
        self.shared_tokens_by_prefix.clear()
        self.active_tokens = self.recent_tokens = self.idle_tokens = 0

    def _activate(self, program: str, now: float) -> Resident:
        resident = self.active_by_program.get(program)
        if resident is not None:
            return resident
        resident = self.resident(program) or Resident(0, now)
        self.drop(program)
        self.active_by_program[program] = resident
        self.active_tokens += resident.tokens
        return resident

    def _resize(self, resident: Resident, tokens: int) -> None:
        self.active_tokens += tokens - resident.tokens
        resident.tokens = tokens

    def _forget_evicted(self) -> None:
        """Follows the engine's eviction: the least recently used program goes first."""
        while self.resident_tokens > self.capacity_tokens:
            if self.idle_by_program:
                _, resident = self.idle_by_program.popitem(last=False)
                self.idle_tokens -= resident.tokens
            elif self.recent_by_program:
                _, resident = self.recent_by_program.popitem(last=False)
                self.recent_tokens -= resident.tokens
            else:
                return
