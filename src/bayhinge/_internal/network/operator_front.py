"""The HTTP API for operators; every request needs an operator's key."""

from aiohttp import web

from bayhinge._internal.models.refusals import Refusal, RefusalCode, RefusedError, not_run_refusal
from bayhinge._internal.network.front_handler import ConfigEdit, FrontHandler
from bayhinge._internal.network.request_reading import read_body, read_key

AUTHOR_HEADER = "Bayhinge-Author"
JSON = "application/json"
MAX_CONFIG_BYTES = 64_000


class OperatorFront:
    """Routes under ``/v1/operator``."""

    def __init__(self, handler: FrontHandler) -> None:
        self._handler = handler

    def add_routes(self, app: web.Application) -> None:
        """Registers the routes."""
        app.router.add_get("/v1/operator/events/follow", self._follow)
        app.router.add_get("/v1/operator/{query:[a-z-]+}", self._query)
        app.router.add_put("/v1/operator/config/{kind}/{name}", self._edit)
        app.router.add_delete("/v1/operator/config/{kind}/{name}", self._delete)

    async def _query(self, request: web.Request) -> web.Response:
        self._authenticate(request)
        answered = await self._handler.operator_query(
            request.match_info["query"], dict(request.query)
        )
        if answered.is_error():
            raise RefusedError(answered.error)
        return web.Response(body=answered.ok, content_type=JSON)

    async def _follow(self, request: web.Request) -> web.StreamResponse:
        self._authenticate(request)
        response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        await response.prepare(request)
        async for line in self._handler.follow_events(dict(request.query)):
            await response.write(line + b"\n")
        return response

    async def _edit(self, request: web.Request) -> web.Response:
        self._authenticate(request)
        body = await read_body(request)
        try:
            text = body.decode("utf-8")
        except UnicodeDecodeError as error:
            raise RefusedError(_bad(f"the text is not valid UTF-8: {error}")) from error
        if len(body) > MAX_CONFIG_BYTES:
            raise RefusedError(_bad(f"the text is longer than {MAX_CONFIG_BYTES} bytes"))
        return await self._propose(request, text)

    async def _delete(self, request: web.Request) -> web.Response:
        self._authenticate(request)
        return await self._propose(request, None)

    async def _propose(self, request: web.Request, text: str | None) -> web.Response:
        base = request.headers.get("If-Match", "0").strip('"')
        if not base.isascii() or not base.isdigit():
            raise RefusedError(_bad("header If-Match must be the revision the edit is based on"))
        edit = ConfigEdit(
            request.match_info["kind"],
            request.match_info["name"],
            text,
            int(base),
            request.headers.get(AUTHOR_HEADER, "operator")[:80],
        )
        answer = await self._handler.edit_config(edit)
        return web.Response(status=answer.status, body=answer.body, content_type=JSON)

    def _authenticate(self, request: web.Request) -> None:
        if not self._handler.is_operator(read_key(request.headers)):
            why = "this request needs an operator's key"
            raise RefusedError(not_run_refusal(RefusalCode.UNAUTHORIZED, why))


def _bad(why: str) -> Refusal:
    return not_run_refusal(RefusalCode.BAD_REQUEST, why)
