"""Open connections that fall silent for good while new ones work: every kind of link detects it."""

import asyncio
import socket
from pathlib import Path

import orjson
import pytest

from bayhinge._internal.exceptions import PeerUnreachableError
from bayhinge._internal.network.peer_client import PeerClient
from bayhinge._internal.network.peer_server import PeerServer
from bayhinge._internal.network.peers import UnaryPeerHandler
from bayhinge._internal.services.gateway.turn_refusals import DISK_ANSWER_S
from bayhinge.coordination.clock import HybridClock, SystemClock
from tests.lib.charged_time import charged_time
from tests.lib.platform_data import CONFIGURATION
from tests.lib.platform_engine import EngineFaults, PlatformEngine
from tests.lib.platform_site import PlatformSite, run_site
from tests.lib.silence import fall_silent, silence_connections

pytestmark = pytest.mark.functional

RECONNECT_S = 3.0
"""A host must have working connections again within this time after the silence began."""

APPLY_S = 2.0
"""A configuration must be in force within this time after the store accepted it."""


def disk_addresses(site: PlatformSite) -> list[str]:
    return [disk._disk.settings.peer_address for disk in site.disk_by_name.values()]


def entry_addresses(site: PlatformSite) -> list[str]:
    return [entry._gateway.settings.peer_address for entry in site.entry_by_name.values()]


def endpoint_addresses(endpoints: list[PlatformEngine]) -> list[str]:
    return [f"127.0.0.1:{endpoint.port}" for endpoint in endpoints]


class Echo(UnaryPeerHandler):
    async def answer(self, method: str, payload: bytes) -> bytes:
        if method == "never":
            await asyncio.sleep(60)
        return payload


def test_a_call_that_times_out_abandons_the_silent_peer_link() -> None:
    async def main() -> None:
        server = PeerServer("127.0.0.1:0", Echo(), HybridClock(SystemClock()))
        address = await server.start()
        client = PeerClient(HybridClock(SystemClock()), connect_s=0.5)
        assert await client.call(address, "echo", b"1") == b"1"
        assert silence_connections([address]) == 2
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.04):
                await client.call(address, "echo", b"2")
        async with asyncio.timeout(0.04):
            assert await client.call(address, "echo", b"3") == b"3"
        assert client.abandoned_connections == 1
        await client.close()
        await server.stop()

    asyncio.run(main())


def test_a_call_without_a_timeout_ends_when_its_link_is_silent() -> None:
    async def main() -> None:
        server = PeerServer("127.0.0.1:0", Echo(), HybridClock(SystemClock()))
        address = await server.start()
        client = PeerClient(HybridClock(SystemClock()), connect_s=0.5)
        waiting = asyncio.create_task(client.call(address, "never", b""))
        await asyncio.sleep(0.05)
        assert silence_connections([address]) == 2
        # Its request was acknowledged long ago: only the kernel's probes detect the silence.
        async with asyncio.timeout(RECONNECT_S):
            with pytest.raises(PeerUnreachableError):
                await waiting
        await client.close()
        await server.stop()

    asyncio.run(main())


def test_a_slow_peer_link_is_kept_and_a_silent_one_is_abandoned_once() -> None:
    async def main() -> None:
        server = PeerServer("127.0.0.1:0", Echo(), HybridClock(SystemClock()))
        address = await server.start()
        client = PeerClient(HybridClock(SystemClock()), connect_s=0.5)

        async def call_until_timeout() -> None:
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.04):
                    await client.call(address, "never", b"")

        await client.call(address, "echo", b"")
        slow = asyncio.create_task(call_until_timeout())
        await asyncio.sleep(0.02)
        await client.call(address, "echo", b"")
        await slow
        assert client.abandoned_connections == 0, "the link received data while the call waited"
        for _ in range(5):
            await call_until_timeout()
        # The second connection never received any data, so a third would not help.
        assert client.abandoned_connections == 1
        await client.close()
        await server.stop()

    asyncio.run(main())


def test_turns_continue_when_every_link_to_disks_and_peers_is_silent(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        for number in range(4):
            # Opens the links between all hosts that the later turns need.
            first = await site.turn(b"one ", at=f"entry-{number % 2}", program=f"w{number}")
        assert silence_connections([*disk_addresses(site), *entry_addresses(site)]) >= 6
        loop = asyncio.get_running_loop()
        began = loop.time()
        second = await site.turn(b"two ", first)
        assert (second.status, second.is_whole) == (200, True)
        assert loop.time() - began < DISK_ANSWER_S
        replies = await asyncio.gather(
            *(site.turn(b"x", program=f"p{number}", at="entry-1") for number in range(5))
        )
        assert [reply.status for reply in replies] == [200] * 5, [
            reply.body for reply in replies if reply.status != 200
        ]

    run_site(tmp_path, scenario)


def test_updates_from_the_store_arrive_although_every_watch_is_silent(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        assert silence_connections([site.store.address, *entry_addresses(site)]) >= 4
        loop = asyncio.get_running_loop()
        began = loop.time()
        newer = orjson.loads(orjson.dumps(CONFIGURATION)) | {"version": 9}
        site.store.put("config", "main", newer)
        await site.until(
            lambda: all(
                entry._gateway.configuration.table is not None
                and entry._gateway.configuration.table.version == 9
                for entry in site.entry_by_name.values()
            )
        )
        assert loop.time() - began < RECONNECT_S + APPLY_S / 2

    run_site(tmp_path, scenario)


def test_a_disk_is_retired_although_its_watch_is_silent(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        assert silence_connections([site.store.address]) >= 2
        await asyncio.sleep(RECONNECT_S)
        site.retire("disk-1")
        await site.until(
            lambda: site.store.status("retirements", "disk-1") == {"state": "completed"},
            limit_s=4.0,
        )

    run_site(tmp_path, scenario)


def test_a_lookup_fails_over_from_a_silent_endpoint_connection(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        for _ in range(4):
            assert (await site.ask("/look/x", method="GET")).status == 200
        assert silence_connections(endpoint_addresses(site.services)) >= 1
        async with charged_time() as charged:
            assert (await site.ask("/look/x", method="GET")).status == 200
            assert charged.seconds < 1.0

    run_site(tmp_path, scenario)


def test_an_at_most_once_request_on_a_silent_connection_may_have_run(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        assert (await site.ask("/act/x", b"pay")).status == 200
        silence_connections(endpoint_addresses(site.services))
        reply = await site.ask("/act/x", b"pay")
        assert reply.status in {502, 504}
        assert "Retry-After" not in reply.headers
        assert (await site.ask("/act/x", b"pay")).status == 200

    run_site(tmp_path, scenario)


def test_a_silent_stream_that_may_not_be_resumed_ends_incomplete(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        for engine in site.engines:
            engine.faults = EngineFaults(silent_after=1)
        asking = asyncio.create_task(site.turn(b"hello"))
        await site.until(lambda: any(engine.runs for engine in site.engines))
        await asyncio.sleep(0.1)
        assert silence_connections(endpoint_addresses(site.engines)) == 2
        async with asyncio.timeout(RECONNECT_S):
            assert not (await asking).is_whole

    run_site(tmp_path, scenario)


def test_work_for_a_silent_caller_is_cancelled(tmp_path: Path) -> None:
    async def scenario(site: PlatformSite) -> None:
        for engine in site.engines:
            engine.events, engine.faults.pause_s = 1000, 0.05
        loop = asyncio.get_running_loop()
        address = site.address("entry-0").removeprefix("http://")
        host, _, port = address.partition(":")
        caller = socket.create_connection((host, int(port)))
        caller.setblocking(False)
        head = b"POST /chat/x HTTP/1.1\r\nHost: desk.example\r\nBayhinge-Attempt-Id: lone\r\n"
        await loop.sock_sendall(caller, head + b"Content-Length: 0\r\n\r\n")
        assert await loop.sock_recv(caller, 100)
        fall_silent(caller)
        (run,) = [run for engine in site.engines for run in engine.runs]
        await site.until(lambda: run.was_cancelled, limit_s=4.5)
        caller.close()

    run_site(tmp_path, scenario)
