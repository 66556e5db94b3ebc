"""How a host finds its memory limit, and what it tells others about it."""

import asyncio
import random
from pathlib import Path
from typing import Any, cast
from unittest.mock import MagicMock

import attrs
import pytest

from bayhinge._internal.decisions.caller_addresses import (
    FULL_THOUSANDTHS,
    MIN_ADVERTISED_HOSTS,
    ReadyHost,
    addresses_for,
)
from bayhinge._internal.decisions.memory_budget import MemoryBudget, MemoryHolder
from bayhinge._internal.models.refusals import RefusalCode, RefusedError, RunState
from bayhinge._internal.network import caller_watch, send_timer
from bayhinge._internal.network.caller_watch import CallerWatch
from bayhinge._internal.network.send_timer import SendTimer
from bayhinge._internal.platform.settings_file import read_settings
from bayhinge._internal.services.gateway.held_memory import (
    DEFAULT_BUDGET_BYTES,
    MIN_BUDGET_BYTES,
    RETRY_AFTER_S,
    SAFETY_SHARE,
    UNBOUNDED,
    HeldMemory,
)
from bayhinge._internal.utils.process_memory import cgroup_limit_bytes, resident_bytes
from tests.lib.log_lines import collected_lines, lines_of_type
from tests.lib.platform_data import settings_text

MB = 2**20


@pytest.mark.parametrize(
    ("files", "limit"),
    [
        ({"memory.max": "max"}, None),
        ({"memory.max": "134217728\n"}, 128 * MB),
        ({"memory.max": "0"}, None),
        ({"memory.max": "max", "a/b/memory.max": "1000000"}, 1_000_000),
        ({"memory/memory.limit_in_bytes": "9223372036854771712"}, None),
        ({"memory/x/memory.limit_in_bytes": "2000000"}, 2_000_000),
        ({}, None),
    ],
)
def test_the_limit_of_the_control_group(
    files: dict[str, str], limit: int | None, tmp_path: Path
) -> None:
    """Guards against a number that means no limit, and a limit of an outer group."""
    for name, text in files.items():
        path = tmp_path / "groups" / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
    membership = tmp_path / "cgroup"
    membership.write_text("5:cpu,memory:/x\n0::/a/b\n")
    assert cgroup_limit_bytes(tmp_path / "groups", membership) == limit
    assert cgroup_limit_bytes(tmp_path / "groups", tmp_path / "missing") in {limit, None}


def test_the_resident_memory_of_this_process() -> None:
    """Guards against a wrong unit."""
    assert 10 * MB < resident_bytes() < 4096 * MB
    assert resident_bytes(Path("/does/not/exist")) == 0


@pytest.mark.parametrize(
    ("limits", "limit"),
    [
        ("", None),
        ("[limits]\nmemory_mb = 128\ncores = 0.5\nlink_mbps = 100\n", 128 * MB),
        ("[limits]\ncores = 2\n", None),
        ("[limits]\nmemory_mb = 0\n", None),
    ],
)
def test_the_settings_name_the_limit(limits: str, limit: int | None, tmp_path: Path) -> None:
    """Guards against a section of the settings that is ignored."""
    path = tmp_path / "s.toml"
    path.write_text(settings_text("h", "127.0.0.1") + "\n" + limits)
    assert read_settings(path).ok.memory_bytes == limit


def test_before_the_start_nothing_is_bounded() -> None:
    memory = HeldMemory()
    assert memory.used_thousandths is None
    with memory.open("a", 9) as held:
        assert held is UNBOUNDED
        for holder in MemoryHolder:
            held.room(holder).take_at_once(10**15)
            held.room(holder).give_back(10**15)


def test_without_a_limit_a_default_bounds_all_that_is_held() -> None:
    """Guards against one endpoint that fills the machine with an answer."""
    memory = HeldMemory()
    memory.start(None, 50 * MB)
    assert memory.budget is not None
    assert memory.budget.limit_bytes == DEFAULT_BUDGET_BYTES
    with memory.open("a", 9) as held:
        for holder in MemoryHolder:
            with pytest.raises(RefusedError):
                held.room(holder).take_at_once(DEFAULT_BUDGET_BYTES)
            held.room(holder).take_at_once(MB)
            held.room(holder).give_back(MB)


def test_the_budget_is_what_an_idle_process_leaves_times_a_safety_share() -> None:
    """Guards against a budget that the process can't have, and one too small for any body."""
    memory = HeldMemory()
    memory.start(128 * MB, 48 * MB)
    assert memory.budget is not None
    assert memory.budget.limit_bytes == int(80 * MB * SAFETY_SHARE)
    memory.start(40 * MB, 48 * MB)
    assert memory.budget.limit_bytes == MIN_BUDGET_BYTES


def test_a_refusal_is_true_and_says_when_to_return_and_why() -> None:
    """Guards against a refusal without figures, and a request that stays counted after it."""
    memory = HeldMemory(MemoryBudget(3 * MB, MB))
    with pytest.raises(RefusedError) as raised, memory.open("a", 5) as held:
        held.room(MemoryHolder.BODY).take_at_once(3 * MB)
    refusal = raised.value.refusal
    assert (refusal.code, refusal.run_state) == (RefusalCode.HOST_MEMORY, RunState.NOT_RUN)
    assert refusal.retry_after_s is not None
    assert RETRY_AFTER_S[0] <= refusal.retry_after_s <= RETRY_AFTER_S[1]
    figures = {figure.name: figure.value for figure in refusal.figures}
    assert (figures["wanted_bytes"], figures["budget_bytes"]) == (3 * MB, 3 * MB)
    assert memory.budget is not None
    assert memory.budget.held_bytes == 0


def test_a_cancelled_wait_for_memory_is_forgotten_and_logged_once() -> None:
    """Guards against a wait that outlives its request and blocks the queue."""

    async def main() -> None:
        budget = MemoryBudget(300_000, 100_000)
        memory = HeldMemory(budget)

        async def wait_twice() -> None:
            with memory.open("slow", 5) as held:
                room = held.room(MemoryHolder.UNREAD)
                await room.take(60_000)
                for _ in range(2):
                    await room.take(60_000)

        with memory.open("first", 5) as first:
            first.room(MemoryHolder.ANSWER).take_at_once(120_000)
            task = asyncio.create_task(wait_twice())
            await asyncio.sleep(0)
            assert budget.waiting_count == 1
            first.room(MemoryHolder.ANSWER).give_back(60_000)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert budget.waiting_count == 1, "the second wait of the same request"
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            assert budget.waiting_count == 0
        assert budget.held_bytes == 0

    with collected_lines() as lines:
        asyncio.run(main())
    [line] = lines_of_type(lines, "memory.paused")
    assert (line["attempt"], line["waits_for"]) == ("slow", "unread_answer")


def test_hosts_that_are_nearly_full_are_left_out_unless_most_are() -> None:
    """Guards against callers that are sent to a host that must refuse them."""
    hosts = [ReadyHost(f"n-{number}", "north", "land") for number in range(MIN_ADVERTISED_HOSTS)]
    full = [attrs.evolve(host, memory_used=FULL_THOUSANDTHS) for host in hosts]
    busy = [attrs.evolve(host, memory_used=FULL_THOUSANDTHS - 1) for host in hosts]

    def advertised(known: list[ReadyHost]) -> set[str]:
        return set(addresses_for(known, "north", "land", random.Random(1)))

    assert advertised(full[:3] + hosts[3:]) == {host.address for host in hosts[3:]}
    assert len(advertised(busy[:3] + hosts[3:])) == len(hosts)
    assert len(advertised(full)) == len(hosts), "the load must go somewhere"
    assert len(advertised(full[:6] + hosts[6:])) == len(hosts), "four would be overrun"


def test_a_caller_that_acknowledges_probes_is_slow_and_not_gone() -> None:
    """Guards against a slow caller that is cut off between two probes, and a dead one kept."""

    async def main() -> None:
        watch = CallerWatch(MagicMock(), 0.05)
        watch._timer.cancel()
        infos: list[bytes] = []
        watch._socket = MagicMock(getsockopt=lambda *_: infos[0])

        async def is_gone_after(retransmits: int, probes: int, seconds: float) -> bool:
            infos[:] = [bytes([1, 0, retransmits, probes, 0, 0, 0, 0])]
            watch._is_gone()
            await asyncio.sleep(seconds)
            return watch._is_gone()

        assert not await is_gone_after(0, 1, 0.1), "the probe is on its way"
        assert not await is_gone_after(0, 2, 0.0), "for less than the timeout"
        assert not await is_gone_after(0, 0, 0.1), "it has answered meanwhile"
        assert await is_gone_after(0, 2, 0.1)
        assert not await is_gone_after(1, 0, 0.1)
        assert await is_gone_after(1, 1, 0.1)

    asyncio.run(main())


def test_the_time_to_send_grows_with_the_size_and_a_stall_counts_for_one_slice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against giving up a request because this process stalled."""
    monkeypatch.setattr(send_timer, "SEND_TIMEOUT_S", 0.2)
    given_up: list[str] = []

    class Transport:
        unsent = 10

        def get_write_buffer_size(self) -> int:
            return self.unsent

        def is_closing(self) -> bool:
            return False

    async def main() -> None:
        transport = cast(Any, Transport())
        long = SendTimer(transport, send_timer.MIN_SEND_BYTES_PER_S, given_up.append)
        SendTimer(transport, 0, given_up.append)
        loop = asyncio.get_running_loop()
        # The loop does not run for longer than the whole limit.
        now, loop.time = loop.time, lambda: now() + 0.25  # type: ignore[method-assign]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert given_up == []
        await asyncio.sleep(0.5)
        assert given_up == ["the endpoint did not take 10 bytes in 0.2 s"]
        long.stop()

    asyncio.run(main())


def test_the_checks_of_a_caller_come_before_the_kernel_gives_up() -> None:
    """Guards against periods that are changed apart from the TCP user timeout."""
    assert caller_watch.CHECK_S <= 0.25 * 2.0
