"""Figures of a run, and the policies that are compared."""

import bisect
import statistics
from collections import defaultdict

import attrs

from bayhinge._internal.bench.decisions.simulation import (
    LiveProgram,
    RunOutcome,
    RunSettings,
    Simulation,
    Trouble,
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
    """A combination of policies under a name."""

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
        cache_tokens: memory of one engine; the letter leaves it open.
        capacity: the pool's capacity as a share of the letter's rate, measured: the
            highest rate at which every program of a steady run finishes.
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
    """What a run is judged by.

    Attributes:
        p50_s: median program latency.
        p95_s: 95th percentile of program latency.
        p99_s: 99th percentile of program latency.
        finished_per_hour: programs finished, an hour of virtual time.
        finished_share: the part of the programs that finished.
        wasted_tokens: tokens read again although they had been computed before.
        wasted_share: those, as a share of all tokens read.
        refusals: calls refused.
        needless_share: refusals in whose patience a program could have begun, as a
            share of all calls offered.
        worst_account: the slowest account's median slowdown against the median account.
        first_token_p95_s: 95th percentile of the time to the first token, once sent.
        messages_per_call: messages between owners and home a call.
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
    trouble: Trouble | None = None,
) -> RunFigures:
    """Runs one policy on one site and returns its figures."""
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
    settings = RunSettings(cell, speed, site.engines, site.halls, trouble or Trouble())
    outcome = Simulation(settings, plans).run()
    return _figures(site, policy, load, seconds, seed, outcome)


def _figures(
    site: Site, policy: Policy, load: float, seconds: float, seed: int, outcome: RunOutcome
) -> RunFigures:
    spans = sorted(latencies(outcome, WARM_UP_S, seconds))
    measured = [item for item in outcome.programs if item.plan.arrives_at >= WARM_UP_S]
    finished = [item for item in measured if item.finished_at is not None]
    in_time = [
        item for item in outcome.programs if WARM_UP_S <= (item.finished_at or 0.0) <= seconds
    ]
    wasted = sum(engine.wasted_tokens for engine in outcome.engines)
    read = sum(engine.prefilled_tokens for engine in outcome.engines)
    calls = sum(item.turn + item.calls_refused for item in outcome.programs)
    return RunFigures(
        site=site.name,
        policy=policy.name,
        load=load,
        seed=seed,
        p50_s=round(percentile(spans, 50), 2),
        p95_s=round(percentile(spans, 95), 2),
        p99_s=round(percentile(spans, 99), 2),
        finished_per_hour=round(len(in_time) * 3600 / max(1.0, seconds - WARM_UP_S), 1),
        finished_share=round(len(finished) / max(1, len(measured)), 4),
        wasted_tokens=wasted,
        wasted_share=round(wasted / max(1, read), 4),
        refusals=len(outcome.refusals),
        needless_share=round(_needless(outcome) / max(1, calls), 4),
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


def _needless(outcome: RunOutcome) -> int:
    """Counts refusals in whose patience the cell had room with nobody waiting."""
    idle = outcome.idle_moments
    count = 0
    for note in outcome.refusals:
        place = bisect.bisect_left(idle, note.at)
        count += place < len(idle) and idle[place] <= note.at + note.patience_s
    return count


def _worst_account(finished: list[LiveProgram]) -> float:
    """Compares each account's median latency a turn with the median of all accounts."""
    per_turn: dict[str, list[float]] = defaultdict(list)
    for program in finished:
        span = (program.finished_at or 0.0) - program.plan.arrives_at
        per_turn[program.plan.account].append(span / len(program.plan.turns))
    medians = [statistics.median(values) for values in per_turn.values() if len(values) >= 5]
    return max(medians) / statistics.median(medians) if medians else 0.0
