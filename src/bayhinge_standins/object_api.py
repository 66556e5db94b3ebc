"""The object API over HTTP: entity tags are versions, preconditions make updates conditional.

==========================================  =====================================
``GET /v1/objects/{key}``                   value, ``ETag: "<version>"``; 404
``PUT`` with ``If-None-Match: *``           creates; 412 if the key exists
``PUT`` with ``If-Match: "<version>"``      updates; 412 at another version
``DELETE`` with ``If-Match``                deletes; 412 at another version
``GET /v1/objects?prefix=&after=&limit=``   a page, as JSON
``GET /v1/watch?prefix=&after=``            changes, a line of JSON each
==========================================  =====================================

429 with ``Retry-After`` means that the rate limit is reached; an outage closes the connection.
"""

import base64

import orjson
from aiohttp import web

from bayhinge.coordination.errors import (
    AlreadyExistsError,
    StoreRateLimitedError,
    StoreUnavailableError,
    VersionConflictError,
    WatchEndedError,
)
from bayhinge.coordination.store import MAX_VALUE_BYTES
from bayhinge_standins.http_service import Handler, StandinServer
from bayhinge_standins.object_store import MemoryObjects, MemoryObjectStore


class ObjectApiServer(StandinServer):
    """Serves a `MemoryObjectStore` over HTTP."""

    def __init__(self, port: int = 0) -> None:
        super().__init__(port, max_body_bytes=2 * MAX_VALUE_BYTES)
        self.objects = MemoryObjects()
        self.store = MemoryObjectStore(self.objects)

    def add_routes(self, app: web.Application) -> None:
        """Registers the API."""
        app.router.add_get("/v1/objects", self._list)
        app.router.add_get("/v1/watch", self._watch)
        app.router.add_get("/v1/objects/{key:.+}", self._get)
        app.router.add_put("/v1/objects/{key:.+}", self._put)
        app.router.add_delete("/v1/objects/{key:.+}", self._delete)
        app.middlewares.append(_translate_errors)

    async def _get(self, request: web.Request) -> web.Response:
        stored = await self.store.get(request.match_info["key"])
        if stored is None:
            raise web.HTTPNotFound
        return web.Response(body=stored.value, headers={"ETag": f'"{stored.version}"'})

    async def _put(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        value = await request.read()
        if request.headers.get("If-None-Match") == "*":
            stored = await self.store.create(key, value)
            return web.Response(status=201, headers={"ETag": f'"{stored.version}"'})
        stored = await self.store.update(key, value, _required_version(request))
        return web.Response(headers={"ETag": f'"{stored.version}"'})

    async def _delete(self, request: web.Request) -> web.Response:
        await self.store.delete(request.match_info["key"], _required_version(request))
        return web.Response(status=204)

    async def _list(self, request: web.Request) -> web.Response:
        page = await self.store.list(
            request.query.get("prefix", ""),
            request.query.get("after", ""),
            int(request.query.get("limit", "500")),
        )
        body = {
            "revision": page.revision,
            "more": page.more,
            "objects": [
                {
                    "key": stored.key,
                    "version": stored.version,
                    "value": base64.b64encode(stored.value).decode(),
                }
                for stored in page.objects
            ],
        }
        return web.Response(body=orjson.dumps(body), content_type="application/json")

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        after = int(request.query.get("after", "0"))
        changes = self.store.watch(request.query.get("prefix", ""), after)
        response = web.StreamResponse()
        await response.prepare(request)
        try:
            async for change in changes:
                value = None if change.value is None else base64.b64encode(change.value).decode()
                line = {
                    "key": change.key,
                    "value": value,
                    "version": change.version,
                    "revision": change.revision,
                }
                await response.write(orjson.dumps(line) + b"\n")
        except WatchEndedError:
            return response
        return response


def _required_version(request: web.Request) -> int:
    tag = request.headers.get("If-Match", "").strip('"')
    if not tag.isdigit():
        raise web.HTTPPreconditionRequired
    return int(tag)


@web.middleware
async def _translate_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    try:
        return await handler(request)
    except (AlreadyExistsError, VersionConflictError) as error:
        raise web.HTTPPreconditionFailed(text=str(error)) from error
    except StoreRateLimitedError as error:
        headers = {"Retry-After": f"{error.retry_after_s:.3f}"}
        raise web.HTTPTooManyRequests(headers=headers) from error
    except StoreUnavailableError as error:
        if request.transport is not None:
            request.transport.abort()
        raise web.HTTPServiceUnavailable from error
