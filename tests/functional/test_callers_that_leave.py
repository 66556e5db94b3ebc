"""A caller leaves, at whichever point its request stands: work for it ends, none begins."""

import asyncio
from pathlib import Path

import pytest

from tests.lib.platform_engine import PlatformEngine
from tests.lib.platform_site import PlatformSite, run_site

pytestmark = pytest.mark.functional

GONE_S = 0.5
"""Work for a caller ends within this time of its close."""

CONTACT_S = 3.0
"""A host that says it is ready takes a new connection within this time."""

HEADS = {
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


@pytest.mark.parametrize("kind", HEADS)
@pytest.mark.parametrize("how", ["close", "reset"])
def test_work_that_has_begun_ends(kind: str, how: str, tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        for endpoint in endpoints(site):
            endpoint.troubles.pause_s = 5.0
        _, writer = await connect(site)
        writer.write(HEADS[kind] + b"Content-Length: 0\r\n\r\n")
        await site.until(lambda: bool(runs_of(site)))
        if how == "close":
            writer.close()
        else:
            writer.transport.abort()
        runs = [run for endpoint in endpoints(site) for run in endpoint.runs]
        await site.until(lambda: all(run.was_cancelled for run in runs), limit_s=GONE_S)
        assert len(runs_of(site)) == 1, "nor does it go to another endpoint"

    run_site(tmp_path, scenario)


def test_a_request_whose_body_was_still_coming_reaches_no_endpoint(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        front = site.entry_by_name["entry-0"]._gateway.front
        _, writer = await connect(site)
        writer.write(HEADS["stream"] + b"Content-Length: 100\r\n\r\nhalf of")
        await site.until(lambda: front.running == 1)
        writer.close()
        await site.until(lambda: front.running == 0, limit_s=GONE_S)
        assert runs_of(site) == []

    run_site(tmp_path, scenario)


def test_a_request_that_waits_for_a_coordinator_reaches_no_endpoint(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        gateway = site.entry_by_name["entry-0"]._gateway
        asked = asyncio.Event()

        async def never(*_: object) -> None:
            asked.set()
            await asyncio.sleep(30)

        gateway.requests._sender._placer.place = never  # type: ignore[assignment, method-assign]
        _, writer = await connect(site)
        writer.write(HEADS["repeatable"] + b"Content-Length: 0\r\n\r\n")
        await asked.wait()
        writer.close()
        await site.until(lambda: gateway.front.running == 0, limit_s=GONE_S)
        assert runs_of(site) == []

    run_site(tmp_path, scenario)


def test_a_request_whose_connection_to_the_endpoint_hangs_ends_with_its_caller(
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
        writer.write(HEADS["once"] + b"Content-Length: 0\r\n\r\n")
        await asked.wait()
        writer.close()
        await site.until(lambda: gateway.front.running == 0, limit_s=GONE_S)
        assert gateway.endpoint_table.running_here() == {}, "it counts no longer as under way there"

    run_site(tmp_path, scenario)


def test_a_host_that_says_it_is_ready_takes_new_connections_while_many_are_open(
    tmp_path: Path,
) -> None:
    async def scenario(site: PlatformSite) -> None:
        for service in site.services:
            service.troubles.pause_s = 1.0
        held = [await connect(site) for _ in range(200)]
        for _, writer in held[:40]:
            writer.write(HEADS["once"] + b"Content-Length: 0\r\n\r\n")
        assert await site.ready() == 200

        async def answered() -> bytes:
            reader, writer = await connect(site)
            writer.write(b"GET /nowhere HTTP/1.1\r\nHost: x\r\nBayhinge-Attempt-Id: n\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return line

        async with asyncio.timeout(CONTACT_S):
            lines = await asyncio.gather(*(answered() for _ in range(7)))
        assert all(line.startswith(b"HTTP/1.1 404") for line in lines)
        for _, writer in held:
            writer.close()

    run_site(tmp_path, scenario)
