"""Bytes that endpoints send without end are bounded for a request and a host, and stay there."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

import eliot
import pytest

from bayhinge._internal.services.gateway.held_memory import DEFAULT_BUDGET_BYTES
from tests.lib.flooding_endpoint import BEGIN_AND_REST_BY_KIND, MARK, FloodingEndpoint
from tests.lib.platform_site import PlatformSite, Reply, run_site

pytestmark = pytest.mark.functional

BUFFERS_BYTES = 24_000_000
"""What sockets and their buffers hold of ten connections beside the host's own."""

ROUTE_TIMEOUT_MS = 10_000
CLOSED_WITHIN_S = 4.0
"""Far less than the routes give, and far more than filling a budget takes on a busy machine."""

SHORT_BYTES = 1000

STREAM_KINDS = ("comments in a stream", "an event in a stream")
PLAIN_KINDS = tuple(kind for kind in BEGIN_AND_REST_BY_KIND if kind not in STREAM_KINDS)


@pytest.fixture
def logged() -> Iterator[list[dict[str, Any]]]:
    messages: list[dict[str, Any]] = []
    eliot.add_destinations(messages.append)
    yield messages
    eliot.remove_destination(messages.append)


def run_flooded(
    folder: Path,
    kind: str,
    scenario: Callable[[PlatformSite, FloodingEndpoint], Awaitable[None]],
) -> None:
    """Runs a site whose only endpoint of a service floods."""

    async def main(site: PlatformSite) -> None:
        await site.set_route_timeouts(ROUTE_TIMEOUT_MS)
        service = "llm" if kind in STREAM_KINDS else "app"
        flooding = FloodingEndpoint("i-flood", service, kind)
        await flooding.start()
        try:
            for endpoint in site.engines if service == "llm" else site.services:
                site.store.remove("servers", endpoint.instance)
            site.store.put("servers", flooding.instance, flooding.entry())
            table = site.entry_by_name["entry-0"]._gateway.endpoint_table
            await site.until(
                lambda: (
                    [state.entry.instance for state in table.of_service(service)] == ["i-flood"]
                ),
            )
            await scenario(site, flooding)
        finally:
            await flooding.stop()

    run_site(folder, main, entries=1)


@pytest.mark.parametrize("kind", PLAIN_KINDS)
def test_an_answer_without_end_is_closed_and_its_caller_gets_a_short_error(
    tmp_path: Path, kind: str, logged: list[dict[str, Any]]
) -> None:
    async def scenario(site: PlatformSite, flooding: FloodingEndpoint) -> None:
        for path in ("/look/a", "/act/a"):
            flooding.sent_bytes = 0
            began_s = time.monotonic()
            reply = await site.ask(path, b"x")
            assert time.monotonic() - began_s < CLOSED_WITHIN_S
            assert reply.status in {502, 503}
            assert len(reply.body) < SHORT_BYTES and MARK not in reply.body
            assert MARK.decode() not in repr(logged)
            await site.until(lambda: flooding.open_count == 0, limit_s=1.0)
            assert flooding.sent_bytes < DEFAULT_BUDGET_BYTES + BUFFERS_BYTES

    run_flooded(tmp_path, kind, scenario)


@pytest.mark.parametrize("kind", STREAM_KINDS)
def test_a_stream_without_events_is_closed(
    tmp_path: Path, kind: str, logged: list[dict[str, Any]]
) -> None:
    async def scenario(site: PlatformSite, flooding: FloodingEndpoint) -> None:
        for path in ("/chat/x", "/draft/x"):
            began_s = time.monotonic()
            reply = await site.turn(b"x", path=path, program=path)
            assert time.monotonic() - began_s < CLOSED_WITHIN_S
            assert not reply.is_whole or reply.status == 502
            await site.until(lambda: flooding.open_count == 0, limit_s=1.0)
        assert MARK.decode() not in repr(logged)

    run_flooded(tmp_path, kind, scenario)


@pytest.mark.parametrize("kind", ["chunked body", "body without a length"])
def test_ten_bodies_without_end_stay_within_the_host_s_memory_and_harm_no_other_request(
    tmp_path: Path, kind: str
) -> None:
    async def scenario(site: PlatformSite, flooding: FloodingEndpoint) -> None:
        budget = site.entry_by_name["entry-0"]._gateway.memory.budget
        assert budget is not None and budget.limit_bytes == DEFAULT_BUDGET_BYTES
        site.store.put("servers", "i-llm-1", site.engines[0].entry())
        took_s: list[float] = []

        async def ask(number: int) -> Reply:
            began_s = time.monotonic()
            reply = await site.ask("/act/a", b"%d" % number)
            took_s.append(time.monotonic() - began_s)
            return reply

        floods = [asyncio.create_task(ask(number)) for number in range(10)]
        slowest_s = 0.0
        while not all(flood.done() for flood in floods):
            asked_s = time.monotonic()
            number = round(asked_s * 1000)
            assert (await site.turn(b"fine", program=f"p-{number}")).status == 200
            slowest_s = max(slowest_s, time.monotonic() - asked_s)
        assert max(took_s) < CLOSED_WITHIN_S
        assert slowest_s < CLOSED_WITHIN_S
        replies = [flood.result() for flood in floods]
        assert {reply.status for reply in replies} == {502}
        assert all(len(reply.body) < SHORT_BYTES for reply in replies)
        assert flooding.requests == 10
        # What one has given back, another may take.
        assert flooding.sent_bytes < 3 * DEFAULT_BUDGET_BYTES + BUFFERS_BYTES
        await site.until(lambda: budget.held_bytes == 0, limit_s=1.0)

    run_flooded(tmp_path, kind, scenario)


def test_a_large_answer_without_a_length_is_delivered_beside_others(tmp_path: Path) -> None:
    size = 8_000_000

    async def scenario(site: PlatformSite) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            attempt = head.lower().split(b"bayhinge-attempt-id: ")[1].split(b"\r\n")[0]
            writer.write(
                b"HTTP/1.1 200 OK\r\nBayhinge-Attempt-Id: %b\r\nBayhinge-Server-Seal: s\r\n\r\n"
                % attempt
            )
            for _ in range(size // 100_000):
                writer.write(b"a" * 100_000)
                await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        for endpoint in site.services:
            site.store.remove("servers", endpoint.instance)
        site.store.put("servers", "i-big", site.services[0].entry() | {"address": address})
        table = site.entry_by_name["entry-0"]._gateway.endpoint_table
        await site.until(
            lambda: [state.entry.instance for state in table.of_service("app")] == ["i-big"]
        )
        replies = await asyncio.gather(*[site.ask("/look/a", b"%d" % n) for n in range(6)])
        assert [reply.status for reply in replies] == [200] * 6
        assert {len(reply.body) for reply in replies} == {size}
        server.close()

    run_site(tmp_path, scenario, entries=1)
