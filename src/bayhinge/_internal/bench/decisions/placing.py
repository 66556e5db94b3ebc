"""Simulates programs, the placement by hall coordinators, and engines, in virtual time.

A hall's coordinator knows the load of its own endpoints at once, and that of other halls from
tables that are exchanged periodically. The result is what callers get.
"""

import functools
import heapq
import itertools
import random
from collections.abc import Callable, Iterator

import attrs

from bayhinge._internal.decisions.endpoint_state import EndpointState
from bayhinge._internal.decisions.endpoint_table import (
    EndpointTable,
    PlacementPreference,
)
from bayhinge._internal.models.endpoint_entries import EndpointEntry, EndpointIncarnation
from bayhinge_standins.engine_model import EngineModel, ModelRequest, ModelSpeed

SERVICE = "llm"

LOAD_EXCHANGE_S = 0.15
"""Period at which hall coordinators exchange load tables."""


@attrs.frozen
class SiteShape:
    """Halls and engines; the default is a site with few slots and little memory."""

    halls: int = 5
    engines_per_hall: int = 6
    slots: int = 6
    speed: ModelSpeed = ModelSpeed(
        step_base_s=0.00463,
        step_per_sequence_s=0.000153,
        prefill_tokens_per_s=37_900.0,
        cache_tokens=71_792,
        max_batch=6,
    )


@attrs.frozen
class ProgramLoad:
    """The programs that callers run.

    Attributes:
        programs_per_s: programs that begin per second, over all halls.
        arrivals_s: seconds in which programs arrive.
        burst: factor on ``programs_per_s`` from ``burst_from_s`` to ``burst_to_s``.
        shared_prefixes: number of prompt prefixes; each is shared by many programs.
        deadline_factor: a program is on time if it takes at most so many times its duration on
            idle engines, plus ``deadline_slack_s``.
    """

    programs_per_s: float
    arrivals_s: float = 30.0
    burst: float = 1.0
    burst_from_s: float = 4.0
    burst_to_s: float = 10.0
    turns: tuple[int, ...] = (2, 3, 4, 5, 8, 11)
    shared_prefixes: int = 6
    shared_tokens: int = 2560
    new_tokens: int = 850
    answer_tokens: int = 35
    think_s: float = 0.4
    deadline_factor: float = 1.6
    deadline_slack_s: float = 0.2
    seed: int = 7


@attrs.define(eq=False)
class SimulatedProgram:
    """The progress of one program."""

    name: str
    hall: str
    shared_prefix: str
    turns: int
    began_s: float
    turn_index: int = 0
    history: int = 0
    endpoint: str = ""
    ended_s: float | None = None


@attrs.define
class PlacementResult:
    """Programs that ended on time, and prompt tokens that engines computed.

    Attributes:
        prefilled_tokens: prompt tokens computed by engines.
        new_prompt_tokens: prompt tokens computed if no history were ever recomputed.
    """

    programs: list[SimulatedProgram]
    on_time: int
    prefilled_tokens: int
    new_prompt_tokens: int

    @property
    def share_on_time(self) -> float:
        """Programs that ended on time, as a share of all."""
        return self.on_time / max(1, len(self.programs))


class PlacementSimulation:
    """One simulation run."""

    def __init__(self, shape: SiteShape, load: ProgramLoad) -> None:
        self._shape, self._load = shape, load
        self._rng = random.Random(load.seed)
        halls = [f"hall-{number}" for number in range(shape.halls)]
        self._hall_by_engine = {
            f"{hall}-{number}": hall for hall in halls for number in range(shape.engines_per_hall)
        }
        self._engine_by_name = {
            name: EngineModel(name, shape.speed) for name in self._hall_by_engine
        }
        self._table_by_hall = {hall: self._new_table(hall) for hall in halls}
        self._published_load: dict[str, int] = {}
        self._program_by_request: dict[str, SimulatedProgram] = {}
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()

    def run(self) -> PlacementResult:
        """Runs until every program has ended."""
        programs = list(self._programs())
        for program in programs:
            self._schedule(program.began_s, functools.partial(self._next_turn, program))
        self._schedule(0.0, self._exchange_load)
        while any(program.ended_s is None for program in programs):
            at, _, callback = heapq.heappop(self._events)
            callback(at)
        engines = self._engine_by_name.values()
        load = self._load
        return PlacementResult(
            programs,
            sum(self._is_on_time(program) for program in programs),
            sum(engine.prefilled_tokens for engine in engines),
            sum(load.new_tokens * program.turns for program in programs),
        )

    # ---- programs ----

    def _programs(self) -> Iterator[SimulatedProgram]:
        load, rng = self._load, self._rng
        halls = list(self._table_by_hall)
        now = 0.0
        for number in itertools.count():
            is_burst = load.burst_from_s <= now < load.burst_to_s
            now += rng.expovariate(load.programs_per_s * (load.burst if is_burst else 1.0))
            if now >= load.arrivals_s:
                return
            shared_prefix = f"part-{min(rng.randrange(load.shared_prefixes) for _ in range(2))}"
            turns = rng.choice(load.turns)
            yield SimulatedProgram(
                f"program-{number}", rng.choice(halls), shared_prefix, turns, now
            )

    def _is_on_time(self, program: SimulatedProgram) -> bool:
        load, speed = self._load, self._shape.speed
        turn_s = load.answer_tokens * speed.step_base_s
        turn_s += load.new_tokens / speed.prefill_tokens_per_s
        idle_s = program.turns * turn_s + (program.turns - 1) * load.think_s
        took_s = (program.ended_s or 0.0) - program.began_s
        return took_s <= load.deadline_factor * idle_s + load.deadline_slack_s

    def _next_turn(self, program: SimulatedProgram, now: float) -> None:
        load = self._load
        preferred_hall = self._hall_by_engine.get(program.endpoint, program.hall)
        preference = PlacementPreference(
            EndpointIncarnation(program.endpoint),
            program.shared_prefix,
            program.history,
            load.shared_tokens,
        )
        state = self._table_by_hall[preferred_hall].choose(SERVICE, preference, (), now)
        assert state is not None
        self._record_start(state, preferred_hall)
        program.endpoint = state.entry.instance
        prompt = max(program.history, load.shared_tokens) + load.new_tokens
        request = ModelRequest(
            f"{program.name}/{program.turn_index}",
            program.name,
            prompt,
            load.answer_tokens,
            program.shared_prefix,
            load.shared_tokens,
        )
        self._program_by_request[request.request_id] = program
        engine = self._engine_by_name[program.endpoint]
        self._finish_requests(engine.submit(request, now))
        self._schedule_advance(engine)

    def _finish_requests(self, requests: list[ModelRequest]) -> None:
        for request in requests:
            program = self._program_by_request.pop(request.request_id)
            program.turn_index += 1
            program.history = request.prompt_tokens + request.answer_tokens
            own_table = self._table_by_hall[self._hall_by_engine[program.endpoint]]
            self._record_end(own_table, program.endpoint)
            if program.turn_index == program.turns:
                program.ended_s = request.finished_at
            else:
                at = request.finished_at + self._load.think_s
                self._schedule(at, functools.partial(self._next_turn, program))

    # ---- engines and the coordinators' tables ----

    def _new_table(self, hall: str) -> EndpointTable:
        table = EndpointTable(hall)
        for name, its_hall in self._hall_by_engine.items():
            table.put(EndpointEntry(name, SERVICE, name, its_hall, self._shape.slots, False))
        return table

    def _record_start(self, state: EndpointState, chooser_hall: str) -> None:
        name = state.entry.instance
        state.running_at_peers += 1
        own = self._table_by_hall[self._hall_by_engine[name]].find(name)
        if self._hall_by_engine[name] != chooser_hall and own is not None:
            own.running_at_peers += 1

    def _record_end(self, table: EndpointTable, name: str) -> None:
        state = table.find(name)
        if state is not None:
            state.running_at_peers -= 1

    def _exchange_load(self, now: float) -> None:
        """Applies to each table the load of other halls as of one period ago."""
        for hall, table in self._table_by_hall.items():
            for state in table.all():
                if state.entry.hall != hall:
                    state.running_at_peers = self._published_load.get(state.entry.instance, 0)
        self._published_load = {
            name: engine.running for name, engine in self._engine_by_name.items()
        }
        self._schedule(now + LOAD_EXCHANGE_S, self._exchange_load)

    def _schedule_advance(self, engine: EngineModel) -> None:
        at = engine.next_event()
        if at is not None:
            self._schedule(at, functools.partial(self._advance, engine))

    def _advance(self, engine: EngineModel, now: float) -> None:
        # Tolerates rounding: a step may end slightly later than computed.
        finished = engine.advance(now + 1e-6)
        self._finish_requests(finished)
        self._schedule_advance(engine)

    def _schedule(self, at: float, callback: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), callback))
