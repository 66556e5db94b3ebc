"""The platform's endpoint list, which lags behind its changes, and its store of model weights."""

import asyncio
from enum import StrEnum

import attrs
from aiohttp import web

from bayhinge_standins.http_service import StandinServer


class ListedState(StrEnum):
    """State of an endpoint in the list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class ListedEndpoint:
    """One entry of the list."""

    name: str
    pool: str
    hall: str
    address: str
    state: ListedState


@attrs.define
class _Version:
    published_at: float
    endpoints: list[ListedEndpoint]


class EndpointListServer(StandinServer):
    """Serves the endpoint list as it was ``lag_s`` ago."""

    def __init__(self, lag_s: float = 1.0, port: int = 0) -> None:
        super().__init__(port)
        self.lag_s = lag_s
        self._versions: list[_Version] = []

    def add_routes(self, app: web.Application) -> None:
        """Registers ``GET /v1/endpoints``."""
        app.router.add_get("/v1/endpoints", self._get)

    def publish(self, endpoints: list[ListedEndpoint]) -> None:
        """Replaces the list; readers see it after the lag, but the first list at once."""
        now = asyncio.get_running_loop().time()
        self._versions.append(_Version(now if self._versions else now - self.lag_s, endpoints))

    async def _get(self, request: web.Request) -> web.Response:
        horizon = asyncio.get_running_loop().time() - self.lag_s
        visible = [version for version in self._versions if version.published_at <= horizon]
        endpoints = visible[-1].endpoints if visible else []
        return web.json_response({"endpoints": [attrs.asdict(item) for item in endpoints]})


class WeightStoreServer(StandinServer):
    """Simulates downloads of model weights, whose rate all readers share."""

    def __init__(self, bytes_per_s: float = 1e9, port: int = 0) -> None:
        super().__init__(port)
        self.bytes_per_s = bytes_per_s
        self.readers = 0
        self.max_readers = 0

    def add_routes(self, app: web.Application) -> None:
        """Registers ``GET /v1/weights/{model}?bytes=``."""
        app.router.add_get("/v1/weights/{model}", self._get)

    async def _get(self, request: web.Request) -> web.Response:
        self.readers += 1
        self.max_readers = max(self.max_readers, self.readers)
        try:
            size = float(request.query.get("bytes", "0"))
            await asyncio.sleep(size * self.readers / self.bytes_per_s)
        finally:
            self.readers -= 1
        return web.json_response({"model": request.match_info["model"], "bytes": size})
