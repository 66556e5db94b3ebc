"""Guards against a quota coordinator that exceeds limits or completes fewer programs."""

from statistics import mean

import pytest

from bayhinge._internal.bench.decisions.quota_ways import (
    FixedShares,
    GossipedDemand,
    Load,
    Outcome,
    QuotaCoordinator,
    QuotaStrategy,
    simulate,
)
from bayhinge._internal.decisions.quota_bucket import QuotaMargin
from bayhinge._internal.models.account_keys import Quota

MARGIN = QuotaMargin(window_s=5.0, overage=0.1, slack=20.0)
HOSTS = 58
SEEDS = range(1, 9)


def _simulate(
    way: type[FixedShares | QuotaCoordinator | GossipedDemand], rate: float, load: Load
) -> list[Outcome]:
    quota = Quota(rate, rate)
    ways: list[QuotaStrategy] = [way(quota, MARGIN, HOSTS) for _ in SEEDS]
    return [
        simulate(one, quota, MARGIN, load, HOSTS, seed)
        for one, seed in zip(ways, SEEDS, strict=True)
    ]


@pytest.mark.parametrize("hot", [1.0, 4.4, 7.5])
@pytest.mark.parametrize("rate", [5.0, 23.0, 125.0])
def test_the_coordinator_keeps_the_limit_and_completes_the_most_programs(
    rate: float, hot: float
) -> None:
    load = Load(0.62, hot)
    coordinator = _simulate(QuotaCoordinator, rate, load)
    assert max(one.peak for one in coordinator) <= 1.0
    for other in (FixedShares, GossipedDemand):
        others = _simulate(other, rate, load)
        assert mean(one.completed for one in coordinator) >= mean(one.completed for one in others)


def test_usual_load_of_a_large_account_is_not_refused() -> None:
    assert mean(one.refused for one in _simulate(QuotaCoordinator, 125.0, Load(0.62))) < 0.001
