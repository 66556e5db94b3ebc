"""Queue order and placement policies, including the baselines for comparison."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

import attrs

from bayhinge._internal.decisions.endpoint_view import EndpointView, Standing
from bayhinge._internal.decisions.estimates import CellEstimates
from bayhinge._internal.decisions.offers import Offer, Reason, Waiting
from bayhinge._internal.models.refusals import Figure

USABLE = frozenset({Standing.LIVE, Standing.PROBING})
ADMIT_SHARE = 0.95
"""Share of the memory up to which new programs are admitted; the rest is for growth."""
MIN_WAIT_S = 0.05
RECHECK_S = 0.5
PRIORITY_AGE_S = 10.0
"""Seconds of age that one priority level is worth."""


@attrs.frozen(order=True)
class Rank:
    """A call's rank in the queue; the smallest goes first."""

    band: int
    key: float
    arrived_at: float


class OrderPolicy(ABC):
    """Decides which waiting call goes next."""

    name: str

    @abstractmethod
    def rank(self, waiting: Waiting) -> Rank:
        """Returns a waiting call's rank, which must not change while it waits."""


class FirstComeFirstServed(OrderPolicy):
    """By arrival time of the call; a baseline."""

    name = "first-come"

    def rank(self, waiting: Waiting) -> Rank:
        """See :class:`OrderPolicy`."""
        return Rank(0, 0.0, waiting.arrived_at)


class ProgramAge(OrderPolicy):
    """By the age of the program; each priority level counts as additional age.

    Calls of older programs go first, so that started programs are finished. No program starves: one
    that starts more than ``9 * PRIORITY_AGE_S`` later ranks behind, whatever its priority.
    """

    name = "program-age"

    def rank(self, waiting: Waiting) -> Rank:
        """See :class:`OrderPolicy`."""
        head_start = waiting.offer.priority * PRIORITY_AGE_S
        return Rank(0, waiting.program_since - head_start, waiting.arrived_at)


class LeastAttained(OrderPolicy):
    """By priority, then by the endpoint time that the program has used so far."""

    name = "least-attained"

    def rank(self, waiting: Waiting) -> Rank:
        """See :class:`OrderPolicy`."""
        attained = waiting.offer.attained_s / waiting.offer.weight
        return Rank(-waiting.offer.priority, attained, waiting.arrived_at)


@attrs.frozen
class Placement:
    """Where a call should go, and why."""

    endpoint: EndpointView
    cached_tokens: int
    reason: Reason


class PlacementPolicy(ABC):
    """Decides which endpoint a call goes to, or that it should wait."""

    name: str

    def begin_round(self, endpoints: Iterable[EndpointView], now: float) -> bool:
        """Prepares a round of placements; returns False where no endpoint has a slot."""
        return any(view.has_slot for view in endpoints)

    def has_room(self, endpoints: Iterable[EndpointView], now: float) -> bool:
        """Whether a program of average size could start now."""
        return any(view.has_slot for view in endpoints)

    @abstractmethod
    def place(
        self, waiting: Waiting, endpoints: Iterable[EndpointView], now: float
    ) -> Placement | None:
        """Returns the endpoint that should take the call now, or None to let it wait."""


def _available(offer: Offer, endpoints: Iterable[EndpointView]) -> list[EndpointView]:
    """Returns the endpoints that can take the call now.

    Endpoints at which the call failed are avoided while there are others; a call that failed
    everywhere is tried again rather than left waiting until its deadline.
    """
    usable = [view for view in endpoints if view.standing in USABLE]
    fresh = [view for view in usable if view.name not in offer.avoid]
    return [view for view in fresh or usable if view.has_slot]


class RoundRobin(PlacementPolicy):
    """Each endpoint in turn; a baseline."""

    name = "round-robin"

    def __init__(self, estimates: CellEstimates) -> None:
        self._next = 0

    def place(
        self, waiting: Waiting, endpoints: Iterable[EndpointView], now: float
    ) -> Placement | None:
        """See :class:`PlacementPolicy`."""
        candidates = _available(waiting.offer, endpoints)
        if not candidates:
            return None
        self._next += 1
        view = candidates[self._next % len(candidates)]
        return Placement(view, view.cached_tokens(waiting.offer), Reason("its turn"))


class LeastLoaded(PlacementPolicy):
    """The endpoint with the fewest running calls; a baseline."""

    name = "least-loaded"

    def __init__(self, estimates: CellEstimates) -> None:
        """Accepts the estimates of the common signature; they are not used."""

    def place(
        self, waiting: Waiting, endpoints: Iterable[EndpointView], now: float
    ) -> Placement | None:
        """See :class:`PlacementPolicy`."""
        candidates = _available(waiting.offer, endpoints)
        if not candidates:
            return None
        view = min(candidates, key=lambda item: (len(item.running_by_grant), item.name))
        reason = Reason("fewest running calls", (Figure("running", len(view.running_by_grant)),))
        return Placement(view, view.cached_tokens(waiting.offer), reason)


class SessionSticky(LeastLoaded):
    """The endpoint that ran the program's last call, else the least loaded; a baseline."""

    name = "session-sticky"

    def __init__(self, estimates: CellEstimates) -> None:
        super().__init__(estimates)
        self._endpoint_by_program: dict[str, str] = {}

    def place(
        self, waiting: Waiting, endpoints: Iterable[EndpointView], now: float
    ) -> Placement | None:
        """See :class:`PlacementPolicy`."""
        views = list(endpoints)
        program = waiting.offer.program
        endpoint_name = self._endpoint_by_program.get(program)
        own = next((view for view in views if view.name == endpoint_name), None)
        if own is not None and own in _available(waiting.offer, views):
            return Placement(own, own.cached_tokens(waiting.offer), Reason("its session is here"))
        placement = super().place(waiting, views, now)
        if placement is not None:
            self._endpoint_by_program[program] = placement.endpoint.name
        return placement


@attrs.frozen
class _Cost:
    """Cost of a call at an endpoint in seconds; ``wait_s`` is 0 where it may start."""

    view: EndpointView
    wait_s: float
    total_s: float


class FinishTime(PlacementPolicy):
    """The endpoint that is expected to finish first, without thrashing its cache.

    The cost counts the prefill backlog, the prefill of uncached tokens, the slower decoding in a
    larger batch, and the recomputation of what the call evicts from the cache. A program without a
    cached prefix waits while it fits nowhere, for at most ``max_hold_s``; then it goes to the
    endpoint of the lowest cost.
    """

    name = "finish-time"

    def __init__(self, estimates: CellEstimates, max_hold_s: float = 120.0) -> None:
        self._estimates = estimates
        self._max_hold_s = max_hold_s
        self._now = 0.0
        self._most_free = 0.0

    def place(
        self, waiting: Waiting, endpoints: Iterable[EndpointView], now: float
    ) -> Placement | None:
        """See :class:`PlacementPolicy`."""
        offer = waiting.offer
        overdue = now - waiting.arrived_at >= self._max_hold_s
        if not overdue and (
            self._still_waits(waiting, endpoints) or not self._may_fit(offer, endpoints)
        ):
            return None
        candidates = _available(offer, endpoints)
        if not candidates:
            return None
        costs = [self._cost(offer, view) for view in candidates]
        best = min(costs, key=lambda cost: (cost.total_s, cost.view.name))
        if best.wait_s > 0 and not overdue:
            waiting.waits_for = best.view.name
            waiting.held_tokens = best.view.active_tokens
            waiting.recheck_at = now + RECHECK_S
            return None
        return Placement(
            best.view,
            best.view.cached_tokens(offer),
            self._reason(best.total_s, best.view, waiting),
        )

    def begin_round(self, endpoints: Iterable[EndpointView], now: float) -> bool:
        """See :class:`PlacementPolicy`."""
        self._now = now
        horizon = now - self._estimates.hold.pauses * self._estimates.pause_s.value
        self._most_free = 0.0
        has_slot = False
        for view in endpoints:
            if view.has_slot:
                has_slot = True
                view.demote_idle(horizon)
                self._most_free = max(self._most_free, self._free(view))
        return has_slot

    def has_room(self, endpoints: Iterable[EndpointView], now: float) -> bool:
        """See :class:`PlacementPolicy`."""
        average = self._estimates.beginning_tokens.value + self._estimates.answer_tokens.value
        return self.begin_round(endpoints, now) and self._most_free >= average

    def _free(self, view: EndpointView) -> float:
        """Returns the memory that is free for programs without a prefix there."""
        return ADMIT_SHARE * view.capacity_tokens - view.active_tokens - view.recent_tokens

    def _still_waits(self, waiting: Waiting, endpoints: Iterable[EndpointView]) -> bool:
        """Whether nothing has changed since the call began to wait for an endpoint."""
        if not waiting.waits_for or self._now >= waiting.recheck_at:
            return False
        return any(
            view.name == waiting.waits_for and view.active_tokens >= waiting.held_tokens
            for view in endpoints
        )

    def _may_fit(self, offer: Offer, endpoints: Iterable[EndpointView]) -> bool:
        """Checks cheaply whether the call can start anywhere now.

        Most calls of a long queue can't; this avoids a full cost comparison for each of them.
        """
        needed = offer.prompt_tokens + self._estimates.answer_tokens.value
        if needed <= self._most_free:
            return True
        for view in endpoints:
            if view.has_slot and not view.active_tokens + view.recent_tokens:
                return True
            if offer.program in view.recent_by_program:
                return view.active_tokens + needed <= view.capacity_tokens
        return False

    def _cost(self, offer: Offer, view: EndpointView) -> "_Cost":
        """Returns the cost of the call there, including its effect on other calls."""
        estimates = self._estimates
        running = len(view.running_by_grant)
        answer = estimates.answer_tokens.value
        backlog = max(0.0, view.prefill_until - self._now)
        wait = self._wait_s(offer, view)
        own_prefill_s = estimates.prefill_s(offer.prompt_tokens - view.cached_tokens(offer))
        # Prefill stalls the whole batch, and one more call slows its decoding: the time that
        # other calls lose counts like the call's own time.
        decode_slowdown_s = answer * estimates.token_s.slope_s * running
        eviction_s = estimates.prefill_s(self._evicted_tokens(offer, view))
        own = wait + backlog + own_prefill_s + answer * estimates.token_s.at(running + 1)
        return _Cost(
            view, wait, own + (own_prefill_s + eviction_s) * (running + 1) + decode_slowdown_s
        )

    def _wait_s(self, offer: Offer, view: EndpointView) -> float:
        """Returns how long the call must wait there for memory; 0 where it fits now.

        It fits where it evicts no recent program; a recent program itself only has to fit beside
        the running calls.
        """
        held = view.active_tokens
        room = float(view.capacity_tokens)
        if offer.program not in view.recent_by_program:
            held += view.recent_tokens
            room *= ADMIT_SHARE
        excess = held + self._growth(offer, view) - room
        if excess <= 0 or not held:
            return 0.0
        # Running calls free their memory within about one average call duration.
        return self._estimates.call_s.value * min(1.0, excess / held) + MIN_WAIT_S

    def _evicted_tokens(self, offer: Offer, view: EndpointView) -> float:
        """Returns the tokens of recent programs that the call would evict."""
        free = view.capacity_tokens - view.active_tokens - view.recent_tokens
        return min(view.recent_tokens, max(0.0, self._growth(offer, view) - free))

    def _growth(self, offer: Offer, view: EndpointView) -> float:
        """Returns the tokens that the call adds to what its program holds there."""
        active = view.active_by_program.get(offer.program)
        own = 0 if active is None else active.tokens
        return offer.prompt_tokens + self._estimates.answer_tokens.value - own

    def _reason(self, cost: float, view: EndpointView, waiting: Waiting) -> Reason:
        cached = view.cached_tokens(waiting.offer)
        return Reason(
            "it is expected to finish there first",
            (
                Figure("expected_s", round(cost, 4)),
                Figure("cached_tokens", cached),
                Figure("prompt_tokens", waiting.offer.prompt_tokens),
                Figure("running", len(view.running_by_grant)),
            ),
        )


ORDERS: dict[str, type[OrderPolicy]] = {
    policy.name: policy for policy in (FirstComeFirstServed, ProgramAge, LeastAttained)
}
PLACEMENTS: dict[str, type[PlacementPolicy]] = {
    policy.name: policy for policy in (RoundRobin, LeastLoaded, SessionSticky, FinishTime)
}


def make_order(name: str) -> OrderPolicy:
    """Returns the order policy of a validated name."""
    return ORDERS[name]()


def make_placement(name: str, estimates: CellEstimates) -> PlacementPolicy:
    """Returns the placement policy of a validated name."""
    return PLACEMENTS[name](estimates)  # type: ignore[call-arg]
