"""Endpoints that start again under their ids, behind ways that may be cut; and one never to use."""

import asyncio
import time

import attrs
from aiohttp import web

from tests.lib.platform_engine import PlatformEngine
from tests.soak.proxy import Proxy


class RestartingEngine(PlatformEngine):
    """An engine whose every event tells which start made it, and that may crash at any moment."""

    def __init__(self, instance: str, service: str) -> None:
        super().__init__(instance, service)
        self.starts = 0
        self._seq = 0
        self._transports: set[asyncio.BaseTransport] = set()

    async def on_start(self) -> None:
        """Listens, as a start that knows nothing of former ones."""
        self.starts += 1
        self._seq = 0
        # Two starts within a millisecond are two starts.
        self.born_ms = max((self.born_ms or 0) + 1, time.time_ns() // 1_000_000)
        await super().on_start()

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Returns its entry, with the moment of its start."""
        self._seq += 1
        return super().entry(state) | {"born": self.born_ms, "seq": self._seq}

    def event(self, stream: int, number: int) -> bytes:
        """Returns an event that no other run of any start has."""
        mark = f"{self.instance}-{self.starts}-{stream}"
        return f"id: {number}\ndata: {mark} piece {number}\n\n".encode()

    async def crash(self) -> None:
        """Ends as a killed process does: in the middle of whatever it does."""
        for transport in list(self._transports):
            if isinstance(transport, asyncio.WriteTransport):
                transport.abort()
        self._transports.clear()
        assert self._runner is not None
        await self._runner.cleanup()

    async def start_again(self) -> None:
        """Starts at another port; see :attr:`PlatformEngine.port`."""
        self.port = 0
        await self.on_start()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        if request.transport is not None:
            self._transports.add(request.transport)
        return await super()._serve(request)


class NeverToUse(PlatformEngine):
    """Listens where entries point that name no endpoint, and notes what it is asked for."""

    def __init__(self) -> None:
        super().__init__("i-never", "none")
        self.asked: list[str] = []

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        self.asked.append(f"{request.raw_path} for {request.headers.get('Bayhinge-Attempt-Id')}")
        return web.Response(status=500)


@attrs.define(eq=False)
class Endpoint:
    """An engine and the way to it; the proxy's address is the one that hosts know."""

    engine: RestartingEngine
    proxy: Proxy

    def entry(self) -> dict[str, object]:
        """Returns its entry in the store."""
        return self.engine.entry() | {"address": f"127.0.0.1:{self.proxy.port}"}

    async def start_again(self) -> None:
        """Starts the engine behind the same address."""
        await self.engine.start_again()
        self.proxy.target_port = self.engine.port


async def start_endpoint(instance: str, service: str) -> Endpoint:
    """Starts an engine and its proxy."""
    engine = RestartingEngine(instance, service)
    await engine.start()
    engine.troubles.pause_s = 0.01
    proxy = Proxy("127.0.0.1", engine.port)
    await proxy.start()
    return Endpoint(engine, proxy)
