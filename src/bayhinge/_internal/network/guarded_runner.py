"""aiohttp's application framework on a guarded server."""

from typing import Any

from aiohttp.web import Application, AppRunner, Server

from bayhinge._internal.network.connection_guard import ConnectionGuard
from bayhinge._internal.network.guarded_http import GuardedServer


class GuardedRunner(AppRunner):
    """aiohttp's runner of an application, on a guarded server."""

    def __init__(self, app: Application, *, guard: ConnectionGuard, **options: Any) -> None:
        """Builds the runner; ``options`` are those of aiohttp's."""
        super().__init__(app, **options)
        self._guard = guard

    async def _make_server(self) -> Server:
        server = await super()._make_server()
        return GuardedServer(
            server.request_handler,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            guard=self._guard,
            **server._kwargs,
        )
