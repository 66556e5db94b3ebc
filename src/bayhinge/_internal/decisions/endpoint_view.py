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

    ``limit`` is how many calls may run at once. ``resident_by_program`` is in least
    recently used order, as the engine's own eviction goes.
    """

    name: str
    hall: str
    address: str
    limit: int
    capacity_tokens: int
    standing: Standing = Standing.LIVE
    running_by_grant: dict[str, RunningCall] = attrs.field(factory=dict)
    resident_by_program: OrderedDict[str, Resident] = attrs.field(factory=OrderedDict)
    shared_tokens_by_prefix: dict[str, int] = attrs.field(factory=dict)
    resident_tokens: int = 0
    active_tokens: int = 0
    prefill_until: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0

    @property
    def has_slot(self) -> bool:
        """True where another call may start now."""
        if self.standing is Standing.PROBING:
            return not self.running_by_grant
        return self.standing is Standing.LIVE and len(self.running_by_grant) < self.limit

    def cached_tokens(self, offer: Offer) -> int:
        """Returns the tokens of an offer's prompt that are believed to be cached."""
        resident = self.resident_by_program.get(offer.program)
        own = 0 if resident is None else resident.tokens
        shared = self.shared_tokens_by_prefix.get(offer.shared_prefix, 0)
        return min(offer.prompt_tokens, max(own, shared))

    def start(self, offer: Offer, now: float, prefill_s: float) -> None:
        """Books a granted call."""
        cached = self.cached_tokens(offer)
        self.running_by_grant[offer.grant] = RunningCall(offer, now, cached)
        self.prefill_until = max(self.prefill_until, now) + prefill_s
        resident = self._touch(offer.program, now)
        if not resident.running:
            self.active_tokens += resident.tokens
        resident.running += 1
        self._resize(resident, offer.prompt_tokens)
        if offer.shared_prefix:
            self.shared_tokens_by_prefix[offer.shared_prefix] = offer.shared_tokens

    def finish(self, grant: str, tokens: int, now: float) -> RunningCall | None:
        """Ends a granted call; ``tokens`` is the program's prefix now, 0 if unknown."""
        call = self.running_by_grant.pop(grant, None)
        if call is None:
            return None
        resident = self.resident_by_program.get(call.offer.program)
        if resident is not None:
            if tokens:
                self._resize(resident, tokens)
            resident.running -= 1
            if not resident.running:
                self.active_tokens -= resident.tokens
            resident.last_used = now
            self.resident_by_program.move_to_end(call.offer.program)
        self._forget_evicted()
        return call

    def drop(self, program: str) -> bool:
        """Forgets a program that is gone; returns whether it was resident."""
        resident = self.resident_by_program.get(program)
        if resident is None or resident.running:
            return False
        del self.resident_by_program[program]
        self.resident_tokens -= resident.tokens
        return True

    def forget_all(self) -> None:
        """Forgets what was cached, as after the endpoint's restart."""
        self.resident_by_program.clear()
        self.shared_tokens_by_prefix.clear()
        self.resident_tokens = 0
        self.active_tokens = 0

    def _touch(self, program: str, now: float) -> Resident:
        resident = self.resident_by_program.get(program)
        if resident is None:
            resident = Resident(0, now)
            self.resident_by_program[program] = resident
        resident.last_used = now
        self.resident_by_program.move_to_end(program)
        return resident

    def _resize(self, resident: Resident, tokens: int) -> None:
        change = tokens - resident.tokens
        resident.tokens = tokens
        self.resident_tokens += change
        if resident.running:
            self.active_tokens += change

    def _forget_evicted(self) -> None:
        """Follows the engine's eviction: the least recently used idle program goes first."""
        if self.resident_tokens <= self.capacity_tokens:
            return
        for program in list(self.resident_by_program):
            if self.resident_tokens <= self.capacity_tokens:
                return
            self.drop(program)
