"""Compares ways to choose among endpoints that differ in speed.

``python -m tests.lib.uneven_endpoints`` prints the table of ``docs/design/hard-load-speeds.md``.
"""

import argparse
import itertools
import multiprocessing
from collections.abc import Iterable, Iterator
from statistics import mean, quantiles, stdev

import attrs

from bayhinge._internal.decisions.endpoint_state import EndpointState
from bayhinge._internal.decisions.endpoint_table import PlacementPreference
from tests.lib.uneven_hall import EQUAL, SERVICE, SLOTS, Choice, Day, Hall, Phase, Request

LATE_S = 1.0
"""A request is late if it takes longer than five mean durations."""

SLOW_PHASE = Phase(1, 30.0, 45.0, factor=4.0)
VERY_SLOW_PHASE = Phase(1, 30.0, 45.0, factor=8.0)
FAILING_PHASE = Phase(3, 75.0, 85.0, fails=True)


# ---- ways to choose ----


def _candidates(hall: Hall, tried: tuple[str, ...], now_s: float) -> list[EndpointState]:
    untried = [state for state in hall.table.all() if state.entry.instance not in tried]
    return [state for state in untried if state.ejected_until_s <= now_s] or untried


def requests_over_slots(hall: Hall, tried: tuple[str, ...], now_s: float) -> EndpointState | None:
    """The rule before: fewest requests in flight for each slot."""
    for state in hall.table.all():
        state.relative_duration = 1.0
    return hall.table.choose(SERVICE, PlacementPreference(), tried, now_s)


def two_choices(hall: Hall, tried: tuple[str, ...], now_s: float) -> EndpointState | None:
    """The less loaded of two drawn endpoints."""
    candidates = _candidates(hall, tried, now_s)
    drawn = hall.random.sample(candidates, min(2, len(candidates)))
    return min(drawn, key=lambda state: state.load, default=None)


def weighted_in_flight(hall: Hall, tried: tuple[str, ...], now_s: float) -> EndpointState | None:
    """Fewest requests in flight, weighted by the learned relative duration."""
    return min(
        _candidates(hall, tried, now_s),
        key=lambda state: (state.load * state.relative_duration, state.entry.instance),
        default=None,
    )


def expected_delay_alone(hall: Hall, tried: tuple[str, ...], now_s: float) -> EndpointState | None:
    """Shortest (in flight + 1) x relative duration / slots, also where no slot is free."""
    return min(
        _candidates(hall, tried, now_s),
        key=lambda state: (
            (state.running_at_peers + 1) * state.relative_duration / SLOTS,
            state.entry.instance,
        ),
        default=None,
    )


def expected_delay(hall: Hall, tried: tuple[str, ...], now_s: float) -> EndpointState | None:
    """The rule of the endpoint table: shortest expected delay, with learned speeds."""
    return hall.table.choose(SERVICE, PlacementPreference(), tried, now_s)


def known_speeds(hall: Hall, tried: tuple[str, ...], now_s: float) -> EndpointState | None:
    """The same rule with the true speeds: what learning can reach at best."""
    for state in hall.table.all():
        state.relative_duration = hall.true_ratio(state.entry.instance, now_s)
    return hall.table.choose(SERVICE, PlacementPreference(), tried, now_s)


WAYS: dict[str, Choice] = {
    "requests over slots (before)": requests_over_slots,
    "power of two choices": two_choices,
    "in flight x speed": weighted_in_flight,
    "expected delay alone": expected_delay_alone,
    "expected delay, free slots first (now)": expected_delay,
    "the same with true speeds": known_speeds,
}


# ---- what callers get ----


@attrs.frozen
class Outcome:
    """What callers got in a part of a run."""

    mean_s: float
    p95_s: float
    late: float


def outcome_of(requests: Iterable[Request], from_s: float, to_s: float) -> Outcome:
    """Returns the outcome of the requests that arrived between two times."""
    delays_s = [
        request.ended_s - request.arrived_s
        for request in requests
        if from_s <= request.arrived_s < to_s
    ]
    late = sum(delay_s > LATE_S for delay_s in delays_s) / len(delays_s)
    return Outcome(mean(delays_s), quantiles(delays_s, n=20)[-1], late)


def share_of(hall: Hall, endpoint: str, from_s: float, to_s: float) -> float:
    """Returns the share of the requests sent between two times that an endpoint got."""
    sent = [request for request in hall.requests if from_s <= request.sent_s < to_s]
    return sum(request.endpoint == endpoint for request in sent) / len(sent)


PARTS: dict[str, tuple[Day, float, float]] = {
    "uneven, 60% used": (Day(use=0.6), 10.0, 90.0),
    "uneven, 75% used": (Day(), 10.0, 90.0),
    "uneven, 90% used": (Day(use=0.9), 10.0, 90.0),
    "one slow by 4": (Day(phases=(SLOW_PHASE,)), SLOW_PHASE.from_s, SLOW_PHASE.to_s),
    "one slow by 8": (Day(phases=(VERY_SLOW_PHASE,)), SLOW_PHASE.from_s, SLOW_PHASE.to_s),
    "5 to 20 s after": (Day(phases=(SLOW_PHASE,)), SLOW_PHASE.to_s + 5, SLOW_PHASE.to_s + 20),
    "one fails at once": (Day(phases=(FAILING_PHASE,)), FAILING_PHASE.from_s, FAILING_PHASE.to_s),
    "equal, 60% used": (Day(EQUAL, use=0.6), 10.0, 90.0),
    "equal, 75% used": (Day(EQUAL), 10.0, 90.0),
    "equal, 90% used": (Day(EQUAL, use=0.9), 10.0, 90.0),
    "equal, 75%, 26 hosts": (Day(EQUAL, hosts=26), 10.0, 90.0),
    "uneven, 75%, 26 hosts": (Day(hosts=26), 10.0, 90.0),
    "uneven, 75%, work varies less": (Day(spread=0.3), 10.0, 90.0),
}


def outcomes(part: str, way: str, seeds: Iterable[int]) -> list[Outcome]:
    """Returns the outcomes of one part of a day with several seeds."""
    day, from_s, to_s = PARTS[part]
    return [
        outcome_of(Hall(attrs.evolve(day, seed=seed), WAYS[way]).run().requests, from_s, to_s)
        for seed in seeds
    ]


def _cell(values: list[float], unit: float) -> str:
    return f"{mean(values) * unit:.1f} ± {stdev(values) * unit:.1f}"


def _outcomes(seeds: Iterable[int], processes: int) -> Iterator[tuple[str, str, list[Outcome]]]:
    pairs = list(itertools.product(PARTS, WAYS))
    jobs = [(part, way, seeds) for part, way in pairs]
    with multiprocessing.Pool(processes) as pool:
        for (part, way), results in zip(pairs, pool.starmap(outcomes, jobs, 1), strict=True):
            yield part, way, results


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description="Compares ways to choose among uneven endpoints.")
    parser.add_argument("--seeds", type=int, default=10, help="number of seeds, from 1")
    parser.add_argument("--processes", type=int, default=4, help="worker processes")
    arguments = parser.parse_args()
    print("| part | way | mean, ms | 95th percentile, ms | late, % |")
    print("| --- | --- | --- | --- | --- |")
    seeds = range(1, arguments.seeds + 1)
    for part, way, results in _outcomes(seeds, arguments.processes):
        cells = [
            _cell([result.mean_s for result in results], 1000),
            _cell([result.p95_s for result in results], 1000),
            _cell([result.late for result in results], 100),
        ]
        print(f"| {part} | {way} | {' | '.join(cells)} |")


if __name__ == "__main__":
    main()
