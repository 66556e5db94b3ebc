"""The compared policies and sites, and the figures of a run."""

import bisect
import statistics
from collections import defaultdict

import attrs

from bayhinge._internal.bench.decisions.simulation import (
    InjectedFaults,
    LiveProgram,
    RunOutcome,
    RunSettings,
    Simulation,
    latencies,
)
from bayhinge._internal.bench.decisions.workload import (
    BOOKING,
    NAVDESK,
    WorkloadShape,
    make_programs,
)
from bayhinge._internal.decisions.cell import CellSettings
from bayhinge_standins.engine_model import ModelSpeed

WARM_UP_S = 60.0


@attrs.frozen
class Policy:
    """A named combination of queue order, placement, early refusal and cache release."""

    name: str
    order: str
    placement: str
    early_refusal: bool = True
    releases: bool = True


POLICIES_BY_NAME = {
    policy.name: policy
    for policy in (
        Policy("round-robin", "first-come", "round-robin", False, False),
        Policy("least-loaded", "first-come", "least-loaded", False, False),
        Policy("session-sticky", "first-come", "session-sticky", False, False),
        Policy("sticky+release", "first-come", "session-sticky", False),
        Policy("sticky+age", "program-age", "session-sticky"),
        Policy("finish-time+fcfs", "first-come", "finish-time"),
        Policy("finish-time+attained", "least-attained", "finish-time"),
        Policy("default", "program-age", "finish-time"),
    )
}
BASELINE = "session-sticky"


@attrs.frozen
class Site:
    """A user's pool and workload.

    Attributes:
        cache_tokens: KV cache of one engine, in tokens; an assumption.
        capacity: highest rate at which every program of a steady run finishes, as a share
            of ``REQUESTS_PER_ENGINE_S``.
    """

    name: str
    engines: int
    halls: int
    shape: WorkloadShape
    cache_tokens: int
    capacity: float


NAVDESK_SITE = Site("navdesk", 6, 3, NAVDESK, 700_000, 0.72)
BOOKING_SITE = Site("booking", 5, 4, BOOKING, 600_000, 0.72)


@attrs.frozen
class RunFigures:
    """Results of a run.

    Attributes:
        p50_s: median program latency.
        p95_s: 95th percentile of program latency.
        p99_s: 99th percentile of program latency.
        finished_per_hour: programs finished per hour of virtual time.
        finished_share: share of the programs that finished.
        wasted_tokens: prompt tokens recomputed.
        wasted_share: recomputed tokens as a share of all prompt tokens computed.
        refusals: calls refused.
        needless_share: refusals of calls that could have started within their patience, as a
            share of all calls offered.
        worst_account: median latency a turn of the slowest account, relative to the median
            account.
        first_token_p95_s: 95th percentile of the time from sending to the first token.
        messages_per_call: messages per call between owners and queue dispatchers.
        decision_us: processor time of one decision.
    """

    site: str
    policy: str
    load: float
    seed: int
    p50_s: float
    p95_s: float
    p99_s: float
    finished_per_hour: float
    finished_share: float
    wasted_tokens: int
    wasted_share: float
    refusals: int
    needless_share: float
    worst_account: float
    first_token_p95_s: float
    messages_per_call: float
    decision_us: float


def run_policy(
    site: Site,
    policy: Policy,
    load: float,
    seconds: float,
    seed: int,
    speed: ModelSpeed | None = None,
    faults: InjectedFaults | None = None,
) -> RunFigures:
    """Runs one policy on one site.

    Args:
        site: the pool and workload.
        policy: the policy to run.
        load: request rate as a share of the site's capacity.
        seconds: virtual seconds in which programs arrive.
        seed: seed of the workload.
        speed: speed of the engines; by default that of the site.
        faults: faults to inject; none by default.
    """
    speed = speed or ModelSpeed(cache_tokens=site.cache_tokens)
    rate = load * site.capacity
    plans = make_programs(site.shape, site.engines, rate, seconds, seed)
    cell = CellSettings(
        max_running=speed.max_batch,
        cache_tokens=speed.cache_tokens,
        prefill_tokens_per_s=speed.prefill_tokens_per_s,
        token_s=speed.step_base_s * 2,
        order=policy.order,
        placement=policy.placement,
        early_refusal=policy.early_refusal,
        releases=policy.releases,
    )
    settings = RunSettings(cell, speed, site.engines, site.halls, faults or InjectedFaults())
    outcome = Simulation(settings, plans).run()
    return _figures(site, policy, load, seconds, seed, outcome)


def _figures(
    site: Site, policy: Policy, load: float, seconds: float, seed: int, outcome: RunOutcome
) -> RunFigures:
    latencies_s = sorted(latencies(outcome, WARM_UP_S, seconds))
    measured = [item for item in outcome.programs if item.plan.arrives_at >= WARM_UP_S]
    finished = [item for item in measured if item.finished_at is not None]
    finished_in_window = [
        item for item in outcome.programs if WARM_UP_S <= (item.finished_at or 0.0) <= seconds
    ]
    wasted = sum(engine.recomputed_tokens for engine in outcome.engines)
    prefilled = sum(engine.prefilled_tokens for engine in outcome.engines)
    calls = sum(item.turn + item.calls_refused for item in outcome.programs)
    return RunFigures(
        site=site.name,
        policy=policy.name,
        load=load,
        seed=seed,
        p50_s=round(percentile(latencies_s, 50), 2),
        p95_s=round(percentile(latencies_s, 95), 2),
        p99_s=round(percentile(latencies_s, 99), 2),
        finished_per_hour=round(len(finished_in_window) * 3600 / max(1.0, seconds - WARM_UP_S), 1),
        finished_share=round(len(finished) / max(1, len(measured)), 4),
        wasted_tokens=wasted,
        wasted_share=round(wasted / max(1, prefilled), 4),
        refusals=len(outcome.refusals),
        needless_share=round(_count_needless(outcome) / max(1, calls), 4),
        worst_account=round(_worst_account(finished), 2),
        first_token_p95_s=round(percentile(sorted(outcome.first_tokens_s), 95), 3),
        messages_per_call=round(outcome.messages / max(1, calls), 2),
        decision_us=round(outcome.decision_s / max(1, outcome.decisions) * 1e6, 1),
    )


def percentile(ordered: list[float], percent: float) -> float:
    """Returns a percentile of an ordered list; 0 for an empty one."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


def _count_needless(outcome: RunOutcome) -> int:
    """Counts refusals of calls within whose patience the cell had a free slot and no queue."""
    idle = outcome.idle_times_s
    count = 0
    for refusal in outcome.refusals:
        index = bisect.bisect_left(idle, refusal.at)
        count += index < len(idle) and idle[index] <= refusal.at + refusal.patience_s
    return count


def _worst_account(finished: list[LiveProgram]) -> float:
    """Compares each account's median latency a turn with the median of all accounts."""
    per_turn: dict[str, list[float]] = defaultdict(list)
    for program in finished:
        latency_s = (program.finished_at or 0.0) - program.plan.arrives_at
        per_turn[program.plan.account].append(latency_s / len(program.plan.turns))
    medians = [statistics.median(values) for values in per_turn.values() if len(values) >= 5]
    return max(medians) / statistics.median(medians) if medians else 0.0
