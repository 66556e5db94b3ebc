"""The scheduler of a cell: one queue for a few endpoints of one pool.

A cell is the part of a pool whose calls one host queues. Pure code: every method takes the
current time, updates the scheduler, and returns actions for the host to carry out.
"""

import heapq
from collections.abc import Iterable, Iterator

import attrs
from sortedcontainers import SortedKeyList

from bayhinge._internal.decisions.endpoint_view import (
    EJECT_AFTER_FAILURES,
    FIRST_EJECTION_S,
    MAX_EJECTION_S,
    EndpointView,
    Standing,
)
from bayhinge._internal.decisions.estimates import AdmissionRate, RetryBudget, initial_estimates
from bayhinge._internal.decisions.offers import (
    Action,
    CallCompletion,
    Grant,
    Offer,
    Outcome,
    Reason,
    Reject,
    Release,
    Transition,
    Waiting,
)
from bayhinge._internal.decisions.policies import (
    OrderPolicy,
    Placement,
    make_order,
    make_placement,
)
from bayhinge._internal.models.endpoints import Endpoint, EndpointLoad, ListedEndpointState
from bayhinge._internal.models.refusals import Figure, RefusalCode

SCAN_LIMIT = 8
"""Queued calls examined per round; bounds the cost of a decision."""
PROGRAM_IDLE_TIMEOUT_S = 600.0
"""A program's state is dropped this long after its last event; it only improves estimates."""
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 15.0
RETRY_AFTER_FAILURES_S = 3.0
LIMIT_INCREASE = 0.25
LIMIT_DECREASE_FACTOR = 0.97
MIN_LIMIT = 2.0
RESERVE_AFTER_S = 10.0
"""A call that has waited this long for memory stops new programs from being admitted."""
MIN_PREFILL_SAMPLE_TOKENS = 1000
"""The time to first token of a shorter prompt reflects the batch rather than the prefill rate."""


@attrs.frozen
class CellSettings:
    """The settings of a pool that the scheduler uses."""

    max_running: int = 96
    cache_tokens: int = 1_500_000
    prefill_tokens_per_s: float = 20_000.0
    token_s: float = 0.02
    order: str = "program-age"
    placement: str = "finish-time"
    early_refusal: bool = True
    releases: bool = True
    recomputed_share: float = 0.05
    token_target_s: float = 0.048


@attrs.define
class _ProgramState:
    since: float
    last_call_end: float | None = None
    tokens: int = 0
    last_seen: float = 0.0


@attrs.define(eq=False)
class _QueueEntry:
    # A plain tuple, as comparing attrs instances is much slower.
    key: tuple[int, float, float, str]
    waiting: Waiting


def _queue_key(queued: _QueueEntry) -> tuple[int, float, float, str]:
    return queued.key


class CellScheduler:
    """Admits, orders and places the calls of one cell."""

    def __init__(self, settings: CellSettings) -> None:
        self._settings = settings
        self.estimates = initial_estimates(
            settings.prefill_tokens_per_s, settings.token_s, settings.recomputed_share
        )
        self.order: OrderPolicy = make_order(settings.order)
        self.placement = make_placement(settings.placement, self.estimates)
        self.endpoints_by_name: dict[str, EndpointView] = {}
        self._queue: SortedKeyList[_QueueEntry] = SortedKeyList(key=_queue_key)
        self._queued_by_grant: dict[str, _QueueEntry] = {}
        self._endpoint_by_grant: dict[str, str] = {}
        self._new_programs_waiting = 0
        self._retries = RetryBudget()
        self._admission = AdmissionRate()
        self._deadlines: list[tuple[float, str]] = []
        self._programs: dict[str, _ProgramState] = {}

    # ---- events ----

    def set_endpoints(self, listed: Iterable[Endpoint], now: float) -> list[Action]:
        """Applies the platform's endpoint list; an endpoint that is no longer listed is leaving."""
        return list(self._set_endpoints(listed)) + self._dispatch(now)

    def _set_endpoints(self, listed: Iterable[Endpoint]) -> Iterator[Action]:
        seen: set[str] = set()
        for endpoint in listed:
            seen.add(endpoint.name)
            view = self.endpoints_by_name.get(endpoint.name)
            if view is None or view.address != endpoint.address:
                view = self._new_view(endpoint)
                self.endpoints_by_name[endpoint.name] = view
            leaving = endpoint.state is ListedEndpointState.LEAVING
            if leaving and view.standing is not Standing.LEAVING:
                yield self._mark_leaving(view, "the platform lists it as leaving")
            elif not leaving and view.standing is Standing.LEAVING:
                view.standing = Standing.LIVE
                yield Transition(view.name, "live", Reason("the platform lists it as live"))
        for name in sorted(self.endpoints_by_name.keys() - seen):
            view = self.endpoints_by_name[name]
            if view.standing is not Standing.LEAVING:
                yield self._mark_leaving(view, "the platform no longer lists it")
            if not view.running_by_grant:
                del self.endpoints_by_name[name]

    def _new_view(self, endpoint: Endpoint) -> EndpointView:
        settings = self._settings
        return EndpointView(
            endpoint.name,
            endpoint.hall,
            endpoint.address,
            float(settings.max_running),
            settings.cache_tokens,
        )

    def apply_load_report(self, endpoint: str, load: EndpointLoad, now: float) -> list[Action]:
        """Applies an engine's load report; only the capacity is used, as the rest lags."""
        view = self.endpoints_by_name.get(endpoint)
        if view is not None and load.cache_capacity_tokens > 0:
            view.capacity_tokens = load.cache_capacity_tokens
        return self._dispatch(now)

    def offer(self, offer: Offer, now: float) -> list[Action]:
        """Handles an offered call: grants it, queues it, or rejects it at once."""
        program = self._programs.setdefault(offer.program, _ProgramState(now))
        program.last_seen = now
        if offer.index == 0:
            self.estimates.beginning_tokens.add(offer.prompt_tokens)
        if program.last_call_end is not None:
            self.estimates.pause_s.add(now - program.last_call_end)
            program.last_call_end = None
        refused = self._check_retry_budget(offer) or self._refuse_early(offer, now)
        if refused is not None:
            return [refused]
        waiting = Waiting(offer, now, program.since, now + offer.patience_s)
        rank = self.order.rank(waiting)
        queued = _QueueEntry((rank.band, rank.key, rank.arrived_at, offer.grant), waiting)
        self._queue.add(queued)
        self._queued_by_grant[offer.grant] = queued
        self._new_programs_waiting += offer.index == 0
        heapq.heappush(self._deadlines, (waiting.deadline, offer.grant))
        return self._dispatch(now)

    def done(self, done: CallCompletion, now: float) -> list[Action]:
        """Handles the end of a granted call, or the withdrawal of a queued one."""
        queued = self._queued_by_grant.pop(done.grant, None)
        if queued is not None:
            self._queue.remove(queued)
            self._new_programs_waiting -= queued.waiting.offer.index == 0
            return self._dispatch(now)
        name = self._endpoint_by_grant.pop(done.grant, None)
        view = self.endpoints_by_name.get(name or "")
        if view is None:
            return []
        call = view.finish(done.grant, done.prompt_tokens + done.completion_tokens, now)
        actions: list[Action] = []
        if call is not None:
            program = self._programs.get(call.offer.program)
            if program is not None:
                program.last_call_end = program.last_seen = now
                self._record_recomputation(program, done)
            self._update_estimates(done, now - call.started_at, len(view.running_by_grant) + 1)
            self._adapt_limit(view, done)
            actions.extend(self._update_health(view, done, now))
        return actions + self._dispatch(now)

    def program_ended(self, program: str, now: float) -> list[Action]:
        """Releases the prefixes that endpoints hold for a program."""
        self._programs.pop(program, None)
        actions: list[Action] = [
            Release(program, view.name, Reason("the program has ended"))
            for view in self.endpoints_by_name.values()
            if view.drop(program) and self._settings.releases
        ]
        return actions + self._dispatch(now)

    def owner_died(self, incarnation: str, now: float) -> list[Action]:
        """Frees the slots and withdraws the queued calls of a dead owner."""
        granted = [
            grant
            for view in self.endpoints_by_name.values()
            for grant, call in view.running_by_grant.items()
            if call.offer.incarnation == incarnation
        ]
        waiting = [
            grant
            for grant, queued in self._queued_by_grant.items()
            if queued.waiting.offer.incarnation == incarnation
        ]
        actions: list[Action] = []
        for grant in [*granted, *waiting]:
            actions.extend(self.done(CallCompletion(grant, Outcome.CANCELLED), now))
        return actions

    def tick(self, now: float) -> list[Action]:
        """Rejects calls past their deadline, ends ejections, and drops idle programs."""
        actions = list(self._expire(now))
        for view in self.endpoints_by_name.values():
            if view.standing is Standing.EJECTED and now >= view.ejected_until:
                view.standing = Standing.PROBING
                actions.append(
                    Transition(
                        view.name, "probing", Reason("its ejection has ended; one call probes it")
                    )
                )
        engines = len(self.endpoints_by_name)
        self.estimates.hold.adjust(now, engines, calls_wait=bool(self._queue))
        horizon = now - PROGRAM_IDLE_TIMEOUT_S
        for program in [name for name, view in self._programs.items() if view.last_seen < horizon]:
            del self._programs[program]
        return actions + self._dispatch(now)

    # ---- queries ----

    @property
    def queue_length(self) -> int:
        """Number of queued calls."""
        return len(self._queue)

    def has_room(self, now: float) -> bool:
        """Whether the queue is empty and a new program could start at once."""
        return not self._queue and self.placement.has_room(self.endpoints_by_name.values(), now)

    def predicted_wait_s(self, offer: Offer, now: float) -> float:
        """Predicts the queueing time of a call that arrives now.

        A new program waits until the new programs ahead of it have been admitted; running
        programs go first, and wait only for a free slot.
        """
        if offer.index == 0 and self._new_programs_waiting:
            return self._admission.wait_s(self._new_programs_waiting, now)
        return self._slot_wait_s()

    def _slot_wait_s(self) -> float:
        live = [view for view in self.endpoints_by_name.values() if view.standing is Standing.LIVE]
        slots = sum(view.limit for view in live)
        free = sum(max(0, view.limit - len(view.running_by_grant)) for view in live)
        if not slots:
            return 0.0
        if free and len(self._queue) < free:
            return 0.0
        ahead = len(self._queue) + 1
        return ahead * self.estimates.call_s.value / slots

    # ---- decisions ----

    def _check_retry_budget(self, offer: Offer) -> Reject | None:
        """Credits a first attempt to the retry budget; rejects a retry that exceeds it.

        A call with ``avoid`` is a retry.
        """
        if not offer.avoid:
            self._retries.record_first_attempt()
            return None
        if self._retries.try_spend():
            return None
        figures = (Figure("fresh_calls_per_retry", self._retries.first_attempts_per_retry),)
        reason = Reason("endpoints are failing, and the retry budget is used up", figures)
        return Reject(offer, RefusalCode.ENDPOINT_FAILED, reason, RETRY_AFTER_FAILURES_S)

    def _refuse_early(self, offer: Offer, now: float) -> Reject | None:
        views = self.endpoints_by_name.values()
        if all(view.standing is Standing.LEAVING for view in views):
            reason = Reason("no endpoint of the pool is in service")
            return Reject(offer, RefusalCode.NO_ENDPOINT, reason, MIN_RETRY_AFTER_S * 4)
        predicted = self.predicted_wait_s(offer, now)
        if predicted <= offer.patience_s or not self._settings.early_refusal:
            return None
        figures = (
            Figure("predicted_wait_s", round(predicted, 3)),
            Figure("patience_s", offer.patience_s),
            Figure("queued", len(self._queue)),
        )
        reason = Reason("the predicted wait is longer than the caller's patience", figures)
        retry = max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, predicted - offer.patience_s))
        return Reject(offer, RefusalCode.PATIENCE_EXCEEDED, reason, retry)

    def _expire(self, now: float) -> Iterator[Action]:
        while self._deadlines and self._deadlines[0][0] <= now:
            _, grant = heapq.heappop(self._deadlines)
            queued = self._queued_by_grant.get(grant)
            if queued is None:
                continue  # granted or withdrawn before its deadline
            self._unqueue(queued)
            waiting = queued.waiting
            figures = (
                Figure("waited_s", round(now - waiting.arrived_at, 3)),
                Figure("patience_s", waiting.offer.patience_s),
                Figure("queued", len(self._queue)),
            )
            reason = Reason("no endpoint had room within the caller's patience", figures)
            retry = max(MIN_RETRY_AFTER_S, self.predicted_wait_s(waiting.offer, now))
            yield Reject(waiting.offer, RefusalCode.PATIENCE_EXCEEDED, reason, retry)

    def _dispatch(self, now: float) -> list[Action]:
        """Grants the calls that can start, in queue order."""
        actions: list[Action] = []
        while (found := self._find_startable(now)) is not None:
            queued, placement = found
            self._unqueue(queued)
            if queued.waiting.offer.index == 0:
                self._admission.record(now, others_wait=self._new_programs_waiting > 0)
            actions.append(self._grant(queued.waiting, placement, now))
        return actions

    def _find_startable(self, now: float) -> tuple[_QueueEntry, Placement] | None:
        views = list(self.endpoints_by_name.values())
        if not self._queue or not self.placement.begin_round(views, now):
            return None
        is_reserved = False
        for queued in self._queue.islice(0, SCAN_LIMIT):
            waiting = queued.waiting
            if is_reserved and waiting.offer.index == 0:
                continue
            placement = self.placement.place(waiting, views, now)
            if placement is not None:
                return queued, placement
            # Prevents starvation of large programs: freed memory is reserved for them, while
            # running programs go on.
            is_reserved = is_reserved or now - waiting.arrived_at >= RESERVE_AFTER_S
        return None

    def _grant(self, waiting: Waiting, placement: Placement, now: float) -> Grant:
        offer, view = waiting.offer, placement.endpoint
        uncached = offer.prompt_tokens - placement.cached_tokens
        view.start(offer, now, self.estimates.prefill_s(uncached))
        self._endpoint_by_grant[offer.grant] = view.name
        return Grant(offer, view.name, now - waiting.arrived_at, placement.reason)

    def _unqueue(self, queued: _QueueEntry) -> None:
        self._queue.remove(queued)
        self._new_programs_waiting -= queued.waiting.offer.index == 0
        del self._queued_by_grant[queued.waiting.offer.grant]

    def _adapt_limit(self, view: EndpointView, done: CallCompletion) -> None:
        """Adapts the concurrency limit to keep the time per token below the target.

        Additive increase, multiplicative decrease. The limit grows only while it is reached,
        as other samples do not show that more calls would be fast enough.
        """
        if done.outcome is not Outcome.FINISHED or done.completion_tokens <= 1:
            return
        settings = self._settings
        if done.decode_s / done.completion_tokens > settings.token_target_s:
            view.exact_limit = max(MIN_LIMIT, view.exact_limit * LIMIT_DECREASE_FACTOR)
        elif len(view.running_by_grant) + 1 >= view.limit:
            view.exact_limit = min(float(settings.max_running), view.exact_limit + LIMIT_INCREASE)

    def _record_recomputation(self, program: _ProgramState, done: CallCompletion) -> None:
        if done.outcome is not Outcome.FINISHED:
            return
        recomputed_tokens = min(program.tokens, done.prompt_tokens) - done.cached_tokens
        self.estimates.hold.record(self.estimates.prefill_s(max(0, recomputed_tokens)))
        program.tokens = done.prompt_tokens + done.completion_tokens

    def _update_estimates(self, done: CallCompletion, seconds: float, batch: int) -> None:
        if done.outcome is not Outcome.FINISHED:
            return
        self.estimates.call_s.add(seconds)
        self.estimates.answer_tokens.add(done.completion_tokens)
        if done.completion_tokens > 1 and done.decode_s > 0:
            self.estimates.learn_token(batch, done.decode_s / done.completion_tokens)
        uncached = done.prompt_tokens - done.cached_tokens
        if uncached >= MIN_PREFILL_SAMPLE_TOKENS and done.first_token_s > 0:
            self.estimates.learn_prefill(uncached, done.first_token_s)

    def _update_health(
        self, view: EndpointView, done: CallCompletion, now: float
    ) -> Iterator[Action]:
        """Ejects an endpoint after consecutive failures, and readmits it after a success."""
        if done.outcome is Outcome.DRAINING and view.standing is not Standing.LEAVING:
            yield self._mark_leaving(view, "it reported that it is draining")
        if done.outcome is Outcome.FINISHED:
            view.failures = 0
            if view.standing is Standing.PROBING:
                view.standing = Standing.LIVE
                view.ejections = 0
                yield Transition(view.name, "live", Reason("its probe succeeded"))
        if done.outcome in {Outcome.FAILED, Outcome.NOT_SENT}:
            view.failures += 1
            live = view.standing is Standing.LIVE
            probing = view.standing is Standing.PROBING
            if probing or (live and view.failures >= EJECT_AFTER_FAILURES):
                yield self._eject(view, now)

    def _eject(self, view: EndpointView, now: float) -> Transition:
        seconds = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**view.ejections)
        view.ejections += 1
        view.standing = Standing.EJECTED
        view.ejected_until = now + seconds
        view.forget_cached()
        figures = (Figure("failures", view.failures), Figure("ejected_s", seconds))
        return Transition(view.name, "ejected", Reason("its calls failed in a row", figures))

    def _mark_leaving(self, view: EndpointView, why: str) -> Transition:
        view.standing = Standing.LEAVING
        return Transition(view.name, "leaving", Reason(why))
