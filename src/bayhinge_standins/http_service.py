"""Base of the HTTP stand-ins: a mode service on a loopback port."""

from abc import abstractmethod
from collections.abc import Awaitable, Callable

from aiohttp import web
from mode import Service

LOOPBACK = "127.0.0.1"


Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@web.middleware
async def _ignore_lost_connections(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Ends a request quietly if its client has disconnected."""
    try:
        return await handler(request)
    except ConnectionError:
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=499)


class StandinServer(Service):
    """An aiohttp server as a mode service."""

    abstract = True

    def __init__(self, port: int = 0, max_body_bytes: int = 64_000_000) -> None:
        """Port 0 selects a free port; :attr:`port` holds it after the start."""
        super().__init__()
        self.port = port
        self._max_body_bytes = max_body_bytes
        self._runner: web.AppRunner | None = None

    @abstractmethod
    def add_routes(self, app: web.Application) -> None:
        """Registers the stand-in's routes."""

    @property
    def base_url(self) -> str:
        """Base URL of the running server."""
        return f"http://{LOOPBACK}:{self.port}"

    async def on_start(self) -> None:
        """Opens the listening socket."""
        app = web.Application(client_max_size=self._max_body_bytes)
        self.add_routes(app)
        app.middlewares.append(_ignore_lost_connections)
        self._runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True, shutdown_timeout=0.2
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, LOOPBACK, self.port)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def on_stop(self) -> None:
        """Closes the socket and every connection."""
        if self._runner is not None:
            await self._runner.cleanup()
