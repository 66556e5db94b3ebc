"""Runs programs through the real scheduler and modelled engines, event by event."""

import functools
import heapq
import itertools
from collections.abc import Callable, Iterable, Iterator
from time import perf_counter

import attrs

from bayhinge._internal.bench.decisions.workload import ProgramPlan
from bayhinge._internal.decisions.cell import CellScheduler, CellSettings
from bayhinge._internal.decisions.offers import (
    Action,
    CallCompletion,
    Grant,
    Offer,
    Outcome,
    Reject,
    Release,
)
from bayhinge._internal.models.endpoints import Endpoint, ListedEndpointState
from bayhinge_standins.engine_model import EngineModel, ModelRequest, ModelSpeed

TICK_S = 0.2
GIVE_UP_AFTER = 4
"""Refusals of one call after which its agent gives the program up."""


@attrs.frozen
class Trouble:
    """What goes wrong in a run.

    Attributes:
        lose_engines_at: when half of the engines die, or None.
        back_after_s: when they come back.
        slow_engine: how many times slower engine 0 is.
    """

    lose_engines_at: float | None = None
    back_after_s: float = 60.0
    slow_engine: float = 1.0


@attrs.frozen
class RunSettings:
    """One run of the bench."""

    cell: CellSettings
    speed: ModelSpeed
    engines: int
    halls: int
    trouble: Trouble = Trouble()
    horizon_s: float = 3600.0


@attrs.define(eq=False)
class LiveProgram:
    """A program under way."""

    plan: ProgramPlan
    turn: int = 0
    history: int = 0
    seen: int = 0
    attained_s: float = 0.0
    refusals: int = 0
    calls_refused: int = 0
    finished_at: float | None = None
    given_up_at: float | None = None

    def prompt_tokens(self) -> int:
        """Returns the tokens of the next call's prompt."""
        return self.history + self.plan.turns[self.turn].new_tokens


@attrs.define
class RefusalNote:
    """When a program's call was refused, and how long its caller would have waited."""

    at: float
    patience_s: float


@attrs.define
class RunOutcome:
    """What a run came to."""

    programs: list[LiveProgram]
    engines: list[EngineModel]
    refusals: list[RefusalNote]
    idle_moments: list[float]
    decisions: int
    decision_s: float
    messages: int
    first_tokens_s: list[float]
    ended_at: float


@attrs.define(order=True)
class _Event:
    at: float
    order: int
    act: Callable[[float], None] = attrs.field(order=False)


class Simulation:
    """One run."""

    def __init__(self, settings: RunSettings, plans: Iterable[ProgramPlan]) -> None:
        """Takes the settings and the programs."""
        self._settings = settings
        self._scheduler = CellScheduler(settings.cell)
        self._engines = {
            f"engine-{number}": EngineModel(f"engine-{number}", settings.speed)
            for number in range(settings.engines)
        }
        self._dead: set[str] = set()
        self._programs = [LiveProgram(plan, history=plan.shared_tokens, seen=0) for plan in plans]
        self._events: list[_Event] = []
        self._order = itertools.count()
        self._grants: dict[str, tuple[LiveProgram, Offer]] = {}
        self._requests: dict[str, tuple[LiveProgram, str]] = {}
        self._engine_version: dict[str, int] = dict.fromkeys(self._engines, 0)
        self._left = len(self._programs)
        self._outcome = RunOutcome(
            self._programs, list(self._engines.values()), [], [], 0, 0.0, 0, [], 0.0
        )

    def run(self) -> RunOutcome:
        """Runs until every program has ended or the horizon is reached."""
        trouble = self._settings.trouble
        self._engines["engine-0"].slow_factor = trouble.slow_engine
        self._publish(0.0)
        for program in self._programs:
            self._at(program.plan.arrives_at, functools.partial(self._call, program))
        if trouble.lose_engines_at is not None:
            self._at(trouble.lose_engines_at, self._lose_half)
        self._at(TICK_S, self._tick)
        now = 0.0
        while self._events and self._left and now < self._settings.horizon_s:
            event = heapq.heappop(self._events)
            now = event.at
            event.act(now)
        self._outcome.ended_at = now
        return self._outcome

    # ---- events ----

    def _at(self, at: float, act: Callable[[float], None]) -> None:
        heapq.heappush(self._events, _Event(at, next(self._order), act))

    def _tick(self, now: float) -> None:
        self._decide(lambda: self._scheduler.tick(now), now)
        if self._scheduler.has_room(now):
            self._outcome.idle_moments.append(now)
        self._at(now + TICK_S, self._tick)

    def _publish(self, now: float) -> None:
        listed = [
            Endpoint(
                name,
                "pool",
                f"hall-{number % self._settings.halls}",
                name,
                ListedEndpointState.LIVE,
            )
            for number, name in enumerate(self._engines)
            if name not in self._dead
        ]
        self._decide(lambda: self._scheduler.set_endpoints(listed, now), now)

    def _call(self, program: LiveProgram, now: float) -> None:
        plan = program.plan
        offer = Offer(
            grant=f"{plan.name}/{program.turn}/{program.refusals}/{next(self._order)}",
            incarnation="owner",
            program=plan.name,
            account=plan.account,
            index=program.turn,
            prompt_tokens=program.prompt_tokens(),
            max_tokens=4096,
            attained_s=program.attained_s,
            priority=plan.priority,
            patience_s=plan.patience_s,
            shared_prefix=plan.shared,
            shared_tokens=plan.shared_tokens,
        )
        self._grants[offer.grant] = (program, offer)
        self._outcome.messages += 1
        self._decide(lambda: self._scheduler.offer(offer, now), now)

    def _decide(self, decide: Callable[[], list[Action]], now: float) -> None:
        began = perf_counter()
        actions = decide()
        self._outcome.decision_s += perf_counter() - began
        self._outcome.decisions += 1
        for action in actions:
            self._carry_out(action, now)

    def _carry_out(self, action: Action, now: float) -> None:
        if isinstance(action, Grant):
            self._start(action, now)
        elif isinstance(action, Reject):
            self._refuse(action, now)
        elif isinstance(action, Release) and action.endpoint in self._engines:
            self._engines[action.endpoint].cache.drop(action.program)

    def _start(self, grant: Grant, now: float) -> None:
        program, offer = self._grants[grant.offer.grant]
        plan = program.plan
        turn = plan.turns[program.turn]
        request = ModelRequest(
            offer.grant,
            plan.name,
            offer.prompt_tokens,
            turn.answer_tokens,
            plan.shared,
            plan.shared_tokens,
            min(program.seen, offer.prompt_tokens),
        )
        self._requests[offer.grant] = (program, grant.endpoint)
        self._outcome.messages += 1
        engine = self._engines[grant.endpoint]
        if grant.endpoint in self._dead:
            self._fail(request, now)
            return
        self._finish_all(engine, engine.submit(request, now), now)
        self._watch(engine)

    def _watch(self, engine: EngineModel) -> None:
        """Plans a look at an engine's next event; an older plan becomes void."""
        at = engine.next_event()
        if at is None:
            return
        self._engine_version[engine.name] += 1
        version = self._engine_version[engine.name]
        self._at(at, lambda now: self._look(engine, version, now))

    def _look(self, engine: EngineModel, version: int, now: float) -> None:
        if self._engine_version[engine.name] != version:
            return
        self._finish_all(engine, engine.advance(now + 1e-9), now)
        self._watch(engine)

    def _finish_all(
        self, engine: EngineModel, finished: Iterable[ModelRequest], now: float
    ) -> None:
        for request in finished:
            self._finish(request, now)

    def _finish(self, request: ModelRequest, now: float) -> None:
        program, _ = self._requests.pop(request.request_id)
        self._grants.pop(request.request_id)
        turn = program.plan.turns[program.turn]
        program.history = request.prompt_tokens + request.answer_tokens
        program.seen = program.history
        program.attained_s += request.finished_at - request.submitted_at
        program.turn += 1
        program.refusals = 0
        self._outcome.messages += 1
        self._outcome.first_tokens_s.append(request.first_token_at - request.submitted_at)
        done = CallCompletion(
            request.request_id,
            Outcome.FINISHED,
            request.prompt_tokens,
            request.cached_tokens,
            request.answer_tokens,
            request.first_token_at - request.submitted_at,
            request.finished_at - request.first_token_at,
        )
        self._decide(lambda: self._scheduler.done(done, now), now)
        if program.turn == len(program.plan.turns):
            program.finished_at = now
            self._end(program, now)
            return
        if self._is_too_late(program, now):
            return
        self._at(now + turn.pause_s, lambda later: self._call(program, later))

    def _is_too_late(self, program: LiveProgram, now: float) -> bool:
        cut_off_s = program.plan.cut_off_s
        if cut_off_s is None or now - program.plan.arrives_at <= cut_off_s:
            return False
        program.given_up_at = now
        self._end(program, now)
        return True

    def _end(self, program: LiveProgram, now: float) -> None:
        self._left -= 1
        self._decide(lambda: self._scheduler.program_ended(program.plan.name, now), now)

    def _refuse(self, reject: Reject, now: float) -> None:
        program, offer = self._grants.pop(reject.offer.grant)
        program.refusals += 1
        program.calls_refused += 1
        self._outcome.refusals.append(RefusalNote(now, offer.patience_s))
        if self._is_too_late(program, now):
            return
        if program.refusals >= GIVE_UP_AFTER:
            program.given_up_at = now
            self._end(program, now)
            return
        self._at(now + reject.retry_after_s, lambda later: self._call(program, later))

    # ---- trouble ----

    def _lose_half(self, now: float) -> None:
        lost = list(self._engines)[: len(self._engines) // 2]
        self._dead.update(lost)
        for name in lost:
            engine = self._engines[name]
            self._finish_all(engine, engine.advance(now), now)
            self._engine_version[name] += 1
            for request in engine.cancel_all():
                self._fail(request, now)
        self._at(now + 2.0, self._publish)
        self._at(now + self._settings.trouble.back_after_s, self._bring_back)

    def _bring_back(self, now: float) -> None:
        self._dead.clear()
        self._publish(now)

    def _fail(self, request: ModelRequest, now: float) -> None:
        """An engine died under a call: its owner tries another one."""
        program, endpoint = self._requests.pop(request.request_id)
        _, offer = self._grants.pop(request.request_id)
        done = CallCompletion(request.request_id, Outcome.FAILED)
        self._decide(lambda: self._scheduler.done(done, now), now)
        again = attrs.evolve(
            offer,
            grant=f"{offer.grant}+",
            avoid=offer.avoid | {endpoint},
        )
        self._grants[again.grant] = (program, again)
        retry_at = now + 0.1
        self._at(
            retry_at, lambda later: self._decide(lambda: self._scheduler.offer(again, later), later)
        )


def latencies(outcome: RunOutcome, after_s: float, before_s: float) -> Iterator[float]:
    """Yields the latency of programs that arrived in a span and have finished."""
    for program in outcome.programs:
        arrived = program.plan.arrives_at
        if after_s <= arrived < before_s and program.finished_at is not None:
            yield program.finished_at - arrived
