"""Guards against rules of the queue for places that together serve the wrong requests."""

from bisect import bisect_left
from statistics import mean

import pytest

from bayhinge._internal.decisions import place_queue, returning_callers
from bayhinge._internal.decisions.place_queue import PlaceQueue
from tests.lib.place_play import Arrival, Load, Play
from tests.lib.place_ways import (
    FAIR_SHARES,
    MIXED,
    WITH_ERROR,
    needless_refusals,
    of_urgency,
    others_in_a_storm,
    play,
    share_in_time,
)

SEEDS = (1, 2, 3)
FEW_LESS_URGENT = Load(1.3, shares=((0, 0.97), (9, 0.03)))
PATIENT = Load(1.3, shares=((0, 0.98), (9, 0.02)), patience_s=(200.0, 300.0), until_s=60.0)
REFUSALS = ("none", WITH_ERROR)


def _mean_wait_s(arrivals: list[Arrival]) -> float:
    return mean(
        (one.request.deadline_s if one.granted_s is None else one.granted_s) - one.request.arrived_s
        for one in arrivals
    )


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("refusal", REFUSALS)
@pytest.mark.parametrize("load", [MIXED, FEW_LESS_URGENT])
def test_a_less_urgent_class_is_never_served_better(load: Load, refusal: str, seed: int) -> None:
    arrivals = play(load, FAIR_SHARES, refusal, seed)
    classes = [of_urgency(arrivals, urgency) for urgency, _ in load.shares]
    in_time = [share_in_time(one) for one in classes]
    waits_s = [_mean_wait_s(one) for one in classes]
    assert in_time == sorted(in_time, reverse=True)
    assert waits_s == sorted(waits_s)


def _grants_beyond_the_bound(seed: int) -> int:
    """Returns by how many grants the least urgent requests waited longer than allowed.

    With ``older`` requests waiting, one gets a place after at most ``(older + 1) * 50`` grants.
    """
    arrivals = Play(PATIENT, PlaceQueue(), None).run(seed)
    grants_s = sorted(one.granted_s for one in arrivals if one.granted_s is not None)
    assert len(grants_s) == len(arrivals), "a patient request got no place"
    excess = []
    for one in of_urgency(arrivals, 9):
        since_s = one.request.arrived_s
        older = sum(
            other.request.arrived_s < since_s <= (other.granted_s or 0.0) for other in arrivals
        )
        grants = bisect_left(grants_s, one.granted_s or 0.0) - bisect_left(grants_s, since_s)
        excess.append(grants - (older + 1) * 50)
    return max(excess)


@pytest.mark.parametrize("seed", SEEDS)
def test_patient_requests_of_no_class_starve(seed: int) -> None:
    """The urgent requests alone exceed the capacity, and would get all places."""
    assert _grants_beyond_the_bound(seed) <= 0


def test_the_starvation_play_notices_a_queue_without_the_rule(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(place_queue, "OLDEST_EVERY_GRANTS", 10**9)
    assert _grants_beyond_the_bound(1) > 0


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("load", [0.95, 1.1, 1.3])
def test_a_storm_of_one_account_costs_the_others_less_than_5_percent(
    load: float, seed: int
) -> None:
    before, storm = others_in_a_storm((load, FAIR_SHARES, seed))
    assert storm >= 0.95 * before


@pytest.mark.parametrize("load", [1.1, 1.3])
def test_the_storm_play_notices_an_order_without_shares(load: float) -> None:
    pairs = [others_in_a_storm((load, "first come, first served", seed)) for seed in SEEDS]
    assert mean(storm / before for before, storm in pairs) < 0.95


@pytest.mark.parametrize("seed", SEEDS)
def test_the_storming_account_still_gets_its_share(seed: int) -> None:
    assert _share_of_the_storming_account(seed) >= 0.75


def test_the_storming_account_still_gets_its_share_on_average() -> None:
    # It has some 13 requests in a play, so a single seed varies widely.
    assert mean(_share_of_the_storming_account(seed) for seed in range(1, 11)) >= 0.75


def test_the_storming_account_gets_no_less_than_the_others_on_average() -> None:
    """Guards against places that are given ahead of its turn, and paid for by seconds without."""
    # It always waits, and the others leave what they don't need.
    assert mean(_share_of_the_storming_account(seed) for seed in range(1, 11)) >= 1.0


def _share_of_the_storming_account(seed: int) -> float:
    """Returns its service time over the mean of all accounts."""
    arrivals = play(Load(1.3, storm=7.5), FAIR_SHARES, WITH_ERROR, seed)
    service_s = [0.0] * 87
    for one in arrivals:
        if one.granted_s is not None:
            service_s[int(one.request.account.partition("-")[2])] += one.duration_s
    return service_s[0] / mean(service_s)


@pytest.mark.parametrize("seed", SEEDS)
def test_few_requests_are_refused_needlessly(seed: int) -> None:
    assert needless_refusals(MIXED, FAIR_SHARES, WITH_ERROR, seed) <= 0.01


@pytest.mark.parametrize("seed", SEEDS)
def test_nothing_is_refused_below_capacity(seed: int) -> None:
    assert not any(one.is_refused for one in play(Load(0.8), FAIR_SHARES, WITH_ERROR, seed))


@pytest.mark.parametrize("load", [MIXED, Load(1.3)])
def test_refusing_serves_more_in_time_than_not_refusing(load: Load) -> None:
    with_refusal, without = (
        mean(share_in_time(play(load, FAIR_SHARES, refusal, seed)) for seed in SEEDS)
        for refusal in (WITH_ERROR, "none")
    )
    assert with_refusal > without


def _returned(seed: int) -> list[Arrival]:
    return [one for one in play(MIXED, FAIR_SHARES, WITH_ERROR, seed) if one.tries > 1]


@pytest.mark.parametrize("seed", SEEDS)
def test_a_caller_that_returns_keeps_its_age(seed: int) -> None:
    returned = _returned(seed)
    assert len(returned) > 20
    assert all(one.wait_began_s == one.request.arrived_s for one in returned)


def test_the_play_notices_callers_that_are_not_remembered(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(returning_callers, "MAX_RETURN_S", 0.0)
    load = Load(1.3, shares=MIXED.shares, until_s=30.0)
    returned = [one for one in play(load, FAIR_SHARES, WITH_ERROR, 1) if one.tries > 1]
    assert any(one.wait_began_s > one.request.arrived_s for one in returned)
