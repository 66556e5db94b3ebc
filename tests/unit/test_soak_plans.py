"""What the seeds of a soak draw: one that showed a fault must go on to play the same."""

import asyncio
import random
from typing import cast

import pytest

from tests.lib.platform_store import PlatformStoreServer
from tests.soak.endpoint_faults import EndpointFaults
from tests.soak.endpoints import NeverToUse
from tests.soak.faults import Faults
from tests.soak.plans import PLAN_BY_KIND


def played(kind: str, seed: int) -> tuple[tuple[int, int], list[str]]:
    async def main() -> tuple[tuple[int, int], list[str]]:
        source, plan = random.Random(seed), PLAN_BY_KIND[kind]
        store = cast(PlatformStoreServer, None)
        faults = Faults(source, store, [], [], [], [], print)
        of_endpoints = EndpointFaults(source, store, [], cast(NeverToUse, None), print)
        series = plan.series(source, faults, of_endpoints)
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
"""The size of the site, faults of hosts and the store, and of endpoints, of seeds that failed."""


@pytest.mark.parametrize("seed", DRAWN_BY_SEED)
def test_a_seed_that_showed_a_fault_goes_on_to_play_the_same(seed: int) -> None:
    size, of_hosts, of_endpoints = DRAWN_BY_SEED[seed]
    assert played("overlapping", seed) == (size, of_hosts + of_endpoints)


@pytest.mark.parametrize("kind", ["short-silences", "short-silences-hurt"])
def test_short_silences_come_beside_entries_that_change(kind: str) -> None:
    size, series = played(kind, 1)
    assert size == (7, 3)
    assert series.count("change_behind_short_silence") == 1
    assert series.count("write_odd_entry") == 3
    assert ("hurt_entry" in series) == (kind == "short-silences-hurt")
