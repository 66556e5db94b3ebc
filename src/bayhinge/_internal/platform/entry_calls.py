"""HTTP endpoints of an entry host for the platform: readiness, address lookup and metrics."""

from urllib.parse import parse_qs

import orjson

from bayhinge._internal import status_codes
from bayhinge._internal.network.routed_front import Exchange, ExchangeHandler
from bayhinge._internal.services.gateway.gateway import Gateway

METRICS_PATH = "/metrics"
READY_PATH = "/-/readyz"
RESOLVE_PATH = "/-/resolve"
MAX_ADDRESSES = 64

_TEXT = ((b"Content-Type", b"text/plain; version=0.0.4"),)
_JSON = ((b"Content-Type", b"application/json"),)


class EntryCalls(ExchangeHandler):
    """Serves readiness, address lookup and metrics, on any of their addresses."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    async def handle(self, exchange: Exchange) -> None:
        """See :class:`ExchangeHandler`."""
        path, _, query = exchange.target.partition("?")
        if path == READY_PATH:
            ready = self._gateway.is_ready
            status = status_codes.HTTP_OK if ready else status_codes.HTTP_UNAVAILABLE
            await exchange.respond(status, (), b"")
        elif path == METRICS_PATH:
            # Imported on first use, to save memory on hosts whose metrics are not scraped.
            from bayhinge._internal.services.gateway.metrics import entry_metrics

            await exchange.respond(status_codes.HTTP_OK, _TEXT, entry_metrics(self._gateway))
        elif path == RESOLVE_PATH:
            await self._resolve(exchange, query)
        else:
            await exchange.respond(status_codes.HTTP_NOT_FOUND, (), b"")

    async def _resolve(self, exchange: Exchange, query: str) -> None:
        values = parse_qs(query)
        hall = values.get("zone", [""])[0]
        region = values.get("region", [""])[0]
        addresses = self._gateway.addresses(hall, region)[:MAX_ADDRESSES]
        if not addresses:
            await exchange.respond(status_codes.HTTP_UNAVAILABLE, (), b"")
            return
        body = orjson.dumps({"addresses": addresses, "ttl_s": self._gateway.address_keep_s})
        await exchange.respond(status_codes.HTTP_OK, _JSON, body)
