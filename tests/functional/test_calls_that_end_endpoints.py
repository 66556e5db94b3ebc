"""A call of the own interface ends three endpoints at most, over all tries of its program."""

import asyncio
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import cast

import attrs
import pytest

from bayhinge._internal.decisions.offers import CallCompletion, Offer
from bayhinge._internal.models.accounts import ClientAccount
from bayhinge._internal.models.calls import Call, ServiceCall
from bayhinge._internal.models.ids import ProgramId
from bayhinge._internal.models.programs import ProgramState
from bayhinge._internal.models.refusals import RefusalCode, RefusedError, RunState
from bayhinge._internal.models.settings import ServiceSettings, Settings
from bayhinge._internal.network.endpoint_client import EndpointTimeouts, HttpEndpointClient
from bayhinge._internal.services.call_runner import CallRunner, PreparedCall
from bayhinge._internal.services.grants import GrantedEndpoint, GrantSource
from bayhinge._internal.services.timeline import Timeline
from bayhinge.coordination.clock import HybridClock, SystemClock

pytestmark = pytest.mark.functional

MAX_ENDED = 3
PROGRAM = ProgramId("host~0123456789ab", 1)
ACCOUNT = cast(ClientAccount, SimpleNamespace(name="a", priority=0, weight=1.0))
TIMEOUT_S = 0.4
"""Timeout of calls; short, as those to frozen endpoints last so long."""

FROZEN_S = 30.0
ENDS_LATER_S = 0.1
SETTINGS = cast(
    Settings,
    SimpleNamespace(services_by_name={"app": ServiceSettings("app", timeout_seconds=TIMEOUT_S)}),
)


@attrs.define
class Endpoints(GrantSource):
    """Endpoints on loopback, each of which gets one call.

    Attributes:
        ends: they stop listening under a call.
        freezes: they answer nothing from a call on; the kernel goes on accepting connections.
        hangs: they don't answer the call, but everything else.
        ends_later: they break the call off, answer others for a moment, and stop listening then.
        moves_on: frozen endpoints answer again.
    """

    ends: bool = False
    freezes: bool = False
    hangs: bool = False
    ends_later: bool = False
    calls: int = 0
    ended: int = 0
    moves_on: asyncio.Event = attrs.field(factory=asyncio.Event)
    _frozen: set[int] = attrs.field(factory=set)
    _servers: list[asyncio.Server] = attrs.field(factory=list)

    async def request(self, pool: str, offer: Offer) -> GrantedEndpoint:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._servers.append(server)
        port = server.sockets[0].getsockname()[1]
        name = f"e-{len(self._servers)}"
        return GrantedEndpoint(offer.grant, "cell", name, f"http://127.0.0.1:{port}", 0.0, "")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readline()
        if not head:
            return
        port = writer.get_extra_info("sockname")[1]
        if port in self._frozen:
            await self.moves_on.wait()
        if head.startswith(b"HEAD"):
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            writer.close()
            return
        self.calls += 1
        if self.freezes:
            self._frozen.add(port)
        if self.freezes or self.hangs:
            await asyncio.sleep(FROZEN_S)
        if self.ends:
            self._end(self._servers[-1])
        if self.ends_later:
            asyncio.get_running_loop().call_later(ENDS_LATER_S, self._end, self._servers[-1])
        writer.transport.abort()

    def _end(self, server: asyncio.Server) -> None:
        self.ended += 1
        server.close()

    def done(self, granted: GrantedEndpoint, done: CallCompletion) -> None:
        """See :class:`GrantSource`."""

    def program_ended(self, program: str, pools: frozenset[str]) -> None:
        """See :class:`GrantSource`."""


def prepared_call(digest: str) -> PreparedCall:
    work = ServiceCall("app", "GET", "/x", b"", "", repeatable=True)
    call = Call("a", PROGRAM, 0, digest, None, 5.0, work)
    state = ProgramState(PROGRAM, "a", None, 0)
    deadline_s = asyncio.get_running_loop().time() + 5.0
    return PreparedCall(state, ACCOUNT, call, 0, (), deadline_s)


def run_with(
    endpoints: Endpoints,
    scenario: Callable[[Callable[[str], Awaitable[RefusedError]]], Awaitable[None]],
) -> None:
    """Runs a scenario, which gets a function that makes one try of a call."""

    async def main() -> None:
        client = HttpEndpointClient(EndpointTimeouts(connect_s=0.4))
        timeline = Timeline("host", HybridClock(SystemClock()))
        runner = CallRunner("host~0123456789ab", SETTINGS, endpoints, client, timeline, lambda: 0.5)

        async def try_call(digest: str) -> RefusedError:
            with pytest.raises(RefusedError) as caught:
                await runner.run_service(prepared_call(digest), None)
            return caught.value

        await scenario(try_call)
        await client.close()

    asyncio.run(main())


def test_a_call_that_its_program_repeats_ends_three_endpoints() -> None:
    endpoints = Endpoints(ends=True)

    async def scenario(try_call: Callable[[str], Awaitable[RefusedError]]) -> None:
        for _ in range(3):
            refusal = (await try_call("d")).refusal
            assert refusal.code is RefusalCode.ENDS_ENDPOINTS
            assert refusal.run_state is RunState.MAY_HAVE_RUN
        assert endpoints.ended == MAX_ENDED
        await try_call("another")
        assert endpoints.ended == 2 * MAX_ENDED

    run_with(endpoints, scenario)


def test_a_call_whose_answers_are_lost_is_tried_as_before() -> None:
    endpoints = Endpoints(ends=False)

    async def scenario(try_call: Callable[[str], Awaitable[RefusedError]]) -> None:
        for number in range(1, 4):
            assert (await try_call("d")).refusal.code is RefusalCode.ENDPOINT_FAILED
            assert endpoints.calls == 4 * number

    run_with(endpoints, scenario)


def test_a_call_whose_endpoints_freeze_under_it_ends_three() -> None:
    """Guards against a connection that is taken for a sign of life."""
    endpoints = Endpoints(freezes=True)

    async def scenario(try_call: Callable[[str], Awaitable[RefusedError]]) -> None:
        for _ in range(3):
            refusal = (await try_call("d")).refusal
            assert refusal.code is RefusalCode.ENDPOINT_FAILED
            assert refusal.run_state is RunState.MAY_HAVE_RUN
            assert refusal.retry_after_s
        assert endpoints.calls == MAX_ENDED
        # They were in doubt alone: once they answer, the call is tried again.
        endpoints.moves_on.set()
        await try_call("d")
        assert endpoints.calls == MAX_ENDED + 4

    run_with(endpoints, scenario)


def test_a_call_that_hangs_at_living_endpoints_is_tried_as_before() -> None:
    endpoints = Endpoints(hangs=True)

    async def scenario(try_call: Callable[[str], Awaitable[RefusedError]]) -> None:
        for number in range(1, 3):
            assert (await try_call("d")).refusal.code is RefusalCode.ENDPOINT_FAILED
            assert endpoints.calls == 4 * number

    run_with(endpoints, scenario)


def test_a_call_whose_endpoints_answer_once_more_before_they_end_ends_three() -> None:
    """Guards against a sign of life of an endpoint that is about to end."""
    endpoints = Endpoints(ends_later=True)

    async def scenario(try_call: Callable[[str], Awaitable[RefusedError]]) -> None:
        for _ in range(3):
            assert (await try_call("d")).refusal.run_state is RunState.MAY_HAVE_RUN
        assert endpoints.ended == MAX_ENDED

    run_with(endpoints, scenario)
