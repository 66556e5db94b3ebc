"""What a decision costs, by the number of engines and live programs."""

import math
from time import perf_counter

import attrs

from bayhinge._internal.decisions.cell import CellScheduler, CellSettings
from bayhinge._internal.decisions.cells import cell_count, cell_of
from bayhinge._internal.decisions.offers import CallCompletion, Offer, Outcome
from bayhinge._internal.models.endpoints import Endpoint, ListedEndpointState

PROGRAMS_PER_ENGINE = 60
"""38,000 programs on 630 engines."""
RUNNING_SHARE = 0.5


@attrs.frozen
class CostSample:
    """The processor time of one decision at a size."""

    engines: int
    programs: int
    decision_us: float


def measure_cost(engines: int, rounds: int = 3000) -> CostSample:
    """Measures offers and ends of calls over all cells of a pool."""
    pool = _Pool(engines)
    programs = engines * PROGRAMS_PER_ENGINE
    for number in range(programs):
        pool.call(number, turn=0)
        if number % 2:
            pool.end(number)
    began = perf_counter()
    for step in range(rounds):
        number = (step * 7919) % programs
        pool.end(number)
        pool.call(number, turn=1 + step // programs)
    seconds = perf_counter() - began
    return CostSample(engines, programs, seconds / (2 * rounds) * 1e6)


def slope(samples: list[CostSample]) -> float:
    """Returns the exponent with which cost grows with size; 1 would be linear."""
    first, last = samples[0], samples[-1]
    growth = last.decision_us / first.decision_us
    return math.log(growth) / math.log(last.engines / first.engines)


class _Pool:
    """Every cell of a pool, as their homes hold them."""

    def __init__(self, engines: int) -> None:
        listed = [
            Endpoint(f"engine-{number}", "pool", "hall", f"e{number}", ListedEndpointState.LIVE)
            for number in range(engines)
        ]
        self._count = cell_count(engines)
        settings = CellSettings(cache_tokens=1_500_000)
        self._now = 0.0
        by_cell: dict[str, list[Endpoint]] = {}
        for endpoint in listed:
            by_cell.setdefault(cell_of("pool", endpoint.name, self._count), []).append(endpoint)
        self._schedulers: dict[str, CellScheduler] = {}
        for cell, endpoints in by_cell.items():
            self._schedulers[cell] = CellScheduler(settings)
            self._schedulers[cell].set_endpoints(endpoints, 0.0)
        self._cells = sorted(by_cell)
        self._open: dict[int, str] = {}

    def call(self, number: int, turn: int) -> None:
        self._now += 1e-4
        grant = f"{number}/{turn}"
        offer = Offer(
            grant=grant,
            incarnation="owner",
            program=f"p{number}",
            account=f"a{number % 100}",
            index=turn,
            prompt_tokens=8000 + 500 * turn,
            max_tokens=1024,
            shared_prefix=f"t{number % 4}",
            shared_tokens=3000,
        )
        self._open[number] = grant
        self._scheduler(number).offer(offer, self._now)

    def end(self, number: int) -> None:
        grant = self._open.pop(number, None)
        if grant is not None:
            self._now += 1e-4
            done = CallCompletion(grant, Outcome.FINISHED, 8000, 7000, 300, 0.2, 4.0)
            self._scheduler(number).done(done, self._now)

    def _scheduler(self, number: int) -> CellScheduler:
        cell = cell_of("pool", f"p{number}", self._count)
        return self._schedulers.get(cell) or self._schedulers[self._cells[0]]
