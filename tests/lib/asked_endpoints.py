"""Finds the endpoint that received a request, or leaves only one endpoint to send to."""

import asyncio
from functools import partial

from bayhinge._internal.decisions.endpoint_table import EndpointTable
from tests.lib.platform_engine import EngineFaults, PlatformEngine
from tests.lib.platform_site import PlatformSite


async def wait_for_called_endpoint(
    endpoints: list[PlatformEngine], limit_s: float = 2.0
) -> PlatformEngine:
    """Waits for the endpoint that receives a request; clears the faults of the others."""
    async with asyncio.timeout(limit_s):
        while not any(endpoint.runs for endpoint in endpoints):  # noqa: ASYNC110
            await asyncio.sleep(0.01)
    (found,) = [endpoint for endpoint in endpoints if endpoint.runs]
    for endpoint in endpoints:
        if endpoint is not found:
            endpoint.faults = EngineFaults()
    return found


async def keep_one_service(site: PlatformSite) -> None:
    """Removes all endpoints of plain services but the first."""
    while len(site.services) > 1:
        other = site.services.pop()
        site.store.remove("servers", other.instance)
        await other.stop()
        for entry in site.entry_by_name.values():
            await site.until(partial(_is_unknown, entry._gateway.endpoint_table, other.instance))


def _is_unknown(endpoint_table: EndpointTable, instance: str) -> bool:
    return endpoint_table.find(instance) is None
