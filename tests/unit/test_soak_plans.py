"""Fault plans that the soak draws: a seed that once failed must keep drawing the same plan."""

import asyncio
import random
from typing import cast

import pytest

from tests.lib.platform_store import PlatformStoreServer
from tests.soak.endpoint_faults import EndpointFaults
from tests.soak.endpoints import Decoy
from tests.soak.faults import Faults
from tests.soak.plans import PLAN_BY_KIND


def drawn_plan(kind: str, seed: int) -> tuple[tuple[int, int], list[str]]:
    async def main() -> tuple[tuple[int, int], list[str]]:
        source, plan = random.Random(seed), PLAN_BY_KIND[kind]
        store = cast(PlatformStoreServer, None)
        faults = Faults(source, store, [], [], [], [], print)
        endpoint_faults = EndpointFaults(source, store, [], cast(Decoy, None), print)
        series = plan.series(source, faults, endpoint_faults)
        return plan.size(seed), [fault.__name__ for fault in series]

    return asyncio.run(main())


DRAWN_BY_SEED = {
    901: (
        (7, 3),
        ["hurt_disk", "change_behind_outage"],
        ["break_streams", "exchange_addresses", "write_odd_entry", "start_again"],
    ),
    1106: ((4, 5), ["stop_entry", "hurt_entry"], ["exchange_addresses", "break_streams"]),
}
"""Size of the site, faults of hosts and the store, and faults of endpoints, by failed seed."""


@pytest.mark.parametrize("seed", DRAWN_BY_SEED)
def test_a_seed_that_once_failed_draws_the_same_plan(seed: int) -> None:
    size, host_faults, endpoint_faults = DRAWN_BY_SEED[seed]
    assert drawn_plan("overlapping", seed) == (size, host_faults + endpoint_faults)


@pytest.mark.parametrize("kind", ["short-silences", "short-silences-hurt"])
def test_short_silences_are_combined_with_changing_entries(kind: str) -> None:
    size, series = drawn_plan(kind, 1)
    assert size == (7, 3)
    assert series.count("change_behind_short_silence") == 1
    assert series.count("write_odd_entry") == 3
    assert ("hurt_entry" in series) == (kind == "short-silences-hurt")
