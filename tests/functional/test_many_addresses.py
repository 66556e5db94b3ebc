"""Thousands of addresses of hosts that are long gone stop no host.

Each watcher of a hall leaves its address in the store, and nothing takes it away when the host is
replaced; some eighty are replaced on an ordinary day of the target.
"""

import asyncio
import base64
from pathlib import Path

import pytest

from bayhinge._internal.decisions.sightings import MIN_ADVERTISED_S
from bayhinge._internal.services.gossip import MAX_KNOWN_ADDRESSES, PERIOD_S
from tests.lib.platform_site import PlatformSite, run_site

pytestmark = pytest.mark.functional

GONE = [f"127.9.{number // 250}.{number % 250 + 1}:7380" for number in range(4000)]


def test_a_host_that_reads_thousands_of_addresses_greets_and_serves(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        for number, address in enumerate(GONE):
            shown = base64.b64encode(address.encode()).decode()
            site.store.put("hosts", f"gone-{number}", shown)
        entry = await site.start_entry("entry-2")
        # As where no seed has told of any host: it reads them all.
        entry._gateway.gossip.add_addresses(GONE)
        await asyncio.sleep(MIN_ADVERTISED_S + 3.0)
        public = site.address("entry-2").removeprefix("http://")
        others = [site.entry_by_name[name]._gateway for name in ("entry-0", "entry-1")]
        assert all(public in gateway.addresses("north", "land") for gateway in others)
        # A host that learns a few of them from each heartbeat is no better off.
        periods_s = [one._gateway.gossip._period_s() for one in site.entry_by_name.values()]
        assert max(periods_s) == PERIOD_S, f"heartbeats name {MAX_KNOWN_ADDRESSES} addresses each"
        assert (await site.ask("/act/x", at="entry-2")).status == 200

    run_site(tmp_path, scenario)
