"""A plain service with lookups and actions that must not be repeated.

It counts side effects by the caller's reference, so that tests find repeated ones.
"""

import asyncio
from collections import Counter

import attrs
from aiohttp import web

from bayhinge_standins.faults import EndpointFaults
from bayhinge_standins.http_service import StandinServer


@attrs.define
class ToolRecord:
    """Counts of the service's lookups and side effects."""

    lookups: Counter[str] = attrs.field(factory=Counter)
    effects: Counter[str] = attrs.field(factory=Counter)

    @property
    def run_twice(self) -> int:
        """Number of references whose side effect happened more than once."""
        return sum(1 for count in self.effects.values() if count > 1)


class ToolServer(StandinServer):
    """One endpoint of a plain service on a real socket."""

    def __init__(self, name: str, record: ToolRecord | None = None, port: int = 0) -> None:
        """Endpoints of the same service share ``record``."""
        super().__init__(port)
        self.name = name
        self.record = record or ToolRecord()
        self.faults = EndpointFaults()
        self.duration_s = 0.01

    def add_routes(self, app: web.Application) -> None:
        """Registers lookups (``GET /lookup/...``) and actions (``/act/...``, three methods)."""
        app.router.add_get("/lookup/{what:.+}", self._lookup)
        for method in ("POST", "PUT", "DELETE"):
            app.router.add_route(method, "/act/{reference:.+}", self._act)
        app.router.add_get("/healthz", self._health)

    async def _lookup(self, request: web.Request) -> web.Response:
        await self._apply_faults(request)
        what = request.match_info["what"]
        self.record.lookups[what] += 1
        return web.json_response({"what": what, "value": len(what)})

    async def _act(self, request: web.Request) -> web.Response:
        await request.read()
        await self._apply_faults(request)
        reference = request.match_info["reference"]
        self.record.effects[reference] += 1
        if self.faults.die_after_acting and request.transport is not None:
            request.transport.abort()
        return web.json_response({"reference": reference, "done": True})

    async def _health(self, request: web.Request) -> web.Response:
        await self._apply_faults(request)
        return web.json_response({"name": self.name})

    async def _apply_faults(self, request: web.Request) -> None:
        if (self.faults.down or self.faults.die_before_acting) and request.transport is not None:
            request.transport.abort()
            raise web.HTTPServiceUnavailable
        if self.faults.draining:
            raise web.HTTPServiceUnavailable(headers={"X-Draining": "true"})
        if self.faults.hang:
            await asyncio.Event().wait()
        await asyncio.sleep(self.duration_s * self.faults.slow_factor)
