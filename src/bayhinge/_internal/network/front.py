"""The HTTP API for callers: chat completions, programs, plain services, addresses."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable

import attrs
from aiohttp import web

from bayhinge._internal import status_codes
from bayhinge._internal.commands.parse_call import parse_model_call, read_json_object
from bayhinge._internal.models.accounts import ClientAccount
from bayhinge._internal.models.calls import (
    AnswerEnd,
    AnswerItem,
    AnswerPart,
    CallKind,
    IncomingCall,
)
from bayhinge._internal.models.refusals import (
    Refusal,
    RefusalCode,
    RefusedError,
    not_run_refusal,
)
from bayhinge._internal.models.settings import Settings
from bayhinge._internal.models.views import to_json
from bayhinge._internal.network.chat_format import (
    end_events,
    part_event,
    refusal_event,
    whole_answer,
)
from bayhinge._internal.network.connection_guard import ConnectionGuard
from bayhinge._internal.network.front_handler import FrontHandler
from bayhinge._internal.network.guarded_runner import GuardedRunner
from bayhinge._internal.network.memory_room import MemoryRooms
from bayhinge._internal.network.operator_front import OperatorFront
from bayhinge._internal.network.request_reading import (
    ACCOUNT_HEADER,
    BODY_ROOM_KEY,
    CALL_HEADER,
    ENDS_CONNECTION_KEY,
    PROGRAM_HEADER,
    forbids_repeat,
    read_body,
    read_idempotency_key,
    read_index,
    read_key,
    read_mode,
    read_offset,
    read_patience,
)
from bayhinge._internal.utils.prebound_sockets import BACKLOG, listening_socket

JSON = "application/json"
EVENT_STREAM = "text/event-stream"
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class CallerFront:
    """Serves callers and operators on the public address."""

    def __init__(
        self,
        settings: Settings,
        handler: FrontHandler,
        guard: ConnectionGuard,
        memory: MemoryRooms,
    ) -> None:
        """Builds it.

        Args:
            settings: the host's settings.
            handler: serves the requests.
            guard: that of all connections of the process.
            memory: holds the bodies of requests.
        """
        self._settings = settings
        self._handler = handler
        self._guard = guard
        self._memory = memory
        self._runner: web.AppRunner | None = None

    async def start(self) -> str:
        """Starts listening; returns the address with the actual port."""
        app = web.Application(client_max_size=self._settings.limits.body_bytes)
        app.middlewares.append(_answer_refusals)
        app.middlewares.append(self._hold_memory)
        app.on_response_prepare.append(_close_after_long_body)
        self._add_routes(app)
        OperatorFront(self._handler).add_routes(app)
        # Cancelling the handler when its caller disconnects frees the call's resources.
        # The shutdown timeout also covers calls forwarded to another host.
        self._runner = GuardedRunner(
            app,
            guard=self._guard,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=self._settings.membership.drain_seconds,
        )
        await self._runner.setup()
        host, _, port = self._settings.host.public_address.rpartition(":")
        listener = listening_socket(host.strip("[]"), int(port))
        await web.SockSite(self._runner, listener, backlog=BACKLOG).start()
        return f"{host}:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Stops listening and closes each connection once its requests have ended."""
        if self._runner is not None:
            await self._runner.cleanup()

    def abort(self) -> None:
        """Drops every connection at once, as a crash of the process would."""
        if self._runner is None or self._runner.server is None:
            return
        for site in list(self._runner.sites):
            server = getattr(site, "_server", None)
            if server is not None:
                server.close()
        for connection in list(self._runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    def _add_routes(self, app: web.Application) -> None:
        app.router.add_post("/v1/chat/completions", self._chat)
        app.router.add_get("/v1/models", self._models)
        app.router.add_post("/v1/programs", self._open_program)
        app.router.add_get("/v1/programs/{program}", self._show_program)
        app.router.add_post("/v1/programs/{program}/{verb:end|cancel}", self._end_program)
        app.router.add_get("/v1/programs/{program}/calls/{index}", self._collect)
        app.router.add_route("*", "/v1/services/{service}/{path:.*}", self._service)
        app.router.add_get("/v1/addresses", self._addresses)
        app.router.add_get("/metrics", self._metrics)
        app.router.add_get("/healthz", self._health)

    @web.middleware
    async def _hold_memory(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Holds the memory of the request's body until the request ends."""
        with self._memory.body_room(request.path) as room:
            request[BODY_ROOM_KEY] = room
            return await handler(request)

    # ---- model calls ----

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        account = self._authenticate(request)
        body = await read_body(request)
        fields = read_json_object(body)
        if fields.is_error():
            raise RefusedError(fields.error)
        program = request.headers.get(PROGRAM_HEADER, "").strip()
        model = str(fields.ok.get("model", ""))
        incoming = self._build_incoming_call(request, account, program, CallKind.MODEL, model, body)
        # Validated here as well as at the owner, so that no program is opened for a bad request.
        checked = parse_model_call(incoming, self._settings.limits.default_max_tokens)
        if checked.is_error():
            raise RefusedError(checked.error)
        wants_stream = bool(fields.ok.get("stream"))
        if program:
            items = self._handler.call(incoming)
            return await self._answer_chat(request, incoming, items, wants_stream)
        return await self._chat_single(request, account, incoming, wants_stream)

    async def _chat_single(
        self,
        request: web.Request,
        account: ClientAccount,
        incoming: IncomingCall,
        wants_stream: bool,
    ) -> web.StreamResponse:
        """Serves a call without a program header as a program of its own."""
        begun = await self._handler.open_single_call_program(account)
        if begun.is_error():
            raise RefusedError(begun.error)
        program = begun.ok
        own = _for_program(incoming, program)
        reason = "its caller left"
        try:
            response = await self._answer_chat(request, own, self._handler.call(own), wants_stream)
            reason = "its one call has ended"
        finally:
            await self._handler.end_single_call_program(account, program, reason)
        return response

    async def _answer_chat(
        self,
        request: web.Request,
        incoming: IncomingCall,
        items: AsyncIterator[AnswerItem],
        wants_stream: bool,
    ) -> web.StreamResponse:
        if wants_stream:
            return await self._stream_chat(request, incoming, items)
        pieces: list[str] = []
        async with contextlib.aclosing(_with_prompt_close(items)) as closing:
            async for item in closing:
                if isinstance(item, AnswerPart):
                    pieces.append(item.text)
                    continue
                body = whole_answer(incoming.program, "".join(pieces), item)
                return web.Response(
                    body=body,
                    content_type=JSON,
                    headers=_headers(incoming.program, item.index),
                )
        raise RefusedError(_incomplete_answer_refusal())

    async def _stream_chat(
        self, request: web.Request, incoming: IncomingCall, items: AsyncIterator[AnswerItem]
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={"Content-Type": EVENT_STREAM, "Cache-Control": "no-cache"}
        )
        response.headers.update(_headers(incoming.program, incoming.index))
        loop = asyncio.get_running_loop()
        started = loop.time()
        offset = incoming.resume_offset
        try:
            async with contextlib.aclosing(_with_prompt_close(items)) as closing:
                async for item in closing:
                    if not response.prepared:
                        # Delayed until here, so that a refused call still gets its error status.
                        await response.prepare(request)
                        self._handler.record_latency("first_token", loop.time() - started)
                    if isinstance(item, AnswerPart):
                        offset = item.offset + len(item.text)
                        await response.write(part_event(incoming.program, incoming.target, item))
                    else:
                        await response.write(end_events(incoming.program, offset, item))
        except RefusedError as error:
            if not response.prepared:
                raise
            await response.write(refusal_event(error.refusal))
        return response

    # ---- plain services ----

    async def _service(self, request: web.Request) -> web.StreamResponse:
        account = self._authenticate(request)
        name = request.match_info["service"]
        settings = self._handler.find_service(name)
        if settings is None:
            why = f"there is no service '{name[:80]}'"
            raise RefusedError(not_run_refusal(RefusalCode.NO_ENDPOINT, why))
        body = await read_body(request)
        program = request.headers.get(PROGRAM_HEADER, "").strip()
        incoming = self._build_incoming_call(
            request, account, program, CallKind.SERVICE, name, body
        )
        if not program:
            begun = await self._handler.open_single_call_program(account)
            if begun.is_error():
                raise RefusedError(begun.error)
            try:
                own = _for_program(incoming, begun.ok)
                return await self._answer_service(own)
            finally:
                await self._handler.end_single_call_program(
                    account, begun.ok, "its one call has ended"
                )
        return await self._answer_service(incoming)

    async def _answer_service(self, incoming: IncomingCall) -> web.Response:
        async with contextlib.aclosing(_with_prompt_close(self._handler.call(incoming))) as closing:
            async for item in closing:
                if isinstance(item, AnswerEnd):
                    return _service_response(incoming.program, item)
        raise RefusedError(_incomplete_answer_refusal())

    # ---- programs ----

    async def _open_program(self, request: web.Request) -> web.Response:
        account = self._authenticate(request)
        body = await read_body(request)
        fields = read_json_object(body or b"{}")
        if fields.is_error():
            raise RefusedError(fields.error)
        parent = fields.ok.get("parent")
        if parent is not None and not isinstance(parent, str):
            why = "field 'parent' must be a program identifier"
            raise RefusedError(not_run_refusal(RefusalCode.BAD_REQUEST, why))
        key = read_idempotency_key(request.headers)
        opened = await self._handler.open_program(account, parent, key)
        if opened.is_error():
            raise RefusedError(opened.error)
        return web.Response(status=status_codes.HTTP_CREATED, body=opened.ok, content_type=JSON)

    async def _show_program(self, request: web.Request) -> web.Response:
        return await self._program_command(request, "show")

    async def _end_program(self, request: web.Request) -> web.Response:
        return await self._program_command(request, request.match_info["verb"])

    async def _program_command(self, request: web.Request, verb: str) -> web.Response:
        account = "" if self._is_operator(request) else self._authenticate(request).name
        program = request.match_info["program"]
        shown = await self._handler.program_command(verb, account, program)
        if shown.is_error():
            raise RefusedError(shown.error)
        return web.Response(body=shown.ok, content_type=JSON)

    async def _collect(self, request: web.Request) -> web.StreamResponse:
        account = self._authenticate(request)
        index = request.match_info["index"]
        if not index.isascii() or not index.isdigit():
            why = "the call index must be a whole number"
            raise RefusedError(not_run_refusal(RefusalCode.BAD_REQUEST, why))
        program = request.match_info["program"]
        offset = read_offset(request.headers)
        items = self._handler.read_answer(account.name, program, int(index[:9]), offset)
        incoming = self._build_incoming_call(request, account, program, CallKind.MODEL, "", b"")
        wants_stream = EVENT_STREAM in request.headers.get("Accept", "")
        if wants_stream:
            return await self._stream_chat(request, incoming, items)
        return await self._collect_whole(program, items)

    async def _collect_whole(
        self, program: str, items: AsyncIterator[AnswerItem]
    ) -> web.StreamResponse:
        pieces: list[str] = []
        async for item in items:
            if isinstance(item, AnswerPart):
                pieces.append(item.text)
            elif item.body or item.content_type != JSON or item.model == "":
                return _service_response(program, item)
            else:
                body = whole_answer(program, "".join(pieces), item)
                headers = _headers(program, item.index)
                return web.Response(body=body, content_type=JSON, headers=headers)
        raise RefusedError(_incomplete_answer_refusal())

    # ---- models, addresses, metrics, health ----

    async def _models(self, request: web.Request) -> web.Response:
        self._authenticate(request)
        models = [{"id": name, "object": "model"} for name in self._handler.models()]
        return web.json_response({"object": "list", "data": models})

    async def _addresses(self, request: web.Request) -> web.Response:
        view = await self._handler.addresses(request.query.get("program"))
        headers = {"Cache-Control": f"max-age={int(view.keep_s)}"}
        return web.Response(body=to_json(view), content_type=JSON, headers=headers)

    async def _metrics(self, request: web.Request) -> web.Response:
        return web.Response(body=self._handler.metrics(), content_type="text/plain")

    async def _health(self, request: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    def _authenticate(self, request: web.Request) -> ClientAccount:
        account = self._handler.find_account(read_key(request.headers))
        if account is None:
            why = "the key in the Authorization header belongs to no client account"
            raise RefusedError(not_run_refusal(RefusalCode.UNAUTHORIZED, why))
        named = request.headers.get(ACCOUNT_HEADER)
        if named is not None and named != account.name:
            why = f"the key does not belong to the client account in header {ACCOUNT_HEADER}"
            raise RefusedError(not_run_refusal(RefusalCode.FORBIDDEN, why))
        return account

    def _is_operator(self, request: web.Request) -> bool:
        return self._handler.is_operator(read_key(request.headers))

    def _build_incoming_call(
        self,
        request: web.Request,
        account: ClientAccount,
        program: str,
        kind: CallKind,
        target: str,
        body: bytes,
    ) -> IncomingCall:
        headers = request.headers
        service = self._handler.find_service(target) if kind is CallKind.SERVICE else None
        repeatable = service is None or request.method in service.repeatable_methods
        path = ""
        if service is not None:
            path = "/" + request.raw_path.split("/", 4)[4]
        return IncomingCall(
            account=account.name,
            program=program,
            index=read_index(headers),
            kind=kind,
            target=target,
            http_method=request.method,
            path=path,
            body=body,
            content_type=headers.get("Content-Type", ""),
            patience_s=read_patience(headers, account.patience_seconds),
            idempotency_key=read_idempotency_key(headers),
            # The header can forbid repeats, but never allow them.
            repeatable=repeatable and not forbids_repeat(headers),
            mode=read_mode(headers),
            resume_offset=read_offset(headers),
        )


async def _close_after_long_body(request: web.Request, response: web.StreamResponse) -> None:
    if request.get(ENDS_CONNECTION_KEY):
        response.force_close()


@web.middleware
async def _answer_refusals(request: web.Request, handler: Handler) -> web.StreamResponse:
    try:
        return await handler(request)
    except RefusedError as error:
        return refusal_response(error.refusal)


def refusal_response(refusal: Refusal) -> web.Response:
    """Returns the HTTP response for a refusal."""
    headers = {"Bayhinge-Run-State": refusal.run_state.value}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(refusal.retry_after_s)))
    return web.Response(
        status=refusal.http_status,
        body=refusal.to_json(),
        content_type=JSON,
        headers=headers,
    )


async def _with_prompt_close(items: AsyncIterator[AnswerItem]) -> AsyncGenerator[AnswerItem, None]:
    """Wraps an iterator so that closing the wrapper closes the generator behind it at once."""
    try:
        async for item in items:
            yield item
    finally:
        if isinstance(items, AsyncGenerator):
            await items.aclose()


def _service_response(program: str, end: AnswerEnd) -> web.Response:
    return web.Response(
        status=end.status,
        body=end.body,
        content_type=end.content_type or "application/octet-stream",
        headers=_headers(program, end.index),
    )


def _headers(program: str, index: int | None) -> dict[str, str]:
    headers = {PROGRAM_HEADER: program}
    if index is not None:
        headers[CALL_HEADER] = str(index)
    return headers


def _for_program(incoming: IncomingCall, program: str) -> IncomingCall:
    return attrs.evolve(incoming, program=program, index=0, idempotency_key=None)


def _incomplete_answer_refusal() -> Refusal:
    why = "the answer is incomplete; request it again with its call index"
    return not_run_refusal(RefusalCode.OWNER_UNREACHABLE, why, retry_after_s=0.5)
