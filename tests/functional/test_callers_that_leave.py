"""Callers that disconnect at any point of a request: running work ends, and none is started."""

import asyncio
from pathlib import Path

import pytest

from tests.lib.platform_engine import PlatformEngine
from tests.lib.platform_site import PlatformSite, run_site

pytestmark = pytest.mark.functional

CANCEL_S = 0.5
"""Work for a caller must end within this time after the caller disconnects."""

CONNECT_S = 3.0
"""A ready host must accept and answer new connections within this time."""

REQUEST_HEADS = {
    "stream": b"POST /chat/x HTTP/1.1\r\nHost: desk.example\r\nBayhinge-Attempt-Id: lone\r\n",
    "repeatable": b"GET /look/x HTTP/1.1\r\nHost: desk.example\r\nBayhinge-Attempt-Id: lone\r\n",
    "once": b"POST /act/x HTTP/1.1\r\nHost: desk.example\r\nBayhinge-Attempt-Id: lone\r\n",
}


def endpoints(site: PlatformSite) -> list[PlatformEngine]:
    return [*site.engines, *site.services]


def runs_of(site: PlatformSite) -> list[object]:
    return [run for endpoint in endpoints(site) for run in endpoint.runs]


async def connect(site: PlatformSite) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = site.address("entry-0").removeprefix("http://").partition(":")
    return await asyncio.open_connection(host, int(port))


@pytest.mark.parametrize("kind", REQUEST_HEADS)
@pytest.mark.parametrize("how", ["close", "reset"])
def test_running_work_is_cancelled(kind: str, how: str, tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        for endpoint in endpoints(site):
            endpoint.faults.pause_s = 5.0
        _, writer = await connect(site)
        writer.write(REQUEST_HEADS[kind] + b"Content-Length: 0\r\n\r\n")
        await site.until(lambda: bool(runs_of(site)))
        if how == "close":
            writer.close()
        else:
            writer.transport.abort()
        runs = [run for endpoint in endpoints(site) for run in endpoint.runs]
        await site.until(lambda: all(run.was_cancelled for run in runs), limit_s=CANCEL_S)
        assert len(runs_of(site)) == 1, "it must not be sent to another endpoint"

    run_site(tmp_path, scenario)


def test_a_request_with_an_incomplete_body_reaches_no_endpoint(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        front = site.entry_by_name["entry-0"]._gateway.front
        _, writer = await connect(site)
        writer.write(REQUEST_HEADS["stream"] + b"Content-Length: 100\r\n\r\nhalf of")
        await site.until(lambda: front.running == 1)
        writer.close()
        await site.until(lambda: front.running == 0, limit_s=CANCEL_S)
        assert runs_of(site) == []

    run_site(tmp_path, scenario)


def test_a_request_that_waits_for_a_coordinator_reaches_no_endpoint(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        gateway = site.entry_by_name["entry-0"]._gateway
        asked = asyncio.Event()

        async def hang(*_: object) -> None:
            asked.set()
            await asyncio.sleep(30)

        gateway.requests._sender._placer.place = hang  # type: ignore[assignment, method-assign]
        _, writer = await connect(site)
        writer.write(REQUEST_HEADS["repeatable"] + b"Content-Length: 0\r\n\r\n")
        await asked.wait()
        writer.close()
        await site.until(lambda: gateway.front.running == 0, limit_s=CANCEL_S)
        assert runs_of(site) == []

    run_site(tmp_path, scenario)


def test_a_request_that_hangs_in_connecting_ends_when_its_caller_disconnects(
    tmp_path: Path,
) -> None:
    async def scenario(site: PlatformSite) -> None:
        gateway = site.entry_by_name["entry-0"]._gateway
        asked = asyncio.Event()

        async def hang(*_: object) -> None:
            asked.set()
            await asyncio.sleep(30)

        gateway.connection_pool.acquire = hang  # type: ignore[assignment, method-assign]
        _, writer = await connect(site)
        writer.write(REQUEST_HEADS["once"] + b"Content-Length: 0\r\n\r\n")
        await asked.wait()
        writer.close()
        await site.until(lambda: gateway.front.running == 0, limit_s=CANCEL_S)
        assert gateway.endpoint_table.running_here() == {}, (
            "it must not count as running there any more"
        )

    run_site(tmp_path, scenario)


def test_a_ready_host_accepts_new_connections_while_many_are_open(
    tmp_path: Path,
) -> None:
    async def scenario(site: PlatformSite) -> None:
        for service in site.services:
            service.faults.pause_s = 1.0
        connections = [await connect(site) for _ in range(200)]
        for _, writer in connections[:40]:
            writer.write(REQUEST_HEADS["once"] + b"Content-Length: 0\r\n\r\n")
        assert await site.ready() == 200

        async def status_line() -> bytes:
            reader, writer = await connect(site)
            writer.write(b"GET /nowhere HTTP/1.1\r\nHost: x\r\nBayhinge-Attempt-Id: n\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return line

        async with asyncio.timeout(CONNECT_S):
            lines = await asyncio.gather(*(status_line() for _ in range(7)))
        assert all(line.startswith(b"HTTP/1.1 404") for line in lines)
        for _, writer in connections:
            writer.close()

    run_site(tmp_path, scenario)
