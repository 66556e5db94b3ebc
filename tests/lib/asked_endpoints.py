"""Which endpoint of a site is asked: all but one leave, or the one that was asked is found."""

import asyncio
from functools import partial

from bayhinge._internal.decisions.endpoint_book import EndpointTable
from tests.lib.platform_engine import EngineTroubles, PlatformEngine
from tests.lib.platform_site import PlatformSite


async def asked(endpoints: list[PlatformEngine], limit_s: float = 2.0) -> PlatformEngine:
    """Returns the endpoint that was asked; the others are well from now on."""
    async with asyncio.timeout(limit_s):
        while not any(endpoint.runs for endpoint in endpoints):  # noqa: ASYNC110
            await asyncio.sleep(0.01)
    (found,) = [endpoint for endpoint in endpoints if endpoint.runs]
    for endpoint in endpoints:
        if endpoint is not found:
            endpoint.troubles = EngineTroubles()
    return found


async def only_one_service(site: PlatformSite) -> None:
    """Takes all plain services away but the first."""
    while len(site.services) > 1:
        other = site.services.pop()
        site.store.remove("servers", other.instance)
        await other.stop()
        for entry in site.entry_by_name.values():
            await site.until(partial(_is_unknown, entry._gateway.endpoint_table, other.instance))


def _is_unknown(endpoint_table: EndpointTable, instance: str) -> bool:
    return endpoint_table.find(instance) is None
