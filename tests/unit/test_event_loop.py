"""Guards against a wrong choice of the event loop, and against its coarse clock."""

import asyncio

import pytest

from bayhinge._internal.utils.event_loop import ASYNCIO, LOOP_VARIABLE, loop_factory

READINGS = 2000


def test_the_clock_counts_less_than_a_millisecond(monkeypatch: pytest.MonkeyPatch) -> None:
    # uvloop's own clock would make consecutive events seem simultaneous.
    monkeypatch.delenv(LOOP_VARIABLE, raising=False)

    async def distinct_readings() -> int:
        loop = asyncio.get_running_loop()
        return len({loop.time() for _ in range(READINGS)})

    with asyncio.Runner(loop_factory=loop_factory()) as runner:
        assert "uvloop" in type(runner.get_loop()).__mro__[1].__module__
        assert runner.run(distinct_readings()) > READINGS / 2


def test_a_timer_does_not_fire_early(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv(LOOP_VARIABLE, raising=False)

    async def wait_s() -> float:
        loop = asyncio.get_running_loop()
        fired = asyncio.Event()
        began_s = loop.time()
        loop.call_at(began_s + 0.02, fired.set)
        await fired.wait()
        return loop.time() - began_s

    with asyncio.Runner(loop_factory=loop_factory()) as runner:
        # uvloop rounds delays to whole milliseconds.
        assert runner.run(wait_s()) >= 0.019


def test_the_environment_selects_the_loop_of_asyncio(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv(LOOP_VARIABLE, ASYNCIO)
    with asyncio.Runner(loop_factory=loop_factory()) as runner:
        assert type(runner.get_loop()).__module__.startswith("asyncio")
