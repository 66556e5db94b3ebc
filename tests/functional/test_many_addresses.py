"""Guards against a host that can't join if the store lists thousands of removed hosts."""

import asyncio
import base64
from pathlib import Path

import pytest

from bayhinge._internal.decisions.last_seen import MIN_ADVERTISED_S
from bayhinge._internal.services.gossip import MAX_KNOWN_ADDRESSES, PERIOD_S
from tests.lib.platform_site import PlatformSite, run_site

pytestmark = pytest.mark.functional

REMOVED_ADDRESSES = [f"127.9.{number // 250}.{number % 250 + 1}:7380" for number in range(4000)]


def test_a_host_that_reads_thousands_of_addresses_sends_heartbeats_and_serves(
    tmp_path: Path,
) -> None:
    async def scenario(site: PlatformSite) -> None:
        for number, address in enumerate(REMOVED_ADDRESSES):
            encoded = base64.b64encode(address.encode()).decode()
            site.store.put("hosts", f"gone-{number}", encoded)
        entry = await site.start_entry("entry-2")
        # As if no seed named any other host: it uses all of them.
        entry._gateway.gossip.add_addresses(REMOVED_ADDRESSES)
        await asyncio.sleep(MIN_ADVERTISED_S + 3.0)
        public = site.address("entry-2").removeprefix("http://")
        others = [site.entry_by_name[name]._gateway for name in ("entry-0", "entry-1")]
        assert all(public in gateway.addresses("north", "land") for gateway in others)
        # A host that learns a few of them from each heartbeat is no better off.
        periods_s = [one._gateway.gossip._period_s() for one in site.entry_by_name.values()]
        assert max(periods_s) == PERIOD_S, f"heartbeats name {MAX_KNOWN_ADDRESSES} addresses each"
        assert (await site.ask("/act/x", at="entry-2")).status == 200

    run_site(tmp_path, scenario)
