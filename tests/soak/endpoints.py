"""Restartable endpoints behind proxies, and a decoy that must receive no request."""

import asyncio
import time
from collections.abc import Callable

import attrs
from aiohttp import web

from tests.lib.platform_engine import PlatformEngine, Run
from tests.soak.proxy import Proxy


class RestartingEngine(PlatformEngine):
    """An engine that can crash at any time; its events name the incarnation that sent them."""

    def __init__(self, instance: str, service: str) -> None:
        super().__init__(instance, service)
        self.incarnation = 0
        self.is_frozen = False
        self._seq = 0
        self._transports: set[asyncio.BaseTransport] = set()
        self.takes_fatal: Callable[[str, bytes], bool] = lambda instance, body: False

    async def on_start(self) -> None:
        """Starts listening as a new incarnation."""
        self.incarnation += 1
        self.is_frozen = False
        self._seq = 0
        # Two incarnations must differ, also if they start within one millisecond.
        self.born_ms = max((self.born_ms or 0) + 1, time.time_ns() // 1_000_000)
        await super().on_start()

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Returns its entry, with its start time."""
        self._seq += 1
        return super().entry(state) | {"born": self.born_ms, "seq": self._seq}

    def event(self, stream: int, number: int) -> bytes:
        """Returns an event that is unique over all runs and incarnations."""
        mark = f"{self.instance}-{self.incarnation}-{stream}"
        return f"id: {number}\ndata: {mark} piece {number}\n\n".encode()

    async def begin_run(self, request: web.Request, run: Run) -> None:
        """See :class:`PlatformEngine`."""
        if self.takes_fatal(self.instance, run.body):
            # The end comes a moment later, from the fault.
            await asyncio.sleep(3600)

    async def crash(self) -> None:
        """Aborts all connections and stops listening, like a killed process."""
        for transport in list(self._transports):
            if isinstance(transport, asyncio.WriteTransport):
                transport.abort()
        self._transports.clear()
        assert self._runner is not None
        await self._runner.cleanup()

    async def start_new_incarnation(self) -> None:
        """Restarts on another port; see :attr:`PlatformEngine.port`."""
        self.port = 0
        await self.on_start()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        if request.transport is not None:
            self._transports.add(request.transport)
        if self.is_frozen:
            await asyncio.sleep(3600)
        return await super()._serve(request)


class Decoy(PlatformEngine):
    """The address in invalid entries; records the requests that it receives."""

    def __init__(self) -> None:
        super().__init__("i-never", "none")
        self.requests: list[str] = []

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        self.requests.append(f"{request.raw_path} for {request.headers.get('Bayhinge-Attempt-Id')}")
        return web.Response(status=500)


@attrs.define(eq=False)
class Endpoint:
    """An engine behind a proxy, whose address is the one in the store."""

    engine: RestartingEngine
    proxy: Proxy

    def entry(self) -> dict[str, object]:
        """Returns its entry in the store."""
        return self.engine.entry() | {"address": f"127.0.0.1:{self.proxy.port}"}

    async def start_new_incarnation(self) -> None:
        """Restarts the engine behind the same proxy."""
        await self.engine.start_new_incarnation()
        self.proxy.target_port = self.engine.port


async def start_endpoint(instance: str, service: str) -> Endpoint:
    """Starts an engine and its proxy."""
    engine = RestartingEngine(instance, service)
    await engine.start()
    engine.faults.pause_s = 0.01
    proxy = Proxy("127.0.0.1", engine.port)
    await proxy.start()
    return Endpoint(engine, proxy)
