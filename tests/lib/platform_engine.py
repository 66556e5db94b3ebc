"""Fake engine and fake plain service with the HTTP interface of the users' platform."""

import asyncio
import itertools
import time
import weakref

import attrs
from aiohttp import web

from bayhinge_standins.http_service import LOOPBACK, StandinServer

HEALTH_PATH = "/healthz"


@attrs.define
class Run:
    """One execution of a request.

    Attributes:
        made: the complete events that were sent, byte for byte.
        cut: the part sent of an event that was truncated.
        number: sequence number over the runs of all engines, by start.
        began_s: start time, on the monotonic clock.
    """

    attempt: str
    method: str
    target: str
    body: bytes
    headers: list[tuple[str, str]]
    was_cancelled: bool = False
    made: list[bytes] = attrs.field(factory=list)
    cut: bytes = b""
    number: int = attrs.field(factory=itertools.count(1).__next__)
    began_s: float = attrs.field(factory=time.monotonic)


@attrs.define
class EngineFaults:
    """Faults of an engine.

    Attributes:
        full: number of requests still to be refused with 503 as not executed.
        breaks_after: number of events after which streams are broken.
        loses_answers: number of requests still to be executed without an answer.
        pause_s: delay before the answer and between events.
        cuts_events: whether a broken stream ends within its next event.
        cut_at: end of the slice of that event that is still sent.
        ends_well: whether such a stream ends without a connection error.
        silent_after: number of events after which streams stall for good.
        event_bytes: length to which the data of events is filled up.
        cuts_unread_s: time after which a stream that is not read is cut off, or None.
        resumes_off_by: added to the number of the first event of a resumed stream.
    """

    full: int = 0
    breaks_after: int | None = None
    loses_answers: int = 0
    pause_s: float = 0.0
    cuts_events: bool = False
    cut_at: int = -4
    ends_well: bool = False
    silent_after: int | None = None
    resumes_off_by: int = 0
    event_bytes: int = 0
    cuts_unread_s: float | None = None


class PlatformEngine(StandinServer):
    """Streams events on ``/chat/`` and ``/draft/``; gives plain answers on other paths."""

    def __init__(self, instance: str, service: str, events: int = 3) -> None:
        super().__init__()
        self.instance = instance
        self.service = service
        self.events = events
        self.runs: list[Run] = []
        self.faults = EngineFaults()
        self.born_ms: int | None = None
        self._incarnation = 0
        self._incarnation_by_connection: weakref.WeakKeyDictionary[object, int] = (
            weakref.WeakKeyDictionary()
        )
        self._stream_numbers = itertools.count(1)

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Returns the engine's entry in the platform's store."""
        born = {} if self.born_ms is None else {"born": self.born_ms}
        return born | {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "north",
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_left_ms": 0,
            "seq": 1,
        }

    def event(self, stream: int, number: int) -> bytes:
        """Returns the bytes of one event."""
        data = f"r{stream}e{number}".ljust(self.faults.event_bytes, ".")
        return f"id: {number}\ndata: {data}\n\n".encode()

    async def restart(self, born_ms: int | None, moves: bool = False) -> None:
        """Restarts under its id; connections of the former incarnation stay open and stall.

        If it ``moves``, it listens on a new port instead of the former one.
        """
        self.born_ms = born_ms
        self._incarnation += 1
        if moves:
            assert self._runner is not None
            for site in list(self._runner.sites):
                await site.stop()
            site = web.TCPSite(self._runner, LOOPBACK, 0)
            await site.start()
            self.port = self._runner.addresses[-1][1]

    async def _incarnation_of(self, request: web.Request) -> int:
        """Returns the incarnation that a connection belongs to; stalls if that has ended."""
        incarnation = self._incarnation_by_connection.setdefault(
            request.transport, self._incarnation
        )
        await self._pause(incarnation)
        return incarnation

    async def _pause(self, incarnation: int, pause_s: float = 0.0) -> None:
        """Pauses, then stalls unless the request's incarnation is the current one."""
        await asyncio.sleep(pause_s)
        if incarnation != self._incarnation:
            await asyncio.sleep(3600)

    def add_routes(self, app: web.Application) -> None:
        app.router.add_route("*", "/{path:.*}", self._serve)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        incarnation = await self._incarnation_of(request)
        if request.path == HEALTH_PATH:
            return web.Response(headers={"Bayhinge-Instance-Id": self.instance})
        attempt = request.headers["Bayhinge-Attempt-Id"]
        headers = {"Bayhinge-Attempt-Id": attempt}
        if request.headers.get("Bayhinge-Expect-Instance") != self.instance:
            return web.Response(status=421, headers=headers)
        # Not read(), which refuses bodies of more than a megabyte.
        body = b"".join([piece async for piece in request.content.iter_any()])
        if self.faults.full > 0:
            self.faults.full -= 1
            return web.Response(status=503, headers=headers | {"Bayhinge-Not-Executed": "1"})
        sent = [(name, value) for name, value in request.headers.items()]
        run = Run(attempt, request.method, request.raw_path, body, sent)
        self.runs.append(run)
        await self.begin_run(request, run)
        headers["Bayhinge-Server-Seal"] = f"seal-{self.instance}"
        try:
            await self._pause(incarnation, self.faults.pause_s)
            if self.faults.loses_answers > 0:
                self.faults.loses_answers -= 1
                assert request.transport is not None
                request.transport.abort()
                raise ConnectionResetError
            if not request.path.startswith(("/chat/", "/draft/")):
                return web.Response(body=b"answer to " + body, headers=headers)
            return await self._stream(request, headers, run, incarnation)
        except asyncio.CancelledError:
            run.was_cancelled = True
            raise

    async def begin_run(self, request: web.Request, run: Run) -> None:
        """Is called when a run begins; does nothing here."""

    async def _write(
        self, request: web.Request, response: web.StreamResponse, event: bytes
    ) -> None:
        try:
            async with asyncio.timeout(self.faults.cuts_unread_s):
                await response.write(event)
        except TimeoutError:
            assert request.transport is not None
            request.transport.abort()
            raise ConnectionResetError from None

    async def _stream(
        self, request: web.Request, headers: dict[str, str], run: Run, incarnation: int
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers | {"Content-Type": "text/event-stream"})
        await response.prepare(request)
        stream = next(self._stream_numbers)
        last_event_id = request.headers.get("Last-Event-Id")
        first = 1 if last_event_id is None else int(last_event_id) + 1 + self.faults.resumes_off_by
        for sent_count, number in enumerate(range(max(1, first), self.events + 1)):
            event = self.event(stream, number)
            if self.faults.breaks_after is not None and sent_count >= self.faults.breaks_after:
                if self.faults.cuts_events:
                    run.cut = event[: self.faults.cut_at]
                    await response.write(run.cut)
                    if self.faults.ends_well:
                        break
                assert request.transport is not None
                request.transport.close()
                raise ConnectionResetError
            if sent_count == self.faults.silent_after:
                await asyncio.sleep(3600)
            run.made.append(event)
            await self._write(request, response, event)
            await self._pause(incarnation, self.faults.pause_s)
        await response.write_eof()
        return response
