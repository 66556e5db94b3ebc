"""``bayhinge bench decisions``: compares scheduling policies on the same workloads."""

import statistics
from collections.abc import Iterator
from pathlib import Path

import attrs

from bayhinge._internal.bench.decisions.cost import CostSample, measure_cost, slope
from bayhinge._internal.bench.decisions.report import (
    BASELINE,
    BOOKING_SITE,
    NAVDESK_SITE,
    POLICIES_BY_NAME,
    RunFigures,
    Site,
    run_policy,
)
from bayhinge._internal.bench.decisions.simulation import InjectedFaults
from bayhinge_standins.engine_model import ModelSpeed

QUICK_SECONDS = 340.0
QUICK_OVERLOAD_SECONDS = 200.0
FULL_SECONDS = 600.0
HIGH_LOAD = 0.9
OVERLOAD = 1.3
DEADLINE_FACTOR = 3.0
FULL_SEEDS = (1, 2, 3)
FULL_LOADS = (0.5, 0.7, 0.9, 1.1, 1.3)
COST_SIZES = (6, 60, 630)
CACHE_SIZES = (500_000, 700_000, 1_000_000, 1_500_000)
FAULT_SCENARIOS = {
    "half the engines lost at 200 s for 60 s": InjectedFaults(lose_engines_at=200.0),
    "one engine four times slower": InjectedFaults(first_engine_slow_factor=4.0),
}


@attrs.frozen
class Headline:
    """The default policy's figures, with ratios against the baseline."""

    navdesk_p95_ratio: float
    navdesk_finished_share: float
    booking_wasted_ratio: float
    booking_p95_ratio: float
    booking_finished_share: float
    overload_finished_ratio: float
    needless_refusal_share: float
    decision_us: float
    decision_us_slope: float


@attrs.frozen
class Comparison:
    """Figures of two policies on the same programs."""

    baseline: RunFigures
    chosen: RunFigures


def compare(
    site: Site,
    load: float,
    seconds: float,
    seed: int,
    speed: ModelSpeed | None = None,
    faults: InjectedFaults | None = None,
) -> Comparison:
    """Runs the baseline and the default policy."""
    baseline, chosen = (
        run_policy(site, POLICIES_BY_NAME[name], load, seconds, seed, speed, faults)
        for name in (BASELINE, "default")
    )
    return Comparison(baseline, chosen)


def with_deadline(site: Site) -> Site:
    """Returns the site with programs that their agents give up after a deadline."""
    return attrs.evolve(site, shape=attrs.evolve(site.shape, deadline_factor=DEADLINE_FACTOR))


def run_quick(seed: int = 1) -> Headline:
    """Computes the headline from one seed and short runs."""
    return _headline([seed], QUICK_SECONDS, QUICK_OVERLOAD_SECONDS)


def run_headline(seeds: tuple[int, ...] = FULL_SEEDS) -> Headline:
    """Computes the headline as the medians over several seeds."""
    return _headline(list(seeds), FULL_SECONDS, FULL_SECONDS)


def _headline(seeds: list[int], seconds: float, overload_seconds: float) -> Headline:
    navdesk = [compare(NAVDESK_SITE, HIGH_LOAD, seconds, seed) for seed in seeds]
    booking = [compare(BOOKING_SITE, HIGH_LOAD, seconds, seed) for seed in seeds]
    overload = [
        compare(with_deadline(NAVDESK_SITE), OVERLOAD, overload_seconds, seed) for seed in seeds
    ]
    costs = measure_costs()
    return Headline(
        navdesk_p95_ratio=_median(
            _ratio(item.chosen.p95_s, item.baseline.p95_s) for item in navdesk
        ),
        navdesk_finished_share=_median(item.chosen.finished_share for item in navdesk),
        booking_wasted_ratio=_median(
            _ratio(item.chosen.wasted_tokens, item.baseline.wasted_tokens) for item in booking
        ),
        booking_p95_ratio=_median(
            _ratio(item.chosen.p95_s, item.baseline.p95_s) for item in booking
        ),
        booking_finished_share=_median(item.chosen.finished_share for item in booking),
        overload_finished_ratio=_median(
            _ratio(item.chosen.finished_per_hour, item.baseline.finished_per_hour)
            for item in overload
        ),
        needless_refusal_share=_median(item.chosen.needless_share for item in overload),
        decision_us=round(costs[-1].decision_us, 1),
        decision_us_slope=round(slope(costs), 3),
    )


def measure_costs() -> list[CostSample]:
    """Measures the cost of a decision at each of ``COST_SIZES``."""
    return [measure_cost(engines) for engines in COST_SIZES]


def run_table(seeds: tuple[int, ...] = FULL_SEEDS) -> Iterator[RunFigures]:
    """Yields every policy's figures at every load, on both sites."""
    for site in (NAVDESK_SITE, BOOKING_SITE):
        for load in FULL_LOADS:
            for policy in POLICIES_BY_NAME.values():
                for seed in seeds:
                    yield run_policy(site, policy, load, QUICK_SECONDS, seed)


def run_sensitivity(seed: int = 1) -> Iterator[tuple[str, Comparison]]:
    """Yields comparisons at high load with other cache sizes, without a burst, and with faults."""
    for tokens in CACHE_SIZES:
        speed = ModelSpeed(cache_tokens=tokens)
        comparison = compare(NAVDESK_SITE, HIGH_LOAD, QUICK_SECONDS, seed, speed)
        yield f"{tokens} tokens of cache an engine", comparison
    steady = attrs.evolve(
        NAVDESK_SITE, shape=attrs.evolve(NAVDESK_SITE.shape, burst_at=None, burst_programs=0)
    )
    yield "no burst", compare(steady, HIGH_LOAD, QUICK_SECONDS, seed)
    for name, faults in FAULT_SCENARIOS.items():
        yield name, compare(steady, HIGH_LOAD, QUICK_SECONDS, seed, faults=faults)


def plot_loads(figures: list[RunFigures], folder: Path) -> list[Path]:
    """Plots program latency and recomputed tokens over load, one file per site."""
    # Imported here because it takes a second and only this function needs it.
    import matplotlib as mpl

    mpl.use("Agg")
    import matplotlib.pyplot as plt

    folder.mkdir(parents=True, exist_ok=True)
    paths: list[Path] = []
    for site in sorted({item.site for item in figures}):
        figure, (left, right) = plt.subplots(1, 2, figsize=(11, 4.5))
        for policy in POLICIES_BY_NAME:
            own = [item for item in figures if (item.site, item.policy) == (site, policy)]
            loads = sorted({item.load for item in own})
            p95 = [_median(item.p95_s for item in own if item.load == load) for load in loads]
            waste = [
                _median(item.wasted_tokens / 1e6 for item in own if item.load == load)
                for load in loads
            ]
            left.plot(loads, p95, marker="o", label=policy)
            right.plot(loads, waste, marker="o", label=policy)
        left.set(xlabel="load", ylabel="p95 program latency, s", title=site)
        right.set(xlabel="load", ylabel="tokens recomputed, millions", title=site)
        right.legend(fontsize=7)
        figure.tight_layout()
        path = folder / f"decisions-{site}.svg"
        figure.savefig(path)
        plt.close(figure)
        paths.append(path)
    return paths


def _p95_ratio(comparisons: list[Comparison]) -> float:
    return _median(_ratio(item.chosen.p95_s, item.baseline.p95_s) for item in comparisons)


def _ratio(chosen: float, baseline: float) -> float:
    return round(chosen / baseline, 3) if baseline else 0.0


def _median(values: Iterator[float]) -> float:
    return round(statistics.median(values), 4)
