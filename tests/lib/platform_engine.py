"""Stand-ins of an engine and of a plain service that speak the users' platform's calls."""

import asyncio
import itertools

import attrs
from aiohttp import web

from bayhinge_standins.http_service import StandinServer


@attrs.define
class Run:
    """One request that was worked on.

    Attributes:
        made: the events that left the engine whole, byte for byte.
        cut: what left of an event in whose middle it broke off.
        number: runs of all engines are counted in the order in which they began.
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


@attrs.define
class EngineTroubles:
    """What goes wrong; lists of attempts count down.

    Attributes:
        full: so many requests are turned away as not run.
        breaks_after: streams break off after so many events.
        loses_answers: so many requests run, and their connection is cut.
        pause_s: before the answer, and between events.
        cuts_events: a stream that breaks off does so in the middle of its next event.
        cut_at: the bytes of that event that still leave; counted from its end where negative.
        ends_well: an answer that was cut in an event ends as a whole one does.
        silent_after: streams fall silent for good after so many events.
        resumes_off_by: a resumed stream begins so many events too late, or too early.
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


class PlatformEngine(StandinServer):
    """Streams events on ``/chat/`` and ``/draft/``, and answers whole elsewhere."""

    def __init__(self, instance: str, service: str, events: int = 3) -> None:
        super().__init__()
        self.instance = instance
        self.service = service
        self.events = events
        self.runs: list[Run] = []
        self.troubles = EngineTroubles()
        self._numbers = itertools.count(1)

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Returns the engine's entry in the platform's store."""
        return {
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
        """Returns one event of one of its streams, as it goes out."""
        return f"id: {number}\ndata: r{stream}e{number}\n\n".encode()

    def add_routes(self, app: web.Application) -> None:
        app.router.add_route("*", "/{path:.*}", self._serve)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        attempt = request.headers["Bayhinge-Attempt-Id"]
        headers = {"Bayhinge-Attempt-Id": attempt}
        if request.headers.get("Bayhinge-Expect-Instance") != self.instance:
            return web.Response(status=421, headers=headers)
        body = await request.read()
        if self.troubles.full > 0:
            self.troubles.full -= 1
            return web.Response(status=503, headers=headers | {"Bayhinge-Not-Executed": "1"})
        sent = [(name, value) for name, value in request.headers.items()]
        run = Run(attempt, request.method, request.raw_path, body, sent)
        self.runs.append(run)
        headers["Bayhinge-Server-Seal"] = f"seal-{self.instance}"
        try:
            await asyncio.sleep(self.troubles.pause_s)
            if self.troubles.loses_answers > 0:
                self.troubles.loses_answers -= 1
                assert request.transport is not None
                request.transport.abort()
                raise ConnectionResetError
            if not request.path.startswith(("/chat/", "/draft/")):
                return web.Response(body=b"answer to " + body, headers=headers)
            return await self._stream(request, headers, run)
        except asyncio.CancelledError:
            run.was_cancelled = True
            raise

    async def _stream(
        self, request: web.Request, headers: dict[str, str], run: Run
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers | {"Content-Type": "text/event-stream"})
        await response.prepare(request)
        stream = next(self._numbers)
        resumed = request.headers.get("Last-Event-Id")
        first = 1 if resumed is None else int(resumed) + 1 + self.troubles.resumes_off_by
        for given, number in enumerate(range(max(1, first), self.events + 1)):
            event = self.event(stream, number)
            if self.troubles.breaks_after is not None and given >= self.troubles.breaks_after:
                if self.troubles.cuts_events:
                    run.cut = event[: self.troubles.cut_at]
                    await response.write(run.cut)
                    if self.troubles.ends_well:
                        break
                assert request.transport is not None
                request.transport.close()
                raise ConnectionResetError
            if given == self.troubles.silent_after:
                await asyncio.sleep(3600)
            run.made.append(event)
            await response.write(event)
            await asyncio.sleep(self.troubles.pause_s)
        await response.write_eof()
        return response
