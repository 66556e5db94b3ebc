"""Plays programs against the placement of a site's homes and modelled engines, in virtual time.

Each hall has a home that knows its own endpoints' load at once and those of other halls by
tables that are a moment old, as on a site. What comes out is what callers get.
"""

import functools
import heapq
import itertools
import random
from collections.abc import Callable, Iterator

import attrs

from bayhinge._internal.decisions.endpoint_book import (
    EndpointState,
    EndpointTable,
    PlacementPreference,
)
from bayhinge._internal.models.endpoint_entries import EndpointEntry, EndpointIncarnation
from bayhinge_standins.engine_model import EngineModel, ModelRequest, ModelSpeed

SERVICE = "llm"

TABLE_S = 0.15
"""Age of the tables that homes have of other halls."""


@attrs.frozen
class SiteShape:
    """Halls and engines; by default those of a site of few slots and little memory.

    Attributes:
        speed: of one engine; the default reads 37.9 tokens a millisecond.
    """

    halls: int = 5
    engines_a_hall: int = 6
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
    """What callers ask for.

    Attributes:
        per_s: programs that begin in a second, over all halls.
        burst: how many times as many begin from ``burst_from_s`` to ``burst_to_s``.
        shared_parts: parts that begin the prompts of many programs each.
        patience: a program is in time within so many times its own time on idle engines.
    """

    per_s: float
    length_s: float = 30.0
    burst: float = 1.0
    burst_from_s: float = 4.0
    burst_to_s: float = 10.0
    turns: tuple[int, ...] = (2, 3, 4, 5, 8, 11)
    shared_parts: int = 6
    shared_tokens: int = 2560
    new_tokens: int = 850
    answer_tokens: int = 35
    think_s: float = 0.4
    patience: float = 1.6
    grace_s: float = 0.2
    seed: int = 7


@attrs.define(eq=False)
class PlayedProgram:
    """One program: where it stands, and what became of it."""

    name: str
    hall: str
    shared: str
    turns: int
    began_s: float
    turn: int = 0
    history: int = 0
    endpoint: str = ""
    ended_s: float | None = None


@attrs.define
class PlayOutcome:
    """What callers got, and what engines read for it."""

    programs: list[PlayedProgram]
    in_time: int
    tokens_read: int
    tokens_new: int

    @property
    def share_in_time(self) -> float:
        """Programs that ended in time, of all that began."""
        return self.in_time / max(1, len(self.programs))


class PlacingPlay:
    """One play."""

    def __init__(self, shape: SiteShape, load: ProgramLoad) -> None:
        """Sets the site up."""
        self._shape, self._load = shape, load
        self._random = random.Random(load.seed)
        halls = [f"hall-{number}" for number in range(shape.halls)]
        self._hall_by_engine = {
            f"{hall}-{number}": hall for hall in halls for number in range(shape.engines_a_hall)
        }
        self._engine_by_name = {
            name: EngineModel(name, shape.speed) for name in self._hall_by_engine
        }
        self._book_by_hall = {hall: self._new_book(hall) for hall in halls}
        self._table: dict[str, int] = {}
        self._program_by_request: dict[str, PlayedProgram] = {}
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()

    def run(self) -> PlayOutcome:
        """Plays until every program has ended."""
        programs = list(self._programs())
        for program in programs:
            self._at(program.began_s, functools.partial(self._next_turn, program))
        self._at(0.0, self._exchange_tables)
        while any(program.ended_s is None for program in programs):
            at, _, act = heapq.heappop(self._events)
            act(at)
        engines = self._engine_by_name.values()
        load = self._load
        return PlayOutcome(
            programs,
            sum(self._is_in_time(program) for program in programs),
            sum(engine.prefilled_tokens for engine in engines),
            sum(load.new_tokens * program.turns for program in programs),
        )

    # ---- programs ----

    def _programs(self) -> Iterator[PlayedProgram]:
        load, draw = self._load, self._random
        halls = list(self._book_by_hall)
        now = 0.0
        for number in itertools.count():
            is_burst = load.burst_from_s <= now < load.burst_to_s
            now += draw.expovariate(load.per_s * (load.burst if is_burst else 1.0))
            if now >= load.length_s:
                return
            shared = f"part-{min(draw.randrange(load.shared_parts) for _ in range(2))}"
            turns = draw.choice(load.turns)
            yield PlayedProgram(f"program-{number}", draw.choice(halls), shared, turns, now)

    def _is_in_time(self, program: PlayedProgram) -> bool:
        load, speed = self._load, self._shape.speed
        turn_s = load.answer_tokens * speed.step_base_s
        turn_s += load.new_tokens / speed.prefill_tokens_per_s
        idle_s = program.turns * turn_s + (program.turns - 1) * load.think_s
        took_s = (program.ended_s or 0.0) - program.began_s
        return took_s <= load.patience * idle_s + load.grace_s

    def _next_turn(self, program: PlayedProgram, now: float) -> None:
        load = self._load
        wished_hall = self._hall_by_engine.get(program.endpoint, program.hall)
        wish = PlacementPreference(
            EndpointIncarnation(program.endpoint),
            program.shared,
            program.history,
            load.shared_tokens,
        )
        belief = self._book_by_hall[wished_hall].choose(SERVICE, wish, (), now)
        assert belief is not None
        self._count(belief, wished_hall)
        program.endpoint = belief.entry.instance
        prompt = max(program.history, load.shared_tokens) + load.new_tokens
        request = ModelRequest(
            f"{program.name}/{program.turn}",
            program.name,
            prompt,
            load.answer_tokens,
            program.shared,
            load.shared_tokens,
        )
        self._program_by_request[request.request_id] = program
        engine = self._engine_by_name[program.endpoint]
        self._end(engine.submit(request, now))
        self._wake(engine)

    def _end(self, requests: list[ModelRequest]) -> None:
        for request in requests:
            program = self._program_by_request.pop(request.request_id)
            program.turn += 1
            program.history = request.prompt_tokens + request.answer_tokens
            own_book = self._book_by_hall[self._hall_by_engine[program.endpoint]]
            self._count_ended(own_book, program.endpoint)
            if program.turn == program.turns:
                program.ended_s = request.finished_at
            else:
                at = request.finished_at + self._load.think_s
                self._at(at, functools.partial(self._next_turn, program))

    # ---- engines and what homes know of them ----

    def _new_book(self, hall: str) -> EndpointTable:
        book = EndpointTable(hall)
        for name, its_hall in self._hall_by_engine.items():
            book.put(EndpointEntry(name, SERVICE, name, its_hall, self._shape.slots, False))
        return book

    def _count(self, belief: EndpointState, chosen_by: str) -> None:
        name = belief.entry.instance
        belief.running_at_peers += 1
        own = self._book_by_hall[self._hall_by_engine[name]].find(name)
        if self._hall_by_engine[name] != chosen_by and own is not None:
            own.running_at_peers += 1

    def _count_ended(self, book: EndpointTable, name: str) -> None:
        belief = book.find(name)
        if belief is not None:
            belief.running_at_peers -= 1

    def _exchange_tables(self, now: float) -> None:
        """Homes take in what the others said one period ago."""
        for hall, book in self._book_by_hall.items():
            for belief in book.all():
                if belief.entry.hall != hall:
                    belief.running_at_peers = self._table.get(belief.entry.instance, 0)
        self._table = {name: engine.running for name, engine in self._engine_by_name.items()}
        self._at(now + TABLE_S, self._exchange_tables)

    def _wake(self, engine: EngineModel) -> None:
        at = engine.next_event()
        if at is not None:
            self._at(at, functools.partial(self._advance, engine))

    def _advance(self, engine: EngineModel, now: float) -> None:
        # One step may take a rounding error longer than its end was reckoned.
        finished = engine.advance(now + 1e-6)
        self._end(finished)
        self._wake(engine)

    def _at(self, at: float, act: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), act))
