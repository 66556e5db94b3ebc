"""Order and placement policies, with the baselines that they are measured against."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

import attrs

from bayhinge._internal.decisions.endpoint_view import EndpointView, Standing
from bayhinge._internal.decisions.estimates import CellEstimates
from bayhinge._internal.decisions.offers import Offer, Reason, Waiting
from bayhinge._internal.models.refusals import Figure

USABLE = frozenset({Standing.LIVE, Standing.PROBING})
PRIORITY_AGE_S = 10.0
"""Seconds of age that one step of priority is worth."""


@attrs.frozen(order=True)
class Rank:
    """A place in the queue; the smallest goes first."""

    band: int
    key: float
    arrived_at: float


class OrderPolicy(ABC):
    """Decides which waiting call goes next."""

    name: str

    @abstractmethod
    def rank(self, waiting: Waiting, admitted: bool) -> Rank:
        """Returns a waiting call's rank, which must not change while it waits.

        ``admitted`` says that an endpoint holds the program's prefix already.
        """


class FirstComeFirstServed(OrderPolicy):
    """By arrival of the call. A baseline."""

    name = "first-come"

    def rank(self, waiting: Waiting, admitted: bool) -> Rank:
        """See :class:`OrderPolicy`."""
        return Rank(0, 0.0, waiting.arrived_at)


class ProgramAge(OrderPolicy):
    """By the age of the whole program; each step of priority counts as some age.

    An old program's next call goes before a young program's first one, so that
    programs that have begun are finished. Nobody waits for ever: a program that
    begins more than ``9 * PRIORITY_AGE_S`` later ranks behind, whatever its priority.
    """

    name = "program-age"

    def rank(self, waiting: Waiting, admitted: bool) -> Rank:
        """See :class:`OrderPolicy`."""
        head_start = waiting.offer.priority * PRIORITY_AGE_S
        return Rank(0, waiting.program_since - head_start, waiting.arrived_at)


class LeastAttained(OrderPolicy):
    """By priority, then by the service that the program has had so far."""

    name = "least-attained"

    def rank(self, waiting: Waiting, admitted: bool) -> Rank:
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
    """Decides at which endpoint a call goes, or that it should wait."""

    name: str

    @abstractmethod
    def place(
        self, waiting: Waiting, endpoints: Iterable[EndpointView], now: float
    ) -> Placement | None:
        """Returns the endpoint that should take the call now, or None to let it wait."""


def _open(offer: Offer, endpoints: Iterable[EndpointView]) -> list[EndpointView]:
    """Returns the endpoints that may take the call now.

    Endpoints that failed the call are avoided as long as there are others; a call that
    has failed everywhere would else wait until its patience is over.
    """
    usable = [view for view in endpoints if view.standing in USABLE]
    fresh = [view for view in usable if view.name not in offer.avoid]
    return [view for view in fresh or usable if view.has_slot]


class RoundRobin(PlacementPolicy):
    """Each endpoint in turn. A baseline."""

    name = "round-robin"

    def __init__(self, estimates: CellEstimates) -> None:
        """Starts at the first endpoint."""
        self._turn = 0

    def place(
        self, waiting: Waiting, endpoints: Iterable[EndpointView], now: float
    ) -> Placement | None:
        """See :class:`PlacementPolicy`."""
        candidates = _open(waiting.offer, endpoints)
        if not candidates:
            return None
        self._turn += 1
        view = candidates[self._turn % len(candidates)]
        return Placement(view, view.cached_tokens(waiting.offer), Reason("its turn"))


class LeastLoaded(PlacementPolicy):
    """The endpoint with the fewest running calls. A baseline."""

    name = "least-loaded"

    def __init__(self, estimates: CellEstimates) -> None:
        """Needs no estimates."""

    def place(
        self, waiting: Waiting, endpoints: Iterable[EndpointView], now: float
    ) -> Placement | None:
        """See :class:`PlacementPolicy`."""
        candidates = _open(waiting.offer, endpoints)
        if not candidates:
            return None
        view = min(candidates, key=lambda item: (len(item.running_by_grant), item.name))
        reason = Reason("fewest running calls", (Figure("running", len(view.running_by_grant)),))
        return Placement(view, view.cached_tokens(waiting.offer), reason)


class SessionSticky(LeastLoaded):
    """The endpoint that ran the program's last call, else the least loaded. A baseline."""

    name = "session-sticky"

    def __init__(self, estimates: CellEstimates) -> None:
        """Starts with no sessions."""
        super().__init__(estimates)
        self._endpoint_by_program: dict[str, str] = {}

    def place(
        self, waiting: Waiting, endpoints: Iterable[EndpointView], now: float
    ) -> Placement | None:
        """See :class:`PlacementPolicy`."""
        views = list(endpoints)
        program = waiting.offer.program
        home = self._endpoint_by_program.get(program)
        own = next((view for view in views if view.name == home), None)
        if own is not None and own in _open(waiting.offer, views):
            return Placement(own, own.cached_tokens(waiting.offer), Reason("its session is here"))
        placement = super().place(waiting, views, now)
        if placement is not None:
            self._endpoint_by_program[program] = placement.endpoint.name
        return placement


class FinishTime(PlacementPolicy):
    """The endpoint that is expected to finish first, without thrashing its cache.

    The expected finish counts the wait for prompts being read, the reading of what
    isn't cached, the slower tokens of a fuller batch, and what the call pushes out of
    the cache that others will have to read again. A program that holds no prefix yet
    waits while its working set fits nowhere, for at most ``longest_hold_s``: then it
    goes where it does the least harm.
    """

    name = "finish-time"

    def __init__(self, estimates: CellEstimates, longest_hold_s: float = 30.0) -> None:
        """Takes the learned estimates and the bound on waiting for room."""
        self._estimates = estimates
        self._longest_hold_s = longest_hold_s

    def place(
        self, waiting: Waiting, endpoints: Iterable[EndpointView], now: float
    ) -> Placement | None:
        """See :class:`PlacementPolicy`."""
        candidates = _open(waiting.offer, endpoints)
        if not candidates:
            return None
        costs = [(self._cost_s(waiting.offer, view, now), view) for view in candidates]
        overdue = now - waiting.arrived_at >= self._longest_hold_s
        fitting = [pair for pair in costs if overdue or self._fits(waiting.offer, pair[1], now)]
        if not fitting:
            return None
        cost, view = min(fitting, key=lambda pair: (pair[0], pair[1].name))
        return Placement(view, view.cached_tokens(waiting.offer), self._reason(cost, view, waiting))

    def _cost_s(self, offer: Offer, view: EndpointView, now: float) -> float:
        estimates = self._estimates
        uncached = offer.prompt_tokens - view.cached_tokens(offer)
        backlog = max(0.0, view.prefill_until - now)
        batch = len(view.running_by_grant) / max(1, view.limit)
        decode = estimates.answer_tokens.value * estimates.token_s.value * (1 + batch)
        pushed_out = self._pushed_out(offer, view)
        return backlog + estimates.prefill_s(uncached + pushed_out) + decode

    def _pushed_out(self, offer: Offer, view: EndpointView) -> float:
        """Returns the tokens of others that the call would evict."""
        resident = view.resident_by_program.get(offer.program)
        own = 0 if resident is None else resident.tokens
        growth = offer.prompt_tokens + self._estimates.answer_tokens.value - own
        return max(0.0, view.resident_tokens + growth - view.capacity_tokens)

    def _fits(self, offer: Offer, view: EndpointView, now: float) -> bool:
        if offer.program in view.resident_by_program:
            return True
        needed = offer.prompt_tokens + self._estimates.answer_tokens.value
        horizon = now - self._estimates.pause_s.high()
        held = view.active_tokens
        for resident in reversed(view.resident_by_program.values()):
            if resident.last_used < horizon:
                break
            held += 0 if resident.running else resident.tokens
        return held + needed <= view.capacity_tokens

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
    """Returns the order policy of a name that settings have checked."""
    return ORDERS[name]()


def make_placement(name: str, estimates: CellEstimates) -> PlacementPolicy:
    """Returns the placement policy of a name that settings have checked."""
    return PLACEMENTS[name](estimates)  # type: ignore[call-arg]
