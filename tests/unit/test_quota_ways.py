"""Three ways to hold accounts to their limits over 58 hosts: what callers get under the same loads.

Figures (means of eight seeds) stand in the design page on the shifted work; here stands what must
hold: the home's way never passes what is allowed, and ends at least as many programs as the others.
"""

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


def _plays(
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
def test_the_home_s_way_is_within_the_limit_and_ends_the_most_programs(
    rate: float, hot: float
) -> None:
    load = Load(0.62, hot)
    home = _plays(QuotaCoordinator, rate, load)
    assert max(one.peak for one in home) <= 1.0
    for other in (FixedShares, GossipedDemand):
        others = _plays(other, rate, load)
        assert mean(one.completed for one in home) >= mean(one.completed for one in others)


def test_usual_load_of_a_large_account_is_not_refused() -> None:
    assert mean(one.refused for one in _plays(QuotaCoordinator, 125.0, Load(0.62))) < 0.001
