"""Failures that use up the memory of a host, one at a time, on a small site and on both loops."""

import asyncio
import copy
import socket
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from bayhinge._internal.decisions.memory_budget import MemoryBudget, MemoryClaim, MemoryHolder
from bayhinge._internal.network import send_timer
from bayhinge._internal.services.gateway.held_memory import HeldMemory
from bayhinge._internal.services.gateway.metrics import entry_metrics
from bayhinge._internal.utils.event_loop import loop_factory
from tests.lib.log_lines import collected_lines, lines_of_type
from tests.lib.platform_data import CONFIGURATION
from tests.lib.platform_engine import EngineFaults, PlatformEngine
from tests.lib.platform_site import PlatformSite, run_site
from tests.lib.silence import fall_silent

pytestmark = pytest.mark.functional

MB = 2**20

CUT_UNREAD_S = 2.0
"""Time after which an engine cuts off a stream that is not read."""

PATIENCE_S = 30.0
"""How long callers wait, so that no request is refused for its time."""

LOOPS = {"uvloop": loop_factory(), "asyncio": None}
Scenario = Callable[[PlatformSite], Awaitable[Any]]


class PeakBudget(MemoryBudget):
    """Remembers the most that was ever held."""

    peak_bytes = 0

    def _add(self, claim: MemoryClaim, holder: MemoryHolder, size: int) -> None:
        super()._add(claim, holder, size)
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)


def run(folder: Path, loop: str, scenario: Scenario) -> None:
    run_site(folder, scenario, entries=1, loop_factory=LOOPS[loop])


def memory_of(site: PlatformSite, budget: MemoryBudget) -> HeldMemory:
    """Gives the only entry host a budget."""
    memory = site.entry_by_name["entry-0"]._gateway.memory
    memory.budget = budget
    return memory


async def allow_much(site: PlatformSite) -> None:
    """Allows long bodies and waits: requests must fail for no reason but memory."""
    configuration = copy.deepcopy(CONFIGURATION)
    configuration["version"] += 1
    configuration["limits"]["max_body_bytes"] = 4 * MB
    for route in configuration["routes"]:
        route["timeout_ms"] = int(PATIENCE_S * 1000)
    site.store.put("config", "main", configuration)
    state = site.entry_by_name["entry-0"]._gateway.configuration
    await site.until(lambda: state.version == configuration["version"])


def head(path: str, attempt: str, *more: str) -> bytes:
    lines = [f"POST {path} HTTP/1.1", "Host: desk.example", f"Bayhinge-Attempt-Id: {attempt}"]
    return "\r\n".join([*lines, *more, "", ""]).encode()


def turn_head(attempt: str, body: bytes) -> bytes:
    return head(
        "/chat/x",
        attempt,
        "Bayhinge-Program-Id: p",
        "Bayhinge-Session-Id: s",
        "Bayhinge-Token-Usage: 100,30",
        f"Content-Length: {len(body)}",
    )


@contextmanager
def caller_with_small_buffer(site: PlatformSite) -> Iterator[socket.socket]:
    """A caller whose kernel takes only a few kilobytes that it has not read."""
    host, _, port = site.address("entry-0").removeprefix("http://").partition(":")
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect((host, int(port)))
        sock.setblocking(False)
        yield sock


async def read_slowly(sock: socket.socket, seconds: int) -> bytes:
    """Reads a byte a second."""
    received = b""
    for _ in range(seconds):
        await asyncio.sleep(1.0)
        received += await asyncio.get_running_loop().sock_recv(sock, 1)
    return received


async def read_rest(sock: socket.socket) -> bytes:
    """Reads up to the end of a chunked answer."""
    received = bytearray()
    async with asyncio.timeout(PATIENCE_S):
        while not received.endswith(b"\r\n0\r\n\r\n"):
            piece = await asyncio.get_running_loop().sock_recv(sock, 2**20)
            if not piece:
                break
            received += piece
    return bytes(received)


def body_of(answer: bytes) -> bytes:
    """Returns the body of a whole chunked answer."""
    _, _, rest = answer.partition(b"\r\n\r\n")
    body = b""
    while True:
        size, _, rest = rest.partition(b"\r\n")
        if int(size, 16) == 0:
            assert rest == b"\r\n"
            return body
        body += rest[: int(size, 16)]
        rest = rest[int(size, 16) + 2 :]


def long_streams(site: PlatformSite, events: int, event_bytes: int, pause_s: float) -> None:
    for engine in site.engines:
        engine.events = events
        engine.faults = EngineFaults(
            event_bytes=event_bytes, cuts_unread_s=CUT_UNREAD_S, pause_s=pause_s
        )


def runs_of(engines: list[PlatformEngine]) -> list[Any]:
    return [run for engine in engines for run in engine.runs]


# Longer than what the kernel takes for a caller; so short that the kernel takes all of it; and
# the same while the endpoint is still sending.
@pytest.mark.parametrize(
    ("events", "event_bytes", "pause_s"), [(100, 60_000, 0.0), (30, 10_000, 0.0), (20, 10_000, 0.2)]
)
@pytest.mark.parametrize("loop", LOOPS)
def test_a_caller_that_reads_one_byte_a_second_gets_its_whole_answer(
    loop: str, events: int, event_bytes: int, pause_s: float, tmp_path: Path
) -> None:
    """Guards against an answer cut off by its endpoint or the kernel, and a turn that is lost."""

    async def scenario(site: PlatformSite) -> None:
        await allow_much(site)
        budget = PeakBudget(64 * MB, 21 * MB)
        memory = memory_of(site, budget)
        long_streams(site, events, event_bytes, pause_s)
        with caller_with_small_buffer(site) as sock:
            sock.send(turn_head("slow-1", b"hello") + b"hello")
            received = await read_slowly(sock, int(2 * CUT_UNREAD_S) + 1)
            [ran] = runs_of(site.engines)
            assert len(ran.made) == events, "the endpoint was read to the end meanwhile"
            if events * event_bytes > 5 * MB:
                assert budget.bytes_by_holder[MemoryHolder.UNREAD] > MB
            for engine in site.engines:
                engine.faults = EngineFaults()
            following = await site.turn(b"more", attempt="next-1", Bayhinge_Previous_Turn="slow-1")
            assert following.status == 200, "the turn is recorded while its answer is unread"
            received += await read_rest(sock)
        assert body_of(received) == b"".join(ran.made)
        [later] = [run for run in runs_of(site.engines) if run.attempt == "next-1"]
        assert later.body.startswith(b"hello" + ran.made[0].partition(b"data: ")[2][:10])
        await site.until(lambda: budget.held_bytes == 0)
        assert budget.peak_bytes <= budget.limit_bytes
        assert memory.counts.paused == 0

    run(tmp_path, loop, scenario)


@pytest.mark.parametrize("loop", LOOPS)
def test_when_the_room_is_used_up_the_slowest_caller_is_paused_and_the_others_are_served(
    loop: str, tmp_path: Path
) -> None:
    """Guards against one caller that does not read and stops everybody's answers."""

    async def scenario(site: PlatformSite) -> None:
        await allow_much(site)
        budget = PeakBudget(3 * MB, 2 * MB)
        memory = memory_of(site, budget)
        for engine in site.engines:
            engine.events = 300
            engine.faults = EngineFaults(event_bytes=60_000)
        with collected_lines() as lines, caller_with_small_buffer(site) as sock:
            # Not a turn of a program: nothing but the unread answer is held.
            sock.send(head("/chat/x", "slow-1", "Content-Length: 0"))
            await site.until(lambda: memory.counts.paused == 1)
            made = len(runs_of(site.engines)[0].made)
            assert made < 300
            for engine in site.engines:
                engine.events = 3
            for _ in range(5):
                async with asyncio.timeout(2.0):
                    assert (await site.turn(b"hi", program="fast")).status == 200
            assert budget.used_thousandths >= 700
            received = await read_rest(sock)
        assert body_of(received) == b"".join(runs_of(site.engines)[0].made)
        await site.until(lambda: budget.held_bytes == 0)
        assert budget.peak_bytes <= budget.limit_bytes
        [paused] = lines_of_type(lines, "memory.paused")
        assert (paused["attempt"], paused["waits_for"]) == ("slow-1", "unread_answer")
        assert paused["figures"]["budget_bytes"] == 3 * MB
        assert [line["attempt"] for line in lines_of_type(lines, "memory.paced")] == ["slow-1"]

    run(tmp_path, loop, scenario)


@pytest.mark.parametrize("how", ["close", "silent"])
@pytest.mark.parametrize("loop", LOOPS)
def test_all_is_released_when_a_slow_caller_leaves(loop: str, how: str, tmp_path: Path) -> None:
    """Guards against bytes that stay counted, and a dead caller that is taken for a slow one."""

    async def scenario(site: PlatformSite) -> None:
        await allow_much(site)
        budget = PeakBudget(3 * MB, 2 * MB)
        memory = memory_of(site, budget)
        for engine in site.engines:
            engine.events = 300
            engine.faults = EngineFaults(event_bytes=60_000)
        with caller_with_small_buffer(site) as sock:
            sock.send(head("/chat/x", "slow-1", "Content-Length: 0"))
            await site.until(lambda: memory.counts.paused == 1)
            assert budget.held_bytes > MB
            if how == "close":
                sock.close()
            else:
                fall_silent(sock)
            await site.until(lambda: budget.held_bytes == 0)
            await site.until(lambda: runs_of(site.engines)[0].was_cancelled)

    run(tmp_path, loop, scenario)


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("is_chunked", [False, True])
def test_a_body_without_room_is_not_read_and_refused_and_nothing_leaks(
    loop: str, is_chunked: bool, tmp_path: Path
) -> None:
    """Guards against reading what there is no room for, and a refused request that runs."""

    async def scenario(site: PlatformSite) -> None:
        await allow_much(site)
        budget = PeakBudget(12 * MB, 4 * MB)
        memory = memory_of(site, budget)
        with collected_lines() as lines:
            replies = await asyncio.gather(
                *(
                    site.ask("/act/x", pieces(3 * MB) if is_chunked else b"x" * 3 * MB)
                    for _ in range(8)
                ),
                *(site.ask("/act/small", b"small") for _ in range(8)),
            )
        large, small = replies[:8], replies[8:]
        assert [reply.status for reply in small] == [200] * 8
        served = [reply for reply in large if reply.status == 200]
        refused = [reply for reply in large if reply.status == 503]
        assert len(served) + len(refused) == 8
        assert served
        assert refused
        for reply in refused:
            assert b'"code":"host_memory"' in reply.body
            assert b'"run_state":"not_run"' in reply.body
            assert float(reply.headers["Retry-After"]) > 0
        ran = {run.attempt for run in runs_of(site.services)}
        assert ran == {reply.attempt for reply in [*served, *small]}
        logged = lines_of_type(lines, "request.refused")
        assert {line["attempt"] for line in logged} == {reply.attempt for reply in refused}
        assert all(line["figures"]["budget_bytes"] == 12 * MB for line in logged)
        assert memory.counts.refused == len(refused)
        await site.until(lambda: budget.held_bytes == 0)
        assert budget.peak_bytes <= budget.limit_bytes
        page = entry_metrics(site.entry_by_name["entry-0"]._gateway).decode()
        assert f"bayhinge_memory_refused_total {float(len(refused))}" in page
        assert "bayhinge_memory_held_bytes_body 0.0" in page

    run(tmp_path, loop, scenario)


async def pieces(size: int) -> Any:
    for _ in range(size // 4096):
        yield b"x" * 4096


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("sent", ["declared", "chunked"])
def test_all_is_released_when_a_caller_leaves_midway_in_its_body(
    loop: str, sent: str, tmp_path: Path
) -> None:
    """Guards against a reservation that outlives its request."""

    async def scenario(site: PlatformSite) -> None:
        await allow_much(site)
        budget = PeakBudget(12 * MB, 4 * MB)
        memory_of(site, budget)
        with caller_with_small_buffer(site) as sock:
            declared = f"Content-Length: {3 * MB}"
            sock.send(
                head(
                    "/act/x",
                    "a-1",
                    declared if sent == "declared" else "Transfer-Encoding: chunked",
                )
            )
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(sock, b"100000\r\n" if sent == "chunked" else b"")
            await loop.sock_sendall(sock, b"x" * (MB // 2))
            await site.until(lambda: budget.bytes_by_holder[MemoryHolder.BODY] >= MB // 2)
        await site.until(lambda: budget.held_bytes == 0)
        assert runs_of(site.services) == []

    run(tmp_path, loop, scenario)


@pytest.mark.parametrize("loop", LOOPS)
def test_the_connection_of_a_chunked_body_that_waits_for_room_is_not_read(
    loop: str, tmp_path: Path
) -> None:
    """Guards against bytes that are read from the connection before there is room for them."""

    async def scenario(site: PlatformSite) -> None:
        await allow_much(site)
        budget = PeakBudget(6 * MB, 2 * MB)
        memory = memory_of(site, budget)
        other = MemoryClaim(9)
        assert budget.try_acquire(other, MemoryHolder.BODY, 3 * MB)
        asking = asyncio.create_task(site.ask("/act/x", pieces(3 * MB // 2)))
        await site.until(lambda: budget.waiting_count == 1)
        await asyncio.sleep(0.3)
        [protocol] = site.entry_by_name["entry-0"]._gateway.front._busy
        assert protocol._reading_paused
        assert memory.counts.paused == 1
        budget.close(other)
        memory._settle()
        assert (await asking).status == 200
        await site.until(lambda: budget.held_bytes == 0)

    run(tmp_path, loop, scenario)


def test_callers_get_the_addresses_of_other_hosts_while_one_is_nearly_full(tmp_path: Path) -> None:
    """Guards against heartbeats that don't say how full a host is."""

    async def scenario(site: PlatformSite) -> None:
        budget = MemoryBudget(6 * MB, 2 * MB)
        site.entry_by_name["entry-1"]._gateway.memory.budget = budget
        both = {site.address("entry-0"), site.address("entry-1")}

        async def until_resolved(addresses: set[str]) -> None:
            async with asyncio.timeout(5):
                while {f"http://{one}" for one in await site.resolve()} != addresses:  # noqa: ASYNC110
                    await asyncio.sleep(0.05)

        await until_resolved(both)
        claim = MemoryClaim(0)
        assert budget.try_acquire(claim, MemoryHolder.BODY, 4 * MB - 10)
        await until_resolved({site.address("entry-0")})
        budget.close(claim)
        await until_resolved(both)

    run_site(tmp_path, scenario)


def test_a_turn_whose_history_has_no_room_is_refused_before_it_runs(tmp_path: Path) -> None:
    """Guards against histories outside the budget, and tokens that stay reserved for a refusal."""

    async def scenario(site: PlatformSite) -> None:
        await allow_much(site)
        long_streams(site, 10, 60_000, 0.0)
        first = await site.turn(b"hello", budget=70)
        assert first.status == 200
        budget = PeakBudget(3 * MB, MB)
        memory = memory_of(site, budget)
        other = MemoryClaim(0)
        assert budget.try_acquire(other, MemoryHolder.BODY, 3 * MB // 2)
        reply = await site.turn(b"more", first, budget=70)
        assert (reply.status, b"(history)" in reply.body) == (503, True)
        assert b'"run_state":"not_run"' in reply.body
        assert len(runs_of(site.engines)) == 1
        assert budget.held_bytes == 3 * MB // 2
        budget.close(other)
        again = await site.turn(b"more", first, budget=70)
        assert again.status == 200, "the refused turn's tokens are free again"
        [_, ran] = sorted(runs_of(site.engines), key=lambda one: one.number)
        assert ran.body.startswith(b"hello")
        assert ran.body.endswith(b"more")
        assert len(ran.body) > 600_000
        assert budget.peak_bytes <= budget.limit_bytes
        await site.until(lambda: budget.held_bytes == 0)
        assert memory.counts.refused == 1

    run(tmp_path, "uvloop", scenario)


def test_an_answer_larger_than_the_whole_budget_is_not_waited_for(tmp_path: Path) -> None:
    """Guards against a wait for memory that can never end."""

    async def scenario(site: PlatformSite) -> None:
        await allow_much(site)
        budget = PeakBudget(5 * MB, 2 * MB)
        memory_of(site, budget)
        async with asyncio.timeout(5):
            # The endpoint sends the body back.
            reply = await site.ask("/act/x", b"x" * (5 * MB // 2))
        assert (reply.status, b'"code":"outcome_unknown"' in reply.body) == (502, True)
        assert b"memory budget" in reply.body
        assert len(runs_of(site.services)) == 1, "it is not sent twice"
        await site.until(lambda: budget.held_bytes == 0)

    run(tmp_path, "uvloop", scenario)


@pytest.mark.parametrize("path", ["/act/x", "/look/x"])
@pytest.mark.parametrize("loop", LOOPS)
def test_a_body_that_its_endpoint_does_not_take_is_given_up(
    loop: str, path: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a body held for a hung endpoint, and one sent twice that may not be."""
    monkeypatch.setattr(send_timer, "SEND_TIMEOUT_S", 0.2)
    monkeypatch.setattr(send_timer, "MIN_SEND_BYTES_PER_S", 100 * MB)

    async def scenario(site: PlatformSite) -> None:
        await allow_much(site)
        budget = PeakBudget(64 * MB, 20 * MB)
        memory_of(site, budget)
        connections = 0

        async def hang(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal connections
            connections += 1
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            await asyncio.sleep(3600)

        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.bind(("127.0.0.1", 0))
            hung = await asyncio.start_server(hang, sock=listener, limit=4096)
            port = listener.getsockname()[1]
            first, second = site.services
            site.store.put(
                "servers", first.instance, first.entry() | {"address": f"127.0.0.1:{port}"}
            )
            site.store.put("servers", second.instance, second.entry("draining"))
            table = site.entry_by_name["entry-0"]._gateway.endpoint_table
            await site.until(
                lambda: (
                    [state.entry.address for state in table.all()].count(f"127.0.0.1:{port}") == 1
                )
            )
            asking = asyncio.create_task(site.ask(path, b"x" * 4 * MB))
            await site.until(lambda: connections == 1)
            site.store.put("servers", second.instance, second.entry() | {"seq": 2})
            reply = await asking
            hung.close()
        await site.until(lambda: budget.held_bytes == 0)
        if path == "/look/x":
            assert reply.status == 200
            return
        assert (reply.status, b'"code":"outcome_unknown"' in reply.body) == (502, True)
        assert (connections, runs_of(site.services)) == (1, [])
        assert b"did not take" in reply.body

    run(tmp_path, loop, scenario)
